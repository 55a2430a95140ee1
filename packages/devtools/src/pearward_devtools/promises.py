"""Checks of the router's guarantees against the runs that the servers recorded.

Each check returns a verdict with its counts and whether the guarantee held.
"""

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .traffic import Sent

__all__ = [
    "Verdict",
    "at_most_once",
    "no_new_work",
    "no_request_cut",
    "not_run_is_true",
    "one_owner",
    "own_responses",
]

Runs = list[dict[str, Any]]


@dataclass(frozen=True)
class Verdict:
    """Whether one guarantee held, with its counts."""

    promise: str
    held: bool
    counts: str

    def __str__(self) -> str:
        return f"{'held  ' if self.held else 'BROKEN'}  {self.promise}: {self.counts}"


def one_owner(runs: Runs) -> Verdict:
    """Check that a shard's epochs never decrease and that each epoch has one server."""
    servers: dict[tuple[str, int], set[str]] = defaultdict(set)
    by_shard: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for run in runs:
        if run["epoch"]:
            servers[run["shard"], run["epoch"]].add(run["server"])
            by_shard[run["shard"]].append((run["at"], run["epoch"]))
    shared = sum(len(names) > 1 for names in servers.values())
    backwards = 0
    for visits in by_shard.values():
        epochs = [epoch for _, epoch in sorted(visits)]
        backwards += sum(b < a for a, b in itertools.pairwise(epochs))
    counts = (
        f"{len(by_shard)} shards used, {len(servers)} ownerships, "
        f"{shared} shared, {backwards} runs under an older epoch after a newer one"
    )
    return Verdict("a key has at most one owning server", not shared and not backwards, counts)


def at_most_once(sent: Iterable[Sent], runs: Runs) -> Verdict:
    """Check that a request that is not repeatable runs at most once."""
    ran = Counter(run["id"] for run in runs)
    ids = [s.request_id for s in sent if s.flow.method == "POST"]
    repeated = sum(ran[i] > 1 for i in ids)
    once = sum(ran[i] == 1 for i in ids)
    counts = f"{len(ids)} sent, {once} ran once, {repeated} ran twice or more"
    return Verdict("a request that is not repeatable runs at most once", not repeated, counts)


def not_run_is_true(sent: Iterable[Sent], runs: Runs) -> Verdict:
    """Check that requests with the outcome not-run did not run."""
    ran = {run["id"] for run in runs}
    refused = [s for s in sent if s.answer is not None and s.answer.outcome == "not-run"]
    contradicted = sum(s.request_id in ran for s in refused)
    return Verdict(
        "what is answered not-run was not run",
        not contradicted,
        f"{len(refused)} refused, {contradicted} ran",
    )


def own_responses(sent: Iterable[Sent]) -> Verdict:
    """Check that no complete response belongs to another request."""
    answers = [s.answer for s in sent if s.answer is not None and s.answer.outcome == "served"]
    partial = sum(not a.complete for a in answers)
    mismatched = sum(a.complete and not a.matches_request for a in answers)
    counts = f"{len(answers)} served, {partial} broken off, {mismatched} passed for whole wrongly"
    return Verdict("an answer is whole and the caller's own", not mismatched, counts)


def no_request_cut(sent: Iterable[Sent], what: str) -> Verdict:
    """Check that every request succeeded, for example during a planned stop."""
    rows = list(sent)
    failed = [
        s for s in rows if s.answer is None or s.answer.status != 200 or not s.answer.complete
    ]
    reasons = Counter(s.answer.reason if s.answer else "no answer" for s in failed)
    counts = f"{len(rows)} requests, {len(failed)} failed {dict(reasons) if reasons else ''}"
    return Verdict(f"{what} cuts no request", not failed, counts.strip())


def no_new_work(runs: Runs, server: str, since: float, until: float) -> Verdict:
    """Check that a leaving target gets no new requests after two seconds."""
    late = sum(run["server"] == server and since + 2.0 < run["at"] < until for run in runs)
    return Verdict(
        "a leaving target gets no new work after 2 s", not late, f"{late} late requests at {server}"
    )
