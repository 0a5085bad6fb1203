"""Bytes from discovery are read as they arrive, even if the answer, its call or the connection fails."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from beaconhinge.membership.discovery_call import DiscoveryCall
from beaconhinge.membership.partial_list import LeavingEntries
from beaconhinge.net.discovery_connection import MAX_LIST_BYTES, DiscoveryConnection
from beaconhinge.net.http1 import BadMessage, Closed
from beaconhinge.net.late_answers import MAX_LATE_ANSWERS, LateAnswers
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

WATCH = DiscoveryCall(index=1, wait_s=0.4, first_byte_timeout_s=0.5)


def body(version: int, *names: str, full: bool = False) -> bytes:
    servers = [{"id": name, "state": "Terminating"} for name in names]
    return json.dumps({"version": version, "full": full, "servers": servers}).encode()


def answer(content: bytes, status: int = 200, length: int | None = None) -> bytes:
    size = len(content) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, size, content)


class FakeDiscovery:
    """Discovery as a plain socket, whose bytes the test writes, and the connection under test.

    Attributes:
        reported: The version and worker of each entry that the connection has reported as leaving.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.reported: list[tuple[int, str]] = []
        loop = asyncio.get_running_loop()
        metrics = Metrics(loop.time)
        self.timers = TimerWheel(loop.time, metrics.log_exception)
        self.counters = metrics.counters
        self.connection = DiscoveryConnection(
            self.timers, metrics, self.record_leaving, LateAnswers(self.timers, metrics)
        )
        self.sock: socket.socket

    def record_leaving(self, leaving: LeavingEntries) -> None:
        self.reported += [(leaving.version, entry["id"]) for entry in leaving.entries]

    def call(self, call: DiscoveryCall = WATCH) -> asyncio.Task[bytes]:
        return asyncio.create_task(self.connection.fetch(self.address, call))

    async def accept(self) -> None:
        self.listener.setblocking(False)
        self.sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a write doesn't wait for an ACK

    async def complete_first_call(self) -> None:
        """Make and answer a call, so that the connection stays open."""
        fetch = self.call()
        await self.accept()
        self.sock.send(answer(body(1)))
        assert await fetch == body(1)


def run(scenario: Callable[[FakeDiscovery], Awaitable[None]]) -> None:
    async def run_with_discovery() -> None:
        discovery = FakeDiscovery()
        try:
            async with asyncio.timeout(8):
                await scenario(discovery)
        finally:
            discovery.connection.close()
            discovery.listener.close()

    uvloop.run(run_with_discovery())


async def run_loop_turns() -> None:
    """Let the event loop run for 20 turns of at least 1 ms, so that written bytes arrive."""
    for _ in range(20):
        await asyncio.sleep(0.001)


def test_entries_are_reported_before_the_answer_is_complete() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        fetch = discovery.call()
        await discovery.accept()
        content = body(7, "s-1", "s-2")
        half = content.index(b'"s-2"') + 3
        discovery.sock.send(answer(content[:half], length=len(content)))
        await run_loop_turns()
        assert discovery.reported == [(7, "s-1")]
        assert not fetch.done()
        discovery.sock.send(content[half:])
        assert await fetch == content
        assert discovery.reported == [(7, "s-1"), (7, "s-2")]

    run(scenario)


def test_unread_bytes_are_read_before_the_connection_is_closed() -> None:
    """A call is cancelled or abandoned while its answer waits unread in the socket."""

    async def scenario(discovery: FakeDiscovery) -> None:
        await discovery.complete_first_call()
        fetch = discovery.call()
        await run_loop_turns()
        discovery.sock.send(answer(body(8, "s-1"), length=10_000))
        time.sleep(0.01)  # noqa: ASYNC251  # it arrives, but no turn of the event loop reads it
        fetch.cancel()
        discovery.connection.close()
        assert discovery.reported == [(8, "s-1")]

    run(scenario)


@pytest.mark.parametrize("cancelled", [False, True])
@pytest.mark.parametrize("begun", [False, True])
def test_entries_of_an_answer_to_an_abandoned_call_are_reported(cancelled: bool, begun: bool) -> None:
    """Guards against a job for a worker 1.0 s after discovery has written that the worker is leaving.

    An overloaded discovery took longer to answer than the 0.7 s timeout of a confirming read. The connection was
    closed before any byte of its answer was read, and the next call took 0.74 s more: the job was sent 0.4 s after
    the call was abandoned, and the next list arrived 0.4 s after that. Traces of one day in twelve runs showed it.
    """

    async def scenario(discovery: FakeDiscovery) -> None:
        await discovery.complete_first_call()
        first, content = discovery.sock, answer(body(8, "s-1", "s-2"))
        fetch = discovery.call(DiscoveryCall(None, 0.0, 0.05, 0.05))
        await run_loop_turns()
        split = content.index(b"s-1") if begun else 0
        first.send(content[:split])
        if cancelled:
            discovery.connection.give_up()
            fetch.cancel()
        else:
            with pytest.raises(TimeoutError):
                await fetch
            discovery.connection.give_up()
        await run_loop_turns()
        next_fetch = discovery.call()
        await discovery.accept()  # on a new connection
        first.send(content[split:])
        await run_loop_turns()
        assert discovery.reported == [(8, "s-1"), (8, "s-2")]
        assert discovery.counters["discovery_answers_late"] == 1
        discovery.sock.send(answer(body(9, "s-3")))
        assert await next_fetch == body(9, "s-3")
        assert discovery.reported[2:] == [(9, "s-3")]

    run(scenario)


