"""Workers on real sockets: slots and a queue, notices of start and progress, results by call-back."""

from __future__ import annotations

import asyncio
import enum
import json
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from ..net import http1
from ..net.http1 import BadMessage, Closed, Message
from .http import Caller, Server

# Times that a call-back is tried, and seconds between two.
CALLBACK_ATTEMPTS = 10
CALLBACK_RETRY_S = 0.1
# Seconds between reports of a running job.
PROGRESS_INTERVAL_S = 1.0
# Mean run time of a class that none is given for.
DEFAULT_RUN_S = 0.1


class DeduplicationGroup:
    """Workers that share what keys they have seen: a repeat within the window is dropped silently."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._seen: dict[str, float] = {}

    def is_duplicate(self, key: str, now: float) -> bool:
        """Whether the key was seen within the window; if not, it is remembered."""
        seen = self._seen.get(key)
        if seen is not None and now - seen < self.window_s:
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
    """One worker.

    `mean_run_s` gives each class's mean run time in seconds; runs are drawn from the seed.
    """

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
        self.mean_run_s = mean_run_s
        self.slots = slots
        self.queue = queue
        self.random = random.Random(f"{seed}/{name}")
        self.deduplication_group = deduplication_group
        # One for each dispatcher.
        self.servers: list[Server] = []
        self.callers: list[Caller] = []
        self.server = self.add_address(dispatcher)
        # Those queued or running, by port of the dispatcher, and request.
        self.jobs: dict[tuple[int, str], asyncio.Task[None]] = {}
        # By idempotency key, or by request where a job has none.
        self.runs: Counter[str] = Counter()
        self.counters: Counter[str] = Counter()
        # When each job came, and the port of its dispatcher.
        self.arrivals: list[tuple[float, int]] = []
        self.deadlines: list[ReceivedDeadline] = []
        self._free_slots = asyncio.Semaphore(slots)
        self.fault: WorkerFault | None = None
        self.fault_hits = 0

    def add_address(self, dispatcher: int) -> Server:
        """Add an address, and return its server. Who sends a job there is notified at that port."""
        back = Caller(dispatcher)
        self.callers.append(back)
        self.servers.append(Server(partial(self._answer, back)))
        return self.servers[-1]

    def close(self) -> None:
        """Close the connections for call-backs."""
        for caller in self.callers:
            caller.close()

    def entry(self, zone: str, kind: str, cell: int) -> dict[str, object]:
        """Return this worker as discovery lists it."""
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
        self.deadlines.append(ReceivedDeadline(number, message.arrived_at, time_left))
        if self.fault is not None:
            self.fault_hits += 1
        if self.fault in (WorkerFault.HANG, WorkerFault.RESET):
            self.arrivals.append((message.arrived_at, back.port))
            if self.fault is WorkerFault.HANG:
                await asyncio.Event().wait()
            return None
        full = self.fault is WorkerFault.REJECT or len(self.jobs) >= self.slots + self.queue
        if full or (back.port, number) in self.jobs:
            self.counters["turned_away"] += 1
            return http1.response(503, headers={"X-Not-Processed": "1"})
        self.counters["taken"] += 1
        self.arrivals.append((message.arrived_at, back.port))
        key = message.headers.get("idempotency-key", "")
        now, group = asyncio.get_running_loop().time(), self.deduplication_group
        if key and group is not None and group.is_duplicate(key, now):
            self.counters["dropped"] += 1
            return http1.response(202)
        job_class = path.strip("/").partition("/")[0]
        self.jobs[back.port, number] = self.server.spawn(self._run(back, number, key or number, job_class))
        return http1.response(202) * (2 if self.fault is WorkerFault.DUPLICATE else 1)

    async def _run(self, back: Caller, number: str, key: str, job_class: str) -> None:
        length = self.random.expovariate(1 / self.mean_run_s.get(job_class, DEFAULT_RUN_S))
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
            await self._notify(back, number, "done", result=f"{job_class} by {self.name}")
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
                await asyncio.sleep(CALLBACK_RETRY_S)
        self.counters["untold"] += 1
