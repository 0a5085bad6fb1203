"""Measures the CPU time that the decision module takes for each kind of event.

    python benchmarks/module.py [FILE]

Prints microseconds for a job, a notice, an outcome, a datagram and a timer, by number of dispatchers and of
workers, with the ratios to the smallest size. One dispatcher is driven alone, with as many jobs in flight as
its share of the fleet has slots.
"""

from __future__ import annotations

import argparse
import json
import random
import time
from collections import deque
from pathlib import Path

from beaconhinge.gossip import codec
from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import TICK_TIMER, Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, NoticeKind, UpdateKind
from beaconhinge.standin.fleet.plan import settings

GROUP_SIZES = (2, 10, 40, 200)  # dispatchers
FLEET_SIZES = (10, 60, 200, 600)  # workers
JOBS = 1500  # of each measurement
KINDS = ("job", "notice", "outcome", "datagram", "timer")


def create_dispatcher(group: int, workers: int) -> Dispatcher:
    """Return a started dispatcher with a list of `workers` workers, in a group of `group` dispatchers."""
    pairs = {**settings(5.0 * workers, True), "groupSize": str(group), "myNumber": "0"}
    dispatcher = Dispatcher(interface.Settings.from_pairs(pairs), 1)
    dispatcher.handle(1000.0, interface.Start())
    dispatcher.handle(
        1000.0,
        interface.MembershipUpdate(
            UpdateKind.BOOTSTRAP,
            1,
            [interface.MemberEntry(n * 7919 + 1, cell=n % 6, zone=n % 2) for n in range(workers)],
        ),
    )
    return dispatcher


def measure(group: int, workers: int) -> dict[str, float]:
    """Return the mean CPU time of an event, in microseconds, by kind."""
    dispatcher, rng, now = create_dispatcher(group, workers), random.Random(1), 1000.0
    cpu_s = dict.fromkeys(KINDS, 0.0)
    counts = dict.fromkeys(KINDS, 0)
    in_flight: deque[interface.SendAttempt] = deque()
    max_in_flight = max(2, 3 * workers // group)

    def feed(kind: str, event: interface.Event) -> None:
        start_time = time.process_time()
        actions = dispatcher.handle(now, event)
        cpu_s[kind] += time.process_time() - start_time
        counts[kind] += 1
        for action in actions:
            if isinstance(action, interface.SendAttempt):
                in_flight.append(action)
                feed(
                    "notice",
                    interface.ProgressNotice(action.request, action.worker, 0, NoticeKind.STARTED),
                )

    for number in range(JOBS):
        now += 0.01
        feed("job", interface.JobArrived(number, number % 2, number % 3, 20.0))
        while len(in_flight) > max_in_flight:
            done = in_flight.popleft()
            feed(
                "outcome",
                interface.AttemptEnded(
                    done.request, done.worker, 0, AttemptOutcome.SERVED, True, 0.4, {"x0": 2.0}
                ),
            )
        notices = [codec.Delta(rng.getrandbits(14), codec.DeltaKind.SENT) for _ in range(3)]
        peer = 1 + number % min(group - 1, 39)
        payload = codec.encode_deltas(codec.DeltaMessage(peer & 255, number & 255, notices))
        feed("datagram", interface.PeerMessage(peer, payload))
        if number % 10 == 0:
            feed("timer", interface.TimerFired(TICK_TIMER))
    return {kind: 1e6 * cpu_s[kind] / max(1, counts[kind]) for kind in KINDS}


def main() -> None:
    """Measure every size, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=Path, default=Path("build/benchmarks/module.json"))
    file = parser.parse_args().file
    result: dict[str, dict[str, float]] = {}
    print(f"{'dispatchers x workers':>22} " + " ".join(f"{kind + ', us (ratio)':>20}" for kind in KINDS))
    for group in GROUP_SIZES:
        for workers in FLEET_SIZES:
            name = f"{group} x {workers}"
            result[name] = measure(group, workers)
            first = result[f"{GROUP_SIZES[0]} x {FLEET_SIZES[0]}"]
            print(
                f"{name:>22} "
                + " ".join(
                    f"{result[name][kind]:>12.1f} ({result[name][kind] / first[kind]:5.2f})" for kind in KINDS
                )
            )
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
