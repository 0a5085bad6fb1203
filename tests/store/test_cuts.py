"""A history is cut at every disk operation and every byte of every write; what was acknowledged is found
again.
"""

from __future__ import annotations

import pytest
from explore import Run, every_cut, history

from beaconhinge.standin.disk import SimDisk

SEED, GROUPS = 1, 10


def test_the_history_that_is_cut_rolls_and_cleans_segments() -> None:
    run = Run(SimDisk())
    run.play(history(SEED, GROUPS))
    done = [(what, name.split(".")[-1]) for what, name, _ in run.disk.log]
    assert done.count(("create", "log")) >= 4
    assert done.count(("remove", "log")) >= 2  # segments that were cleaned
    assert ("rename", "idx") in done


def test_every_cut_leaves_what_was_acknowledged_and_no_half_batch() -> None:
    assert every_cut(SEED, GROUPS, again_every=151, seeds=1) > 8000


@pytest.mark.parametrize("seed", range(2, 3))
def test_other_histories_cut_at_every_operation(seed: int) -> None:
    assert every_cut(seed, 6, again_every=199, seeds=1) > 500
