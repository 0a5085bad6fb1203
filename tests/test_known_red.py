"""The list of tests that may fail: exactly those, printed, three at most, and none that is not there or passes."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import Known, read

HERE = Path(__file__).parent
STORY = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def run(folder: Path, red: str | None) -> tuple[int, str]:
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder / "tests" / name)
    (folder / "tests" / "test_story.py").write_text(STORY)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if red is not None:
        (folder / "KNOWN-RED.txt").write_text(red)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


RED, GREEN = (
    "tests/test_story.py::test_red | a fault | 7\n",
    "tests/test_story.py::test_green | a fault | 7\n",
)


@pytest.mark.parametrize(
    ("red", "passes", "said"),
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
def test_just_the_named_tests_may_fail(tmp_path: Path, red: str | None, passes: bool, said: str) -> None:
    status, output = run(tmp_path, red)
    assert (status == 0) is passes and said in output, output


def test_lines_are_read_whatever_the_blanks() -> None:
    assert read("\n a::b[x, y] |  why |  31 \n\n") == [Known("a::b[x, y]", "why", "31")]
