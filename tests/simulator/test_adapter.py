"""The adapter on short transcripts written for the purpose."""

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
    return (
        f"POWER_ON\t{instance}\t{seed}\t{SETTINGS}\nDIRECTORY_UPDATE\t{instance}\tremembered\t1\t2\n"
        "ITEM\t0\t0\tU\t100\t1\t-\t0\nITEM\t0\t1\tU\t101\t1.5\t6.1\t0\n"
    )


def batch(index: int, *lines: str, now: float = 100.0) -> str:
    return f"BATCH\t{now}\t{index}\n" + "".join(lines) + "YOUR_TURN\n"


def run(text: str) -> tuple[int, list[str], str]:
    sink, complaints = io.StringIO(), io.StringIO()
    code = SimulatorAdapter(io.StringIO(text), sink, complaints).run()
    return code, sink.getvalue().splitlines(), complaints.getvalue()


def work(instance: int, call: int, cls: int = 0) -> str:
    return f"WORK_ITEM\t{instance}\t{call}\t{cls}\t-\t-\t4\t0.5\t1\t-\t1\n"


def test_empty_batch_and_end_of_input() -> None:
    assert run(batch(1)) == (0, ["OK\t1"], "")


def test_a_job_is_sent_and_its_outcome_ends_it() -> None:
    code, lines, complaints = run(
        batch(1, power_on(3))
        + batch(2, work(3, 7), now=100.1)
        + batch(3, "RESOLVED\t3\t7\t100\t-\tserved\t1\t0\t0.4\ttps:1,x0:2\n", now=100.5)
    )
    assert code == 0
    assert complaints == ""
    sent = [line.split("\t") for line in lines if line.startswith("TRANSMIT")]
    assert len(sent) == 1
    assert sent[0][1:4] == ["3", "7", "0"]
    assert sent[0][4] in ("100", "101")
    assert [line for line in lines if line.startswith("OK")] == ["OK\t1", "OK\t2", "OK\t3"]


def test_retire_and_power_on_in_one_batch_forget_everything() -> None:
    code, lines, _ = run(
        batch(1, power_on(0), work(0, 7))
        + batch(2, "RETIRE\t0\n", power_on(0, 6), now=101.0)
        + batch(3, "RESOLVED\t0\t7\t100\t-\tserver_error\t0\t0\t0.1\t-\n", "VANISHED\t0\t7\n", now=101.5)
    )
    assert code == 0
    assert lines[-1] == "OK\t3"
    assert lines[-2] == "OK\t2"


def test_a_very_long_batch() -> None:
    code, lines, _ = run(batch(1, power_on(0), *(work(0, n) for n in range(1, 5001))))
    assert code == 0
    assert lines[-1] == "OK\t1"


def test_every_event_is_read() -> None:
    code, lines, complaints = run(
        batch(1, power_on(0), work(0, 7))
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
    assert code == 0
    assert complaints == ""
    assert lines[-1] == "OK\t2"


def test_an_unknown_event_is_skipped_and_noted_once() -> None:
    code, lines, complaints = run(batch(1, "COMET\t1\n", "COMET\t2\n"))
    assert code == 0
    assert lines == ["OK\t1"]
    assert complaints.count("COMET") == 1


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
def test_a_malformed_line_is_named_plainly(line: str, field: str) -> None:
    code, _, complaints = run(batch(1, power_on(0)) + batch(2, line))
    assert code == 2
    assert "batch 2, line" in complaints
    assert f"field {field}" in complaints
    assert "Traceback" not in complaints


def test_bad_framing_is_named_plainly() -> None:
    assert run("HELLO\t1\n")[0] == 2
    assert run("BATCH\t1\t1\n")[0] == 2


def test_an_exception_becomes_a_crash_of_that_instance_alone() -> None:
    code, lines, complaints = run(batch(1, power_on(0), power_on(1), work(0, 7, cls=9), work(1, 8)))
    assert code == 0
    assert "Traceback" in complaints
    assert [line.split("\t")[:2] for line in lines if line.startswith("CRASH")] == [["CRASH", "0"]]
    assert any(line.startswith("TRANSMIT\t1\t8") for line in lines)


def test_senseless_settings_crash_with_the_key() -> None:
    _, lines, _ = run(batch(1, "POWER_ON\t0\t5\tgroupSize=0\trequestClasses.count=1\n"))
    assert any(line.startswith("CRASH\t0\tValueError: groupSize") for line in lines)


def transcript(instances: list[int]) -> str:
    text = batch(1, *(power_on(i, 10 + i) for i in instances))
    for step in range(30):
        events = [work(i, 100 + step * 10 + i, step % 3) for i in instances]
        events += [f"REMINDER\t{i}\t1\n" for i in instances]
        text += batch(step + 2, *events, now=100.0 + step * 0.05)
    return text


def of(lines: list[str], instance: int) -> list[str]:
    return [line for line in lines if line.split("\t")[1:2] == [str(instance)] and not line.startswith("OK")]


def test_instances_act_alike_together_and_apart() -> None:
    together = run(transcript([0, 1, 2]))[1]
    for instance in range(3):
        assert of(together, instance) == of(run(transcript([instance]))[1], instance)


def test_actions_do_not_hang_on_the_hash_seed() -> None:
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
