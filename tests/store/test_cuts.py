"""A power cut at any disk operation or any byte of a write must lose no acknowledged batch.

Each cut leaves some of the unsynced writes on the simulated disk; the store is opened on what is left.
"""

from __future__ import annotations

import pytest
from explore import Run, check_every_cut, history

from beaconhinge.standin.disk import SimDisk

SEED, GROUPS = 1, 10


def test_cut_history_rolls_and_cleans_segments() -> None:
    """The other tests cover rolling and cleaning only if the history has enough of both."""
    run = Run(SimDisk())
    run.play(history(SEED, GROUPS))
    operations = [(operation, name.split(".")[-1]) for operation, name, _ in run.disk.log]
    assert operations.count(("create", "log")) >= 4
    assert operations.count(("remove", "log")) >= 2  # segments that were cleaned
    assert ("rename", "idx") in operations


def test_every_cut_keeps_acknowledged_and_whole_batches() -> None:
    assert check_every_cut(SEED, GROUPS, recovery_cuts_every=151, seeds=1) > 8000


@pytest.mark.parametrize("seed", range(2, 3))
def test_other_histories_survive_every_cut(seed: int) -> None:
    assert check_every_cut(seed, 6, recovery_cuts_every=199, seeds=1) > 500
