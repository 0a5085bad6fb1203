"""Bad clients that send without end what a dispatcher must not keep, each behind a job or on its own."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from itertools import count

# Bytes that one client writes at once, and the pause after them: some 8 MB/s for each client, which leaves
# time to the other stand-ins in the rig's process.
PIECE_BYTES = 32 * 1024
PIECE_INTERVAL_S = 0.004
BLOCK_BYTES = 1024 * 1024
# Pause before a client that was closed connects again, which leaves time to the other stand-ins as well.
RECONNECT_INTERVAL_S = 0.01
# Seconds that a flooding client states to wait for its job.
JOB_TIMEOUT_MS = 2000

_numbers = count(1)


class Flood(enum.Enum):
    """What a client sends without end."""

    HEADERS = "headers"  # of a head that never ends, behind a job
    HEAD_ALONE = "head-alone"  # the same, with no job before it
    CHUNKS = "chunks"  # of a body, two bytes each
    TRAILERS = "trailers"  # behind a body
    REQUESTS = "requests"  # one after the other, without waiting for an answer


def _job() -> bytes:
    request_id = f"flood{next(_numbers)}"
    return (
        f"POST /render HTTP/1.1\r\nHost: service\r\nX-Request-ID: {request_id}\r\nX-Tenant-Id: north\r\n"
        f"X-Timeout-Ms: {JOB_TIMEOUT_MS}\r\nContent-Length: 4\r\n\r\nwork"
    ).encode()


_HEAD = b"POST /render HTTP/1.1\r\nHost: service\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_HEADERS = b"".join(b"X-%d: a\r\n" % number for number in range(100_000))[:BLOCK_BYTES]


def _opening(flood: Flood) -> bytes:
    match flood:
        case Flood.HEADERS:
            return _job() + _HEAD
        case Flood.HEAD_ALONE:
            return _HEAD
        case Flood.CHUNKS:
            return _job() + _CHUNKED
        case Flood.TRAILERS:
            return _job() + _CHUNKED + b"1\r\na\r\n0\r\n"
        case Flood.REQUESTS:
            return _job()


_BLOCKS = {
    Flood.HEADERS: _HEADERS,
    Flood.HEAD_ALONE: _HEADERS,
    Flood.CHUNKS: b"2\r\nab\r\n" * (BLOCK_BYTES // 7),
    Flood.TRAILERS: _HEADERS,
    Flood.REQUESTS: b"GET /up HTTP/1.1\r\nHost: service\r\n\r\n" * (BLOCK_BYTES // 40),
}


async def flood(port: int, kind: Flood, seconds: float) -> int:
    """Flood a dispatcher, on one connection after the other as each is closed; return how many were made.

    Args:
        port: Port of the dispatcher, on the loopback interface.
        kind: What is sent.
        seconds: For how long.
    """
    connections = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError):
                    await _flood_connection(port, kind)
                    connections += 1
                await asyncio.sleep(RECONNECT_INTERVAL_S)
    return connections + 1


async def _flood_connection(port: int, kind: Flood) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    block, position = _BLOCKS[kind], 0
    closed = asyncio.ensure_future(_read_to_end(reader))
    try:
        writer.write(_opening(kind))
        while not closed.done():
            writer.write(block[position : position + PIECE_BYTES])
            await writer.drain()
            position = (position + PIECE_BYTES) % len(block)
            await asyncio.sleep(PIECE_INTERVAL_S)
    finally:
        closed.cancel()
        writer.close()


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(PIECE_BYTES):
            pass
