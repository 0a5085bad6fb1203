"""The watch: a chain of long polls, one at a time, through which a dispatcher receives changes of the list.

No I/O: time and jitter are arguments. Times are seconds.

A watch is followed by the next one at once. Whatever else has to be read from discovery is read beside the
watch (`list_reads.py`). Only a failed call is followed by a call that does not wait; once that is answered,
watches go on. docs/design/membership.md explains when a change counts as notified (from then on no job may be
sent to a worker that it takes out of service), and why each wait here is as short as it is.
"""

from __future__ import annotations

import math

from .call_retries import CallFailure, CallRetries
from .discovery_call import AnswerDecision, CallPurpose, DiscoveryCall, PassedOver, ReceivedAnswer
from .freshness import LIST_MAX_AGE_S
from .list_state import ListState

# How long a watch (a long poll) waits for a change: LONG_POLL_WAIT_S, but at most this fraction of the list's
# maximum age (the setting `mustAskIn`).
LONG_POLL_WAIT_S = 4.0
LONG_POLL_WAIT_FRACTION = 0.4
# The shortest wait of a watch that follows a refused one.
RETRIED_WATCH_WAIT_MIN_S = 0.5
# How long the call of such a watch may spend in discovery's queue. Wait and queue time together have to end
# within LIST_MAX_AGE_S of the last answer, as the list has to be shown to be current again by then.
QUEUE_TIME_S = 1.0


class DiscoveryWatch:
    """Decides on one dispatcher's watches, and on the calls between a failed watch and the next one.

    Attributes:
        state: The versions of the list that are known and applied; reads beside the watch update it too.
    """

    def __init__(self, state: ListState, group_size: int, max_age_s: float) -> None:
        """Start with a call that does not wait.

        Args:
            state: The versions of the list that are known and applied.
            group_size: How many dispatchers call the same discovery.
            max_age_s: How long a list may be used without a further call; 0 for no bound.
        """
        self.state = state
        self._retries = CallRetries(state.pushed, group_size, max_age_s)
        self._long_poll_wait_s = LONG_POLL_WAIT_S
        if max_age_s > 0:
            self._long_poll_wait_s = min(LONG_POLL_WAIT_S, LONG_POLL_WAIT_FRACTION * max_age_s)
        self._watching = False  # no change can have been missed, so that the next call may wait
        self._refused = False  # the last call was a watch that discovery has refused
        self._proved_current_s = -math.inf  # when an answer last showed the list to be current

    @property
    def failing(self) -> bool:
        """Whether the last call has failed."""
        return self._retries.failing

    @property
    def watching(self) -> bool:
        """Whether a watch is open or about to be opened, as the last call has not failed."""
        return self._watching and not self._refused

    def restart(self) -> None:
        """Start again with a call that does not wait, after a switch to another discovery or another list."""
        self._watching = self._refused = False
        self._retries.reset()

    def switch_discovery(self, now: float, jitter: float) -> float:
        """Start again with another discovery, to which the whole group switches at the same time.

        Returns:
            The seconds until the first call to it.
        """
        self.state.restart(None, now, jitter)
        self.restart()
        return 0.0 if self.state.pushed else self._retries.backoff_first_s * jitter

    def catch_up(self) -> None:
        """Make the next call without a wait, as changes may have been missed."""
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
        """Return how long the next watch may wait, in seconds; 0 if a call without a wait has to come first.

        A refused watch is retried as a watch, whose answer also holds the changes that were missed. A call
        that does not wait would have to be followed by a watch, and an overloaded discovery would have to
        handle both.
        """
        if not self._refused:
            return self._long_poll_wait_s
        left_s = self._proved_current_s + LIST_MAX_AGE_S - QUEUE_TIME_S - now
        return min(left_s, self._long_poll_wait_s) if left_s >= RETRIED_WATCH_WAIT_MIN_S else 0.0

    def handle_answer(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Decide on the answer to a call: whether it is applied, and when the next call is made."""
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
        """Decide on the retry of a call that has failed, and return the seconds until then.

        Args:
            call: The call.
            failure: How it failed.
            now: The current time.
            jitter: A random number from 0 to 1.
        """
        refused = call.is_watch and failure.refused_by_discovery
        self._refused = refused and not self.state.pushed and not self.state.snapshot_needed
        self._watching = self._refused
        if not self.state.pushed:
            self.state.verification.handle_overload(now)
        return self._retries.handle_failure(call, failure, jitter)