def test_number_of_connections_kept_for_late_answers_is_bounded() -> None:
    """Only the oldest connection is closed when one more than MAX_LATE_ANSWERS calls are abandoned."""

    async def scenario(discovery: FakeDiscovery) -> None:
        given_up = []
        for _ in range(MAX_LATE_ANSWERS + 1):
            fetch = discovery.call(DiscoveryCall(None, 0.0, 0.02))
            await discovery.accept()
            given_up.append(discovery.sock)
            with pytest.raises(TimeoutError):
                await fetch
            discovery.connection.give_up()
        await run_loop_turns()
        for sock in given_up:
            sock.setblocking(False)
        assert given_up[0].recv(1000)  # the call, and then the end of the connection
        assert given_up[0].recv(1000) == b""
        assert all(sock.recv(1000) for sock in given_up[1:])
        for sock in given_up[1:]:
            with pytest.raises(BlockingIOError):
                sock.recv(1)

    run(scenario)


def test_entries_that_arrive_between_calls_are_reported_at_once() -> None:
    """A second answer arrives in the pause before the next call; the connection is closed only by that call."""

    async def scenario(discovery: FakeDiscovery) -> None:
        await discovery.complete_first_call()
        wait = asyncio.create_task(discovery.connection.wait_and_read(2.0))
        await run_loop_turns()
        discovery.sock.send(answer(body(3, "s-1")) + answer(body(4, "s-2"))[:-2])
        await run_loop_turns()
        assert discovery.reported == [(3, "s-1"), (4, "s-2")]
        assert not wait.done()
        wait.cancel()
        fetch = discovery.call()
        await discovery.accept()  # on a new connection
        assert discovery.counters["discovery_unsolicited_answer"] == 1
        discovery.sock.send(answer(body(5)))
        assert await fetch == body(5)

    run(scenario)


def test_wait_between_calls_ends_in_time_if_discovery_closes() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        await discovery.complete_first_call()
        started = discovery.timers.now()
        wait = asyncio.create_task(discovery.connection.wait_and_read(0.15))
        await run_loop_turns()
        discovery.sock.close()
        await wait
        assert 0.14 < discovery.timers.now() - started < 1.0

    run(scenario)


@pytest.mark.parametrize(
    ("head", "end"),
    [
        (b"Content-Length: 10000\r\n\r\n", b""),
        (b"\r\n", b""),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"\r\n"),
    ],
)
def test_answer_with_a_complete_list_is_accepted_without_its_end(head: bytes, end: bytes) -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        fetch = discovery.call()
        await discovery.accept()
        content = body(9, "s-1", full=True)
        chunk = b"%x\r\n" % len(content) if end else b""
        discovery.sock.send(b"HTTP/1.1 200 X\r\n" + head + chunk + content + end)
        started = discovery.timers.now()
        assert await fetch == content
        assert discovery.timers.now() - started < 0.3
        assert discovery.counters["discovery_answers_unended"] == 1
        assert discovery.sock.recv(1000).startswith(b"GET ")
        # Closed, so that later bytes aren't read as the answer to another call.
        assert discovery.sock.recv(1000) == b""

    run(scenario)


def test_entries_of_an_incomplete_list_are_reported_before_its_timeout() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        fetch = discovery.call(DiscoveryCall(1, 0.4, 0.5, body_timeout_s=0.2))
        await discovery.accept()
        discovery.sock.send(answer(body(9, "s-1", "s-2")[:-10], length=500))
        with pytest.raises(TimeoutError):
            await fetch
        assert discovery.reported == [(9, "s-1")]

    run(scenario)


def test_entries_in_an_error_response_are_not_reported() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        fetch = discovery.call()
        await discovery.accept()
        discovery.sock.send(answer(body(9, "s-1"), status=503))
        with pytest.raises(BadMessage, match="503"):
            await fetch
        assert discovery.reported == []

    run(scenario)


def test_entries_before_an_oversized_or_malformed_part_are_reported() -> None:
    async def scenario(discovery: FakeDiscovery) -> None:
        fetch = discovery.call(DiscoveryCall(1, 0.4, 0.5, body_timeout_s=5.0))
        await discovery.accept()
        discovery.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        start = b"HTTP/1.1 200 X\r\n\r\n" + body(9, "s-1")[:-2] + b', {"id": "s-2" "state": "Gone"},'
        write = asyncio.create_task(
            loop.sock_sendall(discovery.sock, start + b" " * (MAX_LIST_BYTES + 100_000))
        )
        with pytest.raises((BadMessage, Closed)):
            await fetch
        assert discovery.reported == [(9, "s-1")]
        write.cancel()

    run(scenario)
