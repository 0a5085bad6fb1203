"""A repeated call-back ends a later attempt at the same worker, and a keyed job runs in two racks."""

from __future__ import annotations

import asyncio
import contextlib
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
    Headers,
    Message,
    Record,
    Worker,
    free_port,
    play,
    read_message,
    with_trouble,
)

SEED = 7
SECONDS = 24.0
# Answers to call-backs get lost from this second on, for so long, and so many of them.
LOST_FROM_S = 8.0
LOST_FOR_S = 6.0
LOST_SHARE = 0.7
# Two workers, each in a rack (cell) of its own.
CELLS = (0, 1)
SLOTS = 8
QUEUE = 4
JOBS_PER_S = 4.0
RUN_S = 2.0
TIMEOUT_MS = 25000
# In the seconds of the trouble, this share of the jobs is handed back unstarted by the first worker that gets
# it, and turned away by the next; whoever gets it then runs it. So it is without the trouble, too.
UNLUCKY_SHARE = 0.6
HANDED_BACK_AFTER_S = 0.03
FIRST_ATTEMPT = 1
SECOND_ATTEMPT = 2

SETTINGS = {
    "groupSize": 1,
    "myNumber": 0,
    "dcs": ["a"],
    "kinds": ["k"],
    "membershipMode": "on_request",
    "requestClasses": [
        {
            "name": "run-close",
            "aim": 4.0,
            "hardLimit": 25.0,
            "semantics": "dedup",
            "group": "cell",
            "dedupWindow": 40.0,
            "importance": 5.0,
        }
    ],
    "familyInfo": {"classStretch": [2.0], "tellsStart": True, "reportX0": "free_slots"},
    "report": {"names": ["depth", "x0"], "source": "answers"},
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


class Link:
    """What lies between dispatcher and workers: while it is broken, answers to call-backs get lost."""

    broken = False
    busy = False  # whether workers hand jobs back
    lost = 0

    def __init__(self) -> None:
        """Begin without jobs."""
        self.known: set[str] = set()
        self.attempts: Counter[str] = Counter()  # that workers got, of the unlucky jobs


class RackWorker(Worker):
    """A worker that turns some jobs away and hands others back; its rack drops a repeat of a key."""

    def __init__(self, name: str, cell: int, link: Link, seen: dict[str, float], record: Record) -> None:
        """Create a worker; `seen` has the keys that its rack has run."""
        super().__init__(name, cell, SLOTS, QUEUE, record, SEED)
        self.link = link
        self.seen = seen
        self.run_s = lambda _job_class: self.random.expovariate(1 / RUN_S)

    def load_header(self) -> Headers:
        """Return the load report of an answer."""
        waiting, free = max(0, len(self.open) - self.slots), max(0, self.slots - len(self.open))
        return {"X-Server-Load": f"depth={waiting},x0={free}"}

    async def take(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Turn a job away, hand it back, or run it."""
        request_id, attempts = request.headers["x-request-id"], self.link.attempts
        if request_id not in self.link.known:
            self.link.known.add(request_id)
            attempts[request_id] = int(self.link.busy and self.random.random() < UNLUCKY_SHARE)
        elif attempts[request_id]:
            attempts[request_id] += 1
        if attempts[request_id] == SECOND_ATTEMPT or self.full:
            self.turn_away(request_id, writer)
            return
        self.accept(request, writer)

    async def run(self, request_id: str, job_class: str) -> None:
        """Hand a job back unstarted, drop a repeat, or run it."""
        if self.link.attempts[request_id] == FIRST_ATTEMPT:
            await asyncio.sleep(HANDED_BACK_AFTER_S)
            self.open.pop(request_id, None)
            self.record.write("handed_back", worker=self.name, id=request_id)
            self.spawn(
                self.call_back(request_id, "returned", load={"depth": 0, "x0": self.slots - len(self.open)})
            )
            return
        if request_id in self.seen:
            self.record.write("dropped", worker=self.name, id=request_id)
            return
        self.seen[request_id] = 0.0
        await super().run(request_id, job_class)

    async def exchange(self, data: bytes) -> int:
        """Send a call; while the link is broken its answer may get lost, and the connection is reset."""
        lost = self.link.broken and self.random.random() < LOST_SHARE
        if not lost:
            return await super().exchange(data)
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(LOCALHOST, self.dispatcher_port)
            writer.write(data)
            await read_message(reader)
            self.link.lost += 1
            self.record.write("answer_lost", worker=self.name)
            writer.transport.abort()
        return 0


async def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule was broken."""
    link, seen = Link(), {cell: {} for cell in CELLS}
    workers = [RackWorker(f"b-{n}", cell, link, seen[cell], record) for n, cell in enumerate(CELLS)]
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
        "seed": "7",
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
        await asyncio.gather(_hand_in_jobs(clients, workers[0]), _break_link(link, record))
        await clients.wait()
        if not dispatcher.running:
            raise CaseError("the dispatcher has ended")
    finally:
        dispatcher.stop()
    return _judge(record, workers, clients, link)


async def _break_link(link: Link, record: Record) -> None:
    await asyncio.sleep(LOST_FROM_S)
    link.broken, link.busy = with_trouble(), True
    record.write("trouble", begins=link.broken)
    await asyncio.sleep(LOST_FOR_S)
    link.broken = link.busy = False
    record.write("trouble", begins=link.broken)


async def _hand_in_jobs(clients: Clients, worker: Worker) -> None:
    loop, draw = asyncio.get_running_loop(), worker.random
    due = began_at = loop.time()
    number = 0
    while (due := due + draw.expovariate(JOBS_PER_S)) < began_at + SECONDS:
        await asyncio.sleep(max(0.0, due - loop.time()))
        name = f"close-{number:05d}"
        clients.send(name, "run-close", TIMEOUT_MS, key=name)
        number += 1


def _judge(record: Record, workers: list[RackWorker], clients: Clients, link: Link) -> bool:
    """A keyed job ran in two racks, or was refused though a worker has run it."""
    runs = Counter(run for worker in workers for run in worker.runs)
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    refused = sorted(r for r, status in clients.answers.items() if status in (429, 503) and r in runs)
    for request_id in twice:
        where = ",".join(f"{w.name}/{w.cell}" for w in workers if request_id in w.runs)
        record.write("RAN_TWICE", id=request_id, workers=where)
    for request_id in refused:
        record.write("REFUSED_THOUGH_RUN", id=request_id)
    answers = Counter(clients.answers.values())
    print(f"jobs {len(clients.answers)}, answers {dict(answers)}, answers lost {link.lost}")
    print(f"keyed jobs run: {len(runs)}; run in two racks: {len(twice)}; refused though run: {len(refused)}")
    return bool(twice or refused)


if __name__ == "__main__":
    sys.exit(play(HERE, case))
