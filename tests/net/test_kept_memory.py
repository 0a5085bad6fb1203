"""What a peer makes this process keep stays within what is reserved for it, whatever the peer sends."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import tracemalloc
from collections.abc import Iterator

import pytest
import uvloop
from harness import Harness, job_bytes, next_event, read_message, run_scenario, use_scripted_policy

from beaconhinge.config.platform import _CONNECTION_BYTES
from beaconhinge.dispatch.attempt import Attempt
from beaconhinge.dispatch.request import Request
from beaconhinge.membership.inventory import worker_number
from beaconhinge.net.client_table import Client
from beaconhinge.net.http1 import BadMessage, Connection
from beaconhinge.net.message_parser import INCLUDED_BYTES, Message, MessageParser
from beaconhinge.policy import interface

HEAD = b"POST /render HTTP/1.1\r\nHost: x\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SENT_BYTES = 2_000_000
MAX_WRITES = 80
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


@pytest.mark.parametrize("write_bytes", [1000, 16 * 1024])
@pytest.mark.parametrize(("requests", "flood"), FLOODS.values(), ids=FLOODS)
def test_memory_kept_for_a_peer_is_reserved_for_it(requests: bool, flood: bytes, write_bytes: int) -> None:
    """Guards against a dispatcher killed for memory: a head past its bound was kept header by header.

    Each write is read before the next one, so the pieces are the same in each run.
    """

    async def scenario() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        reserved = Reservations()
        connection = Connection(near, requests, lambda: None, reserve_bytes=reserved.reserve)
        with traced_memory():
            begun_with, _ = tracemalloc.get_traced_memory()
            for start in range(0, min(len(flood), write_bytes * MAX_WRITES), write_bytes):
                far.sendall(flood[start : start + write_bytes])
                await connection.reading()
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


def test_answer_that_a_peer_does_not_take_counts_as_memory() -> None:
    """Guards against answers that pile up for clients that read nothing, beside a full budget for messages."""

    async def scenario() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        held = list[int]()
        connection = Connection(near, True, lambda: None, hold_bytes=held.append)
        await connection.send(b"x" * 100)
        assert held == []  # taken at once
        sending = asyncio.ensure_future(connection.send(b"x" * 60_000))
        await asyncio.sleep(0)
        assert held == [60_000]
        read = 0
        while read < 60_100:
            read += len(await asyncio.to_thread(far.recv, 65536))
        await sending
        assert held == [60_000, -60_000]
        connection.close()
        far.close()

    uvloop.run(scenario())


def test_nothing_of_an_answered_job_waits_for_the_garbage_collector() -> None:
    """Guards against results that are kept in reference cycles: 90 KB for each job with a result of 60 KB."""

    async def run_job(harness: Harness, name: str) -> None:
        reader, writer = await harness.open()
        writer.write(job_bytes(X_Request_ID=name))
        await harness.workers[0].seen.get()
        await harness.callback(id=name, state="done", result="x" * 60_000)
        await read_message(reader)
        writer.write(b"GET / HTTP/1.1\r\nbad header\r\n\r\n")  # an error ends the connection
        await read_message(reader)
        writer.close()

    async def scenario(harness: Harness) -> None:
        await run_job(harness, "first")
        gc.collect()
        gc.disable()
        try:
            for number in range(10):
                await run_job(harness, f"r{number}")
            while harness_clients := [o for o in gc.get_objects() if isinstance(o, Client)]:
                del harness_clients  # until the last connection has seen its peer's close
                await asyncio.sleep(0)
            kept = [o for o in gc.get_objects() if isinstance(o, (Request, Attempt, Message, MessageParser))]
        finally:
            gc.enable()
        # Connections to workers are kept open, and discovery's is.
        assert {type(o) for o in kept} <= {MessageParser, Message}
        assert len(kept) < 10

    run_scenario(scenario)


def test_room_to_grow_of_a_body_is_reserved() -> None:
    """Guards against a body whose buffer takes an eighth more than the bytes that are reserved for it."""
    reserved = Reservations()
    parser = MessageParser(True, reserve_bytes=reserved.reserve)
    pieces = [memoryview(CHUNKED_HEAD), *[memoryview(b"2\r\nab\r\n")] * 30_000]
    with traced_memory():
        begun_with, _ = tracemalloc.get_traced_memory()
        for piece in pieces:
            parser.feed(piece)
            kept = tracemalloc.get_traced_memory()[0] - begun_with
            assert kept <= reserved.bytes + INCLUDED_BYTES
