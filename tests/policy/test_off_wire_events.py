"""Events that the simulator's wire does not know, compared with a golden text of the first decisions.

Operators take workers out and put them back, sibling processes have slots out, and the process itself stalls,
among jobs, outcomes, progress notices and membership updates. `data/off_wire_*.txt` was written by the code as
it stood before its parts were named and taken apart; the names of actions in it are those of today.
"""

from __future__ import annotations

import random
from dataclasses import astuple
from pathlib import Path
from typing import Any

import pytest
from helpers import PAIRS

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher

DATA = Path(__file__).parent / "data"
DURATION_S = 12.0
STEP_S = 0.02
WORKERS = 8
PROGRESS = {
    "familyInfo.progress": "0.5",
    "familyInfo.tellsStart": "true",
    "policyLimits.mayDuplicate": "true",
}
TENANTS = {
    "orgs.count": "2",
    "orgs.0.share": "0.7",
    "orgs.1.share": "0.3",
    "orgs.1.quotaRps": "6",
    "overShareWorth": "0.3",
    "requestClasses.0.lateWorth": "0.4",
    "rules.drainRelease": "1",
}
REPORTS = {
    "report.source": "answers",
    "report.names": "x0,depth",
    "familyInfo.reportX0": "free_slots",
    "policyLimits.probes": "true",
}
SITES = {
    "alone": {**PAIRS, **TENANTS, **PROGRESS},
    "pair": {**PAIRS, **TENANTS, **PROGRESS, "groupSize": "2", "myNumber": "1", "policyLimits.peers": "true"},
    "silent_pair": {**PAIRS, **TENANTS, **REPORTS, "groupSize": "2", "membershipMode": "on_request"},
    "large": {
        **PAIRS,
        **PROGRESS,
        **REPORTS,
        "groupSize": "40",
        "myNumber": "7",
        "policyLimits.peers": "true",
    },
}
OUTCOMES = (
    ["served"] * 14 + ["turned_away"] * 3 + ["server_error", "no_answer", "no_connection", "connection_lost"]
)


class Script:
    """Feeds a dispatcher with events drawn from a seed and with the ends of what it sends; keeps what it says."""

    def __init__(self, pairs: dict[str, str], seed: int) -> None:
        self.random = random.Random(seed)
        self.dispatcher: Any = Dispatcher(interface.Settings.from_pairs(pairs), seed)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.running: list[
            tuple[float, float, int, int, int]
        ] = []  # ends at, sent at, request, worker, attempt
        self.attempts: dict[int, int] = {}
        self.out = dict.fromkeys(range(100, 100 + WORKERS), 0)
        self.in_maintenance: set[int] = set()
        self.lines: list[str] = []

    def feed(self, name: str, *values: object) -> None:
        """One event, and the answer to it as lines of text."""
        actions = self.dispatcher.handle(self.now, getattr(interface, name)(*values))
        for action in actions:
            shown = ", ".join(v.hex() if isinstance(v, bytes) else repr(v) for v in astuple(action))
            self.lines.append(f"{self.now:.2f} {name}: {type(action).__name__}({shown})")
        for action in actions:
            self.obey(type(action).__name__, astuple(action))

    def obey(self, name: str, values: tuple[Any, ...]) -> None:
        """Let time and workers do what an action asks for."""
        if name == "SetTimer":
            self.timers.append((self.now + values[1], values[0]))
        elif name == "ProbeWorker":
            self.feed(
                "ProbeResult", values[0], interface.AttemptOutcome("served"), 0.01, {"x0": 2.0, "depth": 0.0}
            )
        elif name == "SendAttempt":
            request, worker = values[0], values[1]
            attempt = self.attempts.get(request, 0)
            self.attempts[request] = attempt + 1
            self.out[worker] += 1
            took = self.random.choice((0.1, 0.3, 0.6, 1.5))
            self.running.append((self.now + took, self.now, request, worker, attempt))

    def end_attempts(self) -> None:
        """End what has run long enough, and tell of the progress of some of the rest."""
        for entry in sorted(self.running):
            ends_at, sent_at, request, worker, attempt = entry
            if ends_at > self.now:
                if self.random.random() < 0.04:
                    share = (self.now - sent_at) / (ends_at - sent_at)
                    self.feed("ProgressNotice", request, worker, attempt, self.random.choice((1, 2)), share)
                continue
            self.running.remove(entry)
            self.out[worker] -= 1
            outcome = interface.AttemptOutcome(self.random.choice(OUTCOMES))
            load = (
                {"x0": float(max(0, 4 - self.out[worker])), "depth": 0.0}
                if self.random.random() < 0.5
                else None
            )
            settled = outcome.value == "served"
            self.feed("AttemptEnded", request, worker, attempt, outcome, settled, self.now - sent_at, load)

    def off_wire(self) -> None:
        """Now and then an event that the simulator's wire does not know."""
        draw = self.random.random()
        worker = self.random.randrange(100, 101 + WORKERS)  # one of them is in no list
        if draw < 0.02:
            enabled = worker not in self.in_maintenance
            (self.in_maintenance.add if enabled else self.in_maintenance.discard)(worker)
            self.feed("MaintenanceMode", worker, enabled)
        elif draw < 0.06:
            self.feed("SiblingLoad", worker, self.random.choice((2.0, 1.0, 0.0, -1.0, -2.0)))
        elif draw < 0.07:
            self.feed("ProcessStalled", self.random.choice((0.3, 1.0, 3.0)))

    def update_membership(self, kind: str) -> None:
        """A list, or a change, with drains and restarts."""
        members = []
        for number in range(WORKERS):
            if kind == "changes" and self.random.random() < 0.6:
                continue
            state = interface.WorkerState("L" if kind == "changes" and self.random.random() < 0.3 else "U")
            restarted = self.now - 1.0 if kind == "changes" and self.random.random() < 0.3 else 0.0
            members.append(
                interface.MemberEntry(100 + number, state, 0, number % 2, number % 3, 1.0, restarted)
            )
        self.feed("MembershipUpdate", interface.UpdateKind(kind), 1, members)

    def run(self) -> str:
        """All lines of the run."""
        self.feed("Start")
        self.update_membership("remembered")
        requests, steps = 0, int(DURATION_S / STEP_S)
        for step in range(1, steps + 1):
            self.now = 1000.0 + step * STEP_S
            for timer in sorted(t for t in self.timers if t[0] <= self.now):
                self.timers.remove(timer)
                self.feed("TimerFired", timer[1])
            self.end_attempts()
            self.off_wire()
            if step % 50 == 0:
                self.update_membership(self.random.choice(("all", "changes", "changes", "refused")))
            if self.random.random() < (0.9 if 250 < step < 350 else 0.4):
                requests += 1
                cls, tenant = self.random.randrange(3), self.random.randrange(2)
                hint = self.random.choice((0.0, 0.2, 0.5, 1.0))
                remaining = self.random.choice((1.5, 4.0, 4.0))
                self.feed("JobArrived", requests, cls, tenant, remaining, "", hint)
            if requests and self.random.random() < 0.02:
                self.feed("ClientDisconnected", self.random.randint(1, requests))
        return "".join(f"{line}\n" for line in self.lines)


@pytest.mark.parametrize("site", SITES)
def test_events_off_the_wire_are_answered_as_ever(site: str) -> None:
    expected = (DATA / f"off_wire_{site}.txt").read_text()
    assert Script(SITES[site], 5).run().splitlines() == expected.splitlines()
