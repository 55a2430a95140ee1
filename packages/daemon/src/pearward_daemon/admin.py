"""The admin port: health, readiness, metrics and status, over twisted.web."""

import json
from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Site

from .metrics import Metrics

__all__ = ["admin_site"]

CONFLICT = 409


class _Text(Resource):  # type: ignore[misc]
    """A page whose content is rendered by a function for each request."""

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


class _Release(Resource):  # type: ignore[misc]
    """Accepts an operator's statement that a member has ended."""

    isLeaf = True

    def __init__(self, release: Callable[[str], bool]) -> None:
        super().__init__()
        self._release = release

    def render_POST(self, request: Any) -> bytes:
        incarnation = request.args.get(b"incarnation", [b""])[0].decode("latin-1")
        if not self._release(incarnation):
            request.setResponseCode(CONFLICT)
            return b"not the coordinator, or no such member\n"
        return b"released\n"


def admin_site(
    metrics: Metrics,
    ready: Callable[[], str],
    status: Callable[[], dict[str, object]],
    release: Callable[[str], bool],
) -> Site:
    """Return the site; *ready* returns why the daemon is not ready, or an empty string."""

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
    root.putChild(b"release", _Release(release))
    site = Site(root)
    site.noisy = False
    return site
