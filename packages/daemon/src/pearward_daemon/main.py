"""The pearwardd command."""

import gc
import sys
from pathlib import Path

import click

from .errors import SettingsError
from .process_signals import ProcessSignals
from .settings import Settings

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_LISTEN = 3
FLUSH_S = 0.05
"""Time in which the last responses are written before the process ends."""
GC_THRESHOLDS = (1_000, 20, 50)
"""Keep collection pauses short: with a young generation of 20,000 objects, one took 10 ms, which
was added to the p99 latency."""


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="YAML file with this daemon's settings.",
)
@click.option("--check", is_flag=True, help="Check the settings and stop.")
def main(path: Path, check: bool) -> None:
    """Route requests to the servers that own their keys.

    SIGTERM hands over this daemon's shards, lets running requests end, and stops. SIGHUP checks the
    settings again; changes take effect after a restart.
    Exit codes: 0 stopped by a signal, 2 invalid settings, 3 cannot listen on a port.
    """
    signals = ProcessSignals.install()
    try:
        settings = Settings.from_file(path)
    except SettingsError as error:
        click.echo(f"pearwardd: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo("settings are valid")
        return
    _run(path, settings, signals)
    signals.ignore()


def _run(path: Path, settings: Settings, signals: ProcessSignals) -> None:
    """Run until the daemon has stopped."""
    # Imported late, so that --check starts fast and needs little memory.
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    from pearward_transport.reactor import write_pending

    from .daemon import Daemon
    from .logs import LineWriter

    LineWriter.start(reactor, sys.stdout.fileno())
    daemon = Daemon.from_config(reactor, settings)
    try:
        stopped = daemon.start()
    except CannotListenError as error:
        click.echo(f"pearwardd: {error}", err=True)
        sys.exit(EXIT_LISTEN)
    _tune_garbage_collector()
    stopped.addBoth(lambda _: reactor.callLater(FLUSH_S, reactor.stop))
    reactor.addSystemEventTrigger("before", "shutdown", write_pending, reactor)
    signals.deliver(reactor.callFromThread, daemon.drain, lambda: _check_again(path, settings))
    reactor.run(installSignalHandlers=False)


def _tune_garbage_collector() -> None:
    """Exclude objects created at the start from later garbage collections.

    A full collection over all imported modules blocks the loop for about 15 ms, which is
    the p99 of a request; frozen objects are never traversed again.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _check_again(path: Path, settings: Settings) -> None:
    """Report whether the settings have changed."""
    try:
        changed = Settings.from_file(path) != settings
    except SettingsError as error:
        click.echo(f"pearwardd: {error}", err=True)
        return
    if changed:
        click.echo("pearwardd: changed settings take effect after a restart", err=True)


if __name__ == "__main__":
    main()
