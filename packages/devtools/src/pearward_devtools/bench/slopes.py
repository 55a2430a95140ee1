"""Cost of the control protocol per daemon, by number of servers and shards.

The protocol cores of many daemons run in one process on a virtual clock, and every message
passes the real codec. Processor time is that of the process per virtual second.
"""

import gc
import time
from collections import deque

import psutil

from pearward_coordination.agent import Action, CellAgent, GrantServer, Send
from pearward_coordination.assignment import Joiner
from pearward_coordination.coordinator import Coordinator
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import ControlMessage, Heartbeat, PeerId, Push
from pearward_protocol.control import decode_control, encode_control
from pearward_protocol.frames import HEADER_SIZE
from pearward_state.records import CellRecord
from pearward_state.table import ServiceTable

from .report import emit

__all__ = ["measure_cell", "run"]

TICK_S = 0.025
CELL = "premview"
DOMAINS = 21
VIRTUAL_S = 4.0
SIZES = ((4, 64), (16, 64), (64, 64), (128, 64), (128, 16))


class _Cell:
    """The protocol cores of all daemons of one cell."""

    def __init__(self, servers: int, shards: int) -> None:
        rows = {
            "service": {"kind": "keyed", "policy": "quick", "shards_per_server": shards},
            "servers": {f"s{i}": {} for i in range(servers)},
        }
        self._table = ServiceTable.from_mapping(CELL, rows)
        self._timing = LeaseTiming()
        self.now = 1000.0
        self._agents: dict[str, CellAgent] = {}
        self._ids: dict[str, PeerId] = {}
        self._queue: deque[tuple[PeerId, str, bytes]] = deque()
        self.bytes = self.messages = 0
        for i in range(servers):
            address = f"10.0.{i // 250}.{i % 250}:7401"
            peer_id = PeerId(f"{i:016x}", address)
            joiner = Joiner(
                peer_id.incarnation, f"i{i}", f"s{i}", f"d{i % DOMAINS}", address, address
            )
            agent = CellAgent(peer_id, joiner, CELL, self._timing)
            self._agents[address] = agent
            self._ids[address] = peer_id
        self._coordinator_address = next(iter(self._agents))
        self._coordinator = Coordinator(CELL, self._timing, self.now)
        self.record = CellRecord(CELL, CELL)
        self.coordinator_s = 0.0
        for peer in self._ids.values():
            self._coordinator.peer_seen(peer)
        for agent in self._agents.values():
            agent.set_coordinator(self._coordinator_address)

    def run(self, seconds: float) -> None:
        """Advance the virtual clock by *seconds*."""
        for _ in range(int(seconds / TICK_S)):
            self.now += TICK_S
            for address, agent in self._agents.items():
                self._execute(address, agent.tick(self.now))
            self._deliver()
            self._plan()
            self._deliver()

    def remove(self, address: str) -> None:
        """Remove one daemon, as if it had been killed."""
        del self._agents[address]

    @property
    def addresses(self) -> list[str]:
        """Addresses of the running daemons, the coordinator's first."""
        return list(self._agents)

    def _plan(self) -> None:
        started_s = time.process_time()
        planned = self._coordinator.plan(self.record, self._table, f"w{self.now}", self.now)
        self.coordinator_s += time.process_time() - started_s
        if planned is None:
            return
        self.record = planned
        value = planned.to_bytes()
        coordinator_agent = self._agents[self._coordinator_address]
        self._execute(self._coordinator_address, coordinator_agent.adopt(planned, value, self.now))
        push = Push(f"cell/{CELL}", planned.version, value)
        for address in self._agents:
            if address != self._coordinator_address:
                self._send(self._coordinator_address, address, push)

    def _execute(self, address: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(address, action.address, action.message)
            elif isinstance(action, GrantServer):
                agent = self._agents[address]
                self._execute(address, agent.server_granted(action, True, self.now))

    def _send(self, source: str, target: str, message: ControlMessage) -> None:
        payload = encode_control(message)
        if source != target:
            self.bytes += len(payload) + HEADER_SIZE
            self.messages += 1
        self._queue.append((self._ids[source], target, payload))

    def _deliver(self) -> None:
        while self._queue:
            sender, target, payload = self._queue.popleft()
            agent = self._agents.get(target)
            if agent is None:
                continue
            message = decode_control(payload)
            if isinstance(message, Heartbeat):
                started_s = time.process_time()
                reply = self._coordinator.on_heartbeat(
                    sender, message, self.record.version, self.now
                )
                self.coordinator_s += time.process_time() - started_s
                self._send(target, sender.address, reply)
            elif isinstance(message, Push):
                record = CellRecord.from_bytes(message.value)
                self._execute(target, agent.adopt(record, message.value, self.now))
            else:
                self._execute(target, agent.receive(sender, message, self.now))


def measure_cell(servers: int, shards: int) -> None:
    """Measure a cell with *servers* servers and *shards* shards per server, and print it."""
    gc.collect()
    rss = psutil.Process().memory_info().rss
    cell = _Cell(servers, shards)
    cell.run(3.0)
    rss_growth = psutil.Process().memory_info().rss - rss
    cell.bytes = cell.messages = 0
    cell.coordinator_s = 0.0
    started_s = time.process_time()
    cell.run(VIRTUAL_S)
    cpu = time.process_time() - started_s - cell.coordinator_s
    name = f"{servers}x{shards}"
    emit(f"control_cpu_percent_{name}", cpu / servers / VIRTUAL_S * 100, "% of a core", 2.9)
    emit(f"control_bytes_per_s_{name}", cell.bytes / servers / VIRTUAL_S, "B/s", 23_000)
    emit(f"control_messages_per_s_{name}", cell.messages / servers / VIRTUAL_S, "1/s")
    emit(f"coordinator_cpu_percent_{name}", cell.coordinator_s / VIRTUAL_S * 100, "% of a core")
    emit(f"record_bytes_{name}", len(cell.record.to_bytes()), "bytes", 1_000_000)
    emit(f"core_kb_per_daemon_{name}", rss_growth / servers / 1024, "KB")
    before, cell.bytes = cell.record.version, 0
    cell.remove(cell.addresses[-1])
    started_s = time.process_time()
    cell.run(2.0)
    emit(f"loss_record_writes_{name}", cell.record.version - before, "writes")
    emit(f"loss_bytes_per_daemon_{name}", cell.bytes / servers, "bytes")
    emit(f"loss_cpu_ms_per_daemon_{name}", (time.process_time() - started_s) / servers * 1000, "ms")


def run() -> None:
    """Run all measurements of this group."""
    for servers, shards in SIZES:
        measure_cell(servers, shards)
