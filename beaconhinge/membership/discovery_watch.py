"""The watch: the chain of calls by which a dispatcher hears what changes, one after the other.

No I/O: time and jitter are arguments. Times are seconds.

A watch is followed by the next one at once, whatever else is wanted of discovery: that is read beside it
(`list_reads.py`). Only a call that failed is followed by one that does not wait, and by watches again once
that is answered. docs/design/membership.md tells when a change counts as notified, and why each wait here is
as short as it is.
"""

from __future__ import annotations

from .call_retries import CallFailure, CallRetries
from .discovery_call import AnswerDecision, CallPurpose, DiscoveryCall, PassedOver, ReceivedAnswer
from .list_state import ListState

# How long a watch (a long poll) waits for a change, also as a fraction of the list's maximum age
# (`mustAskIn`).
LONG_POLL_WAIT_S = 4.0
LONG_POLL_WAIT_FRACTION = 0.4


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

    @property
    def failing(self) -> bool:
        """Whether the last call has failed."""
        return self._retries.failing

    @property
    def watching(self) -> bool:
        """Whether the next call, or the one that is out, is a watch."""
        return self._watching

    def restart(self) -> None:
        """Begin with a call that does not wait, as another discovery is called or another list is known."""
        self._watching = False
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
        self._watching = False

    def next_call(self) -> DiscoveryCall:
        """Return the next call."""
        state = self.state
        if self._watching and state.announced_version is not None:
            purpose, index, wait_s = CallPurpose.WATCH, state.announced_version, self._long_poll_wait_s
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

    def handle_answer(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Decide on the answer to a call."""
        self._retries.handle_answer()
        decision = self.state.handle_answer(answer)
        if decision.passed_over is PassedOver.CHANGES_FOR_SNAPSHOT:
            return self._retries.delay_wrong_answer(decision)
        self._retries.reset_wrong_answers()
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
        self._watching = False
        if not self.state.pushed:
            self.state.verification.handle_overload(now)
        return self._retries.handle_failure(call, failure, jitter)
