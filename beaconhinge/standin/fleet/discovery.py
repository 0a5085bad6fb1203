"""Discovery: one service for all, which answers in turn, and watches that continue."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from ...policy import interface
from ...policy.interface import UpdateKind
from .clock import Clock

# That a call may wait for its turn.
MAX_WAIT_S = 2.0
# Of work in hand, beyond which a call is refused at once.
MAX_BACKLOG_S = 4.0
# That an answer takes beside its wait.
ANSWER_S = 0.003
# Least and greatest seconds until watchers are notified of a change.
NOTICE_DELAY_S = (0.02, 0.1)


class Discovery:
    """Discovery for all dispatchers; it has one queue of calls.

    A call that has waited too long has failed, and is worked on all the same.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        calls_per_s: float,
        on_update: Callable[[int, interface.MembershipUpdate], None],
    ) -> None:
        self.clock = clock
        self.random = rng
        self.calls_per_s = calls_per_s
        self.on_update = on_update
        self.calls = self.refusals = 0
        self.notices_held_until = 0.0  # till then watchers are not notified
        self._busy_until = 0.0
        self._version = 0
        self._changes: list[tuple[int, interface.MemberEntry]] = []
        # By dispatcher: the version that a watch has sent, and the number of the last call.
        self._watchers: dict[int, int] = {}
        self._last_call: dict[int, int] = {}

    def publish(self, members: list[interface.MemberEntry]) -> None:
        """Make these entries a new version, and notify those that watch."""
        self._version += 1
        self._changes += [(self._version, member) for member in members]
        late = max(0.0, self.notices_held_until - self.clock.now)
        for number in self._watchers:
            self.clock.after(late + self.random.uniform(*NOTICE_DELAY_S), partial(self._push, number))

    def call(self, number: int, known: int) -> None:
        """Ask for what has changed since a version, and watch from then on."""
        self.calls += 1
        self._last_call[number] = self.calls
        work = max(0.0, self._busy_until - self.clock.now)
        if work > MAX_BACKLOG_S:
            self.clock.after(ANSWER_S, partial(self._refuse, number, self.calls))
            return
        self._busy_until = self.clock.now + work + 1 / self.calls_per_s
        if work > MAX_WAIT_S:
            self.clock.after(MAX_WAIT_S, partial(self._refuse, number, self.calls))
        else:
            self.clock.after(work + ANSWER_S, partial(self._answer, number, known, self.calls))

    def unsubscribe(self, number: int) -> None:
        """Forget a dispatcher that has ended: no answer to it."""
        self._watchers.pop(number, None)
        self._last_call.pop(number, None)

    def _refuse(self, number: int, call: int) -> None:
        if self._last_call.get(number) == call:
            self.refusals += 1
            self.on_update(number, interface.MembershipUpdate(UpdateKind.REFUSED))

    def _answer(self, number: int, known: int, call: int) -> None:
        if self._last_call.get(number) == call:
            self._send_changes(number, known)

    def _push(self, number: int) -> None:
        known = self._watchers.get(number)
        if known is not None and known < self._version:
            self._send_changes(number, known)

    def _send_changes(self, number: int, known: int) -> None:
        self._watchers[number] = self._version
        changed = {member.worker: member for version, member in self._changes if version > known}
        self.on_update(
            number,
            interface.MembershipUpdate(UpdateKind.CHANGES, self._version, list(changed.values())),
        )
