"""CPU of the decision module for each event: `python benchmarks/module.py [FILE]`.

Microseconds for a job, a notice, an outcome, a datagram and a timer, by size of group and fleet; ratios to
the smallest size. One module is driven by itself, with as many jobs out as its part of the fleet has slots.
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

GROUPS, FLEETS, EVENTS = (2, 10, 40, 200), (10, 60, 200, 600), 1500


def module(group: int, workers: int) -> Dispatcher:
    told = {**settings(5.0 * workers, True), "groupSize": str(group), "myNumber": "0"}
    made = Dispatcher(interface.Settings.from_pairs(told), 1)
    made.handle(1000.0, interface.Start())
    made.handle(
        1000.0,
        interface.MembershipUpdate(
            UpdateKind.BOOTSTRAP,
            1,
            [interface.MemberEntry(n * 7919 + 1, cell=n % 6, zone=n % 2) for n in range(workers)],
        ),
    )
    return made


def play(group: int, workers: int) -> dict[str, float]:
    """Seconds of CPU, in microseconds for each event of a kind."""
    made, draw, now, spent = module(group, workers), random.Random(1), 1000.0, dict.fromkeys(KINDS, 0.0)
    counted = dict.fromkeys(KINDS, 0)
    out: deque[interface.SendAttempt] = deque()
    depth = max(2, 3 * workers // group)

    def feed(kind: str, event: interface.Event) -> None:
        begun = time.process_time()
        actions = made.handle(now, event)
        spent[kind] += time.process_time() - begun
        counted[kind] += 1
        for sent in actions:
            if isinstance(sent, interface.SendAttempt):
                out.append(sent)
                feed(
                    "notice",
                    interface.ProgressNotice(sent.request, sent.worker, 0, NoticeKind.STARTED),
                )

    for number in range(EVENTS):
        now += 0.01
        feed("job", interface.JobArrived(number, number % 2, number % 3, 20.0))
        while len(out) > depth:
            done = out.popleft()
            feed(
                "outcome",
                interface.AttemptEnded(
                    done.request, done.worker, 0, AttemptOutcome.SERVED, True, 0.4, {"x0": 2.0}
                ),
            )
        news = [(draw.getrandbits(14), codec.DeltaKind.SENT) for _ in range(3)]
        peer = 1 + number % min(group - 1, 39)
        payload = codec.encode_deltas(codec.DeltaMessage(peer & 255, number & 255, news))
        feed("datagram", interface.PeerMessage(peer, payload))
        if number % 10 == 0:
            feed("timer", interface.TimerFired(TICK_TIMER))
    return {kind: 1e6 * spent[kind] / max(1, counted[kind]) for kind in KINDS}


KINDS = ("job", "notice", "outcome", "datagram", "timer")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=Path, default=Path("build/benchmarks/module.json"))
    file = parser.parse_args().file
    result: dict[str, dict[str, float]] = {}
    print(f"{'dispatchers x workers':>22} " + " ".join(f"{kind + ', us (ratio)':>20}" for kind in KINDS))
    for group in GROUPS:
        for workers in FLEETS:
            name = f"{group} x {workers}"
            result[name] = play(group, workers)
            first = result[f"{GROUPS[0]} x {FLEETS[0]}"]
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
