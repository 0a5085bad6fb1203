"""Clients that stop in the middle of their second request keep all other clients out, and work is lost."""

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
    Discovery,
    Dispatcher,
    Record,
    Worker,
    abandon,
    encode,
    free_port,
    play,
    read_message,
    with_trouble,
)

SEED = 9
SECONDS = 25.0
WORKERS = 4
SLOTS = 6
QUEUE = 6
JOBS_PER_S = 10.0
RUN_S = 0.3
TIMEOUT_MS = 4000
# The answer counts for nothing once the time is over, and its request as lost half a second later; every time
# limit on sockets is 50 ms longer.
LOST_AFTER_S = 0.55
# Bad clients come at this second, all at once.
COME_AT_S = 6.0
BAD_CLIENTS = 400
SOCKETS = 512

SETTINGS = {
    "groupSize": 1,
    "myNumber": 0,
    "dcs": ["a"],
    "kinds": ["k"],
    "membershipMode": "on_request",
    "requestClasses": [{"name": "render", "aim": 2.0, "hardLimit": 7.5, "semantics": "retryable"}],
    "familyInfo": {"classStretch": [2.0], "tellsStart": True, "progress": 1.0},
    "policyLimits": {
        "cancel": True,
        "connectTimeout": 0.25,
        "idleClose": 5.0,
        "maxAttempts": 3,
        "maxRetryAfter": 2.0,
        "mayDuplicate": True,
        "peers": False,
        "probes": True,
        "retryAfter": True,
    },
    "rules": {"graceToAnswer": 0.008, "mustAskIn": 10.0, "drainGrace": 0.4},
}
# A request of a class that does not exist, and behind it the half of another: its body never comes whole.
WHOLE_AND_HALF = encode("POST /nothing HTTP/1.1", {"Host": "service", "X-Request-ID": "bad"}, b"x") + (
    b"POST /nothing HTTP/1.1\r\nHost: service\r\nX-Request-ID: bad\r\nContent-Length: 100\r\n\r\nhalf"
)


class UsualClients:
    """Clients that send each job on a new connection, once more if that is closed unread."""

    def __init__(self, port: int, record: Record) -> None:
        """Call the dispatcher at this port."""
        self.port = port
        self.record = record
        self.ends: dict[str, str] = {}

    async def send(self, request_id: str) -> None:
        """Hand in a job, and record how it ended."""
        headers = {"Host": "service", "X-Request-ID": request_id, "X-Timeout-Ms": str(TIMEOUT_MS)}
        data = encode("POST /render HTTP/1.1", headers, b"work")
        self.record.write("sent", id=request_id)
        end = "lost"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_MS / 1000 + LOST_AFTER_S):
                end = await self._exchange(data) or await self._exchange(data) or "closed"
        self.ends[request_id] = end
        self.record.write("end", id=request_id, how=end)

    async def _exchange(self, data: bytes) -> str:
        """Return the status of the answer; nothing if the connection was closed without one."""
        writer = None
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, self.port)
            writer.write(data)
            reply = await read_message(reader)
        except OSError:
            return ""
        finally:
            if writer is not None:
                writer.close()
        return "" if reply is None else str(reply.status)


async def _stay(port: int, record: Record) -> None:
    """Send one whole request and the half of another, read whatever comes, and stay to the end."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(LOCALHOST, port)
        writer.write(WHOLE_AND_HALF)
        began_at = asyncio.get_running_loop().time()
        while (reply := await read_message(reader)) is not None:
            waited_s = asyncio.get_running_loop().time() - began_at
            record.write("bad_client_answered", status=reply.status, after=f"{waited_s:.2f}")
        await abandon(writer)


async def case(record: Record, folder: Path) -> bool:
    """Play the case; return whether the rule was broken."""
    workers = [Worker(f"b-{number}", 0, SLOTS, QUEUE, record, SEED) for number in range(WORKERS)]
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
        "seed": "9",
        "limits": {"memory_mb": 96, "sockets": SOCKETS},
        "settings": SETTINGS,
        "known": {"version": 1, "full": True, "servers": entries},
    }
    dispatcher = Dispatcher(config, folder)
    clients = UsualClients(port, record)
    try:
        await dispatcher.start()
        for worker in workers:
            worker.dispatcher_port = port
        tasks = [asyncio.ensure_future(_hand_in_jobs(clients, workers[0]))]
        await asyncio.sleep(COME_AT_S)
        if with_trouble():
            record.write("bad_clients_come", number=BAD_CLIENTS)
            tasks += [asyncio.ensure_future(_stay(port, record)) for _ in range(BAD_CLIENTS)]
        await tasks[0]
        if not dispatcher.running:
            raise CaseError("the dispatcher has ended")
    finally:
        dispatcher.stop()
    return _judge(record, clients)


async def _hand_in_jobs(clients: UsualClients, worker: Worker) -> None:
    loop, draw = asyncio.get_running_loop(), worker.random
    due = began_at = loop.time()
    jobs = []
    while (due := due + draw.expovariate(JOBS_PER_S)) < began_at + SECONDS:
        await asyncio.sleep(max(0.0, due - loop.time()))
        jobs.append(asyncio.ensure_future(clients.send(f"render-{len(jobs):05d}")))
    await asyncio.wait(jobs)


def _judge(record: Record, clients: UsualClients) -> bool:
    """A request whose last byte was written got neither an answer nor a close in its time."""
    lost = sorted(request_id for request_id, end in clients.ends.items() if end == "lost")
    for request_id in lost:
        record.write("LOST", id=request_id)
    print(f"jobs {len(clients.ends)}, ends {dict(Counter(clients.ends.values()))}")
    print(f"lost: {len(lost)}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(play(HERE, case))
