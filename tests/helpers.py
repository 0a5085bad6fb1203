"""Settings, a driver and a rule checker for histories of events and actions; no fleet is modelled here."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import PROVEN_UNRUN, AttemptOutcome, Semantics, UpdateKind, WorkerState

PAIRS = {
    "groupSize": "1",
    "myNumber": "0",
    "requestClasses.count": "3",
    "requestClasses.0.aim": "1",
    "requestClasses.0.hardLimit": "4",
    "requestClasses.0.semantics": "retryable",
    "requestClasses.1.aim": "1",
    "requestClasses.1.hardLimit": "4",
    "requestClasses.1.semantics": "dedup",
    "requestClasses.1.group": "cell",
    "requestClasses.1.dedupWindow": "2",
    "requestClasses.2.aim": "1",
    "requestClasses.2.hardLimit": "4",
    "requestClasses.2.semantics": "fragile",
    "policyLimits.maxAttempts": "4",
    "policyLimits.retryAfter": "true",
    "policyLimits.maxRetryAfter": "2",
    "policyLimits.cancel": "true",
    "rules.coldShare": "0.2",
    "rules.warmWithin": "10",
    "rules.fallMultiple": "3",
    "rules.tipAfter": "1",
    "rules.drainGrace": "0.5",
    "rules.graceToAnswer": "0.016",
}


def settings(**changes: str) -> interface.Settings:
    pairs = dict(PAIRS)
    pairs.update({key.replace("__", "."): value for key, value in changes.items()})
    return interface.Settings.from_pairs(pairs)


def members(count: int, **common: object) -> list[interface.MemberEntry]:
    return [interface.MemberEntry(worker=100 + i, cell=i % 2, **common) for i in range(count)]  # type: ignore[arg-type]


def started(count: int = 4, seed: int = 1, now: float = 100.0, **changes: str) -> Dispatcher:
    dispatcher = Dispatcher(settings(**changes), seed)
    dispatcher.handle(now, interface.Start())
    dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, members(count)))
    return dispatcher


def sends(actions: Iterable[interface.Action]) -> list[interface.SendAttempt]:
    return [a for a in actions if isinstance(a, interface.SendAttempt)]


def job(request: int, cls: int = 0, **more: object) -> interface.JobArrived:
    values: dict[str, object] = {"remaining": 4.0, "size_hint": 0.5}
    values.update(more)
    return interface.JobArrived(request, cls, values.pop("tenant", 0), **values)  # type: ignore[arg-type]


def outcome(
    request: int, worker: int, what: str, attempt: int = 0, latency: float = 0.5
) -> interface.AttemptEnded:
    return interface.AttemptEnded(request, worker, attempt, what, what == AttemptOutcome.SERVED, latency)


@dataclass
class _Call:
    cls: interface.RequestClass
    deadline: float
    attempts: list[tuple[int, float]] = field(default_factory=list)  # worker, time
    outcomes: dict[int, str] = field(default_factory=dict)
    settled: bool = False
    gone: bool = False


class RuleChecker:
    """Watches a history and lists what breaks the rules, from the words of the interface alone."""

    def __init__(self, given: interface.Settings) -> None:
        self.given = given
        self.calls: dict[int, _Call] = {}
        self.cells: dict[int, tuple[int, int]] = {}
        self.left: dict[int, float] = {}
        self.started_at: dict[int, float] = {}
        self.cold: dict[int, list[tuple[float, float]]] = {}
        self.used: dict[
            int, float
        ] = {}  # worker: last send, outcome or notice since which nothing was given back
        self.broken: list[str] = []

    def event(self, now: float, event: interface.Event) -> None:
        if isinstance(event, interface.MembershipUpdate) and event.kind != UpdateKind.REFUSED:
            named = {m.worker for m in event.members}
            if event.kind != UpdateKind.CHANGES:
                for worker in self.cells:
                    if worker not in named:
                        self.left.setdefault(worker, now)
            for m in event.members:
                self.cells[m.worker] = (m.cell, m.zone)
                if m.state == WorkerState.READY:
                    self.left.pop(m.worker, None)
                    self.started_at[m.worker] = m.started_at
                else:
                    if m.worker not in self.left:
                        self.used[m.worker] = now
                    self.left.setdefault(m.worker, now)
        elif isinstance(event, interface.JobArrived):
            self.calls[event.request] = _Call(self.given.classes[event.class_index], now + event.remaining)
        elif isinstance(event, interface.AttemptEnded) and event.request in self.calls:
            call = self.calls[event.request]
            call.outcomes[event.attempt] = event.outcome
            self.used[event.worker] = now
            call.settled = call.settled or event.settled
        elif isinstance(event, interface.ClientDisconnected) and event.request in self.calls:
            self.calls[event.request].gone = True

    def actions(self, now: float, actions: Iterable[interface.Action]) -> None:
        for action in actions:
            if isinstance(action, interface.SendAttempt):
                self._send(now, action)
            elif isinstance(action, interface.CloseIdleConnections):
                self.used.pop(action.worker, None)
            elif isinstance(action, (interface.Reject, interface.Fail)):
                call = self.calls[action.request]
                if call.settled:
                    self.broken.append(f"1: second final answer for {action.request}")
                if now > call.deadline + self.given.answer_grace_s:
                    self.broken.append(f"1: late answer for {action.request}")
                if isinstance(action, interface.Reject) and not self._refusable(call):
                    self.broken.append(f"2: refusal of {action.request}, which may have run")
                call.settled = True

    def end(self, now: float) -> None:
        for number, call in self.calls.items():
            if not call.settled and not call.gone and now > call.deadline + self.given.answer_grace_s:
                self.broken.append(f"1: no answer for {number}")
        if self.given.drain_close_within_s > 0:
            for worker in self.left.keys() & self.used.keys():
                if now > max(self.used[worker], self.left[worker]) + self.given.drain_close_within_s:
                    self.broken.append(f"3: connections to {worker}, which has left, were kept")

    def _may_have_run(self, call: _Call) -> list[int]:
        return [i for i in range(len(call.attempts)) if call.outcomes.get(i) not in PROVEN_UNRUN]

    def _refusable(self, call: _Call) -> bool:
        free = call.cls.semantics == Semantics.RETRYABLE or (
            call.cls.semantics == Semantics.DEDUPLICATED and call.cls.dedup_group == "all"
        )
        return free or not self._may_have_run(call)

    def _send(self, now: float, send: interface.SendAttempt) -> None:
        call = self.calls[send.request]
        if call.settled:
            self.broken.append(f"1: send after the end of {send.request}")
        ran = self._may_have_run(call)
        if ran and call.cls.semantics == Semantics.UNSAFE:
            self.broken.append(f"2: repeat of {send.request}")
        if ran and call.cls.semantics == Semantics.DEDUPLICATED:
            worker, sent_at = call.attempts[ran[0]]
            at = {"cell": 0, "zone": 1}.get(call.cls.dedup_group)
            if at is not None and self.cells[worker][at] != self.cells[send.worker][at]:
                self.broken.append(f"2: {send.request} left its group")
            if now > sent_at + call.cls.dedup_window_s:
                self.broken.append(f"2: {send.request} repeated after its window")
        if len(call.outcomes) < len(call.attempts) and not self.given.hedging_allowed:
            self.broken.append(f"2: two attempts of {send.request} at once")
        if now > self.left.get(send.worker, float("inf")) + self.given.drain_grace_s:
            self.broken.append(f"3: send to {send.worker}, which has left")
        call.attempts.append((send.worker, now))
        age = now - self.started_at.get(send.worker, 0.0)
        if age < self.given.slow_start_s:
            log = self.cold.setdefault(send.worker, [])
            log.append((now, 1.0))
            recent = [t for t, _ in log if t > now - self.given.overload_window_s]
            if len(recent) > COLD_JOBS:
                self.broken.append(f"4: {len(recent)} sends to the cold worker {send.worker}")


COLD_JOBS = 4  # jobs of 0.5 s of work in one second: above the budget of any cold worker in these settings

Policy = Callable[[float, interface.Event], list[interface.Action]]


class PolicyDriver:
    """Feeds events to a policy, keeps its timers and the checker; outcomes are chosen by the test."""

    def __init__(self, given: interface.Settings, policy: Policy, now: float = 100.0) -> None:
        self.now = now
        self.policy = policy
        self.checker = RuleChecker(given)
        self.timers: list[tuple[float, int]] = []
        self.open: list[tuple[int, int, int]] = []  # request, worker, attempt
        self.count: dict[int, int] = {}
        self.log: list[tuple[float, str]] = []

    def feed(self, event: interface.Event) -> list[interface.Action]:
        self.checker.event(self.now, event)
        actions = self.policy(self.now, event)
        self.checker.actions(self.now, actions)
        for action in actions:
            self.log.append((self.now, repr(action)))
            if isinstance(action, interface.SetTimer):
                self.timers.append((self.now + action.after, action.token))
            elif isinstance(action, interface.SendAttempt):
                attempt = self.count.get(action.request, 0)
                self.count[action.request] = attempt + 1
                self.open.append((action.request, action.worker, attempt))
        return actions

    def advance(self, until: float) -> None:
        """Fire timers in order, and end what is out at its deadline as the interface promises."""
        while True:
            due = [(self.checker.calls[r].deadline, 0, (r, w, a)) for r, w, a in self.open]
            due += [(t, 1, (token, 0, 0)) for t, token in self.timers]
            if not due or min(due)[0] > until:
                break
            at, kind, (first, worker, attempt) = min(due)
            self.now = max(self.now, at)
            if kind == 1:
                self.timers.remove((at, first))
                self.feed(interface.TimerFired(first))
            else:
                self.resolve(self.open.index((first, worker, attempt)), AttemptOutcome.TIMEOUT)
        self.now = max(self.now, until)

    def resolve(self, index: int, outcome: str) -> None:
        request, worker, attempt = self.open.pop(index)
        call = self.checker.calls[request]
        settled = call.settled or outcome == AttemptOutcome.SERVED
        sent_at = call.attempts[attempt][1]
        self.feed(interface.AttemptEnded(request, worker, attempt, outcome, settled, self.now - sent_at))
