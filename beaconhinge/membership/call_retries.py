"""How long a call to discovery may take, and when it is retried: of one chain of calls, one at a time.

No I/O: jitter is an argument. Times are seconds. docs/design/membership.md has the chain of waits.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .discovery_call import BODY_TIMEOUT_S, CALL_SPACING_S, AnswerDecision, CallPurpose, DiscoveryCall

# How long an answer that has begun may go without a further byte.
BODY_IDLE_TIMEOUT_S = 1.0
# How long the end of an answer may be waited for once its list is complete.
CONTENT_END_TIMEOUT_S = 0.05
BODY_TIMEOUT_MAX_S = 12.0
# The window of the retry after an answer that broke off: much of the time for it has passed.
BROKEN_BODY_RETRY_WINDOW_S = 0.4

# How long after its wait a watch without an answer counts as silent: 2 s after it, a change counts as
# notified.
FIRST_BYTE_MARGIN_S = 0.5
# First-byte timeouts of a call that does not wait. Discovery works on a call that was given up all the same,
# and its retry comes on top.
POLL_FIRST_BYTE_TIMEOUT_S = 2.0
# The same once discovery has refused a call itself (503): it is there, and its queue is full. It works on
# calls that were given up all the same: whoever gives up in the queue comes to stand behind its own call.
OVERLOADED_FIRST_BYTE_TIMEOUT_S = 4.0
# The same of a call that only confirms: an overloaded discovery is not to be waited for.
CONFIRMING_FIRST_BYTE_TIMEOUT_S = 0.7
# The same right after a silent watch, whose changes count as notified soon.
AFTER_SILENT_WATCH_FIRST_BYTE_TIMEOUT_S = 1.0
# The same where a local agent has the list. While discovery is away the agent is silent, and what it has at
# the return counts at once, so that a silent call and the pause after it stay within the grace for drains.
AGENT_FIRST_BYTE_TIMEOUT_S = 0.2
AGENT_FIRST_BYTE_TIMEOUT_MAX_S = 0.8
# An agent is slow, not silent, when it has not answered so many calls, in some 20 s: the timeout doubles
# then.
AGENT_FAILURES_PER_DOUBLING = 60
AGENT_DOUBLINGS_MAX = 8  # keeps the power small; the timeout's maximum is reached before

# The window of retries to an agent: what it gets counts as notified at once.
AGENT_RETRY_WINDOW_S = 0.1
# The window of the retry after the call that followed a silent watch.
AFTER_SILENT_WATCH_RETRY_WINDOW_S = 0.5
# The first backoff window for each dispatcher of the group, over which they call again after a common
# failure.
BACKOFF_PER_DISPATCHER_S = 0.25
# The longest backoff window. A change counts as notified 6 s after discovery could be reached, whatever
# failed before: a call that began just before is given up POLL_FIRST_BYTE_TIMEOUT_S later, the next begins
# within this window, and has POLL_FIRST_BYTE_TIMEOUT_S again.
BACKOFF_MAX_S = 2.0


@dataclass(frozen=True, slots=True)
class CallFailure:
    """How a call has failed.

    Attributes:
        silent: Nothing came before the first-byte timeout.
        answer_begun: The answer had begun.
        refused_by_discovery: The answer says that discovery has too many callers.
    """

    silent: bool = False
    answer_begun: bool = False
    refused_by_discovery: bool = False


class CallRetries:
    """Timeouts and backoff of one chain of calls.

    Attributes:
        pushed: Whether a local agent answers, in place of a central discovery.
        backoff_first_s: The first backoff window after a failure.
        backoff_max_s: The longest one.
        body_timeout_s: How long the next answer may take from its first byte to its last.
    """

    def __init__(self, pushed: bool, group_size: int, max_age_s: float) -> None:
        """Start with no failure.

        Args:
            pushed: Whether a local agent answers.
            group_size: How many dispatchers ask the same discovery.
            max_age_s: How long a list without a further call counts as known; 0 for no bound.
        """
        self.pushed = pushed
        # Bounded from below, lest a maximum age of 0 have discovery called without a pause.
        self.backoff_max_s = max(min(BACKOFF_MAX_S, max_age_s / 2), CALL_SPACING_S)
        self.backoff_first_s = min(BACKOFF_PER_DISPATCHER_S * group_size, self.backoff_max_s)
        self.body_timeout_s = BODY_TIMEOUT_S
        self._backoff_s = 0.0  # the window of the last retry; 0: the last call has not failed
        self._after_silent_watch = False  # the call that follows a silent watch is not answered yet
        self._failure_count = 0  # consecutive
        self._overloaded = False  # discovery has refused the last call itself
        self._wrong_answer_pause_s = 0.0  # after the last answer that was not the snapshot asked for; 0: none

    @property
    def failing(self) -> bool:
        """Whether the last call has failed."""
        return self._failure_count > 0

    def first_byte_timeout_s(self, wait_s: float, purpose: CallPurpose) -> float:
        """Return how long the first byte of the next answer may take.

        Args:
            wait_s: How long discovery may wait with it.
            purpose: What the call is for.
        """
        if wait_s:
            return wait_s + FIRST_BYTE_MARGIN_S
        if self.pushed:
            doublings = min(self._failure_count // AGENT_FAILURES_PER_DOUBLING, AGENT_DOUBLINGS_MAX)
            return min(AGENT_FIRST_BYTE_TIMEOUT_S * float(2**doublings), AGENT_FIRST_BYTE_TIMEOUT_MAX_S)
        if purpose is CallPurpose.CONFIRM:
            return CONFIRMING_FIRST_BYTE_TIMEOUT_S
        if self._overloaded:
            return OVERLOADED_FIRST_BYTE_TIMEOUT_S
        if self._after_silent_watch:
            return AFTER_SILENT_WATCH_FIRST_BYTE_TIMEOUT_S
        return POLL_FIRST_BYTE_TIMEOUT_S

    def handle_answer(self) -> None:
        """Record that a call has been answered."""
        self._reset_backoff()
        self.body_timeout_s = BODY_TIMEOUT_S

    def reset(self) -> None:
        """Forget earlier failures and wrong answers."""
        self._reset_backoff()
        self.reset_wrong_answers()

    def _reset_backoff(self) -> None:
        self._backoff_s, self._after_silent_watch, self._failure_count = 0.0, False, 0
        self._overloaded = False

    def reset_wrong_answers(self) -> None:
        """Record that an answer was of the kind that was asked for."""
        self._wrong_answer_pause_s = 0.0

    def delay_wrong_answer(self, decision: AnswerDecision) -> AnswerDecision:
        """Delay the repeat of a call for the snapshot that was answered with changes.

        The pause grows, lest discovery be called twenty times a second.
        """
        doubled_s = min(2 * self._wrong_answer_pause_s, self.backoff_max_s)
        self._wrong_answer_pause_s = doubled_s if self._wrong_answer_pause_s else 2 * CALL_SPACING_S
        return replace(decision, pause_s=self._wrong_answer_pause_s)

    def handle_failure(self, call: DiscoveryCall, failure: CallFailure, jitter: float) -> float:
        """Record that a call has failed.

        Args:
            call: The call.
            failure: How it failed.
            jitter: Drawn from 0 to 1.

        Returns:
            The time to its retry.
        """
        self._overloaded = failure.refused_by_discovery
        self._failure_count += 1
        if self.pushed:
            return AGENT_RETRY_WINDOW_S * (0.5 + jitter / 2)
        if failure.answer_begun:
            self.body_timeout_s = min(2 * self.body_timeout_s, BODY_TIMEOUT_MAX_S)
            return BROKEN_BODY_RETRY_WINDOW_S * jitter
        if call.is_watch and failure.silent:  # each watch ends at its own time: no retries in step
            self._after_silent_watch = True
            return 0.0
        if self._after_silent_watch:
            self._after_silent_watch = False
            return AFTER_SILENT_WATCH_RETRY_WINDOW_S * jitter
        doubled_s = min(2 * self._backoff_s, self.backoff_max_s)
        self._backoff_s = doubled_s if self._backoff_s else self.backoff_first_s
        return self._backoff_s * jitter
