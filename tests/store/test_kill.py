"""A process that is killed with SIGKILL while it commits must lose no commit that it printed as acknowledged."""

from __future__ import annotations

import argparse
import random
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from beaconhinge.standin.committer import OPTIONS, keys
from beaconhinge.store import Store

KILLS = 30


def output_until_kill(folder: Path, start: int, lines: int) -> list[str]:
    """Start a committer, kill it after it has printed `lines` lines, and return all complete lines it printed."""
    with subprocess.Popen(
        [sys.executable, "-m", "beaconhinge.standin.committer", str(folder), str(start)],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        output = [process.stdout.readline() for _ in range(lines)]
        process.send_signal(signal.SIGKILL)
        late_output = process.stdout.read()  # lines printed before the kill count as well
        output += [line for line in late_output.splitlines(keepends=True) if line.endswith("\n")]
    return [line.strip() for line in output]


def check_many_kills(tmp_path: Path, kills: int, seed: int) -> tuple[int, int]:
    """Kill a committer `kills` times over one folder; return the numbers of acknowledged puts and deletions."""
    rng = random.Random(seed)
    present: set[int] = set()
    deleted: set[int] = set()
    start = 0
    for _ in range(kills):
        lines = output_until_kill(tmp_path, start, rng.randrange(1, 400))
        assert lines[0] == "open"
        for line in lines[1:]:
            change, number = line.split()
            (present if change == "put" else deleted).add(int(number))
        start = max([start, *present]) + 1000
        store = Store.open(tmp_path, OPTIONS)
        try:
            for number in present | deleted:
                first, second = (store.get(key) for key in keys(number))
                assert first == second  # both keys of a batch or none
                if number in deleted:
                    assert first is None
                elif number % 10 or number + 100 not in present or first is not None:
                    assert first == b"%d" % number * 20
                else:  # its deletion was committed but not yet printed at the kill
                    deleted.add(number)
        finally:
            store.shut()
    return len(present), len(deleted)


def test_acknowledged_commits_survive_kills(tmp_path: Path) -> None:
    puts, deletions = check_many_kills(tmp_path, KILLS, seed=7)
    assert puts > 1000
    assert deletions > 50


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Kill a process that commits, many times over one folder.")
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        counts = check_many_kills(Path(folder), args.kills, args.seed)
        print(f"{args.kills} kills, {counts[0]} puts and {counts[1]} deletions acknowledged, all well")
