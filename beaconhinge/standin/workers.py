"""Script boxes on real sockets: slots and a queue, starts and progress told, results by call-back."""

from __future__ import annotations

import asyncio
import enum
import json
import random
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from ..net import http1
from ..net.http1 import BadMessage, Closed, Message
from .http import Caller, Server

CALLBACK_ATTEMPTS = 10  # times that a call-back is tried
PROGRESS_INTERVAL_S = 1.0  # seconds between reports of a running job


class DeduplicationGroup:
    """Boxes that share what keys they have seen: a repeat within `window` seconds is dropped unsaid."""

    def __init__(self, window: float) -> None:
        self.window = window
        self._seen: dict[str, float] = {}

    def is_duplicate(self, key: str, now: float) -> bool:
        seen = self._seen.get(key)
        if seen is not None and now - seen < self.window:
            return True
        self._seen[key] = now
        return False


class WorkerFault(enum.Enum):
    """How a worker treats the jobs that come."""

    HANG = "hang"  # it reads them and says nothing
    RESET = "reset"  # it reads them and closes the connection
    REJECT = "full"  # it turns each away
    DUPLICATE = "twice"  # it answers each twice


@dataclass(frozen=True, slots=True)
class ReceivedDeadline:
    """What an attempt says of its time. Seconds, by the stand-ins' clock."""

    request: str
    came_at: float
    time_left: float


class FakeWorker:
    """One worker. `means` gives each class's mean run time in seconds; runs are drawn from the seed."""

    def __init__(
        self,
        name: str,
        dispatcher: int,
        mean_run_s: Mapping[str, float],
        slots: int = 4,
        queue: int = 4,
        seed: int = 0,
        deduplication_group: DeduplicationGroup | None = None,
    ) -> None:
        self.name = name
        self.means = mean_run_s
        self.slots = slots
        self.queue = queue
        self.random = random.Random(f"{seed}/{name}")
        self.rack = deduplication_group
        self.servers: list[Server] = []  # its addresses, one for each dispatcher
        self.callers: list[Caller] = []
        self.server = self.add_address(dispatcher)
        self.jobs: dict[tuple[int, str], asyncio.Task[None]] = {}  # by port of the dispatcher, and request
        self.runs: Counter[str] = Counter()  # by idempotency key, or by request where it has none
        self.counters: Counter[str] = Counter()
        self.arrivals: list[tuple[float, int]] = []  # when each job came, and the port of its dispatcher
        self.deadlines: list[ReceivedDeadline] = []  # that it was given
        self._free_slots = asyncio.Semaphore(slots)
        self.fault: WorkerFault | None = None
        self.fault_hits = 0  # jobs that met it

    def add_address(self, dispatcher: int) -> Server:
        """Another address of it. Who sends a job there is told of it at that port."""
        back = Caller(dispatcher)
        self.callers.append(back)
        self.servers.append(Server(partial(self._answer, back)))
        return self.servers[-1]

    def close(self) -> None:
        for caller in self.callers:
            caller.close()

    def entry(self, zone: str, kind: str, cell: int) -> dict[str, object]:
        """This box as discovery lists it."""
        return {
            "id": self.name,
            "addr": self.server.address,
            "zone": zone,
            "kind": kind,
            "cell": cell,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _answer(self, back: Caller, message: Message) -> bytes | None:
        path = message.target.decode("latin-1").split("?")[0]
        if message.method == "GET":
            return http1.response(200 if path == "/alive" else 404)
        if message.method == "DELETE":
            task = self.jobs.pop((back.port, path.rpartition("/")[2]), None)
            if task is not None:
                task.cancel()
                self.counters["withdrawn"] += 1
            return http1.response(204)
        number = message.headers.get("x-request-id", "")
        if not number:
            return http1.response(404)
        time_left = int(message.headers.get("x-timeout-ms", "0")) / 1000
        self.deadlines.append(ReceivedDeadline(number, time.monotonic(), time_left))
        if self.fault is not None:
            self.fault_hits += 1
        if self.fault in (WorkerFault.HANG, WorkerFault.RESET):
            self.arrivals.append((time.monotonic(), back.port))
            if self.fault is WorkerFault.HANG:
                await asyncio.Event().wait()
            return None
        full = self.fault is WorkerFault.REJECT or len(self.jobs) >= self.slots + self.queue
        if full or (back.port, number) in self.jobs:
            self.counters["turned_away"] += 1
            return http1.response(503, headers={"X-Not-Processed": "1"})
        self.counters["taken"] += 1
        self.arrivals.append((time.monotonic(), back.port))
        key = message.headers.get("idempotency-key", "")
        if key and self.rack is not None and self.rack.is_duplicate(key, asyncio.get_running_loop().time()):
            self.counters["dropped"] += 1
            return http1.response(202)
        cls = path.strip("/").partition("/")[0]
        self.jobs[back.port, number] = self.server.spawn(self._run(back, number, key or number, cls))
        return http1.response(202) * (2 if self.fault is WorkerFault.DUPLICATE else 1)

    async def _run(self, back: Caller, number: str, key: str, cls: str) -> None:
        length = self.random.expovariate(1 / self.means.get(cls, 0.1))
        try:
            async with self._free_slots:
                self.runs[key] += 1
                await self._notify(back, number, "started")
                done = 0.0
                while length - done > PROGRESS_INTERVAL_S:
                    await asyncio.sleep(PROGRESS_INTERVAL_S)
                    done += PROGRESS_INTERVAL_S
                    await self._notify(back, number, "running", share=done / length)
                await asyncio.sleep(length - done)
            self.counters["done"] += 1
            await self._notify(back, number, "done", result=f"{cls} by {self.name}")
        finally:
            self.jobs.pop((back.port, number), None)

    async def _notify(self, back: Caller, number: str, state: str, **more: object) -> None:
        body = json.dumps({"id": number, "from": self.name, "state": state, **more}).encode()
        head = {"Host": "dispatcher", "Content-Length": str(len(body))}
        for _ in range(CALLBACK_ATTEMPTS):
            try:
                answer = await back.call(http1.request("POST", b"/_jobs/news", head, body))
                if answer.status in (200, 204):
                    return
            except (OSError, Closed, BadMessage):
                await asyncio.sleep(0.1)
        self.counters["untold"] += 1
