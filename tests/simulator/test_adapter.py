"""The simulator adapter on short hand-written transcripts."""

from __future__ import annotations

import io
import os
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import PAIRS

from beaconhinge.simulator import SimulatorAdapter

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = "\t".join(f"{k}={v}" for k, v in PAIRS.items())


def power_on(instance: int, seed: int = 5) -> str:
    """Return the lines that start an instance and give it two workers."""
    return (
        f"POWER_ON\t{instance}\t{seed}\t{SETTINGS}\nDIRECTORY_UPDATE\t{instance}\tremembered\t1\t2\n"
        "ITEM\t0\t0\tU\t100\t1\t-\t0\nITEM\t0\t1\tU\t101\t1.5\t6.1\t0\n"
    )


def batch(index: int, *lines: str, now: float = 100.0) -> str:
    return f"BATCH\t{now}\t{index}\n" + "".join(lines) + "YOUR_TURN\n"


def run(text: str) -> tuple[int, list[str], str]:
    """Run the adapter on a text. Return the exit status, the lines of output and the error text."""
    sink, errors = io.StringIO(), io.StringIO()
    exit_status = SimulatorAdapter(io.StringIO(text), sink, errors).run()
    return exit_status, sink.getvalue().splitlines(), errors.getvalue()


def work_item(instance: int, request: int, cls: int = 0) -> str:
    return f"WORK_ITEM\t{instance}\t{request}\t{cls}\t-\t-\t4\t0.5\t1\t-\t1\n"


def test_empty_batch_is_answered_and_end_of_input_ends_the_run() -> None:
    assert run(batch(1)) == (0, ["OK\t1"], "")


def test_job_is_sent_and_its_outcome_ends_it() -> None:
    exit_status, lines, errors = run(
        batch(1, power_on(3))
        + batch(2, work_item(3, 7), now=100.1)
        + batch(3, "RESOLVED\t3\t7\t100\t-\tserved\t1\t0\t0.4\ttps:1,x0:2\n", now=100.5)
    )
    assert exit_status == 0
    assert errors == ""
    sent = [line.split("\t") for line in lines if line.startswith("TRANSMIT")]
    assert len(sent) == 1
    assert sent[0][1:4] == ["3", "7", "0"]
    assert sent[0][4] in ("100", "101")
    assert [line for line in lines if line.startswith("OK")] == ["OK\t1", "OK\t2", "OK\t3"]


def test_retire_and_power_on_in_one_batch_reset_an_instance() -> None:
    """Events of requests of the retired instance must not reach the new one."""
    exit_status, lines, _ = run(
        batch(1, power_on(0), work_item(0, 7))
        + batch(2, "RETIRE\t0\n", power_on(0, 6), now=101.0)
        + batch(3, "RESOLVED\t0\t7\t100\t-\tserver_error\t0\t0\t0.1\t-\n", "VANISHED\t0\t7\n", now=101.5)
    )
    assert exit_status == 0
    assert lines[-1] == "OK\t3"
    assert lines[-2] == "OK\t2"


def test_batch_of_5000_jobs_is_answered() -> None:
    exit_status, lines, _ = run(batch(1, power_on(0), *(work_item(0, n) for n in range(1, 5001))))
    assert exit_status == 0
    assert lines[-1] == "OK\t1"


def test_all_events_are_accepted() -> None:
    exit_status, lines, errors = run(
        batch(1, power_on(0), work_item(0, 7))
        + batch(
            2,
            "NOTICE\t0\t7\t100\t0\t1\t-\n",
            "HEAD_RECEIVED\t0\t7\t100\t0.01\t0\n",
            "NEIGHBOUR_SAYS\t0\t1\t6869\n",
            "NEIGHBOUR_SAYS\t0\t1\t-\n",
            "CHECK_RESULT\t0\t100\tserved\t0.001\ttps:1\n",
            "REMINDER\t0\t77\n",
            "VANISHED\t0\t7\n",
            "DIRECTORY_UPDATE\t0\trefused\t1\t0\n",
            now=100.2,
        )
    )
    assert exit_status == 0
    assert errors == ""
    assert lines[-1] == "OK\t2"


