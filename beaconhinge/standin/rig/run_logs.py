"""The logs of a run as files, for whoever looks into a broken rule."""

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
    """Write the lines of each dispatcher, the attempts of the clients and the faults of the run.

    Times in `attempts.jsonl` are seconds since the run began.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for process in topology.processes:
        _write_lines(folder / f"dispatcher-{process.number}.jsonl", process.log_lines)
    since_began = (_since(attempt, record.began_at) for attempt in attempts)
    _write_lines(folder / "attempts.jsonl", since_began)
    (folder / "events.txt").write_text("".join(line + "\n" for line in record.events))


def _since(attempt: ClientAttempt, began_at: float) -> Mapping[str, Any]:
    return {
        **msgspec.structs.asdict(attempt),
        "sent_at": attempt.sent_at - began_at,
        "ended_at": attempt.ended_at - began_at,
    }


def _write_lines(path: Path, lines: Iterable[Mapping[str, Any]]) -> None:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
