"""Clients that do not complete a message in time."""

from __future__ import annotations

import threading

from golden_process import Process, connect, read_message, read_to_end, request


class SlowMessages:
    """Clients that never complete a message; the answers take up to ten seconds, while other tests run."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.answers: dict[str, object] = {}
        self.threads = [
            threading.Thread(target=self._send_incomplete_first_message),
            threading.Thread(target=self._send_incomplete_later_message),
        ]
        for thread in self.threads:
            thread.start()

    def _send_incomplete_first_message(self) -> None:
        with connect(self.process.port) as connection:
            connection.sendall(b"POST /render HTTP/1.1\r\nHo")
            self.answers["408 of the first message on a connection"] = read_to_end(connection)

    def _send_incomplete_later_message(self) -> None:
        with connect(self.process.port) as connection:
            connection.sendall(b"GET /up HTTP/1.1\r\n\r\n")
            read_message(connection)
            connection.sendall(request()[:-2])
            self.answers["408 of a later message on a connection"] = read_to_end(connection)
