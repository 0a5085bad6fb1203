"""A client sends a request and then a head that never ends; the dispatcher is killed for its memory."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from standins import (
    LOOPBACK,
    Case,
    Client,
    Discovery,
    Dispatcher,
    Outcome,
    Worker,
    base_config,
    free_ports,
    request,
    run_case,
)

MEMORY_MB = 96.0  # DAYS: "memory and descriptors are cut in half"; 192 MB and 1,024 at most on scored days
SOCKETS = 512
BAD_CLIENTS = 2
BAD_FROM_S = 3.0
TRAFFIC_S = 12.0
JOB_S = 3.0  # BRIEF: a `publish` runs for 1,600 to 3,000 ms on average
JOB_TIMEOUT_MS = 10000
ANSWER_SLACK_S = 0.55  # STANDING: half a second after its time; sockets: 50 ms more
LINES_AT_ONCE = 500


def anonymous_memory_mb(process: int) -> float:
    """Return the memory that belongs to a process alone, without pages of files."""
    for line in Path(f"/proc/{process}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def enforce_memory(case: Case, dispatcher: Dispatcher) -> float:
    """Kill the dispatcher once it is over its memory, as the platform does; return the memory it had then."""
    assert dispatcher.process is not None
    peak, noted = 0.0, 0.0
    while dispatcher.process.returncode is None:
        with contextlib.suppress(OSError):
            peak = max(peak, anonymous_memory_mb(dispatcher.process.pid))
        if peak > noted + 10:
            case.record.write(f"platform: the dispatcher has {peak:.0f} MB")
            noted = peak
        if peak > MEMORY_MB:
            case.say(
                f"platform: {peak:.0f} MB are over the limit of {MEMORY_MB:.0f} MB: the dispatcher is killed"
            )
            await dispatcher.kill()
        await asyncio.sleep(0.02)
    return peak


async def send_endless_head(case: Case, client: Client, number: int) -> None:
    """Send a request that is served, then a head that never ends, at full speed; read what is sent back."""
    reader, writer = await asyncio.open_connection(*client.dispatcher)
    headers = {
        "X-Request-ID": f"bad{number}",
        "X-Timeout-Ms": str(JOB_TIMEOUT_MS),
        "Idempotency-Key": f"bad-key-{number}",
    }
    case.record.write(f"bad client {number} sends a request, then a head that never ends")
    lines = 0
    try:
        writer.write(request("POST", "/publish", headers, b"work"))
        writer.write(b"POST /publish HTTP/1.1\r\n")
        reading = case.beside(reader.read(200))
        while not reading.done():
            writer.write(b"".join(b"X-%d: a\r\n" % line for line in range(lines, lines + LINES_AT_ONCE)))
            lines += LINES_AT_ONCE
            await writer.drain()
        case.record.write(f"bad client {number} is answered {reading.result()[:40]!r} after {lines} lines")
    except OSError as error:
        case.record.write(f"bad client {number}: {type(error).__name__} after {lines} lines")
    finally:
        writer.close()


async def traffic(case: Case, client: Client, seconds: float) -> list[Outcome]:
    """Send a job every quarter of a second, and return how each ended."""
    end, jobs, number = case.record.now() + seconds, [], 0
    while case.record.now() < end:
        number += 1
        headers = {"Idempotency-Key": f"key-{number}"}
        jobs.append(case.beside(client.send("/publish", f"job{number}", JOB_TIMEOUT_MS, headers, b"work")))
        await asyncio.sleep(0.25)
    return list(await asyncio.gather(*jobs))


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    listen, mgmt = free_ports(2)
    discovery = Discovery(case.record)
    await discovery.server.start()
    workers = [Worker(f"w{n}", case.record, (LOOPBACK, listen), JOB_S, cell=n // 3) for n in range(12)]
    for worker in workers:
        await worker.server.start()
        discovery.entries[worker.name] = worker.entry()
    publish = {
        "name": "publish",
        "aim": 0.6,
        "hardLimit": 25.0,
        "semantics": "dedup",
        "group": "cell",
        "dedupWindow": 40.0,
    }
    config = base_config(listen, discovery.server.address, mgmt, [publish])
    config["limits"] |= {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    config["settings"]["familyInfo"]["classStretch"] = [2.5]
    dispatcher = case.dispatcher(config)
    await dispatcher.start()
    await dispatcher.wait_up()
    client = Client(case.record, dispatcher.address)
    memory = case.beside(enforce_memory(case, dispatcher))
    usual = case.beside(traffic(case, client, TRAFFIC_S))
    await asyncio.sleep(BAD_FROM_S)
    if case.trouble:
        for number in range(BAD_CLIENTS):
            case.beside(send_endless_head(case, client, number))
    outcomes = await usual
    late_s = JOB_TIMEOUT_MS / 1000 + ANSWER_SLACK_S
    lost = [o for o in outcomes if o.status is None or o.ended_at - o.sent_at > late_s]
    taken = [
        o for o in lost if any(run.request_id == o.request_id for worker in workers for run in worker.runs)
    ]
    killed = memory.done()  # the process has ended; nothing but the platform or itself ends it here
    if killed:
        case.say(f"the dispatcher has ended; it had {memory.result():.0f} MB at most")
    case.say(f"{len(outcomes)} jobs of usual clients, {len(lost)} of them without an answer")
    case.say(f"{len(taken)} of these were in work at a worker when the dispatcher ended")
    if not killed:
        memory.cancel()
        case.say(f"the dispatcher had {anonymous_memory_mb(dispatcher.process.pid):.0f} MB at the end")
    return killed


run_case(__file__, play)
