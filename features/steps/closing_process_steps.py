"""Steps for a planned stop beside a peer whose record is old, with real processes."""

import json
import subprocess
import sys
from typing import Any

from behave import then, when

from pearward_devtools.cluster import PEER_PORT, Node, wait_until

STOP_LIMIT_S = 60.0
KEYS = 500


def _key_of(context: Any, service: str, node: Node) -> str:
    """Return a key that a node owns."""
    keys = (f"acct-{number}" for number in range(KEYS))
    return next(key for key in keys if context.cluster.owner_of(service, key) is node)


@when('each daemon of "{service}" is stopped as planned while a peer with an old record sends')
def stop_beside_stale_peer(context: Any, service: str) -> None:
    context.counts = []
    for node in context.cluster.of(service):
        key = wait_until(lambda n=node: _key_of(context, service, n), "a key")  # type: ignore[misc]
        address = f"{node.advertised_ip}:{PEER_PORT}"
        peer = subprocess.Popen(
            [sys.executable, "-m", "pearward_devtools.stale_peer", address, service, key],
            stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        context.add_cleanup(peer.kill)
        assert peer.stdout is not None and peer.stdout.readline()
        stopping = context.cluster.terminate_daemon(node)
        output, _ = peer.communicate(timeout=STOP_LIMIT_S)
        assert stopping.wait(timeout=STOP_LIMIT_S) == 0
        context.counts.append(json.loads(output))
        print(f"{node.name}: {output.strip()}")
        context.cluster.start_daemon(node)
        context.cluster.wait_ready()


@then("each stopped daemon has served and refused requests of that peer")
def served_and_refused(context: Any) -> None:
    for counts in context.counts:
        refused = counts.get("not-run moved", 0) + counts.get("not-run draining", 0)
        assert counts.get("served", 0) and refused, context.counts


@then('none of that peer\'s requests ended "{outcome}"')
def none_ended(context: Any, outcome: str) -> None:
    for counts in context.counts:
        assert not any(how.startswith(outcome) for how in counts), context.counts
