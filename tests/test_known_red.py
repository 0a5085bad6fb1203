"""KNOWN-RED.txt: exactly the listed tests may fail, all are printed, and a wrong list fails the run."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import KnownFailure, read

TESTS_FOLDER = Path(__file__).parent
SAMPLE_TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def run(folder: Path, known_red_text: str | None) -> tuple[int, str]:
    """Run pytest on a failing and a passing test with this list; return its exit status and output."""
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(TESTS_FOLDER / name, folder / "tests" / name)
    (folder / "tests" / "test_story.py").write_text(SAMPLE_TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if known_red_text is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red_text)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


RED, GREEN = (
    "tests/test_story.py::test_red | a fault | 7\n",
    "tests/test_story.py::test_green | a fault | 7\n",
)


@pytest.mark.parametrize(
    ("known_red_text", "passes", "printed"),
    [
        (None, False, "1 failed, 1 passed"),
        ("", False, "1 failed, 1 passed"),
        (RED, True, "known red: tests/test_story.py::test_red: a fault (7)"),
        (RED + GREEN, False, "XPASS(strict)"),
        (
            RED + "tests/test_story.py::test_gone | a fault | 7",
            False,
            "no such test: tests/test_story.py::test_gone",
        ),
        (
            RED + "tests/test_gone.py::test_red | a fault | 7",
            False,
            "no such test: tests/test_gone.py::test_red",
        ),
        (
            RED + "beaconhinge soak --seeds 7 | a fault | 8",
            True,
            "known red: beaconhinge soak --seeds 7: a fault (8)",
        ),
        ("beaconhinge soak --seeds 7 | a fault | 8", False, "1 failed, 1 passed"),
        ("tests/test_story.py::test_red | a fault", False, "not 'test | cause | issue'"),
        (RED + RED, False, "twice"),
        (RED + GREEN * 3, False, "4 lines, 3 at most"),
    ],
)
def test_only_the_listed_tests_may_fail(
    tmp_path: Path, known_red_text: str | None, passes: bool, printed: str
) -> None:
    # Guards against a list that hides other failures, keeps a test that passes again, or names a wrong test.
    status, output = run(tmp_path, known_red_text)
    assert (status == 0) is passes and printed in output, output


def test_blanks_around_lines_and_fields_are_ignored() -> None:
    assert read("\n a::b[x, y] |  why |  31 \n\n") == [KnownFailure("a::b[x, y]", "why", "31")]
