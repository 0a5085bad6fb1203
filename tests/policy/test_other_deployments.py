"""What worked on the first deployment by luck has to hold for any: unsafe classes without a key, pushed weights."""

from __future__ import annotations

import heapq
from collections import Counter
from itertools import count

import pytest
from helpers import job, members, settings

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import RETRY_FLAG, AttemptOutcome, UpdateKind
from beaconhinge.policy.outlier_detection import MAX_EJECTION_S

HANGING, WORKERS = 100, 9
UNSAFE, WAITS = 2, 25.0  # the class, and the seconds that its clients wait
SLOTS = 4  # of a worker


def weighed(weights: list[float]) -> list[interface.MemberEntry]:
    listed = members(WORKERS)
    for member, weight in zip(listed, weights, strict=True):
        member.weight = weight
    return listed


class Play:
    """One dispatcher and workers that take a second for a job, but for one that takes jobs and answers none.

    A worker turns away what comes beyond its slots. Its reports are `late` seconds old. Clients that are refused
    come again at once, `retries` times.
    """

    def __init__(
        self, weights: list[float], hangs_for: float = 0.0, late: float = 0.0, retries: int = 0
    ) -> None:
        reports = {
            "report__source": "answers",
            "report__names": "depth,x0",
            "familyInfo__reportX0": "free_slots",
        }
        self.dispatcher = Dispatcher(
            settings(requestClasses__2__hardLimit=str(WAITS), **(reports if late else {})), 1
        )
        self.sent: list[tuple[float, int, int]] = []  # when, to whom, which job
        self.ended: Counter[str] = Counter()
        self.hangs_for, self.late, self.retries = hangs_for, late, retries
        self.spans: list[tuple[int, float, float]] = []  # worker, from when to when it ran a job
        self.tries: dict[int, int] = {}  # of the job: which try of its client
        self._numbers = count(1_000_000)
        self._order = count()
        self._due: list[tuple[float, int, interface.Event]] = []
        self._feed(100.0, interface.Start())
        self._feed(100.0, interface.MembershipUpdate(UpdateKind.BOOTSTRAP, 1, weighed(weights)))

    def jobs(self, rate: float, seconds: float) -> None:
        for number in range(int(rate * seconds)):
            self._later(100.5 + number / rate, job(number + 1, UNSAFE, remaining=WAITS, size_hint=1.0))
        while self._due and self._due[0][0] < 100.5 + seconds:
            now, _, event = heapq.heappop(self._due)
            self._feed(now, event)

    def list_again(self, at: float, weights: list[float]) -> None:
        self._later(at, interface.MembershipUpdate(UpdateKind.CHANGES, int(at), weighed(weights)))

    def _later(self, at: float, event: interface.Event) -> None:
        heapq.heappush(self._due, (at, next(self._order), event))

    def _running(self, worker: int, at: float) -> int:
        return sum(begun <= at < ended for who, begun, ended in self.spans if who == worker)

    def _feed(self, now: float, event: interface.Event) -> None:
        for action in self.dispatcher.handle(now, event):
            if isinstance(action, interface.SendAttempt):
                self._run(now, action)
            elif isinstance(action, interface.SetTimer):
                self._later(now + action.after, interface.TimerFired(action.token))
            elif isinstance(action, (interface.Reject, interface.Fail)):
                self.ended[type(action).__name__] += 1
                turn = self.tries.get(action.request, 0)
                if isinstance(action, interface.Reject) and turn < self.retries:
                    again = next(self._numbers)
                    self.tries[again] = turn + 1
                    self._later(now, job(again, UNSAFE, remaining=WAITS, size_hint=1.0, flags=RETRY_FLAG))

    def _run(self, now: float, send: interface.SendAttempt) -> None:
        number = sum(request == send.request for _, _, request in self.sent)
        self.sent.append((now, send.worker, send.request))
        what, after = AttemptOutcome.SERVED, 1.0
        if send.worker == HANGING and now < 100.0 + self.hangs_for:
            what, after = AttemptOutcome.TIMEOUT, WAITS
        elif self._running(send.worker, now) >= SLOTS:
            what, after = AttemptOutcome.REJECTED, 0.002
        else:
            self.spans.append((send.worker, now, now + after))
        self.ended[what] += 1
        load = None
        if self.late and what != AttemptOutcome.TIMEOUT:
            free = SLOTS - self._running(send.worker, now + after - self.late)
            load = {"x0": float(free), "depth": 0.0}
        self._later(
            now + after, interface.AttemptEnded(send.request, send.worker, number, what, True, after, load)
        )


@pytest.mark.parametrize("late", [0.0, 5.0])
@pytest.mark.parametrize("rate", [3.0, 6.0, 9.0])
def test_a_worker_that_hangs_costs_an_unsafe_class_its_slots_and_nobody_is_refused_for_it(
    rate: float, late: float
) -> None:
    play = Play([1.0] * WORKERS, hangs_for=60.0, late=late)
    play.jobs(rate, 60.0)
    there = [at for at, worker, _ in play.sent if worker == HANGING]
    first = [at for at in there if at < there[0] + WAITS]
    assert (
        1 <= len(first) <= 4
    )  # of up to 225: two slots before any worker has taught better, and those it seems to gain
    assert (
        len(there) - len(first) <= len(first) + (60.0 - WAITS) / MAX_EJECTION_S
    )  # then one at a time, ever rarer
    assert max(Counter(request for _, _, request in play.sent).values()) == 1  # none has been sent twice
    assert not play.ended[interface.Reject.__name__]
    assert not play.ended[interface.Fail.__name__]


def test_weights_that_follow_the_load_late_move_nobody() -> None:
    """They are the same for all dispatchers: going by them, all would swing together between the workers."""
    steady, swinging = Play([1.0] * WORKERS), Play([1.0] * WORKERS)
    for turn in range(20):
        swinging.list_again(100.6 + turn, [0.1 if (n + turn) % 2 else 3.0 for n in range(WORKERS)])
        steady.list_again(100.6 + turn, [1.0] * WORKERS)
    for play in (steady, swinging):
        play.jobs(6.0, 25.0)
    assert swinging.sent == steady.sent
    assert len(steady.sent) == 150


@pytest.mark.parametrize(("late", "most"), [(0.0, 1.0), (5.0, 1.25)])
def test_clients_that_come_again_three_times_at_once_do_not_multiply_the_work_of_a_full_fleet(
    late: float, most: float
) -> None:
    """Twice as many jobs as the fleet can run, and each refusal brings another, up to three: of all that the workers
    see attempts for the jobs that they run, and with reports 5 s late a fourth more, which they turn away.
    """
    play = Play([1.0] * WORKERS, late=late, retries=3)
    play.jobs(2.0 * WORKERS * SLOTS, 20.0)
    wanted, run = 2 * WORKERS * SLOTS * 20, len(play.spans)
    assert wanted + len(play.tries) > 2 * wanted  # the clients did come again
    assert len(play.sent) <= most * run
    assert run >= 0.7 * wanted / 2  # of what the fleet can run
    ends = Counter(request for _, _, request in play.sent)
    assert len(ends) >= run
    assert max(ends.values()) <= 4
