"""`beaconhinge logs sum` on log lines that the program itself wrote."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest

from beaconhinge.cli import main
from beaconhinge.logs import event_names, summary, writer
from beaconhinge.runtime.metrics import Metrics


def write_log(form: str, start: float) -> str:
    """Return the log of a process that is started twice and logs an error, as its own `Metrics` writes it."""
    sink, now = io.StringIO(), [start]
    metrics = Metrics(lambda: now[0], sink, None if form == "plain" else writer(form, sink, lambda: now[0]))
    for run in (1, 2):
        metrics.counters.clear()
        metrics.log("started", name="n0", workers=9)
        metrics.count("requests_taken", 10)
        metrics.log_counters()
        now[0] += 1.0
        metrics.count_and_log("discovery_failed", why="status 503: a = 'b'")
        metrics.count("requests_taken", 5 * run)
        metrics.log_counters()
        now[0] += 1.5
    return sink.getvalue()


@pytest.mark.parametrize("form", ["plain", "json"])
def test_sums_events_by_second_and_dispatcher_and_all_counters(
    form: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for name, start in (("n0", 1000.0), ("n1", 1001.0)):
        (tmp_path / f"{name}.log").write_text(
            "".join(
                f"[{n}] {line}\n" if form == "plain" else line + "\n"
                for n, line in enumerate(write_log(form, start).splitlines())
            )
            + "a stranger's line\n\n"
        )
    files = [str(tmp_path / "n0.log"), str(tmp_path / "n1.log")]
    assert main(["logs", "sum", "--json", *files]) == 0
    sums = json.loads(capsys.readouterr().out)
    assert sums["counters"]["requests_taken"] == 2 * (15 + 20)
    assert sums["unread"] == 2
    assert sums["seconds"]["1"] == {"counters": 2, "discovery_failed": 1, "started": 1}
    assert sums["dispatchers"]["n1"] == {"counters": 4, "discovery_failed": 1, "started": 2}
    assert main(["logs", "sum", *files]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split() == ["second", "counters", "started", "discovery_failed"]
    assert "requests_taken 70" in lines
    assert lines[-1].startswith("2 lines")


@pytest.mark.parametrize(
    "line", ["", "{", "{}", '{"time": "x", "event": 1}', "12 started", "1.5", "1.5 a=b", "[" * 99999]
)
def test_other_lines_are_not_parsed(line: str) -> None:
    assert summary.parse_line(line) is None


def test_renamed_events_and_counters_are_summed_under_new_names() -> None:
    old = [
        "1.000 started name=n0",
        "2.000 books_restored age=1.0",
        "3.000 counters books_written=2 reloads=1",
    ]
    new = [
        "1.500 started name=n1",
        '{"time": 2.5, "event": "quota_snapshot_restored"}',
        "3.500 counters quota_snapshot_written=3",
    ]
    sums = summary.sum_logs([("n0", old), ("n1", new)])
    assert (
        sums.events_by_dispatcher["n0", "quota_snapshot_restored"]
        == sums.events_by_dispatcher["n1", "quota_snapshot_restored"]
        == 1
    )
    assert sums.counters == {"quota_snapshot_written": 5, "reloads": 1}
    assert sums.unread == 0


def test_no_new_event_name_is_an_old_one_and_oncall_page_lists_all() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs/oncall.md").read_text()
    assert not set(event_names.NEW_NAMES) & set(event_names.NEW_NAMES.values())
    for old, new in event_names.NEW_NAMES.items():
        assert f"| `{old}` | `{new}` |" in page
