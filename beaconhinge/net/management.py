"""Serves operators' calls on an address apart from the clients', with file descriptors reserved for it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from functools import partial

from ..config import Address
from ..management import calls
from ..management.calls import InvalidCallError, OperatorCall
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .sockets import tcp_listener

MAX_CALLERS = 8  # connections, with reserved descriptors; beyond, the caller silent longest is disconnected
CALL_TIMEOUT_S = 5.0  # for a caller to send its line; some keep a connection 4 s without one
ANSWER_TIMEOUT_S = 1.0  # for a caller to read the answer and close the connection
ACCEPT_RETRY_S = 0.01  # pause after a failed accept


class Management:
    """Accepts operators' calls, one per connection.

    Attributes:
        handlers: by call name, the function that carries out the call; it returns the answer, or an awaitable
            of the answer.
        accept_successor: called with the token and the connection of a new process of this dispatcher. It
            returns an empty text if it keeps the connection, otherwise why it does not. None if upgrades are
            disabled.
    """

    def __init__(
        self,
        address: Address,
        handlers: dict[str, Callable[[OperatorCall], bytes | Awaitable[bytes]]],
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        self.address = address
        self.handlers = handlers
        self.timers = timers
        self.metrics = metrics
        self.accept_successor: Callable[[str, socket.socket], str] | None = None
        self._callers: dict[socket.socket, asyncio.Task[None]] = {}  # oldest connection first
        self._successors: set[socket.socket] = set()  # connections that `accept_successor` keeps

    def listen(self) -> None:
        """Listen on the address, and accept callers in a task.

        Raises:
            AddressUnavailable: the address is in use, or is not this machine's.
        """
        self.metrics.spawn(self._accept(tcp_listener(self.address, "mgmt")), "management")

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = await asyncio.get_running_loop().sock_accept(listener)
            except OSError as error:  # the caller has disconnected, or the process is out of descriptors
                self.metrics.count_and_log("management_accept_failed", why=error)
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            if len(self._callers) >= MAX_CALLERS:
                # A complete call is answered at once, so the oldest connection has not sent one.
                self._close_caller(next(iter(self._callers)))
            sock.setblocking(False)
            task = self._callers[sock] = self.metrics.spawn(self._serve(sock), "management call")
            task.add_done_callback(partial(self._done, sock))

    def _close_caller(self, sock: socket.socket) -> None:
        self.metrics.count("management_callers_closed")
        with contextlib.suppress(OSError):
            sock.send(calls.failure("too many callers; this one had made no call yet"))
        self._callers.pop(sock).cancel()

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with self.timers.timeout(CALL_TIMEOUT_S):
                line = await self._read_line(sock)
            answer = self._answer(line, sock) if line else b""
            if not isinstance(answer, bytes):
                answer = await answer
            if not answer:
                return
            async with self.timers.timeout(ANSWER_TIMEOUT_S):
                await loop.sock_sendall(sock, answer)
                sock.shutdown(socket.SHUT_WR)
                while await loop.sock_recv(sock, 1024):  # closing with unread bytes would lose the answer
                    pass
        except OSError:  # includes TimeoutError
            pass

    def _done(self, sock: socket.socket, _task: asyncio.Task[None]) -> None:
        self._callers.pop(sock, None)  # not in `_serve`, which a closed caller's task may never have entered
        if sock in self._successors:
            self._successors.remove(sock)
        else:
            sock.close()

    async def _read_line(self, sock: socket.socket) -> bytes:
        """Return what the caller sent up to the end of the line or of the stream.

        Reading stops once the line is over `calls.MAX_LINE_BYTES`, since `calls.parse` then refuses it.
        """
        line = b""
        while b"\n" not in line and len(line) <= calls.MAX_LINE_BYTES:
            part = await asyncio.get_running_loop().sock_recv(sock, calls.MAX_LINE_BYTES + 2)
            if not part:
                break
            line += part
        first, end, _ = line.partition(b"\n")
        return first + end

    def _answer(self, line: bytes, sock: socket.socket) -> bytes | Awaitable[bytes]:
        """Carry out the call in a line; return the answer or an awaitable of it.

        The answer is empty, and the connection stays open, if a new process of this dispatcher takes it over.
        """
        try:
            call = calls.parse(line)
            self.metrics.count("management_calls")
            if call.name != calls.TAKE_OVER:
                return self.handlers[call.name](call)
            refusal = (
                self.accept_successor(call.argument, sock)
                if self.accept_successor is not None
                else "no place to leave word in"
            )
            if not refusal:
                self._successors.add(sock)
            return calls.failure(f"{call.name}: {refusal}") if refusal else b""
        except InvalidCallError as invalid:
            self.metrics.count_and_log("management_call_refused", why=invalid)
            return calls.failure(str(invalid))
        except Exception as error:  # noqa: BLE001  # a defect in this program, reported to the operator too
            self.metrics.log_exception("management call", error)
            return calls.failure("internal error")
