"""The address for operators' calls: sockets apart from the clients', with descriptors reserved for them."""

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

MAX_CALLERS = 8  # descriptors reserved; with as many callers the one that has been silent longest goes
CALL_TIMEOUT_S = 5.0  # a caller has it for its line: some keep a connection 4 s without one
ANSWER_TIMEOUT_S = 1.0  # it has it to take the answer, and to close
ACCEPT_RETRY_S = 0.01  # after a failed accept


class Management:
    """Accepts operators' calls, one a connection.

    Attributes:
        acts: by name, what each call does; it returns the answer, or a wait for it.
        adopt: takes the connection of a new process of this dispatcher; returns why not, if it does not.
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
        self._callers: dict[socket.socket, asyncio.Task[None]] = {}  # in the order they came
        self._adopted: set[socket.socket] = set()

    def listen(self) -> None:
        """Listen and accept.

        Raises:
            AddressUnavailable: the address is in use, or is not this machine's.
        """
        self.metrics.spawn(self._accept(tcp_listener(self.address, "mgmt")), "management")

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = await asyncio.get_running_loop().sock_accept(listener)
            except OSError as error:  # the caller has left again, or descriptors are short after all
                self.metrics.count_and_log("management_accept_failed", why=error)
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            if (
                len(self._callers) >= MAX_CALLERS
            ):  # a whole call is answered at once: the first has not made one
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
                while await loop.sock_recv(sock, 1024):  # closing on unread bytes would reset the answer away
                    pass
        except OSError:  # a time-out is one too
            pass

    def _done(self, sock: socket.socket, _task: asyncio.Task[None]) -> None:
        self._callers.pop(sock, None)  # not in `_serve`: a caller that is closed may never have got that far
        if sock in self._adopted:
            self._adopted.remove(sock)
        else:
            sock.close()

    async def _read_line(self, sock: socket.socket) -> bytes:
        """Up to the end of the line or of the stream; one byte over the bound is enough to refuse it."""
        line = b""
        while b"\n" not in line and len(line) <= calls.MAX_LINE_BYTES:
            part = await asyncio.get_running_loop().sock_recv(sock, calls.MAX_LINE_BYTES + 2)
            if not part:
                break
            line += part
        first, end, _ = line.partition(b"\n")
        return first + end

    def _answer(self, line: bytes, sock: socket.socket) -> bytes | Awaitable[bytes]:
        """Nothing for a connection that another process of this dispatcher keeps."""
        try:
            call = calls.parse(line)
            self.metrics.count("management_calls")
            if call.name != calls.TAKE_OVER:
                return self.handlers[call.name](call)
            why = (
                self.accept_successor(call.argument, sock)
                if self.accept_successor is not None
                else "no place to leave word in"
            )
            if not why:
                self._adopted.add(sock)
            return calls.failure(f"{call.name}: {why}") if why else b""
        except InvalidCallError as why:
            self.metrics.count_and_log("management_call_refused", why=why)
            return calls.failure(str(why))
        except Exception as error:  # noqa: BLE001  # a defect here: the operator hears of it too
            self.metrics.log_exception("management call", error)
            return calls.failure("internal error")
