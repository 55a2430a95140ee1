"""``make run``: run six small services under mixed traffic, stop one daemon, check guarantees."""

import subprocess
import sys
import time

import click

from .cluster import Cluster, Node, ServiceSpec, wait_until
from .promises import (
    Verdict,
    at_most_once,
    no_new_work,
    no_request_cut,
    not_run_is_true,
    one_owner,
    own_responses,
)
from .traffic import Flow, Traffic

__all__ = ["main"]

DOMAINS = ["bp-hall-a", "bp-hall-b", "gyor-hall"]
SERVICES = [
    ServiceSpec("roster-app", "keyed", 3, {"policy": "patient"}),
    ServiceSpec("timesheet-core", "pooled", 3, {"default_class": "submit"}),
    ServiceSpec("export-hub", "pooled", 3, {"default_class": "export"}),
    ServiceSpec("premview", "keyed", 3, {"policy": "quick"}),
    ServiceSpec("paypost", "pooled", 3, {"default_class": "submit"}),
    ServiceSpec("stmtvault", "pooled", 3, {"default_class": "export"}),
]
FLOWS = [
    Flow("roster-app", 4, keys=500),
    Flow("timesheet-core", 2, method="POST", body_bytes=4000, request_class="submit"),
    Flow("export-hub", 1, response_bytes=4_000_000, path="/e?rate=2000000", request_class="export"),
    Flow("premview", 4, keys=500),
    Flow("paypost", 2, method="POST", body_bytes=300, request_class="submit"),
    Flow("stmtvault", 1, response_bytes=2_000_000, request_class="export"),
]
BEFORE_S, AFTER_S = 3.0, 3.0


def _check_configuration_change(cluster: Cluster) -> Verdict:
    """Change a table row with the operators' command and check that every daemon has it."""
    started_at = time.monotonic()
    result = subprocess.run(
        [
            sys.executable, "-m", "pearward_cli.main", "--platform", cluster.platform_address,
            "set", "premview", "limit=500", "--wait",
        ],
        capture_output=True,
        text=True,
        check=False,
    )  # fmt: skip
    duration_s = time.monotonic() - started_at
    versions = [
        status["versions"].get("table/premview", 0)
        for node in cluster.nodes
        if (status := cluster.status(node)) is not None
    ]
    return Verdict(
        "an accepted change is in force everywhere within seconds",
        result.returncode == 0 and min(versions) >= 2,
        f"{len(versions)} daemons, command took {duration_s:.1f} s {result.stderr.strip()}",
    )


def _record_version(cluster: Cluster, service: str) -> int:
    record = cluster.record(service)
    return record.version if record is not None else 0


def _check_assignments_kept(cluster: Cluster, versions: dict[str, int]) -> Verdict:
    """Check that every shard has an owner and that no record has an older version than before."""
    unowned = rolled_back = shards = 0
    for service, version in versions.items():
        placements = cluster.placements(service)
        rolled_back += _record_version(cluster, service) < version
        shards += len(placements)
        unowned += sum(not server for server in placements.values())
    return Verdict(
        "an acknowledged assignment survives",
        not unowned and not rolled_back,
        f"{shards} shards, {unowned} without owner, {rolled_back} records went back",
    )


def _planned_stop(cluster: Cluster, node: Node) -> tuple[float, float, int]:
    """Stop and restart a daemon; return the stop's start and end times and the exit code."""
    started_at = time.time()
    process = cluster.terminate_daemon(node)
    code = process.wait(timeout=60)
    ended = time.time()
    cluster.start_daemon(node)
    wait_until(cluster.ready, "the restarted daemon")
    return started_at, ended, code


def run_demo(cluster: Cluster) -> list[Verdict]:
    """Send traffic before, during and after a planned stop, and check the guarantees."""
    stopping = cluster.of("roster-app")[0]
    leaving: list[str] = []

    def addresses() -> list[str]:
        return [n.caller for n in cluster.nodes if n.caller not in leaving]

    versions = {s.name: _record_version(cluster, s.name) for s in SERVICES}
    traffic = Traffic(FLOWS, addresses)
    traffic.start()
    time.sleep(BEFORE_S)
    change = _check_configuration_change(cluster)
    # Callers avoid a stopping daemon since its readyz fails; their running requests continue.
    leaving.append(stopping.caller)
    started_at, ended, code = _planned_stop(cluster, stopping)
    leaving.clear()
    time.sleep(AFTER_S)
    sent = traffic.stop()
    runs = [run for spec in SERVICES for run in cluster.runs(spec.name)]
    keyed = [run for run in runs if run["epoch"]]
    by_service = [
        one_owner([r for r in keyed if r["server"].startswith(name)])
        for name in ("roster-app", "premview")
    ]
    owners = Verdict(
        by_service[0].promise,
        all(v.held for v in by_service),
        "; ".join(v.counts for v in by_service),
    )
    stop = no_request_cut(sent, "a planned stop")
    return [
        owners,
        _check_assignments_kept(cluster, versions),
        own_responses(sent),
        not_run_is_true(sent, runs),
        at_most_once(sent, runs),
        no_new_work(runs, stopping.server, started_at, ended),
        Verdict(stop.promise, stop.held and code == 0, f"{stop.counts}, daemon exit {code}"),
        change,
    ]


def _show_addresses(cluster: Cluster) -> None:
    """Print the addresses and example commands."""
    first = cluster.of("roster-app")[0]
    click.echo(f"\nplatform {cluster.platform_address}, files in {cluster.directory}")
    for node in cluster.nodes:
        click.echo(f"  {node.name:<18} callers {node.caller}  operators {node.admin}")
    platform = f"--platform {cluster.platform_address}"
    click.echo(
        "\ntry:\n"
        f"  curl -i -H 'Pearward-Service: roster-app' -H 'Pearward-Key: crew-7' "
        f"http://{first.caller}/crew/7\n"
        f"  .venv/bin/pearward {platform} status\n"
        f"  .venv/bin/pearward {platform} route roster-app crew-7\n"
        f"  .venv/bin/pearward {platform} drain roster-app/roster-app-0 --wait\n"
        f"  curl -s http://{first.admin}/metrics\n"
        "Ctrl-C ends all processes."
    )


@click.command()
@click.option("--keep", is_flag=True, help="Keep all processes running afterwards.")
def main(keep: bool) -> None:
    """Run the demonstration; exits non-zero if a guarantee is violated."""
    with Cluster(SERVICES, DOMAINS) as cluster:
        click.echo(f"starting {sum(s.servers for s in SERVICES)} daemons and as many servers")
        cluster.start()
        verdicts = run_demo(cluster)
        for verdict in verdicts:
            click.echo(str(verdict))
        if keep:
            _show_addresses(cluster)
            try:
                while True:
                    time.sleep(3600)
            except KeyboardInterrupt:
                pass
    sys.exit(0 if all(v.held for v in verdicts) else 1)


if __name__ == "__main__":
    main()
