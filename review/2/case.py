"""Clients stop in the middle of a request and stay; the requests of other clients are never answered."""

from __future__ import annotations

import asyncio
from collections import Counter

from standins import (
    LOOPBACK,
    Case,
    Client,
    Discovery,
    Outcome,
    Worker,
    base_config,
    free_ports,
    read_message,
    request,
    run_case,
)

MEMORY_MB = 96.0  # DAYS: "memory and descriptors are cut in half"; 192 MB and 1,024 at most on scored days
SOCKETS = 512
CROWD = 400  # LATER: "Others connect by hundreds"; DAYS: "thousands connect without ever finishing a job"
CROWD_FROM_S = 3.0
TRAFFIC_S = 18.0
JOB_S = 0.4  # BRIEF: a `render` runs for 390 to 760 ms on average
JOB_TIMEOUT_MS = 3000
ANSWER_SLACK_S = 0.55  # STANDING: half a second after its time; sockets: 50 ms more
OWED_S = 3.0  # STANDING: "they get their error or close within the 3 s that bad clients are owed"


async def stop_in_the_middle(case: Case, client: Client, number: int, waits: list[float]) -> None:
    """Ask for a class that doesn't exist, then send half a request and stay until the dispatcher ends it."""
    try:
        reader, writer = await asyncio.open_connection(*client.dispatcher)
        writer.write(request("POST", "/nosuch", {"X-Request-ID": f"bad{number}", "X-Timeout-Ms": "3000"}))
        first = await read_message(reader)
        writer.write(b"POST /render HTTP/1.1\r\nHost: service.internal\r\nX-Requ")
        sent_at = case.record.now()
        case.record.write(f"bad client {number} is answered {first.status}, sends half a request and stays")
        second = await reader.read(100)
        waits.append(case.record.now() - sent_at)
        case.record.write(f"bad client {number} is ended after {waits[-1]:.2f} s: {second[:12]!r}")
        writer.close()
    except (OSError, EOFError) as error:
        case.record.write(f"bad client {number}: {type(error).__name__}")


async def traffic(case: Case, client: Client, seconds: float) -> list[Outcome]:
    """Send a job five times a second, each on a new connection, and return how each ended."""
    end, jobs, number = case.record.now() + seconds, [], 0
    while case.record.now() < end:
        number += 1
        jobs.append(case.beside(client.send("/render", f"job{number}", JOB_TIMEOUT_MS)))
        await asyncio.sleep(0.2)
    return list(await asyncio.gather(*jobs))


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was broken."""
    listen, mgmt = free_ports(2)
    discovery = Discovery(case.record)
    await discovery.server.start()
    for number in range(9):
        worker = Worker(f"w{number}", case.record, (LOOPBACK, listen), JOB_S)
        await worker.server.start()
        discovery.entries[worker.name] = worker.entry()
    render = {"name": "render", "aim": 0.25, "hardLimit": 7.5, "semantics": "retryable"}
    config = base_config(listen, discovery.server.address, mgmt, [render])
    config["limits"] |= {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    config["settings"]["familyInfo"]["classStretch"] = [2.0]
    dispatcher = case.dispatcher(config)
    await dispatcher.start()
    await dispatcher.wait_up()
    client = Client(case.record, dispatcher.address)
    usual = case.beside(traffic(case, client, TRAFFIC_S))
    waits: list[float] = []
    await asyncio.sleep(CROWD_FROM_S)
    if case.trouble:
        for number in range(CROWD):
            case.beside(stop_in_the_middle(case, client, number, waits))
    outcomes = await usual
    # A connection that the dispatcher ends unread excuses its request: it has failed and is not lost.
    late_s = JOB_TIMEOUT_MS / 1000 + ANSWER_SLACK_S
    lost = [o for o in outcomes if o.ended_at - o.sent_at > late_s]
    answers = Counter("none" if o.status is None else str(o.status) for o in outcomes)
    case.say(f"{len(outcomes)} requests of usual clients, answers {dict(answers)}")
    case.say(f"{len(lost)} of them had neither an answer nor a close {late_s:.2f} s after they were sent")
    if waits:
        late = sum(wait > OWED_S for wait in waits)
        ended = f"{len(waits)} bad clients were ended, {late} of them later than {OWED_S:.0f} s"
        case.say(f"{ended}, {max(waits):.1f} s at most")
    return bool(lost)


run_case(__file__, play)
