"""A second copy of a refusal arrives late, where the answer to the same request's resend is due."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.deployment import Deployment, run_case
from standins.http1 import Answer, Request, encode_answer
from standins.server import Server

SERVICE, HOST = "intake", "hulo84.example"
CONFIG = {
    "routes": {
        "form-submit": {
            "host": HOST, "pathPrefix": "/xapu221/ny95/", "kind": "unsafe", "timeoutMs": 1500,
            "targetLatencyMs": 600, "priority": 1, "service": SERVICE, "maxAttempts": 2,
        },
    },
    "services": {
        SERVICE: {"healthPath": "/health", "maxConnections": 110, "enableSharding": True,
                  "warmupS": 5.0, "grants": "heartbeat"},
    },
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}
SHED_SHARE, SHED_S = 0.55, 5.0
"""srv_grey, how = "shed all", x = 0.55; the site file has it for 8.5 s."""
EXTRA_SERVERS, EXTRA_SHARE, EXTRA_S = 0.6, 0.03, 5.0
"""garble, how = "extra late", share = 0.6, x = 0.03, for_s = 5.0: largest dose of the site file."""
LATE_S = (0.04, 0.09)
"""Seconds after a whole answer at which its second copy follows."""
ROUNDS, ROUND_S = 14, 6.0
CLIENTS_PER_MACHINE, PAUSE_S = 2, 0.08
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Faulty(Server):
    """A server that sheds part of its requests, and sends some answers twice."""

    shed_until = extra_until = 0.0

    async def exchange(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        now = time.monotonic()
        named = request.headers.get("request-id", "")
        answer = self.refusal(request)
        if answer is None and now < self.shed_until and random.random() < SHED_SHARE:
            answer = Answer(503, {"Request-Id": named, "Not-Executed": "1"})
            self._record("shed", server=self.id, request=named)
        if answer is None:
            answer = await self.run(request)
        writer.write(encode_answer(answer))
        if time.monotonic() < self.extra_until and random.random() < EXTRA_SHARE:
            asyncio.get_running_loop().call_later(
                random.uniform(*LATE_S), self._send_again, named, answer, writer
            )

    def _send_again(self, named: str, answer: Answer, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            self._record("second_copy", server=self.id, request=named, status=answer.status)
            writer.write(encode_answer(answer))


async def client(deployment: Deployment, machine, until: float) -> None:
    """Send unsafe requests; each attempt has an id of its own."""
    while time.monotonic() < until:
        key = random.randrange(65_536)
        await deployment.request(machine, "POST", "/xapu221/ny95/2f", HOST, 3000, key,
                                 body=b"form" * 50)
        await asyncio.sleep(random.uniform(0.5, 1.5) * PAUSE_S)


def breaches(deployment: Deployment) -> list[str]:
    """Return the requests that ran twice, or that were refused although they ran."""
    runs: dict[str, int] = {}
    for _, row in deployment.record.of("run"):
        runs[row["request"]] = runs.get(row["request"], 0) + 1
    found = [f"TWICE: request {named} ran {count} times" for named, count in runs.items()
             if count > 1]
    for _, row in deployment.record.of("answered"):
        if row["status"] in NOT_RUN_STATUSES and runs.get(row["request"]):
            found.append(f"REFUSED: request {row['request']} was answered with {row['status']} "
                         f"and ran {runs[row['request']]} time(s)")
    return found


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    machines = [deployment.add_machine(SERVICE, zone) for zone in ("bog-a", "bog-b", "bog-c", "bog-a", "bog-b")]
    await deployment.start_store(CONFIG)
    await deployment.start_daemons()
    servers = []
    for machine in machines:
        machine.server = Faulty(
            machine.service, machine.at("application"), machine.at("control"), machine.zone,
            deployment.record, keyed=True, work_s=lambda request: random.uniform(0.06, 0.18),
        )
        await machine.server.start()
        servers.append(machine.server)

    async def all_hold() -> bool:
        return all(server.held for server in servers)

    await deployment.wait("all servers to hold keys", all_hold, 15.0)
    await asyncio.sleep(2.0)
    until = time.monotonic() + ROUNDS * ROUND_S
    clients = [
        asyncio.get_running_loop().create_task(client(deployment, machine, until))
        for machine in machines for _ in range(CLIENTS_PER_MACHINE)
    ]
    faulty = servers[: int(len(servers) * EXTRA_SERVERS)]
    for _ in range(ROUNDS):
        if trouble:
            now = time.monotonic()
            deployment.record("disruption", shed_s=SHED_S, extra_s=EXTRA_S)
            for server in servers:
                server.shed_until = now + SHED_S
            for server in faulty:
                server.extra_until = now + EXTRA_S
        await asyncio.sleep(ROUND_S)
    await asyncio.gather(*clients)
    await asyncio.sleep(1.0)
    counts = {what: len(deployment.record.of(what))
              for what in ("sent", "run", "shed", "second_copy", "answered", "unanswered")}
    deployment.record("counts", **counts)
    return breaches(deployment)


run_case(Path(__file__).resolve().parent, case)
