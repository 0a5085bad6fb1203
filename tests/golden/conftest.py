"""Clients that are slow on purpose: started with the first golden test; the last test checks the answers."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

pytest.register_assert_rewrite("golden_files", "golden_process")

from golden_process import Discovery, Process, running  # noqa: E402
from slow_messages import SlowMessages  # noqa: E402


@pytest.fixture(scope="session")
def slow_messages(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SlowMessages]:
    """Clients that send incomplete messages to a process; `test_waits.py` checks the answers."""
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
def _start_early(slow_messages: SlowMessages) -> None:
    """Start the slow clients with the first test of this folder, so that the others run while they wait."""
