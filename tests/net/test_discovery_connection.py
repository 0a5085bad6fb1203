"""What arrives on the connection to discovery is read in its turn, whatever becomes of answer, call and connection."""

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


class Peer:
    """Discovery as a plain socket: what the test writes is what comes."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.found: list[tuple[int, str]] = []
        loop = asyncio.get_running_loop()
        metrics = Metrics(loop.time)
        self.timers = TimerWheel(loop.time, metrics.log_exception)
        self.counters = metrics.counters
        self.connection = DiscoveryConnection(
            self.timers, metrics, self.leaving, LateAnswers(self.timers, metrics)
        )
        self.sock: socket.socket

    def leaving(self, leaving: LeavingEntries) -> None:
        self.found += [(leaving.version, entry["id"]) for entry in leaving.entries]

    def call(self, call: DiscoveryCall = WATCH) -> asyncio.Task[bytes]:
        return asyncio.create_task(self.connection.fetch(self.address, call))

    async def accept(self) -> None:
        self.listener.setblocking(False)
        self.sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a second piece waits for no ACK

    async def first_call(self) -> None:
        """Have a call answered, so that the connection is kept."""
        fetch = self.call()
        await self.accept()
        self.sock.send(answer(body(1)))
        assert await fetch == body(1)


def run(scenario: Callable[[Peer], Awaitable[None]]) -> None:
    async def with_peer() -> None:
        peer = Peer()
        try:
            async with asyncio.timeout(8):
                await scenario(peer)
        finally:
            peer.connection.close()
            peer.listener.close()

    uvloop.run(with_peer())


async def arrive() -> None:
    """Give the loop some turns."""
    for _ in range(20):
        await asyncio.sleep(0.001)


def test_entries_count_while_the_answer_is_still_coming() -> None:
    async def scenario(peer: Peer) -> None:
        fetch = peer.call()
        await peer.accept()
        content = body(7, "s-1", "s-2")
        half = content.index(b'"s-2"') + 3
        peer.sock.send(answer(content[:half], length=len(content)))
        await arrive()
        assert peer.found == [(7, "s-1")]
        assert not fetch.done()
        peer.sock.send(content[half:])
        assert await fetch == content
        assert peer.found == [(7, "s-1"), (7, "s-2")]

    run(scenario)


def test_what_has_arrived_unread_counts_when_the_connection_is_dropped() -> None:
    """A call is cancelled, or given up, while its answer lies in the socket."""

    async def scenario(peer: Peer) -> None:
        await peer.first_call()
        fetch = peer.call()
        await arrive()
        peer.sock.send(answer(body(8, "s-1"), length=10_000))
        time.sleep(0.01)  # noqa: ASYNC251  # it arrives, and no turn of the loop reads it
        fetch.cancel()
        peer.connection.close()
        assert peer.found == [(8, "s-1")]

    run(scenario)


@pytest.mark.parametrize("cancelled", [False, True])
@pytest.mark.parametrize("begun", [False, True])
def test_entries_count_of_an_answer_that_comes_after_its_call_was_given_up(
    cancelled: bool, begun: bool
) -> None:
    """A worker that had left got a job 1.0 s after discovery had written that it had.

    A crowded discovery took longer to answer than the 0.7 s that a read to confirm is waited for. The connection was
    closed, its answer with it, and the next call took 0.74 s more. Shown by the traced list and attempts of one day
    in twelve plays: the call given up, no byte of it read, the job 0.4 s later, the next list 0.4 s after that.
    """

    async def scenario(peer: Peer) -> None:
        await peer.first_call()
        first, content = peer.sock, answer(body(8, "s-1", "s-2"))
        fetch = peer.call(DiscoveryCall(None, 0.0, 0.05, 0.05))
        await arrive()
        sent = content.index(b"s-1") if begun else 0
        first.send(content[:sent])
        if cancelled:
            peer.connection.give_up()
            fetch.cancel()
        else:
            with pytest.raises(TimeoutError):
                await fetch
            peer.connection.give_up()
        await arrive()
        again = peer.call()
        await peer.accept()  # on a new connection
        first.send(content[sent:])
        await arrive()
        assert peer.found == [(8, "s-1"), (8, "s-2")]
        assert peer.counters["discovery_answers_late"] == 1
        peer.sock.send(answer(body(9, "s-3")))
        assert await again == body(9, "s-3")
        assert peer.found[2:] == [(9, "s-3")]

    run(scenario)


def test_few_connections_are_kept_for_late_answers() -> None:
    async def scenario(peer: Peer) -> None:
        given_up = []
        for _ in range(MAX_LATE_ANSWERS + 1):
            fetch = peer.call(DiscoveryCall(None, 0.0, 0.02))
            await peer.accept()
            given_up.append(peer.sock)
            with pytest.raises(TimeoutError):
                await fetch
            peer.connection.give_up()
        await arrive()
        for sock in given_up:
            sock.setblocking(False)
        assert given_up[0].recv(1000)  # the call, and then its end
        assert given_up[0].recv(1000) == b""
        assert all(sock.recv(1000) for sock in given_up[1:])
        for sock in given_up[1:]:
            with pytest.raises(BlockingIOError):
                sock.recv(1)

    run(scenario)


def test_what_comes_while_no_call_is_out_counts_at_once() -> None:
    """A second answer during the pause before the next call, which closes the connection only then."""

    async def scenario(peer: Peer) -> None:
        await peer.first_call()
        rest = asyncio.create_task(peer.connection.wait_and_read(2.0))
        await arrive()
        peer.sock.send(answer(body(3, "s-1")) + answer(body(4, "s-2"))[:-2])
        await arrive()
        assert peer.found == [(3, "s-1"), (4, "s-2")]
        assert not rest.done()
        rest.cancel()
        fetch = peer.call()
        await peer.accept()  # on a new connection
        assert peer.counters["discovery_unsolicited_answer"] == 1
        peer.sock.send(answer(body(5)))
        assert await fetch == body(5)

    run(scenario)


def test_rest_ends_in_time_though_the_peer_closes() -> None:
    async def scenario(peer: Peer) -> None:
        await peer.first_call()
        started = peer.timers.now()
        rest = asyncio.create_task(peer.connection.wait_and_read(0.15))
        await arrive()
        peer.sock.close()
        await rest
        assert 0.14 < peer.timers.now() - started < 1.0

    run(scenario)


@pytest.mark.parametrize(
    ("head", "end"),
    [
        (b"Content-Length: 10000\r\n\r\n", b""),
        (b"\r\n", b""),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"\r\n"),
    ],
)
def test_answer_with_a_complete_list_is_taken_though_it_does_not_end(head: bytes, end: bytes) -> None:
    async def scenario(peer: Peer) -> None:
        fetch = peer.call()
        await peer.accept()
        content = body(9, "s-1", full=True)
        chunk = b"%x\r\n" % len(content) if end else b""
        peer.sock.send(b"HTTP/1.1 200 X\r\n" + head + chunk + content + end)
        started = peer.timers.now()
        assert await fetch == content
        assert peer.timers.now() - started < 0.3
        assert peer.counters["discovery_answers_unended"] == 1
        assert peer.sock.recv(1000).startswith(b"GET ")
        assert peer.sock.recv(1000) == b""  # what may come on it belongs to no later call

    run(scenario)


def test_list_that_stops_is_given_up_and_its_whole_entries_have_counted() -> None:
    async def scenario(peer: Peer) -> None:
        fetch = peer.call(DiscoveryCall(1, 0.4, 0.5, body_timeout_s=0.2))
        await peer.accept()
        peer.sock.send(answer(body(9, "s-1", "s-2")[:-10], length=500))
        with pytest.raises(TimeoutError):
            await fetch
        assert peer.found == [(9, "s-1")]

    run(scenario)


def test_no_entry_counts_of_an_answer_that_is_no_list() -> None:
    async def scenario(peer: Peer) -> None:
        fetch = peer.call()
        await peer.accept()
        peer.sock.send(answer(body(9, "s-1"), status=503))
        with pytest.raises(BadMessage, match="503"):
            await fetch
        assert peer.found == []

    run(scenario)


def test_entries_count_of_an_answer_that_grows_too_long_or_is_malformed_later() -> None:
    async def scenario(peer: Peer) -> None:
        fetch = peer.call(DiscoveryCall(1, 0.4, 0.5, body_timeout_s=5.0))
        await peer.accept()
        peer.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        start = b"HTTP/1.1 200 X\r\n\r\n" + body(9, "s-1")[:-2] + b', {"id": "s-2" "state": "Gone"},'
        writing = asyncio.create_task(loop.sock_sendall(peer.sock, start + b" " * (MAX_LIST_BYTES + 100_000)))
        with pytest.raises((BadMessage, Closed)):
            await fetch
        assert peer.found == [(9, "s-1")]
        writing.cancel()

    run(scenario)
