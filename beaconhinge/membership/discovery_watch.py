"""The watch: the chain of calls by which a dispatcher hears what changes, one after the other.

No I/O: time and jitter are arguments. Times are seconds.

A watch is followed by the next one at once, whatever else is wanted of discovery: that is read beside it
(`list_reads.py`). Only a call that failed is followed by one that does not wait, and by watches again once
that is answered. docs/design/membership.md tells when a change counts as notified, and why each wait here is
as short as it is.
"""

from __future__ import annotations

import math

from .call_retries import CallFailure, CallRetries
from .discovery_call import AnswerDecision, CallPurpose, DiscoveryCall, PassedOver, ReceivedAnswer
from .freshness import LIST_MAX_AGE_S
from .list_state import ListState

# How long a watch (a long poll) waits for a change, also as a fraction of the list's maximum age
# (`mustAskIn`).
LONG_POLL_WAIT_S = 4.0
LONG_POLL_WAIT_FRACTION = 0.4
# The shortest wait of a watch that follows a refused one, and the time that its call may spend in discovery's
# queue: within LIST_MAX_AGE_S of the last answer the list has to be shown to be current again.
RETRIED_WATCH_WAIT_MIN_S = 0.5
QUEUE_TIME_S = 1.0


class DiscoveryWatch:
    """Decides on one dispatcher's watches, and on the calls that lead back to them.

    Attributes:
        state: What is known of the list, which reads beside the watch change too.
    """

    def __init__(self, state: ListState, group_size: int, max_age_s: float) -> None:
        """Start with a call that does not wait.

        Args:
            state: What is known of the list.
            group_size: How many dispatchers ask the same discovery.
            max_age_s: How long a list without a further call counts as known; 0 for no bound.
        """
        self.state = state
        self._retries = CallRetries(state.pushed, group_size, max_age_s)
        self._long_poll_wait_s = LONG_POLL_WAIT_S
        if max_age_s > 0:
            self._long_poll_wait_s = min(LONG_POLL_WAIT_S, LONG_POLL_WAIT_FRACTION * max_age_s)
        self._watching = False  # nothing was missed: the next call may wait
        self._refused = False  # the last call was a watch that discovery has refused
        self._proved_current_s = -math.inf  # when an answer last showed the list to be current

    @property
    def failing(self) -> bool:
        """Whether the last call has failed."""
        return self._retries.failing

    @property
    def watching(self) -> bool:
        """Whether a watch is open, or about to be: the last call has not failed."""
        return self._watching and not self._refused

    def restart(self) -> None:
        """Begin with a call that does not wait, as another discovery is called or another list is known."""
        self._watching = self._refused = False
        self._retries.reset()

    def switch_discovery(self, now: float, jitter: float) -> float:
        """Start anew with another discovery, which all of the group switch to at once.

        Returns:
            The time to the first call there.
        """
        self.state.restart(None, now, jitter)
        self.restart()
        return 0.0 if self.state.pushed else self._retries.backoff_first_s * jitter

    def catch_up(self) -> None:
        """Have the next call not wait."""
        self._watching = self._refused = False

    def next_call(self, now: float) -> DiscoveryCall:
        """Return the next call."""
        state, watch_wait_s = self.state, self._next_watch_wait_s(now)
        self._watching = self._watching and watch_wait_s > 0.0
        if self._watching and state.announced_version is not None:
            purpose, index, wait_s = CallPurpose.WATCH, state.announced_version, watch_wait_s
        elif state.announced_version is None or state.snapshot_needed:
            purpose, index, wait_s = CallPurpose.SNAPSHOT, None, 0.0
        else:
            purpose, index, wait_s = CallPurpose.CATCH_UP, state.announced_version, 0.0
        return DiscoveryCall(
            index,
            wait_s,
            self._retries.first_byte_timeout_s(wait_s, purpose),
            self._retries.body_timeout_s,
            purpose,
            state.announced_version,
        )

    def _next_watch_wait_s(self, now: float) -> float:
        """How long the next watch may wait; 0 if a call that does not wait has to come first.

        A refused watch is retried as a watch, which tells what was missed as well. Each call that does not
        wait would have to be followed by one, and a crowded discovery handles both in turn.
        """
        if not self._refused:
            return self._long_poll_wait_s
        left_s = self._proved_current_s + LIST_MAX_AGE_S - QUEUE_TIME_S - now
        return min(left_s, self._long_poll_wait_s) if left_s >= RETRIED_WATCH_WAIT_MIN_S else 0.0

    def handle_answer(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Decide on the answer to a call."""
        was_failing = self.failing
        self._retries.handle_answer()
        decision = self.state.handle_answer(answer)
        if was_failing:
            self.state.verification.handle_recovery(answer.now, answer.jitter)
        if decision.passed_over is PassedOver.CHANGES_FOR_SNAPSHOT:
            return self._retries.delay_wrong_answer(decision)
        self._retries.reset_wrong_answers()
        self._refused = False
        if decision.proves_current:
            self._proved_current_s = answer.now
        if decision.passed_over is not PassedOver.OLDER:
            self._watching = True
        return decision

    def handle_failure(self, call: DiscoveryCall, failure: CallFailure, now: float, jitter: float) -> float:
        """Decide on the retry of a call that has failed, and return the time to it.

        Args:
            call: The call.
            failure: How it failed.
            now: The current time.
            jitter: Drawn from 0 to 1.
        """
        refused = call.is_watch and failure.refused_by_discovery
        self._refused = refused and not self.state.pushed and not self.state.snapshot_needed
        self._watching = self._refused
        if not self.state.pushed:
            self.state.verification.handle_overload(now)
        return self._retries.handle_failure(call, failure, jitter)
