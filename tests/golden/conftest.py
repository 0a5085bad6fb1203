"""What is started with the first test and read by the last one."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

pytest.register_assert_rewrite("golden_files", "golden_process")

from golden_process import Discovery, Process, running  # noqa: E402
from slow_messages import SlowMessages  # noqa: E402


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
