"""While a process is replaced, an id in use is taken once more, and a job that must not runs twice."""

from __future__ import annotations

import asyncio
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
    Record,
    Worker,
    call_operator,
    free_port,
    play,
    with_trouble,
)

SEED = 10
WORKERS = 3
SLOTS = 4
QUEUE = 4
ROUNDS = 4
JOBS_PER_ROUND = 4
# A job of the class that must never run twice takes so long; the new process comes while it runs.
RUN_S = 3.0
TIMEOUT_MS = 10000
UPGRADE_AFTER_S = 0.5
BAD_CLIENT_AFTER_S = 1.0
READY_WITHIN_S = 6.0
SERVED = 200

SETTINGS = {
    "groupSize": 1,
    "myNumber": 0,
    "dcs": ["a"],
    "kinds": ["k"],
    "membershipMode": "on_request",
    "requestClasses": [{"name": "record", "aim": 4.0, "hardLimit": 10.0, "semantics": "fragile"}],
    "familyInfo": {"classStretch": [2.0], "tellsStart": True, "progress": 1.0},
    "policyLimits": {
        "cancel": True,
        "connectTimeout": 0.25,
        "idleClose": 10.0,
        "maxAttempts": 6,
        "maxRetryAfter": 2.0,
        "mayDuplicate": True,
        "peers": False,
        "probes": True,
        "retryAfter": True,
    },
    "rules": {"graceToAnswer": 0.008, "mustAskIn": 10.0, "drainGrace": 0.5},
}


class Tier:
    """One dispatcher, whose process is replaced now and then."""

    def __init__(self, config: dict[str, object], folder: Path, record: Record) -> None:
        """Keep the configuration that its processes share."""
        self.config = config
        self.folder = folder
        self.record = record
        self.processes: list[Dispatcher] = []
        self.mgmt = 0

    def launch(self) -> Dispatcher:
        """Start a process with a second address of its own."""
        self.mgmt = free_port()
        config = {**self.config, "mgmt": f"{LOCALHOST}:{self.mgmt}"}
        self.processes.append(Dispatcher(config, self.folder, f"-{len(self.processes)}"))
        return self.processes[-1]

    async def replace(self) -> None:
        """Replace the process, and end the old one once the new one says yes."""
        old, new = self.processes[-1], self.launch()
        new.launch()
        self.record.write("new_process")
        until = asyncio.get_running_loop().time() + READY_WITHIN_S
        while not (await call_operator(self.mgmt, "ready")).startswith("SUCCESS"):
            if asyncio.get_running_loop().time() > until:
                raise CaseError("the new process was not ready in time")
            await asyncio.sleep(0.05)
        self.record.write("new_process_ready")
        old.terminate()

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes:
            process.stop()


async def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule was broken."""
    workers = [Worker(f"r-{number}", 0, SLOTS, QUEUE, record, SEED) for number in range(WORKERS)]
    for worker in workers:
        worker.run_s = lambda _job_class: RUN_S
        await worker.start()
    entries = [worker.entry() for worker in workers]
    discovery = Discovery(entries)
    await discovery.start()
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"{LOCALHOST}:{port}",
        "discovery": f"{LOCALHOST}:{discovery.port}",
        "seed": "10",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": {"version": 1, "full": True, "servers": entries},
    }
    tier = Tier(config, folder, record)
    usual, bad = Clients(port, record), []
    try:
        await tier.launch().start()
        for worker in workers:
            worker.dispatcher_port = port
        for number in range(ROUNDS):
            bad.append(await _play_round(number, tier, usual, record))
        if not tier.processes[-1].running:
            raise CaseError("the dispatcher has ended")
    finally:
        tier.stop()
    return _judge(record, workers, usual, bad)


async def _play_round(number: int, tier: Tier, usual: Clients, record: Record) -> Clients:
    """Hand in jobs, replace the process while they run, and use their ids again; return the bad client."""
    ids = [f"record-{number}-{job}" for job in range(JOBS_PER_ROUND)]
    for request_id in ids:
        usual.send(request_id, "record", TIMEOUT_MS)
    await asyncio.sleep(UPGRADE_AFTER_S)
    replacing = asyncio.ensure_future(tier.replace()) if with_trouble() else None
    bad = Clients(usual.port, record)
    await asyncio.sleep(BAD_CLIENT_AFTER_S)
    for request_id in ids:
        if request_id not in usual.answers:  # the request is open
            bad.send(request_id, "record", TIMEOUT_MS)
    await bad.wait()
    await usual.wait()
    if replacing is not None:
        await replacing
    return bad


def _judge(record: Record, workers: list[Worker], usual: Clients, bad: list[Clients]) -> bool:
    """A job that must never run twice was run twice, or a bad client was served as if its request had run."""
    runs = Counter(run for worker in workers for run in worker.runs)
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    served = sum(status == SERVED for client in bad for status in client.answers.values())
    for request_id in twice:
        record.write("RAN_TWICE", id=request_id)
    refused = Counter(status for client in bad for status in client.answers.values())
    print(f"jobs {len(usual.answers)}, answers {dict(Counter(usual.answers.values()))}")
    print(f"bad client's answers {dict(refused)}; served: {served}; unsafe jobs run twice: {len(twice)}")
    return bool(twice or served)


if __name__ == "__main__":
    sys.exit(play(HERE, case))
