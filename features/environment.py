"""Start and stop clusters of real processes for the features whose tags request one."""

import itertools
import json
import os
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Any

from pearward_devtools.caller import Caller
from pearward_devtools.cluster import Cluster, ServiceSpec
from pearward_devtools.mesh.cluster import MeshCluster

DOMAINS = ["waco-a", "waco-b", "temple-a", "temple-b"]
SPECS = {
    "quick": ServiceSpec("premview", "keyed", 4, {"policy": "quick"}),
    "trio": ServiceSpec("premview", "keyed", 3, {"policy": "quick"}),
    "patient": ServiceSpec("roster-app", "keyed", 3, {"policy": "patient", "wait_return_s": 8.0}),
    "pooled": ServiceSpec("paypost", "pooled", 3),
    "unfenced": ServiceSpec("premview", "keyed", 3, {"policy": "quick"}, {"fenced": False}),
}


def _services(tags: list[str]) -> list[ServiceSpec]:
    """Return the services named by a feature's tag ``cluster.<a>.<b>``."""
    for tag in tags:
        if tag.startswith("cluster."):
            return [SPECS[name] for name in tag.split(".")[1:]]
    return []


def before_feature(context: Any, feature: Any) -> None:
    """Start the feature's cluster."""
    context.cluster = None
    context.mesh = None
    if "mesh" in feature.tags:
        context.mesh_ids = itertools.count(1)
        grants = "call" if "by_call" in feature.tags else "heartbeat"
        context.mesh = MeshCluster({"roster": 3, "sheets": 2}, keyed="roster", grants=grants)
        context.mesh.start()
    services = _services(feature.tags)
    if services:
        settings = {"log": {"requests": "all"}, "limits": {"header_bytes": 4096}}
        context.cluster = Cluster(
            services, DOMAINS, proxied="proxied" in feature.tags, settings=settings
        )
        context.cluster.start()


def after_feature(context: Any, feature: Any) -> None:
    """Stop the feature's cluster; after a failure, copy its logs to the folder ``KEEP_LOGS``."""
    if context.mesh is not None:
        keep = os.environ.get("KEEP_LOGS")
        if keep and feature.status.name != "passed":
            shutil.copytree(context.mesh.logs, Path(keep) / feature.name, dirs_exist_ok=True)
        context.mesh.stop()
    if context.cluster is not None:
        keep = os.environ.get("KEEP_LOGS")
        if keep and feature.status.name != "passed":
            shutil.copytree(
                context.cluster.directory, Path(keep) / feature.name, dirs_exist_ok=True
            )
        context.cluster.stop()


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario its own caller and empty notes."""
    context.caller = Caller()
    context.responses = []
    context.notes = {}


def after_step(context: Any, step: Any) -> None:
    """Save the daemons' statuses when a step fails."""
    if context.cluster is not None and step.status.name != "passed":
        _save_statuses(context)


def _save_statuses(context: Any) -> None:
    keep = os.environ.get("KEEP_LOGS")
    if not keep:
        return
    folder = Path(keep) / context.feature.name
    folder.mkdir(parents=True, exist_ok=True)
    for node in context.cluster.nodes:
        status = json.dumps(context.cluster.status(node), indent=1)
        (folder / f"status-{node.name}.json").write_text(status)


def after_scenario(context: Any, scenario: Any) -> None:
    """End all faults and restart the processes that the scenario stopped."""
    cluster = context.cluster
    if cluster is None:
        return
    cluster.platform_faults()
    if "proxied" in scenario.feature.tags:
        cluster.set_link_faults([])
    for node in cluster.nodes:
        cluster.resume(node)
        if node.server_process is None:
            cluster.start_server(node)
        if node.daemon is None:
            cluster.start_daemon(node)
    try:
        cluster.wait_ready()
    except TimeoutError:
        _save_statuses(context)
        raise


def run_pearward(context: Any, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the operators' command ``pearward`` against the feature's platform."""
    return subprocess.run(
        [sys.executable, "-m", "pearward_cli.main", "--platform", context.cluster.platform_address,
         *arguments],
        capture_output=True, text=True, check=False, timeout=60,
    )  # fmt: skip


def parsed(result: subprocess.CompletedProcess[str]) -> Any:
    """Return the JSON that a command printed."""
    return json.loads(result.stdout)
