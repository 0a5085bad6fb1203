"""Reads of the endpoint list beside the watch, which confirm it, complete it, or catch up after a pause.

No I/O: time and jitter are arguments. Times are seconds.

Discovery answers a read at once or when it has time. The watch stays open meanwhile, and no late, failed or
wrong answer to a read affects it. Reads request the snapshot: discovery keeps one watch for each dispatcher,
and ends it (503) when another call with an index arrives. While the watch itself fails, its own calls read
what was missed, and nothing is read beside it.
"""

from __future__ import annotations

import math

from .call_retries import CallFailure, CallRetries
from .discovery_call import AnswerDecision, CallPurpose, DiscoveryCall, PassedOver, ReceivedAnswer
from .list_state import ListState


class ListReads:
    """Decides on one dispatcher's reads beside its watch, which are made one at a time.

    Attributes:
        state: The versions of the list that are known and applied; the watch updates it too.
    """

    def __init__(self, state: ListState, group_size: int, max_age_s: float) -> None:
        """Start with nothing to read.

        Args:
            state: The versions of the list that are known and applied.
            group_size: How many dispatchers call the same discovery.
            max_age_s: How long a list may be used without a further call; 0 for no bound.
        """
        self.state = state
        self._retries = CallRetries(state.pushed, group_size, max_age_s)
        self._catch_up_wanted = False
        self._not_before_s = -math.inf  # the earliest time of the next read, set after each read

    @property
    def failing(self) -> bool:
        """Whether the last read has failed."""
        return self._retries.failing

    def restart(self) -> None:
        """Drop pending reads, after a switch to another discovery or another list."""
        self._catch_up_wanted = False
        self._not_before_s = -math.inf
        self._retries.reset()

    def can_catch_up(self, now: float) -> bool:
        """Return whether missed changes may be read by a snapshot now; that of a large fleet is expensive."""
        return self.state.verification.snapshot_affordable(now, self.state.entry_count)

    def catch_up(self) -> None:
        """Schedule a read of missed changes at once."""
        self._catch_up_wanted = True
        self._not_before_s = -math.inf

    def seconds_until_call(self, now: float) -> float:
        """Return the seconds until the next read is due: 0 for now, infinity if none is."""
        state = self.state
        due_s = now + state.verification.seconds_until_read(now, state.entry_count)
        if state.announced_version is None:
            return math.inf  # the watch's first call requests the snapshot
        if state.snapshot_needed:
            due_s = min(due_s, state.snapshot_not_before_s)
        if self._catch_up_wanted:
            due_s = now
        return max(due_s, self._not_before_s, now) - now

    def next_call(self) -> DiscoveryCall:
        """Return the read that is due now."""
        state = self.state
        if state.snapshot_needed or state.verification.doubtful:
            purpose = CallPurpose.SNAPSHOT
        else:
            purpose = CallPurpose.CATCH_UP if self._catch_up_wanted else CallPurpose.CONFIRM
        return DiscoveryCall(
            None,
            0.0,
            self._retries.first_byte_timeout_s(0.0, purpose),
            self._retries.body_timeout_s,
            purpose,
            state.announced_version,
        )

    def handle_answer(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Decide on the answer to a read: whether it is applied, and when the next read may be made."""
        self._retries.handle_answer()
        decision = self.state.handle_answer(answer)
        if decision.passed_over is PassedOver.CHANGES_FOR_SNAPSHOT:
            decision = self._handle_wrong_answer(answer, decision)
        else:
            self._retries.reset_wrong_answers()
        if decision.proves_current:
            self._catch_up_wanted = False
        self._not_before_s = answer.now + decision.pause_s
        return decision

    def _handle_wrong_answer(self, answer: ReceivedAnswer, decision: AnswerDecision) -> AnswerDecision:
        """Delay the next read after a call for the snapshot was answered with changes.

        A read that only confirms is put off as under overload.
        """
        if answer.call.purpose is CallPurpose.CONFIRM and not self.state.pushed:
            self.state.verification.handle_overload(answer.now)
            return decision
        return self._retries.delay_wrong_answer(decision)

    def handle_failure(self, call: DiscoveryCall, failure: CallFailure, now: float, jitter: float) -> None:
        """Decide on the retry of a read that has failed.

        Args:
            call: The read.
            failure: How it failed.
            now: The current time.
            jitter: A random number from 0 to 1.
        """
        if not self.state.pushed:
            self.state.verification.handle_overload(now)
            if call.purpose is CallPurpose.CONFIRM:
                return
        self._not_before_s = now + self._retries.handle_failure(call, failure, jitter)
