"""Sockets and the one budget of descriptors for them."""

from __future__ import annotations

import asyncio
import socket
import struct
from array import array
from collections.abc import Callable

from ..errors import Error

SO_ATTACH_REUSEPORT_CBPF = 51  # Linux, asm-generic/socket.h
BPF_RETURN = 0x06  # Linux, bpf_common.h
TCP_INFO_LAST_DATA_RECEIVED = struct.Struct("@52xI")  # of struct tcp_info, linux/tcp.h: milliseconds ago
BACKLOG = 1024  # connections that wait to be accepted
RESERVED_DESCRIPTORS = 24  # descriptors for standard streams, event loop, listener, datagrams and discovery


class AddressUnavailable(Error):  # noqa: N818
    """An address that cannot be listened on; the text names its key."""


class DescriptorBudget:
    """Counts sockets in use, and bytes of bodies.

    When sockets are short, idle connections are closed first, by whoever has them.

    Attributes:
        total: sockets that this process may have.
        used: sockets that it has.
        share: the part of the dispatcher's sockets and memory that this process has.
        body_bytes: room left for bodies.
        reclaimers: each closes one idle connection and returns whether it had one.
    """

    def __init__(self, sockets: int, body_bytes: int, reserved: int = 0) -> None:
        self._sockets = self.total = sockets - RESERVED_DESCRIPTORS - reserved
        self._bodies = body_bytes
        self.share = 1.0
        self.used = 0
        self.body_bytes = body_bytes
        self.reclaimers: list[Callable[[], bool]] = []
        self._freed = asyncio.Event()

    def reserve_body_bytes(self, count: int) -> bool:
        """Take room for so many bytes of bodies, or give it back."""
        if count > self.body_bytes:
            return False
        self.body_bytes -= count
        return True

    def set_share(self, part: float) -> None:
        """The other process of this dispatcher has the rest, or has ended. What is in use beyond is kept."""
        self.body_bytes += int(part * self._bodies) - int(self.share * self._bodies)
        self.share, self.total = part, int(part * self._sockets)

    def acquire(self) -> bool:
        """Take a socket, closing an idle one if need be; returns whether there was one."""
        while self.used >= self.total:
            if not any(reclaim() for reclaim in self.reclaimers):
                return False
        self.used += 1
        return True

    def release(self) -> None:
        """Give a socket back."""
        self.used -= 1
        self._freed.set()

    async def wait_for_release(self) -> None:
        """Wait until somebody gives a socket back."""
        self._freed.clear()
        await self._freed.wait()


def tcp_listener(address: tuple[str, int], key: str, shared: bool = False) -> socket.socket:
    """Listen on an address; two processes may listen on a `shared` one.

    Raises:
        AddressUnavailable: names the configuration's `key`.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    try:
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise AddressUnavailable(f"{key}: {address[0]}:{address[1]}: {error.strerror}") from None
    return sock


def steer_to_second(listener: socket.socket) -> bool:
    """Lead new connections at a shared address to the socket that listened second there.

    Nobody comes to the first any more. While there is but one, the program names none and the kernel chooses.
    Returns whether the kernel took the program.
    """
    instruction = array("B", struct.pack("@HBBI", BPF_RETURN, 0, 0, 1))
    program = struct.pack("@HP", 1, instruction.buffer_info()[0])
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError:  # then the kernel shares them out, and the first takes its part until it closes
        return False
    return True


async def readable(sock: socket.socket) -> None:
    """Wait until there is something to read, or somebody to accept, and leave it there.

    The loop's own calls take it in one turn and hand it over in a later one. What is decided between the two
    sees nothing in the socket and nothing here: a connection looked idle and was closed over a request that
    had been read, and a cancelled accept closed a client unheard. Who closes the socket does it by `close`.
    """
    loop = asyncio.get_running_loop()
    waiter: asyncio.Future[None] = loop.create_future()

    def wake() -> None:
        if not waiter.done():
            waiter.set_result(None)

    loop.add_reader(sock, wake)
    try:
        await waiter
    finally:
        if sock.fileno() >= 0:
            loop.remove_reader(sock)


def seconds_since_data_arrived(sock: socket.socket) -> float:
    """How long ago the kernel took the last data of a connection, read or not; 0 if it does not tell.

    Its resolution is that of the kernel's timer, 10 ms at most. Without data it counts from the connection.
    """
    size = TCP_INFO_LAST_DATA_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:  # no TCP socket, or it has broken
        return 0.0
    if len(info) < size:
        return 0.0
    (milliseconds,) = TCP_INFO_LAST_DATA_RECEIVED.unpack(info)
    return float(milliseconds) / 1000


def close(sock: socket.socket) -> None:
    """Close a socket that `readable` may wait on: a new one may get its descriptor at once."""
    if sock.fileno() >= 0:
        asyncio.get_running_loop().remove_reader(sock)
        sock.close()


async def connect(address: tuple[str, int]) -> socket.socket:
    """Connect to an address.

    Raises:
        OSError: it cannot be reached.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock
