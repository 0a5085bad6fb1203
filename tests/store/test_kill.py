"""A process that commits is killed at random points; whatever it had printed as acknowledged is found again.
"""

from __future__ import annotations

import random
import signal
import subprocess
import sys
from pathlib import Path

from beaconhinge.standin.committer import OPTIONS, keys
from beaconhinge.store import Store

KILLS = 30


def killed_after(folder: Path, start: int, lines: int) -> list[str]:
    """What a committer printed until it was killed, right after its line of that number."""
    with subprocess.Popen([sys.executable, "-m", "beaconhinge.standin.committer", str(folder), str(start)],
                          stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        seen = [process.stdout.readline() for _ in range(lines)]
        process.send_signal(signal.SIGKILL)
        rest = process.stdout.read()  # what it had printed by then counts as well
        seen += [line for line in rest.splitlines(keepends=True) if line.endswith("\n")]
    return [line.strip() for line in seen]


def test_nothing_acknowledged_is_lost_over_many_kills(tmp_path: Path) -> None:
    draw = random.Random(7)
    present: set[int] = set()
    gone: set[int] = set()
    start = 0
    for _ in range(KILLS):
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
    assert len(present) > 1000 and len(gone) > 50
