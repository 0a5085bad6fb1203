"""Stand-in workers on real sockets, with slots and a queue. They report start, progress and result."""

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

# Most attempts at one call-back.
CALLBACK_ATTEMPTS = 10
# Seconds from a failed call-back to its retry.
CALLBACK_RETRY_S = 0.1
# Seconds between progress reports of a running job.
PROGRESS_INTERVAL_S = 1.0
# Mean run time in seconds of a class that `mean_run_s` lacks.
DEFAULT_RUN_S = 0.1
# Seconds from the start of a job to the report that it is lost.
LOST_AFTER_S = 1.0


class DeduplicationGroup:
    """The keys that a group of workers has seen. A duplicate in the window is accepted, but never run."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._seen: dict[str, float] = {}

    def is_duplicate(self, key: str, now: float) -> bool:
        """Return whether the key was seen within the window. If not, record it as seen now."""
        seen_at = self._seen.get(key)
        if seen_at is not None and now - seen_at < self.window_s:
            return True
        self._seen[key] = now
        return False


class WorkerFault(enum.Enum):
    """How a worker treats the jobs that it receives."""

    HANG = "hang"  # reads them and never answers
    RESET = "reset"  # reads them and closes the connection
    REJECT = "full"  # rejects each with 503
    DUPLICATE = "twice"  # answers each twice


class LostMessage(enum.Enum):
    """Which messages between a worker and the dispatchers get lost."""

    WITHDRAWAL = "withdrawals"  # the connection is closed, and the job goes on
    CALLBACK_ANSWER = "answers to call-backs"  # each call-back is repeated as often as a worker may


@dataclass(frozen=True, slots=True)
class ReceivedDeadline:
    """The time that an attempt gave a worker. Times are seconds by the stand-ins' clock.

    Attributes:
        request_id: Id of the request.
        received_at: When the worker received the attempt.
        time_left_s: Seconds left to the attempt's deadline by its header X-Timeout-Ms.
    """

    request_id: str
    received_at: float
    time_left_s: float


class FakeWorker:
    """One worker.

    `mean_run_s` gives the mean run time in seconds by class. Run times are drawn from it and the seed.
    `lost_share` is the share of the jobs with a key that are started and then reported as lost,
    `returned_share` that of their attempts that are handed back unstarted.
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
        lost_share: float = 0.0,
        returned_share: float = 0.0,
    ) -> None:
        self.name = name
        self.mean_run_s = mean_run_s
        self.slots = slots
        self.queue = queue
        self.random = random.Random(f"{seed}/{name}")
        self.deduplication_group = deduplication_group
        self.lost_share = lost_share
        self.returned_share = returned_share
        # Servers and callers, one of each for each dispatcher.
        self.servers: list[Server] = []
        self.callers: list[Caller] = []
        self.server = self.add_address(dispatcher)
        # Jobs that are queued or running, by port of the dispatcher and request id.
        self.jobs: dict[tuple[int, str], asyncio.Task[None]] = {}
        # Number of runs of each job, by idempotency key, or by request id if it has none.
        self.runs: Counter[str] = Counter()
        self.counters: Counter[str] = Counter()
        # When each job was received, and the port of its dispatcher.
        self.arrivals: list[tuple[float, int]] = []
        self.deadlines: list[ReceivedDeadline] = []
        self._free_slots = asyncio.Semaphore(slots)
        self.fault: WorkerFault | None = None
        self.fault_hits = 0
        self.lost_message: LostMessage | None = None
        self.lost_messages = 0
        # Ids of the requests of which another attempt arrived while the worker had the job of an earlier one.
        self.second_attempts: list[str] = []

    def add_address(self, dispatcher: int) -> Server:
        """Add an address for one dispatcher, and return its server.

        Call-backs on jobs received there are sent to the dispatcher's port `dispatcher`.
        """
        callback_caller = Caller(dispatcher)
        self.callers.append(callback_caller)
        self.servers.append(Server(partial(self._answer, callback_caller)))
        return self.servers[-1]

    def close(self) -> None:
        """Close the connections for call-backs."""
        for caller in self.callers:
            caller.close()

    def entry(self, zone: str, kind: str, cell: int) -> dict[str, object]:
        """Return this worker's entry in discovery's list."""
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

    async def _answer(self, callback_caller: Caller, message: Message) -> bytes | None:
        path = message.target.decode("latin-1").split("?")[0]
        if message.method == "GET":
            return http1.response(200 if path == "/alive" else 404)
        if message.method == "DELETE":
            return self._withdraw(callback_caller, path.rpartition("/")[2])
        return await self._take(callback_caller, message, path)

    def _withdraw(self, callback_caller: Caller, request_id: str) -> bytes | None:
        """Drop a job that the dispatcher has given up."""
        if self.lost_message is LostMessage.WITHDRAWAL:
            self.lost_messages += 1
            return None
        task = self.jobs.pop((callback_caller.port, request_id), None)
        if task is not None:
            task.cancel()
            self.counters["withdrawn"] += 1
        return http1.response(204)

    async def _take(self, callback_caller: Caller, message: Message, path: str) -> bytes | None:
        """Take a job or turn it away; returns the answer, or None to close the connection."""
        request_id = message.headers.get("x-request-id", "")
        if not request_id:
            return http1.response(404)
        time_left_s = int(message.headers.get("x-timeout-ms", "0")) / 1000
        self.deadlines.append(ReceivedDeadline(request_id, message.arrived_at, time_left_s))
        if self.fault is not None:
            self.fault_hits += 1
        if self.fault in (WorkerFault.HANG, WorkerFault.RESET):
            self.arrivals.append((message.arrived_at, callback_caller.port))
            if self.fault is WorkerFault.HANG:
                await asyncio.Event().wait()
            return None
        if (callback_caller.port, request_id) in self.jobs:
            self.second_attempts.append(request_id)
        is_full = self.fault is WorkerFault.REJECT or len(self.jobs) >= self.slots + self.queue
        if is_full or (callback_caller.port, request_id) in self.jobs:
            self.counters["turned_away"] += 1
            return http1.response(503, headers={"X-Not-Processed": "1"})
        self.counters["taken"] += 1
        self.arrivals.append((message.arrived_at, callback_caller.port))
        key = message.headers.get("idempotency-key", "")
        if key and self.returned_share and self.random.random() < self.returned_share:
            self.server.spawn(self._notify(callback_caller, request_id, "returned"))
            return http1.response(202)
        now, group = asyncio.get_running_loop().time(), self.deduplication_group
        if key and group is not None and group.is_duplicate(key, now):
            self.counters["dropped"] += 1
            return http1.response(202)
        if key and self.lost_share and self.random.random() < self.lost_share:
            self.jobs[callback_caller.port, request_id] = self.server.spawn(
                self._lose(callback_caller, request_id, key)
            )
            return http1.response(202)
        job_class = path.strip("/").partition("/")[0]
        self.jobs[callback_caller.port, request_id] = self.server.spawn(
            self._run(callback_caller, request_id, key or request_id, job_class)
        )
        return http1.response(202) * (2 if self.fault is WorkerFault.DUPLICATE else 1)

    async def _run(self, callback_caller: Caller, request_id: str, key: str, job_class: str) -> None:
        run_s = self.random.expovariate(1 / self.mean_run_s.get(job_class, DEFAULT_RUN_S))
        try:
            async with self._free_slots:
                self.runs[key] += 1
                await self._notify(callback_caller, request_id, "started")
                done_s = 0.0
                while run_s - done_s > PROGRESS_INTERVAL_S:
                    await asyncio.sleep(PROGRESS_INTERVAL_S)
                    done_s += PROGRESS_INTERVAL_S
                    await self._notify(callback_caller, request_id, "running", share=done_s / run_s)
                await asyncio.sleep(run_s - done_s)
            self.counters["done"] += 1
            await self._notify(callback_caller, request_id, "done", result=f"{job_class} by {self.name}")
        finally:
            self.jobs.pop((callback_caller.port, request_id), None)

    async def _lose(self, callback_caller: Caller, request_id: str, key: str) -> None:
        """Start a job and report it as lost: it has had its effect, and has no result."""
        self.runs[key] += 1
        try:
            await self._notify(callback_caller, request_id, "started")
            await asyncio.sleep(LOST_AFTER_S)
            await self._notify(callback_caller, request_id, "lost")
        finally:
            self.jobs.pop((callback_caller.port, request_id), None)

    async def _notify(self, callback_caller: Caller, request_id: str, state: str, **fields: object) -> None:
        body = json.dumps({"id": request_id, "from": self.name, "state": state, **fields}).encode()
        headers = {"Host": "dispatcher", "Content-Length": str(len(body))}
        for _ in range(CALLBACK_ATTEMPTS):
            try:
                answer = await callback_caller.call(http1.request("POST", b"/_jobs/news", headers, body))
                if answer.status in (200, 204):
                    if self.lost_message is not LostMessage.CALLBACK_ANSWER:
                        return
                    self.lost_messages += 1
                    await asyncio.sleep(CALLBACK_RETRY_S)
            except (OSError, Closed, BadMessage):
                await asyncio.sleep(CALLBACK_RETRY_S)
        self.counters["untold"] += 1
