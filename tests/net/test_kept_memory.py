"""What a peer makes this process keep stays within what is reserved for it, whatever the peer sends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tracemalloc
from collections.abc import Iterator

import pytest
import uvloop
from harness import Harness, job_bytes, next_event, read_message, run_scenario, use_scripted_policy

from beaconhinge.config.platform import _CONNECTION_BYTES
from beaconhinge.membership.inventory import worker_number
from beaconhinge.net.http1 import BadMessage, Connection
from beaconhinge.policy import interface

HEAD = b"POST /render HTTP/1.1\r\nHost: x\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SENT_BYTES = 2_000_000
SHORT_HEADERS = b"".join(b"X%d:a\r\n" % number for number in range(200_000))
TINY_CHUNKS = b"2\r\nab\r\n" * 32_000

FLOODS = {
    "short headers": (True, HEAD + SHORT_HEADERS),
    "one header name": (True, HEAD + b"x" * SENT_BYTES),
    "one header value": (True, HEAD + b"X: " + b"y" * SENT_BYTES),
    "one target": (True, b"POST /" + b"x" * SENT_BYTES),
    "many headers of four bytes in a head of 16 KiB": (True, HEAD + b"A:\r\n" * 4000 + b"\r\n" + b"x" * 9),
    "repeated header": (True, HEAD + b"A:b\r\n" * 400_000),
    "chunks of two bytes": (True, CHUNKED_HEAD + TINY_CHUNKS),
    "a trailer": (True, CHUNKED_HEAD + b"1\r\na\r\n0\r\nX" + b"y" * SENT_BYTES),
    "a chunk extension": (True, CHUNKED_HEAD + b"1;" + b"y" * SENT_BYTES),
    "messages ahead": (True, b"GET / HTTP/1.1\r\n\r\n" * 100_000),
    "bytes after an error": (True, b"\0\r\n\r\n" + HEAD + SHORT_HEADERS),
    "headers of an answer": (False, b"HTTP/1.1 202 Accepted\r\n" + SHORT_HEADERS),
    "interim answers": (False, b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" * 50_000),
}


class Reservations:
    """Memory for messages that a connection has reserved; there is always enough."""

    def __init__(self) -> None:
        self.bytes = 0

    def reserve(self, count: int) -> bool:
        """Reserve or, with a negative count, give back."""
        self.bytes += count
        return True


@contextlib.contextmanager
def traced_memory() -> Iterator[None]:
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(("requests", "flood"), FLOODS.values(), ids=FLOODS)
def test_memory_kept_for_a_peer_is_reserved_for_it(requests: bool, flood: bytes) -> None:
    """Guards against a dispatcher killed for memory: a head past its bound was kept header by header."""

    async def scenario() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        reserved = Reservations()
        connection = Connection(near, requests, lambda: None, reserve_bytes=reserved.reserve)
        loop = asyncio.get_running_loop()
        with traced_memory():
            begun_with, _ = tracemalloc.get_traced_memory()
            sending = loop.create_task(loop.sock_sendall(far, flood))
            while not sending.done():
                await asyncio.wait((sending, connection.reading()), return_when=asyncio.FIRST_COMPLETED)
                kept = tracemalloc.get_traced_memory()[0] - begun_with
                assert kept <= _CONNECTION_BYTES + reserved.bytes
        connection.close()
        assert reserved.bytes == 0
        far.close()

    uvloop.run(scenario())


def test_head_that_never_ends_behind_a_job_is_not_kept_while_the_job_runs() -> None:
    """Guards against a dispatcher killed for memory by a client that pipelines an endless head."""

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.open()
        writer.write(job_bytes(X_Request_ID="r1"))
        await harness.workers[0].seen.get()
        with traced_memory():
            begun_with, _ = tracemalloc.get_traced_memory()
            writer.write(HEAD)
            for start in range(0, len(SHORT_HEADERS), 100_000):
                writer.write(SHORT_HEADERS[start : start + 100_000])
                await writer.drain()
            kept = tracemalloc.get_traced_memory()[0] - begun_with
        assert kept < 500_000  # the client's own buffers are counted too
        await harness.callback(id="r1", state="done", result="served")
        assert (await read_message(reader)).body == b"served"
        refused = await read_message(reader)
        assert refused.status == 431
        writer.close()

    run_scenario(scenario)


def test_client_that_leaves_behind_an_endless_head_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an attempt for a client whose close lies behind bytes that are not parsed any more."""
    policy = use_scripted_policy(monkeypatch, interface.SendAttempt(1, worker_number("s-0")))

    async def scenario(harness: Harness) -> None:
        _, writer = await harness.open()
        writer.write(job_bytes(X_Request_ID="r1"))
        await harness.workers[0].seen.get()
        writer.write(HEAD + SHORT_HEADERS)
        await writer.drain()
        writer.close()
        async with asyncio.timeout(0.5):
            await next_event(policy, interface.ClientDisconnected)

    run_scenario(scenario)


def test_memory_of_a_message_is_given_back_once_it_is_answered() -> None:
    """Guards against reservations that grow on a connection on which the next message has always begun."""

    async def scenario() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        reserved = Reservations()
        connection = Connection(near, True, lambda: None, reserve_bytes=reserved.reserve)
        message = HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 9000
        far.sendall(message)
        for _ in range(20):
            far.sendall(message)
            await connection.next()
            connection.release()
        assert reserved.bytes <= 2 * len(message)
        connection.close()
        assert reserved.bytes == 0
        far.close()

    uvloop.run(scenario())


def test_messages_without_room_in_memory_are_refused() -> None:
    async def scenario() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        connection = Connection(near, True, lambda: None, reserve_bytes=lambda count: count <= 0)
        far.sendall(HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 9000)
        with pytest.raises(BadMessage) as refused:
            await connection.next()
        assert refused.value.status == 503
        connection.close()
        far.close()

    uvloop.run(scenario())
