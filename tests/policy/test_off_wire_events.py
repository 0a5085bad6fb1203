"""Events that are not in the simulator's protocol, compared with golden texts of earlier decisions.

Among jobs, outcomes, progress notices and membership updates, operators put workers into maintenance,
sibling processes use slots, and the process itself stalls. The texts in `data/off_wire_*.txt` were recorded
before the policy was split into components; the names of actions in them have been updated since.
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
DEPLOYMENTS = {
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
    """Feeds a dispatcher with random events and the outcomes of its attempts, and records its actions."""

    def __init__(self, pairs: dict[str, str], seed: int) -> None:
        self.random = random.Random(seed)
        self.dispatcher: Any = Dispatcher(interface.Settings.from_pairs(pairs), seed)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.running: list[
            tuple[float, float, int, int, int]
        ] = []  # ends at, sent at, request, worker, attempt
        self.attempts: dict[int, int] = {}
        self.attempts_in_flight = dict.fromkeys(range(100, 100 + WORKERS), 0)
        self.in_maintenance: set[int] = set()
        self.lines: list[str] = []

    def feed(self, name: str, *values: object) -> None:
        """Pass one event to the dispatcher, record its actions as lines of text, and perform them."""
        actions = self.dispatcher.handle(self.now, getattr(interface, name)(*values))
        for action in actions:
            values_text = ", ".join(v.hex() if isinstance(v, bytes) else repr(v) for v in astuple(action))
            self.lines.append(f"{self.now:.2f} {name}: {type(action).__name__}({values_text})")
        for action in actions:
            self.perform(type(action).__name__, astuple(action))

    def perform(self, name: str, values: tuple[Any, ...]) -> None:
        """Perform an action: set a timer, answer a probe, or start an attempt of random duration."""
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
            self.attempts_in_flight[worker] += 1
            duration_s = self.random.choice((0.1, 0.3, 0.6, 1.5))
            self.running.append((self.now + duration_s, self.now, request, worker, attempt))

    def end_attempts(self) -> None:
        """End the attempts whose time has come, and report progress of some others."""
        for entry in sorted(self.running):
            ends_at, sent_at, request, worker, attempt = entry
            if ends_at > self.now:
                if self.random.random() < 0.04:
                    share = (self.now - sent_at) / (ends_at - sent_at)
                    self.feed("ProgressNotice", request, worker, attempt, self.random.choice((1, 2)), share)
                continue
            self.running.remove(entry)
            self.attempts_in_flight[worker] -= 1
            outcome = interface.AttemptOutcome(self.random.choice(OUTCOMES))
            load = (
                {"x0": float(max(0, 4 - self.attempts_in_flight[worker])), "depth": 0.0}
                if self.random.random() < 0.5
                else None
            )
            settled = outcome.value == "served"
            self.feed("AttemptEnded", request, worker, attempt, outcome, settled, self.now - sent_at, load)

    def feed_off_wire_event(self) -> None:
        """Feed, at random, an event that is not in the simulator's protocol."""
        draw = self.random.random()
        worker = self.random.randrange(100, 101 + WORKERS)  # the last one is in no list
        if draw < 0.02:
            enabled = worker not in self.in_maintenance
            (self.in_maintenance.add if enabled else self.in_maintenance.discard)(worker)
            self.feed("MaintenanceMode", worker, enabled)
        elif draw < 0.06:
            self.feed("SiblingLoad", worker, self.random.choice((2.0, 1.0, 0.0, -1.0, -2.0)))
        elif draw < 0.07:
            self.feed("ProcessStalled", self.random.choice((0.3, 1.0, 3.0)))

    def update_membership(self, kind: str) -> None:
        """Feed a list or a change; changes contain drains and restarts."""
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
        """Run the script and return all recorded lines."""
        self.feed("Start")
        self.update_membership("remembered")
        requests, steps = 0, int(DURATION_S / STEP_S)
        for step in range(1, steps + 1):
            self.now = 1000.0 + step * STEP_S
            for timer in sorted(t for t in self.timers if t[0] <= self.now):
                self.timers.remove(timer)
                self.feed("TimerFired", timer[1])
            self.end_attempts()
            self.feed_off_wire_event()
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


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_decisions_on_off_wire_events_match_golden_text(deployment: str) -> None:
    expected = (DATA / f"off_wire_{deployment}.txt").read_text()
    assert Script(DEPLOYMENTS[deployment], 5).run().splitlines() == expected.splitlines()
