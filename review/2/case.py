"""Discovery has too many callers; a keyed job is sent again after the window in which a repeat is dropped."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from standins import (
    LOOPBACK,
    Case,
    Client,
    Discovery,
    Message,
    Run,
    Worker,
    answer,
    base_config,
    free_ports,
    run_case,
)

WINDOW_S = 5.0  # settings: requestClasses[].dedupWindow
# PROTOCOL: "every time limit is longer by 50 ms"; STANDING: a hold-up of 0.15 s is allowed for.
SLACK_S = 0.05 + 0.15
JOB_S = 3.0  # BRIEF: a `publish` runs for 1,600 to 3,000 ms on average
JOB_TIMEOUT_MS = 20000
CROWD_S = 12.0
LONG_QUEUE_S = 5.0  # from the beginning of the crowd: all calls of that time wait too long
TOO_LONG_S = 2.5  # that a call may wait for its turn
SHORTER_QUEUE_S = 2.4  # that a call waits for its turn after that time
SENT_AFTER_S = 2.0  # after the last answer before the crowd
LOST_AFTER_S = 6.3  # the same, until the worker's job is killed
UNAVAILABLE = 503


class CrowdedDiscovery(Discovery):
    """Has too many callers for a while: calls wait for their turn, and who has waited too long gets 503."""

    crowded_from = crowded_until = 0.0

    async def _answer(self, message: Message) -> bytes:
        now = self.record.now()
        if not self.crowded_from <= now < self.crowded_until:
            return await super()._answer(message)
        self.record.write(f"discovery: has too many callers, {message.target} waits for its turn")
        if now < self.crowded_from + LONG_QUEUE_S:
            await asyncio.sleep(TOO_LONG_S)
            self.record.write(f"discovery: {message.target} has waited too long, answers 503")
            return answer(UNAVAILABLE)
        await asyncio.sleep(SHORTER_QUEUE_S)
        return await super()._answer(message)


class Fleet:
    """Nine workers in three cells; a cell does not run a key again that it has seen within the window.

    Attributes:
        sent: When each attempt arrived, and its cell.
        applied: When each run began.
        killed_at: When the first run is killed.
    """

    def __init__(self, case: Case, dispatcher: tuple[str, int]) -> None:
        """Create the workers."""
        self.case = case
        self.workers = [Worker(f"w{n}", case.record, dispatcher, JOB_S, cell=n // 3) for n in range(9)]
        self.sent: list[tuple[float, int]] = []
        self.applied: list[float] = []
        self.killed_at = 0.0
        self._seen_by_cell: dict[int, float] = {}
        for worker in self.workers:
            worker.instead_of_run = self._run

    def _run(self, run: Run) -> Awaitable[bool]:
        return self._begin(run, next(worker for worker in self.workers if worker.name == run.worker))

    async def _begin(self, run: Run, worker: Worker) -> bool:
        now = self.case.record.now()
        self.sent.append((now, worker.cell))
        seen_at = self._seen_by_cell.setdefault(worker.cell, now)
        if seen_at < now <= seen_at + WINDOW_S:
            self.case.record.write(f"{worker.name}: cell {worker.cell} drops the repeat of key {run.key}")
            await worker.call_back(run, "failed")
            return True
        self.applied.append(now)
        if len(self.applied) > 1:
            return False  # it runs to its end
        self.case.record.write(f"{worker.name} starts {run.request_id}, cell {worker.cell}")
        await worker.call_back(run, "started")
        await asyncio.sleep(max(0.0, self.killed_at - self.case.record.now()))
        self.case.record.write(f"{worker.name}: the job {run.request_id} is killed")
        await worker.call_back(run, "lost")
        return True


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    listen, mgmt = free_ports(2)
    discovery = CrowdedDiscovery(case.record)
    await discovery.server.start()
    fleet = Fleet(case, (LOOPBACK, listen))
    for worker in fleet.workers:
        await worker.server.start()
        discovery.entries[worker.name] = worker.entry()
    publish = {
        "name": "publish",
        "aim": 0.6,
        "hardLimit": 25.0,
        "semantics": "dedup",
        "group": "cell",
        "dedupWindow": WINDOW_S,
    }
    config = base_config(listen, discovery.server.address, mgmt, [publish])
    config["settings"]["familyInfo"] |= {"classStretch": [2.5], "progress": 0}
    dispatcher = case.dispatcher(config)
    await dispatcher.start()
    await dispatcher.wait_up()
    client = Client(case.record, dispatcher.address)
    await asyncio.sleep(5.0)
    began_at = case.record.now()
    if case.trouble:
        discovery.crowded_from, discovery.crowded_until = began_at, began_at + CROWD_S
    discovery.change({**fleet.workers[0].entry(), "weight": 1.5})
    fleet.killed_at = began_at + LOST_AFTER_S
    await asyncio.sleep(SENT_AFTER_S)
    headers = {"Idempotency-Key": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "X-Cost": str(int(JOB_S * 1e6))}
    outcome = await client.send("/publish", "9b1f03aa5c7e2d41", JOB_TIMEOUT_MS, headers, b"work")
    after_s = [at - fleet.sent[0][0] for at, _ in fleet.sent]
    cells = {cell for _, cell in fleet.sent}
    case.say(f"the client was answered {outcome.status}; attempts after {[round(s, 2) for s in after_s]} s")
    case.say(
        f"cells {sorted(cells)}; applied {len(fleet.applied)} times; a repeat is dropped for {WINDOW_S} s"
    )
    return len(fleet.applied) > 1 and (after_s[-1] > WINDOW_S + SLACK_S or len(cells) > 1)


run_case(__file__, play)
