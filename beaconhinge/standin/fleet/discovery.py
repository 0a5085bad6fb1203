"""Simulated discovery: one service for all dispatchers, which answers calls in order and pushes changes."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from ...policy import interface
from ...policy.interface import UpdateKind
from .clock import Clock

# Seconds that a call may wait in the queue before it fails.
MAX_WAIT_S = 2.0
# Seconds of queued work beyond which a new call is refused at once.
MAX_BACKLOG_S = 4.0
# Seconds that an answer or a refusal takes, besides the wait in the queue.
ANSWER_DELAY_S = 0.003
# Shortest and longest time in seconds until a watcher is notified of a change.
NOTICE_DELAY_S = (0.02, 0.1)


class Discovery:
    """Discovery for all dispatchers, with one queue of calls.

    A call that would wait longer than MAX_WAIT_S fails after that time, but still takes up its share of the
    service's time. A dispatcher gets an answer only to its latest call.

    Attributes:
        calls: How many calls were made.
        refusals: How many calls were refused or failed.
        notices_held_until: Time in seconds until which watchers are not notified of changes.
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
        self.notices_held_until = 0.0
        self._busy_until = 0.0
        self._version = 0
        self._changes: list[tuple[int, interface.MemberEntry]] = []
        # By dispatcher: the version that was last sent to it, and the number of its latest call.
        self._watchers: dict[int, int] = {}
        self._last_call: dict[int, int] = {}

    def publish(self, members: list[interface.MemberEntry]) -> None:
        """Publish these entries as a new version of the list, and notify all watchers."""
        self._version += 1
        self._changes += [(self._version, member) for member in members]
        held_s = max(0.0, self.notices_held_until - self.clock.now)
        for number in self._watchers:
            self.clock.after(held_s + self.random.uniform(*NOTICE_DELAY_S), partial(self._push, number))

    def call(self, number: int, known_version: int) -> None:
        """Request the changes since a version for a dispatcher; the answer starts its watch for more."""
        self.calls += 1
        self._last_call[number] = self.calls
        backlog_s = max(0.0, self._busy_until - self.clock.now)
        if backlog_s > MAX_BACKLOG_S:
            self.clock.after(ANSWER_DELAY_S, partial(self._refuse, number, self.calls))
            return
        self._busy_until = self.clock.now + backlog_s + 1 / self.calls_per_s
        if backlog_s > MAX_WAIT_S:
            self.clock.after(MAX_WAIT_S, partial(self._refuse, number, self.calls))
        else:
            self.clock.after(
                backlog_s + ANSWER_DELAY_S, partial(self._answer, number, known_version, self.calls)
            )

    def unsubscribe(self, number: int) -> None:
        """Drop the watch and the pending call of a dispatcher that has ended."""
        self._watchers.pop(number, None)
        self._last_call.pop(number, None)

    def _refuse(self, number: int, call: int) -> None:
        if self._last_call.get(number) == call:
            self.refusals += 1
            self.on_update(number, interface.MembershipUpdate(UpdateKind.REFUSED))

    def _answer(self, number: int, known_version: int, call: int) -> None:
        if self._last_call.get(number) == call:
            self._send_changes(number, known_version)

    def _push(self, number: int) -> None:
        sent_version = self._watchers.get(number)
        if sent_version is not None and sent_version < self._version:
            self._send_changes(number, sent_version)

    def _send_changes(self, number: int, known_version: int) -> None:
        self._watchers[number] = self._version
        changed = {member.worker: member for version, member in self._changes if version > known_version}
        self.on_update(
            number,
            interface.MembershipUpdate(UpdateKind.CHANGES, self._version, list(changed.values())),
        )
