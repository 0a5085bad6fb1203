"""The link between the two processes of one dispatcher: frames in both directions over one connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from ..management.frames import FrameReader, HandoverError, encode_frame
from ..runtime.metrics import Metrics


class ProcessLink:
    """The connection between the two processes of one dispatcher."""

    def __init__(self, sock: socket.socket, metrics: Metrics) -> None:
        self.sock = sock
        self.metrics = metrics
        self.frames = FrameReader()
        self._received: list[tuple[int, bytes]] = []  # decoded frames that `next_frame` has not returned yet
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()

    async def next_frame(self) -> tuple[int, bytes]:
        """Return the kind and payload of the next frame.

        Raises:
            OSError: The connection has ended.
            HandoverError: The frame is too long.
        """
        while not self._received:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
            if not data:
                raise ConnectionError("the other process ended the connection")
            self._received += self.frames.feed(data)
        return self._received.pop(0)

    def start(self, on_frame: Callable[[int, bytes], None], on_closed: Callable[[], None]) -> None:
        """Start to read and write: `on_frame` receives each frame, `on_closed` is called once at the end."""
        self._on_frame, self._on_closed = on_frame, on_closed
        self._writing = self.metrics.spawn(self._write(), "process link")
        self.metrics.spawn(self._read(), "process link")

    def send(self, kind: int, payload: bytes = b"") -> None:
        """Queue a frame for sending; it is lost if the connection ends first."""
        self._outgoing.put_nowait(encode_frame(kind, payload))

    async def _read(self) -> None:
        try:
            while True:
                self._on_frame(*await self.next_frame())
        except OSError:
            pass
        except HandoverError as frame_error:
            self.metrics.count_and_log("handover_unusable", why=frame_error)
        except Exception as error:  # noqa: BLE001  # a defect here; the other process continues alone
            self.metrics.log_exception("process link", error)
        self._close()

    async def _write(self) -> None:
        with contextlib.suppress(OSError):  # `_read` detects the end of the connection as well
            while True:
                await asyncio.get_running_loop().sock_sendall(self.sock, await self._outgoing.get())

    def _close(self) -> None:
        self._writing.cancel()
        self.sock.close()
        self._on_closed()
