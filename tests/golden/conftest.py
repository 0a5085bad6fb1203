"""What is started with the first test and read by the last one."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest

pytest.register_assert_rewrite("golden_files", "golden_process")

from golden_process import (  # noqa: E402
    Discovery,
    Process,
    connect,
    read_message,
    read_to_end,
    request,
    running,
)


class SlowMessages:
    """Clients whose messages never become whole. The answers take up to ten seconds, beside other tests."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.answers: dict[str, object] = {}
        self.threads = [threading.Thread(target=self._first), threading.Thread(target=self._later)]
        for thread in self.threads:
            thread.start()

    def _first(self) -> None:
        with connect(self.process.port) as connection:
            connection.sendall(b"POST /render HTTP/1.1\r\nHo")
            self.answers["408 of the first message on a connection"] = read_to_end(connection)

    def _later(self) -> None:
        with connect(self.process.port) as connection:
            connection.sendall(b"GET /up HTTP/1.1\r\n\r\n")
            read_message(connection)
            connection.sendall(request()[:-2])
            self.answers["408 of a later message on a connection"] = read_to_end(connection)


@pytest.fixture(scope="session")
def slow_messages(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SlowMessages]:
    """Started by whoever asks first; `test_waits.py` reads the answers."""
    discovery = Discovery()
    process = Process(tmp_path_factory.mktemp("slow"), discovery.port)
    with running(process, discovery):
        process.wait_until_listening()
        slow = SlowMessages(process)
        yield slow
        process.kill()
        for thread in slow.threads:
            thread.join()


@pytest.fixture(autouse=True)
def _early(slow_messages: SlowMessages) -> None:
    """Have them begin with the first test of this folder."""
