"""A process that commits is killed at random points; whatever it had printed as acknowledged is found again."""

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


def killed_after(folder: Path, start: int, lines: int) -> list[str]:
    """What a committer printed until it was killed, right after its line of that number."""
    with subprocess.Popen(
        [sys.executable, "-m", "beaconhinge.standin.committer", str(folder), str(start)],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        seen = [process.stdout.readline() for _ in range(lines)]
        process.send_signal(signal.SIGKILL)
        rest = process.stdout.read()  # what it had printed by then counts as well
        seen += [line for line in rest.splitlines(keepends=True) if line.endswith("\n")]
    return [line.strip() for line in seen]


def kill_often(tmp_path: Path, kills: int, seed: int) -> tuple[int, int]:
    """Kill a committer so often over one folder; how many puts and deletions had been acknowledged."""
    draw = random.Random(seed)
    present: set[int] = set()
    gone: set[int] = set()
    start = 0
    for _ in range(kills):
        lines = killed_after(tmp_path, start, draw.randrange(1, 400))
        assert lines[0] == "open"
        for line in lines[1:]:
            what, number = line.split()
            (present if what == "put" else gone).add(int(number))
        start = max([start, *present]) + 1000
        store = Store.open(tmp_path, OPTIONS)
        try:
            for number in present | gone:
                first, second = (store.get(key) for key in keys(number))
                assert first == second  # whole batches
                if number in gone:
                    assert first is None
                elif number % 10 or number + 100 not in present or first is not None:
                    assert first == b"%d" % number * 20
                else:  # its deletion was under way, and not told when the end came
                    gone.add(number)
        finally:
            store.shut()
    return len(present), len(gone)


def test_nothing_acknowledged_is_lost_over_many_kills(tmp_path: Path) -> None:
    puts, deletions = kill_often(tmp_path, KILLS, seed=7)
    assert puts > 1000
    assert deletions > 50


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Kill a process that commits, many times over one folder.")
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory() as place:
        done = kill_often(Path(place), asked.kills, asked.seed)
        print(f"{asked.kills} kills, {done[0]} puts and {done[1]} deletions acknowledged, all well")
