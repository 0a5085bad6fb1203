"""Settings, a driver and a rule checker for tests of the policy by events and actions, without a fleet."""

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
    """Return settings from PAIRS with changes; `__` in a keyword stands for the `.` in a key."""
    pairs = dict(PAIRS)
    pairs.update({key.replace("__", "."): value for key, value in changes.items()})
    return interface.Settings.from_pairs(pairs)


def members(count: int, **common: object) -> list[interface.MemberEntry]:
    """Return entries of workers numbered from 100 on, in cells 0 and 1 alternately, with common fields."""
    return [interface.MemberEntry(worker=100 + i, cell=i % 2, **common) for i in range(count)]  # type: ignore[arg-type]


def started(count: int = 4, seed: int = 1, now: float = 100.0, **changes: str) -> Dispatcher:
    """Return a policy that has been started and has received a list of workers."""
    dispatcher = Dispatcher(settings(**changes), seed)
    dispatcher.handle(now, interface.Start())
    dispatcher.handle(now, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, members(count)))
    return dispatcher


def sends(actions: Iterable[interface.Action]) -> list[interface.SendAttempt]:
    """Return the actions that send an attempt."""
    return [a for a in actions if isinstance(a, interface.SendAttempt)]


def job(request: int, cls: int = 0, **changes: object) -> interface.JobArrived:
    """Return the event of a job with 4 s left and 0.5 s of work, of tenant 0, with changes to its fields."""
    values: dict[str, object] = {"remaining": 4.0, "size_hint": 0.5}
    values.update(changes)
    return interface.JobArrived(request, cls, values.pop("tenant", 0), **values)  # type: ignore[arg-type]


def outcome(
    request: int, worker: int, kind: str, attempt: int = 0, latency: float = 0.5
) -> interface.AttemptEnded:
    """Return the event of an attempt that ended; only the outcome SERVED settles the request."""
    return interface.AttemptEnded(request, worker, attempt, kind, kind == AttemptOutcome.SERVED, latency)


@dataclass
class _Call:
    """One request of a client. Times are the test's, in seconds."""

    cls: interface.RequestClass
    deadline: float
    attempts: list[tuple[int, float]] = field(default_factory=list)  # (worker, time sent)
    outcomes: dict[int, str] = field(default_factory=dict)  # by number of the attempt
    settled: bool = False  # whether it has its final answer
    disconnected: bool = False


