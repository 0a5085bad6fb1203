"""A withdrawal that never reached its worker is forgotten, and the worker gets the same job a second time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

from standins import (  # noqa: E402
    LOCALHOST,
    CaseError,
    Clients,
    Discovery,
    Dispatcher,
    Message,
    Record,
    Worker,
    answer,
    free_port,
    play,
    with_trouble,
)

SEED = 8
ROUNDS = 8
ROUND_S = 7.0
WORKERS = ("b-0", "b-1")
TIMEOUT_MS = 25000
# The first worker that gets a job has it wait in its queue, behind jobs of other dispatchers. The other one
# starts it at once; the first time it ends with an error.
WAITS_S = 15.0
FAILS_AFTER_S = 1.5
RUN_S = 0.5
# New connections to the first worker come up late once the other has started the job.
LATE_FOR_S = 1.0
# Idle connections are closed early, after so many seconds.
IDLE_CLOSED_AFTER_S = 0.2
BACKLOG = 128
FILLERS = 3

SETTINGS = {
    "groupSize": 1,
    "myNumber": 0,
    "dcs": ["a"],
    "kinds": ["k"],
    "membershipMode": "on_request",
    "requestClasses": [
        {"name": "summary", "aim": 6.0, "hardLimit": 25.0, "semantics": "retryable", "importance": 1.0}
    ],
    "familyInfo": {"classStretch": [2.0], "tellsStart": True},
    "policyLimits": {
        "cancel": True,
        "connectTimeout": 0.25,
        "idleClose": 10.0,
        "maxAttempts": 5,
        "maxRetryAfter": 2.0,
        "mayDuplicate": True,
        "peers": False,
        "probes": True,
        "retryAfter": True,
    },
    "rules": {"graceToAnswer": 0.008, "mustAskIn": 10.0, "drainGrace": 0.4},
}


class LateWorker(Worker):
    """A worker that new connections reach late at times, and that closes idle ones early."""

    def __init__(self, name: str, first_workers: dict[str, LateWorker], record: Record) -> None:
        """Create a worker; `first_workers` has the first worker of each job."""
        super().__init__(name, 0, 4, 8, record, SEED)
        self.first_workers = first_workers
        self.duplicates: list[str] = []
        self._accepting: asyncio.Task[None] | None = None
        self._socket = socket.socket()

    async def start(self) -> None:
        """Listen."""
        self._socket.setblocking(False)
        self._socket.bind((LOCALHOST, 0))
        self._socket.listen(BACKLOG)
        self.port = self._socket.getsockname()[1]
        self._accepting = self.spawn(self._accept())

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self._socket)
            reader, writer = await asyncio.open_connection(sock=accepted)
            self.spawn(self.serve(reader, writer))

    async def come_up_late(self) -> None:
        """Let new connections come up late for a while: the queue of those not accepted yet is full."""
        assert self._accepting is not None
        self._accepting.cancel()
        self._socket.listen(0)
        fillers = [socket.socket() for _ in range(FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((LOCALHOST, self.port))
        self.record.write("late_from_now", worker=self.name)
        await asyncio.sleep(LATE_FOR_S)
        for filler in fillers:
            filler.close()
        self._socket.listen(BACKLOG)
        self._accepting = self.spawn(self._accept())
        self.record.write("in_time_from_now", worker=self.name)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection, and close it early once it is idle."""
        with contextlib.suppress(TimeoutError, asyncio.CancelledError):
            async with asyncio.timeout(IDLE_CLOSED_AFTER_S):
                await super().serve(reader, writer)
        writer.close()

    async def take(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Take a job; a second attempt at a job that is here is what must not happen."""
        request_id = request.headers["x-request-id"]
        if request_id in self.open:
            self.duplicates.append(request_id)
            self.record.write("SECOND_ATTEMPT", worker=self.name, id=request_id)
            writer.write(answer(202))  # the job is here
            return
        self.first_workers.setdefault(request_id, self)
        self.accept(request, writer)

    async def run(self, request_id: str, job_class: str) -> None:
        """Run a job: after a wait at its first worker, at once at the other, the first time with an error."""
        first = self.first_workers[request_id]
        try:
            if first is self:
                await asyncio.sleep(WAITS_S)
            self.runs.append(request_id)
            fails = first is not self and self.runs.count(request_id) == 1
            if fails and with_trouble():
                first.spawn(first.come_up_late())
                await asyncio.sleep(0)
            self.record.write("run", worker=self.name, id=request_id, job_class=job_class)
            self.spawn(self.call_back(request_id, "started"))
            await asyncio.sleep(FAILS_AFTER_S if fails else RUN_S)
            if fails:
                self.spawn(self.call_back(request_id, "failed"))
            else:
                self.spawn(self.call_back(request_id, "done", result=f"{request_id} by {self.name}"))
        finally:
            if self.open.get(request_id) is asyncio.current_task():
                del self.open[request_id]


async def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule was broken."""
    first_workers: dict[str, LateWorker] = {}
    workers = [LateWorker(name, first_workers, record) for name in WORKERS]
    for worker in workers:
        await worker.start()
    entries = [worker.entry() for worker in workers]
    discovery = Discovery(entries)
    await discovery.start()
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"{LOCALHOST}:{port}",
        "discovery": f"{LOCALHOST}:{discovery.port}",
        "seed": "8",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": {"version": 1, "full": True, "servers": entries},
    }
    dispatcher = Dispatcher(config, folder)
    clients = Clients(port, record)
    try:
        await dispatcher.start()
        for worker in workers:
            worker.dispatcher_port = port
        for number in range(ROUNDS):
            clients.send(f"summary-{number:05d}", "summary", TIMEOUT_MS)
            await asyncio.sleep(ROUND_S)
        await clients.wait()
        if not dispatcher.running:
            raise CaseError("the dispatcher has ended")
    finally:
        dispatcher.stop()
    return _judge(workers, clients)


def _judge(workers: list[LateWorker], clients: Clients) -> bool:
    """A worker got an attempt at a job that it had, and that had neither ended there nor been given up."""
    duplicates = [request_id for worker in workers for request_id in worker.duplicates]
    answers = Counter(clients.answers.values())
    print(f"jobs {len(clients.answers)}, answers {dict(answers)}")
    print(f"second attempts at a worker that has the first: {len(duplicates)}")
    return bool(duplicates)


if __name__ == "__main__":
    sys.exit(play(HERE, case))
