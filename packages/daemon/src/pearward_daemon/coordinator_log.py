"""Log of a coordinator: the records that it writes, and its view of the cell."""

from collections import Counter

import eliot

from pearward_coordination.coordinator import CellBelief
from pearward_state.records import CellRecord

__all__ = ["CoordinatorLog"]

MemberRow = dict[str, object]


class CoordinatorLog:
    """Logs the changes since the last line, so that lines of a large cell stay short."""

    def __init__(self, cell: str) -> None:
        self._cell = cell
        self._rows: dict[str, MemberRow] = {}
        self._belief = CellBelief()

    def record_written(self, record: CellRecord) -> None:
        """Log a record that has taken effect, with the members that changed or were removed."""
        rows = _member_rows(record)
        eliot.log_message(
            "pearward:record-written",
            cell=self._cell,
            version=record.version,
            members=len(rows),
            changed=[row for name, row in rows.items() if self._rows.get(name) != row],
            removed=[name for name in self._rows if name not in rows],
        )
        self._rows = rows

    def log_belief(self, belief: CellBelief, version: int) -> None:
        """Log the view of the cell on which a plan was based, if it has changed."""
        before, self._belief = self._belief, belief
        if belief == before:
            return
        eliot.log_message(
            "pearward:cell-view",
            cell=self._cell,
            version=version,
            reporting=len(belief.reporting),
            started_reporting=[n for n in belief.reporting if n not in before.reporting],
            stopped_reporting=[n for n in before.reporting if n not in belief.reporting],
            reported_silent=list(belief.missed),
            lost=list(belief.lost),
            ended=list(belief.ended),
            draining=list(belief.draining),
        )


def _member_rows(record: CellRecord) -> dict[str, MemberRow]:
    """Return the fields that are logged for each member: its state, shards and witnesses."""
    shards = record.shards
    owned = Counter(shards.owners)
    awaited = Counter(index for earlier in shards.predecessors.values() for index in earlier)
    return {
        member.incarnation: {
            "incarnation": member.incarnation,
            "server": member.server,
            "state": member.state.value,
            "stopping": member.stopping,
            "shards": owned[index],
            "unreleased_shards": awaited[index],
            "witnesses": list(member.witnesses),
            "former_witnesses": list(member.former_witnesses),
        }
        for index, member in enumerate(record.members)
    }