def test_unknown_event_is_skipped_and_reported_once() -> None:
    exit_status, lines, errors = run(batch(1, "COMET\t1\n", "COMET\t2\n"))
    assert exit_status == 0
    assert lines == ["OK\t1"]
    assert errors.count("COMET") == 1


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("WORK_ITEM\t0\tx\t0\t-\t-\t4\t-\t1\t-\t1\n", "call"),
        ("WORK_ITEM\t0\t7\n", "cls"),
        ("RESOLVED\t0\t7\t100\t-\tmelted\t1\t0\t0.4\t-\n", "outcome"),
        ("NEIGHBOUR_SAYS\t0\t1\tzz\n", "contents"),
        ("WORK_ITEM\t0\t7\t0\t-\t-\tnan\t-\t1\t-\t1\n", "remaining"),
        ("DIRECTORY_UPDATE\t0\tall\t1\t2\nITEM\t0\t0\tU\t100\t1\t-\t0\n", "rows"),
    ],
)
def test_malformed_line_is_reported_with_batch_line_and_field(line: str, field: str) -> None:
    exit_status, _, errors = run(batch(1, power_on(0)) + batch(2, line))
    assert exit_status == 2
    assert "batch 2, line" in errors
    assert f"field {field}" in errors
    assert "Traceback" not in errors


def test_bad_framing_ends_with_status_2() -> None:
    assert run("HELLO\t1\n")[0] == 2
    assert run("BATCH\t1\t1\n")[0] == 2


def test_exception_crashes_only_its_instance() -> None:
    """Class 9 does not exist, so its job raises an exception in instance 0."""
    exit_status, lines, errors = run(
        batch(1, power_on(0), power_on(1), work_item(0, 7, cls=9), work_item(1, 8))
    )
    assert exit_status == 0
    assert "Traceback" in errors
    assert [line.split("\t")[:2] for line in lines if line.startswith("CRASH")] == [["CRASH", "0"]]
    assert any(line.startswith("TRANSMIT\t1\t8") for line in lines)


def test_invalid_settings_crash_the_instance_with_their_key() -> None:
    _, lines, _ = run(batch(1, "POWER_ON\t0\t5\tgroupSize=0\trequestClasses.count=1\n"))
    assert any(line.startswith("CRASH\t0\tValueError: groupSize") for line in lines)


def transcript(instances: list[int]) -> str:
    """Return 31 batches in which each instance receives jobs and timers."""
    text = batch(1, *(power_on(i, 10 + i) for i in instances))
    for step in range(30):
        events = [work_item(i, 100 + step * 10 + i, step % 3) for i in instances]
        events += [f"REMINDER\t{i}\t1\n" for i in instances]
        text += batch(step + 2, *events, now=100.0 + step * 0.05)
    return text


def lines_of(lines: list[str], instance: int) -> list[str]:
    """Return the actions of one instance among the lines of output."""
    return [line for line in lines if line.split("\t")[1:2] == [str(instance)] and not line.startswith("OK")]


def test_instances_act_the_same_together_and_alone() -> None:
    """Instances in one process must not share any state."""
    together = run(transcript([0, 1, 2]))[1]
    for instance in range(3):
        assert lines_of(together, instance) == lines_of(run(transcript([instance]))[1], instance)


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    """An iteration over a set would make decisions depend on PYTHONHASHSEED."""
    replies = set()
    for seed in ("0", "1", "77"):
        done = subprocess.run(
            [sys.executable, "-m", "beaconhinge.simulator"],
            input=transcript([0, 1]),
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
            cwd=ROOT,
            check=True,
            timeout=60,
        )
        replies.add(done.stdout)
    assert len(replies) == 1
