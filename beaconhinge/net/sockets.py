"""Socket helpers, and the budget of file descriptors that all sockets share."""

from __future__ import annotations

import asyncio
import socket
import struct
from array import array
from collections.abc import Callable

from ..errors import Error

SO_ATTACH_REUSEPORT_CBPF = 51  # Linux, asm-generic/socket.h
BPF_RETURN = 0x06  # Linux, bpf_common.h
TCP_INFO_LAST_DATA_RECEIVED = struct.Struct("@52xI")  # ms, in struct tcp_info of linux/tcp.h
BACKLOG = 1024  # the most connections that wait to be accepted
RESERVED_DESCRIPTORS = 24  # for standard streams, event loop, listener, datagrams and discovery


class AddressUnavailable(Error):  # noqa: N818
    """Raised for an address that cannot be listened on; the message names its configuration key."""


class DescriptorBudget:
    """Limits the sockets of this process and the memory for the messages of clients and call-backs.

    When no socket is left, idle connections are closed first, by the reclaimers of the parts that own them.

    Attributes:
        total: The number of sockets that this process may have.
        used: The number of sockets that this process has.
        share: The fraction, up to 1, of the dispatcher's sockets and memory that this process may use.
        free_message_bytes: The bytes left for messages.
        reclaimers: Each closes one idle connection and returns whether it had one.
    """

    def __init__(self, sockets: int, message_bytes: int, reserved: int = 0) -> None:
        self._max_sockets = self.total = sockets - RESERVED_DESCRIPTORS - reserved
        self._max_message_bytes = message_bytes
        self.share = 1.0
        self.used = 0
        self.free_message_bytes = message_bytes
        self.reclaimers: list[Callable[[], bool]] = []
        self._released = asyncio.Event()

    def reserve_message_bytes(self, count: int) -> bool:
        """Reserve bytes of memory for messages; a negative count releases them.

        Returns:
            Whether enough bytes were left.
        """
        if count > self.free_message_bytes:
            return False
        self.free_message_bytes -= count
        return True

    def hold_message_bytes(self, count: int) -> None:
        """Count bytes of memory as used, even if fewer are left; a negative count releases them."""
        self.free_message_bytes -= count

    def set_share(self, share: float) -> None:
        """Limit this process to a fraction of the budget, or return it to the whole with 1.

        The rest belongs to the other process of this dispatcher. Sockets and bytes that are in use beyond the
        new limit stay in use.
        """
        self.free_message_bytes += int(share * self._max_message_bytes) - int(
            self.share * self._max_message_bytes
        )
        self.share, self.total = share, int(share * self._max_sockets)

    def acquire(self) -> bool:
        """Take a socket from the budget, closing idle connections if needed; return whether one was left."""
        while self.used >= self.total:
            if not any(reclaim() for reclaim in self.reclaimers):
                return False
        self.used += 1
        return True

    def release(self) -> None:
        """Return a socket to the budget."""
        self.used -= 1
        self._released.set()

    async def wait_for_release(self) -> None:
        """Wait until a socket is returned to the budget."""
        self._released.clear()
        await self._released.wait()


def tcp_listener(address: tuple[str, int], key: str, shared: bool = False) -> socket.socket:
    """Return a non-blocking socket that listens on an address.

    Args:
        address: Host and port.
        key: The configuration key of the address, for the error.
        shared: Whether two processes may listen on the address.

    Raises:
        AddressUnavailable: The address cannot be listened on; the message names `key`.
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
    """Direct new connections at a shared address to the socket that listened second there.

    The first socket gets no new connections then. While only one socket listens, the BPF program selects a
    socket that does not exist, and the kernel chooses.

    Returns:
        Whether the kernel accepted the program.
    """
    instruction = array("B", struct.pack("@HBBI", BPF_RETURN, 0, 0, 1))
    program = struct.pack("@HP", 1, instruction.buffer_info()[0])
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError:  # the kernel distributes connections: the first socket gets some until it is closed
        return False
    return True


async def readable(sock: socket.socket) -> None:
    """Wait until the socket has data to read, or a connection to accept, without taking it.

    The event loop's own calls take it in one turn and return it in a later one. Code that runs between the
    two finds it neither in the socket nor with the caller: a connection looked idle and was closed although a
    request had been read from it, and a cancelled accept closed a client's connection before anything was
    read from it. A socket that may be waited on here must be closed by `close`.
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
    """Return the seconds since the kernel received the last data of a connection, read or not.

    The resolution is that of the kernel's timer, 10 ms at worst. If no data has arrived, the time counts from
    the start of the connection. Returns 0 if the kernel does not report it.
    """
    size = TCP_INFO_LAST_DATA_RECEIVED.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:  # not a TCP socket, or the connection has broken
        return 0.0
    if len(info) < size:
        return 0.0
    (milliseconds,) = TCP_INFO_LAST_DATA_RECEIVED.unpack(info)
    return float(milliseconds) / 1000


def close(sock: socket.socket) -> None:
    """Close a socket that `readable` may be waiting on.

    The event loop stops watching its descriptor first, as a new socket may get the same descriptor at once.
    """
    if sock.fileno() >= 0:
        asyncio.get_running_loop().remove_reader(sock)
        sock.close()


async def connect(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking socket that is connected to an address.

    Raises:
        OSError: The address cannot be reached.
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
