"""Clients that are slow on purpose: started with the first golden test; the last test checks the answers.

Nothing that the tests of this folder have started runs on beside the tests of other folders: its threads would
take memory in their process, and some of those tests measure that memory.
"""

from __future__ import annotations

import contextlib
import threading
from pathlib import Path

import pytest

pytest.register_assert_rewrite("golden_files", "golden_process")

from golden_process import THREAD_NAME, Discovery, Process, running  # noqa: E402
from slow_messages import SlowMessages  # noqa: E402

# What the tests of this folder share, until the last of them has ended.
SHARED = pytest.StashKey[contextlib.ExitStack]()


@pytest.fixture(scope="session")
def slow_messages(tmp_path_factory: pytest.TempPathFactory, request: pytest.FixtureRequest) -> SlowMessages:
    """Clients that send incomplete messages to a process; `test_waits.py` checks the answers."""
    shared = request.session.stash.setdefault(SHARED, contextlib.ExitStack())
    discovery = Discovery()
    process = Process(tmp_path_factory.mktemp("slow"), discovery.port)
    shared.enter_context(running(process, discovery))
    process.wait_until_listening()
    slow = SlowMessages(process)
    for thread in slow.threads:
        shared.callback(thread.join)
    shared.callback(process.kill)
    return slow


@pytest.fixture(autouse=True)
def _start_early(slow_messages: SlowMessages) -> None:
    """Start the slow clients with the first test of this folder, so that the others run while they wait."""


@pytest.hookimpl(trylast=True)
def pytest_runtest_teardown(item: pytest.Item, nextitem: pytest.Item | None) -> None:
    """End what the tests of this folder share with the last of them, and check that no stand-in is left."""
    folder = Path(__file__).parent
    if nextitem is None or nextitem.path.parent != folder:
        item.session.stash.setdefault(SHARED, contextlib.ExitStack()).close()
        assert [thread for thread in threading.enumerate() if thread.name == THREAD_NAME] == []
