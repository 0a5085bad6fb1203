"""Writes the logs of a run to files, to find out why a rule was broken."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from .record import RunRecord
from .topology import Topology
from .verdict import ClientAttempt


def write_logs(
    topology: Topology, attempts: Sequence[ClientAttempt], record: RunRecord, folder: Path
) -> None:
    """Write the log of each dispatcher, the clients' attempts and the events of the run into `folder`.

    `sent_at` and `ended_at` in `attempts.jsonl` are seconds since the run began.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for process in topology.processes:
        _write_lines(folder / f"dispatcher-{process.number}.jsonl", process.log_lines)
    relative_attempts = (_with_relative_times(attempt, record.began_at) for attempt in attempts)
    _write_lines(folder / "attempts.jsonl", relative_attempts)
    (folder / "events.txt").write_text("".join(line + "\n" for line in record.events))


def _with_relative_times(attempt: ClientAttempt, began_at: float) -> Mapping[str, Any]:
    return {
        **msgspec.structs.asdict(attempt),
        "sent_at": attempt.sent_at - began_at,
        "ended_at": attempt.ended_at - began_at,
    }


def _write_lines(path: Path, lines: Iterable[Mapping[str, Any]]) -> None:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
