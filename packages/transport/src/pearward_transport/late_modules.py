"""Modules that libraries import at their start and a daemon never uses.

A fleet starts its daemons by the hundred after a loss of power, and each start is processor
time in which nothing is served.
"""

import importlib.util
import sys

__all__ = ["load_late"]

UNUSED = ("http.cookiejar",)
"""`http.cookiejar`, which Twisted names for its web client, brings `urllib.request`,
`http.client` and `email.parser` with it."""


def load_late() -> None:
    """Let these modules be loaded when something in them is first asked for.

    To be called before Twisted is imported. Gain, with no YAML parser and no
    `site` at the start: 0.63 s of processor time to import a daemon in place of 0.68 (medians of
    eight runs in turn on a busy machine), 450 modules in place of 523.
    """
    for name in UNUSED:
        spec = importlib.util.find_spec(name)
        if name in sys.modules or spec is None or spec.loader is None:
            continue
        loader = importlib.util.LazyLoader(spec.loader)
        spec.loader = loader
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        # Found on its package it is not looked at, which would load it.
        package, _, child = name.rpartition(".")
        setattr(sys.modules[package], child, module)
        loader.exec_module(module)
