"""The process clock: Unix time that never goes back."""

from __future__ import annotations

import time

from beaconhinge.runtime.clock import Clock


def test_clock_shows_unix_time_and_never_goes_back() -> None:
    clock = Clock()

    assert abs(clock.now() - time.time()) < 0.1
    times = [clock.now() for _ in range(1000)]
    assert times == sorted(times)
