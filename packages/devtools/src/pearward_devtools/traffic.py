"""Mixed traffic of many blocking callers; all responses are recorded for the checks."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from .caller import Caller, CheckedResponse

__all__ = ["Flow", "Sent", "Traffic"]


@dataclass(frozen=True)
class Flow:
    """One kind of request and the number of workers that send it."""

    service: str
    workers: int
    keys: int = 0
    """Keys to choose from; 0 for a pooled service."""
    method: str = "GET"
    path: str = "/work?work_ms=2"
    body_bytes: int = 0
    response_bytes: int = 0
    request_class: str = "interactive"
    pause_s: float = 0.01
    deadline_ms: int = 20_000


@dataclass(frozen=True)
class Sent:
    """One request with its response."""

    flow: Flow
    key: str
    request_id: str
    started_at: float
    took_s: float
    answer: CheckedResponse | None
    """The response, or None if the connection failed without one."""


class Traffic:
    """Run the workers of some flows against some addresses."""

    def __init__(
        self, flows: list[Flow], addresses: Callable[[], list[str]], seed: int = 1
    ) -> None:
        self._flows = flows
        self._addresses = addresses
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self.sent: list[Sent] = []

    def start(self) -> None:
        """Start all workers."""
        for flow in self._flows:
            for number in range(flow.workers):
                rng = random.Random(f"{self._seed}:{flow.service}:{number}")
                thread = threading.Thread(target=self._work, args=(flow, rng), daemon=True)
                self._threads.append(thread)
                thread.start()

    def stop(self) -> list[Sent]:
        """Stop after the workers' current requests; return all requests that were sent."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.sent

    def _work(self, flow: Flow, rng: random.Random) -> None:
        caller = Caller(flow.deadline_ms / 1000 + 40)
        while not self._stop.is_set():
            sent = self._send_request(flow, caller, rng)
            with self._lock:
                self.sent.append(sent)
            time.sleep(flow.pause_s * rng.random() * 2)

    def _send_request(self, flow: Flow, caller: Caller, rng: random.Random) -> Sent:
        key = f"key-{rng.randrange(flow.keys)}" if flow.keys else ""
        request_id = caller.new_id()
        body = rng.randbytes(flow.body_bytes) if flow.body_bytes else None
        path = flow.path
        if flow.response_bytes:
            path += ("&" if "?" in path else "?") + f"bytes={flow.response_bytes}"
        started_at = time.time()
        try:
            answer = caller.call(
                rng.choice(self._addresses()), flow.service, key, method=flow.method, path=path,
                body=body, request_id=request_id, expect_bytes=flow.response_bytes,
                headers={
                    "Pearward-Class": flow.request_class,
                    "Pearward-Deadline-Ms": str(flow.deadline_ms),
                },
            )  # fmt: skip
        except OSError:
            answer = None
        return Sent(flow, key, request_id, started_at, time.time() - started_at, answer)
