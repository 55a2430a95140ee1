"""The operators' port: health, readiness, metrics and status, over twisted.web."""

import json
from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Site

from .metrics import Metrics

__all__ = ["admin_site"]


class _Text(Resource):  # type: ignore[misc]
    """A page that is made by a function for each request."""

    isLeaf = True

    def __init__(self, content_type: bytes, render: Callable[[], tuple[int, bytes]]) -> None:
        super().__init__()
        self._content_type = content_type
        self._render = render

    def render_GET(self, request: Any) -> bytes:
        status, body = self._render()
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", self._content_type)
        return body


def admin_site(
    metrics: Metrics, ready: Callable[[], str], status: Callable[[], dict[str, object]]
) -> Site:
    """Return the site; *ready* names what is missing, or nothing."""

    def readiness() -> tuple[int, bytes]:
        missing = ready()
        return (503, missing.encode() + b"\n") if missing else (200, b"ready\n")

    root = Resource()
    root.putChild(b"healthz", _Text(b"text/plain", lambda: (200, b"alive\n")))
    root.putChild(b"readyz", _Text(b"text/plain", readiness))
    root.putChild(
        b"metrics", _Text(b"text/plain; version=0.0.4", lambda: (200, metrics.exposition()))
    )
    root.putChild(
        b"status",
        _Text(b"application/json", lambda: (200, json.dumps(status()).encode() + b"\n")),
    )
    site = Site(root)
    site.noisy = False
    return site
