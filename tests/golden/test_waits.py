"""Answers after long timeouts; the requests are sent with the first test of the folder (`conftest.py`)."""

from __future__ import annotations

import pytest
from golden_files import check_cases
from golden_process import wait_for
from slow_messages import SlowMessages

pytestmark = pytest.mark.xdist_group("processes")


def test_answers_to_slow_messages_are_unchanged(slow_messages: SlowMessages) -> None:
    wait_for(lambda: len(slow_messages.answers) == 2, "the answers to slow messages", 40.0)
    check_cases("client_slow.json", dict(sorted(slow_messages.answers.items())))