class RuleChecker:
    """Checks a history of events and actions, and lists the broken rules.

    It relies only on what the policy's interface states. Dictionaries without another comment are keyed by
    worker.
    """

    def __init__(self, rule_settings: interface.Settings) -> None:
        self.settings = rule_settings
        self.calls: dict[int, _Call] = {}  # by request
        self.cells: dict[int, tuple[int, int]] = {}  # (cell, zone)
        self.left: dict[int, float] = {}  # when the worker left the list or began to drain
        self.started_at: dict[int, float] = {}
        # (time, 1.0) of each send while the worker was cold
        self.cold: dict[int, list[tuple[float, float]]] = {}
        # Time of the last send, outcome or notice of a drain since idle connections were closed.
        self.used: dict[int, float] = {}
        self.broken: list[str] = []

    def event(self, now: float, event: interface.Event) -> None:
        """Take an event that the policy receives."""
        if isinstance(event, interface.MembershipUpdate) and event.kind != UpdateKind.REFUSED:
            listed = {m.worker for m in event.members}
            if event.kind != UpdateKind.CHANGES:
                for worker in self.cells:
                    if worker not in listed:
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
            self.calls[event.request] = _Call(self.settings.classes[event.class_index], now + event.remaining)
        elif isinstance(event, interface.AttemptEnded) and event.request in self.calls:
            call = self.calls[event.request]
            call.outcomes[event.attempt] = event.outcome
            self.used[event.worker] = now
            call.settled = call.settled or event.settled
        elif isinstance(event, interface.ClientDisconnected) and event.request in self.calls:
            self.calls[event.request].disconnected = True

    def actions(self, now: float, actions: Iterable[interface.Action]) -> None:
        """Check the actions that the policy returned."""
        for action in actions:
            if isinstance(action, interface.SendAttempt):
                self._send(now, action)
            elif isinstance(action, interface.CloseIdleConnections):
                self.used.pop(action.worker, None)
            elif isinstance(action, (interface.Reject, interface.Fail)):
                call = self.calls[action.request]
                if call.settled:
                    self.broken.append(f"1: second final answer for {action.request}")
                if now > call.deadline + self.settings.answer_grace_s:
                    self.broken.append(f"1: late answer for {action.request}")
                if isinstance(action, interface.Reject) and not self._may_be_rejected(call):
                    self.broken.append(f"2: rejection of {action.request}, which may have run")
                call.settled = True

    def end(self, now: float) -> None:
        """Check the end of the history: requests without an answer, and connections that were kept."""
        for number, call in self.calls.items():
            if (
                not call.settled
                and not call.disconnected
                and now > call.deadline + self.settings.answer_grace_s
            ):
                self.broken.append(f"1: no answer for {number}")
        if self.settings.drain_close_within_s > 0:
            for worker in self.left.keys() & self.used.keys():
                if now > max(self.used[worker], self.left[worker]) + self.settings.drain_close_within_s:
                    self.broken.append(f"3: connections to {worker}, which has left, were kept")

    def _may_have_run(self, call: _Call) -> list[int]:
        """Return the numbers of the attempts that may have run on a worker."""
        return [i for i in range(len(call.attempts)) if call.outcomes.get(i) not in PROVEN_UNRUN]

    def _may_be_rejected(self, call: _Call) -> bool:
        """Return whether a rejection, after which the client may retry anywhere, cannot run a job twice."""
        retryable_anywhere = call.cls.semantics == Semantics.RETRYABLE or (
            call.cls.semantics == Semantics.DEDUPLICATED and call.cls.dedup_group == "all"
        )
        return retryable_anywhere or not self._may_have_run(call)

    def _send(self, now: float, send: interface.SendAttempt) -> None:
        call = self.calls[send.request]
        if call.settled:
            self.broken.append(f"1: send after the end of {send.request}")
        may_have_run = self._may_have_run(call)
        if may_have_run and call.cls.semantics == Semantics.UNSAFE:
            self.broken.append(f"2: unsafe retry of {send.request}")
        if may_have_run and call.cls.semantics == Semantics.DEDUPLICATED:
            worker, sent_at = call.attempts[may_have_run[0]]
            index = {"cell": 0, "zone": 1}.get(call.cls.dedup_group)
            if index is not None and self.cells[worker][index] != self.cells[send.worker][index]:
                self.broken.append(f"2: retry of {send.request} outside its deduplication group")
            if now > sent_at + call.cls.dedup_window_s:
                self.broken.append(f"2: retry of {send.request} after its deduplication window")
        if len(call.outcomes) < len(call.attempts) and not self.settings.hedging_allowed:
            self.broken.append(f"2: two attempts of {send.request} at once")
        if now > self.left.get(send.worker, float("inf")) + self.settings.drain_grace_s:
            self.broken.append(f"3: send to {send.worker}, which has left")
        call.attempts.append((send.worker, now))
        age = now - self.started_at.get(send.worker, 0.0)
        if age < self.settings.slow_start_s:
            log = self.cold.setdefault(send.worker, [])
            log.append((now, 1.0))
            recent = [t for t, _ in log if t > now - self.settings.overload_window_s]
            if len(recent) > COLD_JOBS:
                self.broken.append(f"4: {len(recent)} sends to the cold worker {send.worker}")


# Most jobs of 0.5 s of work sent to a cold worker in one second; more are over its budget in these settings.
COLD_JOBS = 4

Policy = Callable[[float, interface.Event], list[interface.Action]]


class PolicyDriver:
    """Feeds events to a policy, runs its timers and checks its actions. The test chooses the outcomes."""

    def __init__(self, rule_settings: interface.Settings, policy: Policy, now: float = 100.0) -> None:
        self.now = now
        self.policy = policy
        self.checker = RuleChecker(rule_settings)
        self.timers: list[tuple[float, int]] = []  # (time, token)
        self.open: list[tuple[int, int, int]] = []  # attempts without an outcome: (request, worker, attempt)
        self.attempt_counts: dict[int, int] = {}  # by request
        self.log: list[tuple[float, str]] = []  # all actions: (time, action)

    def feed(self, event: interface.Event) -> list[interface.Action]:
        """Give an event to the policy, check and record its actions, and return them."""
        self.checker.event(self.now, event)
        actions = self.policy(self.now, event)
        self.checker.actions(self.now, actions)
        for action in actions:
            self.log.append((self.now, repr(action)))
            if isinstance(action, interface.SetTimer):
                self.timers.append((self.now + action.after, action.token))
            elif isinstance(action, interface.SendAttempt):
                attempt = self.attempt_counts.get(action.request, 0)
                self.attempt_counts[action.request] = attempt + 1
                self.open.append((action.request, action.worker, attempt))
        return actions

    def advance(self, until: float) -> None:
        """Advance the time: fire due timers in order, and end open attempts by a time-out at their deadlines.

        The interface promises that time-out to the policy.
        """
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
        """End the open attempt at an index of `open` with an outcome."""
        request, worker, attempt = self.open.pop(index)
        call = self.checker.calls[request]
        settled = call.settled or outcome == AttemptOutcome.SERVED
        sent_at = call.attempts[attempt][1]
        self.feed(interface.AttemptEnded(request, worker, attempt, outcome, settled, self.now - sent_at))
