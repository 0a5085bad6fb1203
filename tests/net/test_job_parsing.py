"""The time limits of a job: they count from the arrival of its last byte, not from the read."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest
from harness import SETTINGS, job_bytes

from beaconhinge.config import parse
from beaconhinge.dispatch.job import Job
from beaconhinge.net.http1 import Connection, Message
from beaconhinge.net.job_parsing import JobParser
from beaconhinge.runtime.metrics import Metrics

CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": SETTINGS,
}
HEADERS = {"x-request-id": "r1", "x-tenant-id": "acme", "x-timeout-ms": "5000"}


def parse_job(arrived_at: float, now: float, answer_by: float) -> Job:
    parser = JobParser(parse(CONFIG), lambda: now, Metrics(lambda: now))
    message = Message(method="POST", target=b"/render", headers=dict(HEADERS), arrived_at=arrived_at)
    return parser.parse("/render", message, (), answer_by)


def test_wait_before_the_read_is_subtracted_from_both_time_limits() -> None:
    """Guards against an unreduced client time-out: the first try of a repeated job seemed younger than it was."""
    job = parse_job(arrived_at=10.0, now=12.0, answer_by=60.0)
    assert (job.received_at, job.remaining_s, job.client_timeout_s) == (12.0, 3.0, 3.0)
    assert parse_job(arrived_at=10.0, now=16.0, answer_by=60.0).remaining_s == -1.0


def test_shutdown_bounds_only_the_time_to_the_answer() -> None:
    job = parse_job(arrived_at=10.0, now=12.0, answer_by=13.0)
    assert (job.remaining_s, job.client_timeout_s) == (1.0, 3.0)


@pytest.mark.parametrize("late_s", [0.15, 0.6])
@pytest.mark.parametrize("accepted_late", [False, True])
def test_arrival_time_does_not_depend_on_when_the_request_is_read(late_s: float, accepted_late: bool) -> None:
    """Guards against an arrival time that is too late, which gives workers more time than clients have left.

    Pauses of the process under 0.2 s were not detected, and a request on a connection that waited to be accepted
    counted from the accept.
    """

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
            client.connect(listener.getsockname())
            sock = None if accepted_late else listener.accept()[0]
            sent_at = time.monotonic()
            client.sendall(job_bytes())
            time.sleep(late_s)  # noqa: ASYNC251  # pauses the process
            sock = sock or listener.accept()[0]
            sock.setblocking(False)
            connection = Connection(sock, True, lambda: None)
            message = await connection.next()
            assert message.arrived_at == pytest.approx(sent_at, abs=0.05)
            connection.close()

    asyncio.run(run())


def test_pipelined_request_counts_from_its_arrival() -> None:
    clock = [10.0]

    async def run() -> list[Any]:
        near, far = socket.socketpair()
        near.setblocking(False)
        connection = Connection(near, True, lambda: None, now=lambda: clock[0])
        far.sendall(job_bytes(X_Request_ID="r1") + job_bytes(X_Request_ID="r2"))
        first = await connection.next()
        clock[0] = 12.0  # the answer to the first takes 2 s
        second = await connection.next()
        far.close()
        connection.close()
        return [first.arrived_at, second.arrived_at]

    assert asyncio.run(run()) == [10.0, 10.0]
