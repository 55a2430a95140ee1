"""Signals of a daemon's process, from its first moment to its last.

SIGTERM and SIGINT stop the daemon, SIGHUP says that its settings have changed. Signals that arrive
before the daemon can handle them are kept. This module imports little, so that the handlers can be
installed before the imports that take most of a start.
"""

import signal
from collections.abc import Callable

__all__ = ["ProcessSignals"]


class ProcessSignals:
    """Keeps signals, and delivers them once the daemon runs."""

    def __init__(self) -> None:
        self._stop_requested = False
        self._reload_requested = False
        self._notify: Callable[[], None] | None = None
        """Called in the signal handler after a signal was kept."""

    @classmethod
    def install(cls) -> "ProcessSignals":
        """Install handlers that keep all signals for now."""
        signals = cls()
        signal.signal(signal.SIGHUP, signals._reload)
        signal.signal(signal.SIGTERM, signals._stop)
        signal.signal(signal.SIGINT, signals._stop)
        return signals

    # -- properties -------------------------------------------------------------

    @property
    def stop_requested(self) -> bool:
        """Whether the daemon has been requested to stop."""
        return self._stop_requested

    # -- delivery -----------------------------------------------------------------

    def take_reload(self) -> bool:
        """Return whether the settings have changed since the last call."""
        requested, self._reload_requested = self._reload_requested, False
        return requested

    def deliver(
        self,
        run_in_loop: Callable[[Callable[[], None]], None],
        on_stop: Callable[[], None],
        on_reload: Callable[[], None],
    ) -> None:
        """Deliver kept and further signals in the event loop.

        *run_in_loop* schedules a call from a signal handler. Several signals may be delivered by
        one call.
        """

        def handle() -> None:
            if self.take_reload():
                on_reload()
            if self._stop_requested:
                on_stop()

        self._notify = lambda: run_in_loop(handle)
        if self._stop_requested or self._reload_requested:
            self._notify()

    @staticmethod
    def ignore() -> None:
        """Ignore all signals from now on, as the process ends by itself.

        The interpreter restores the default action of signals with a handler when it ends.
        """
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)

    def _stop(self, number: int, frame: object) -> None:
        known, self._stop_requested = self._stop_requested, True
        self._kept(known)

    def _reload(self, number: int, frame: object) -> None:
        known, self._reload_requested = self._reload_requested, True
        self._kept(known)

    def _kept(self, known: bool) -> None:
        """Schedule the delivery of a signal, unless one of its kind waits for it."""
        if self._notify is not None and not known:
            self._notify()
