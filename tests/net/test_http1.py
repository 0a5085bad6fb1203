"""Parsing of HTTP/1.1 messages: the same whatever pieces they arrive in; blanks around values are stripped."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import socket
from typing import Any

import pytest
import uvloop

from beaconhinge.net.http1 import BadMessage, Closed, Connection

VALID_REQUESTS = [
    b"POST /render?part=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID:\t r1 \t\r\nX-Tenant-Id:  two words  \r\n"
    b"X-Empty: \r\nX-Attrs: a=1\r\nX-Attrs: b=2\r\nContent-Length: 4 \r\n\r\nwork",
    b"POST /render HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwo\r\n2;x=y\r\nrk\r\n0\r\nT: u\r\n\r\n",
    b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close \r\n\r\n",
]
MALFORMED_REQUESTS = [
    b"POST /render HTTP/1.1\r\nContent-Length: four\r\n\r\n",
    b"GET /up HTTP/1.1\r\nX" + b"y" * 20000,
    b"POST / HTTP/1.1\r\nContent-Length: 70000 \r\n\r\n",
    b"\x00\x01\x02\r\n\r\n",
]


ANSWERS = [
    b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1 \r\nX-Server-Load: x0=1, x1=2 \r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\nuntil the end",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
    b"HTP/1.1 200",
]


async def read_messages(data: bytes, cuts: list[int], requests: bool = True) -> list[Any]:
    """Write `data` in pieces that end at `cuts`, and return the messages read, then a status or "end"."""
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    connection, results = Connection(near, requests=requests, on_close=lambda: None, now=lambda: 0.0), []
    write = asyncio.ensure_future(
        _write(far, [data[a:b] for a, b in zip([0, *cuts], [*cuts, None], strict=True)])
    )
    try:
        while True:
            results.append(dataclasses.asdict(await connection.next()))
    except BadMessage as error:
        results.append(error.status)
    except Closed:
        results.append("end")
    write.cancel()
    far.close()
    connection.close()
    return results


async def _write(sock: socket.socket, pieces: list[bytes]) -> None:
    for piece in pieces:
        await asyncio.get_running_loop().sock_sendall(sock, piece)
        await asyncio.sleep(0)  # lets the reader run before the next piece
    sock.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize(
    ("data", "requests"),
    [
        *(
            (data, True)
            for data in (
                *VALID_REQUESTS,
                VALID_REQUESTS[0] + VALID_REQUESTS[1] + VALID_REQUESTS[2],
                *MALFORMED_REQUESTS,
            )
        ),
        *((data, False) for data in ANSWERS),
    ],
    ids=range(13),
)
def test_message_in_pieces_of_any_size_is_read_as_one_piece(data: bytes, requests: bool) -> None:
    async def compare() -> None:
        in_one_piece, rng = await read_messages(data, [], requests), random.Random(5)
        if len(data) < 1000:
            assert await read_messages(data, list(range(1, len(data))), requests) == in_one_piece
        for _ in range(20):
            assert (
                await read_messages(data, sorted(rng.sample(range(1, len(data)), 5)), requests)
                == in_one_piece
            )

    uvloop.run(compare())


def test_blanks_around_header_values_are_stripped() -> None:
    message = uvloop.run(read_messages(VALID_REQUESTS[0], []))[0]
    assert message["headers"] == {
        "host": "x",
        "x-request-id": "r1",
        "x-tenant-id": "two words",
        "x-empty": "",
        "x-attrs": "a=1, b=2",
        "content-length": "4",
    }
    assert message["body"] == b"work"
