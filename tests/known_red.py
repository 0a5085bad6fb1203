"""Reads KNOWN-RED.txt at the root, the list of tests that fail because of a real fault that is not fixed yet.

Each line has the test's name as pytest prints it, the cause and the issue, separated by ` | `. There are
three lines at most. Only these tests may fail. A listed test that passes or does not exist fails the run. An
empty file counts as no file.

In place of a test, a line may name a command of this project, which begins with `beaconhinge `. It is
printed, and allows no test to fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_ENTRIES = 3
COMMAND_PREFIX = "beaconhinge "


@dataclass(frozen=True)
class KnownFailure:
    """One line of KNOWN-RED.txt."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownFailure]:
    """Return the entries in the file's text.

    Raises:
        pytest.UsageError: A line is malformed, a test is listed twice or there are too many lines. The text
            says which.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} lines, {MAX_ENTRIES} at most")
    entries = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or not ("::" in parts[0] or parts[0].startswith(COMMAND_PREFIX)):
            raise pytest.UsageError(f"KNOWN-RED.txt: not 'test | cause | issue': {line}")
        entries.append(KnownFailure(*parts))
    if len({entry.test for entry in entries}) < len(entries):
        raise pytest.UsageError("KNOWN-RED.txt: a test is listed twice")
    return entries


def mark(items: list[pytest.Item], entries: list[KnownFailure], root: Path) -> None:
    """Mark the listed tests among the collected ones as strictly expected to fail.

    Raises:
        pytest.UsageError: A listed test's file does not exist, or was collected without that test.
    """
    names = {item.nodeid.split("@")[0]: item for item in items}
    files = {name.split("::")[0] for name in names}
    for entry in entries:
        if entry.test.startswith(COMMAND_PREFIX):
            continue
        file = entry.test.split("::")[0]
        if entry.test in names:
            reason = f"{entry.cause} ({entry.issue})"
            names[entry.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif file in files or not (root / file).is_file():
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {entry.test}")
