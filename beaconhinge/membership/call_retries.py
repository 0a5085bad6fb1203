"""Timeouts and retry backoff of one chain of calls to discovery, in which calls are made one at a time.

No I/O: jitter is an argument. Times are seconds. docs/design/membership.md lists the waits of a whole chain.
A change *counts as notified* from the time on at which this dispatcher must no longer send jobs to a worker
that the change takes out of service, whether or not the dispatcher has received the change.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .discovery_call import BODY_TIMEOUT_S, CALL_SPACING_S, AnswerDecision, CallPurpose, DiscoveryCall

# The longest time without a further byte in an answer that has begun.
BODY_IDLE_TIMEOUT_S = 1.0
# How long the end of an answer is waited for once its list is complete.
CONTENT_END_TIMEOUT_S = 0.05
BODY_TIMEOUT_MAX_S = 12.0
# The retry window after an answer that broke off. It is short, as much of the time until the change counts as
# notified has passed.
BROKEN_BODY_RETRY_WINDOW_S = 0.4

# The time from the end of a watch's wait until a watch without an answer counts as silent. A change that the
# watch has missed counts as notified 2 s after the end of the wait.
FIRST_BYTE_MARGIN_S = 0.5
# The first-byte timeout of a call that does not wait. Discovery still works on a call that the caller has
# given up, so that a retry adds to its load.
POLL_FIRST_BYTE_TIMEOUT_S = 2.0
# The first-byte timeout after discovery itself has refused a call (503): it is running, and its queue is
# full. It still works on calls that the caller has given up, so that a retry is queued behind the call that
# it replaces.
OVERLOADED_FIRST_BYTE_TIMEOUT_S = 4.0
# The first-byte timeout of a call that only confirms the list: such a call does not wait for an overloaded
# discovery.
CONFIRMING_FIRST_BYTE_TIMEOUT_S = 0.7
# The first-byte timeout of the call right after a silent watch, as changes that the watch missed count as
# notified soon.
AFTER_SILENT_WATCH_FIRST_BYTE_TIMEOUT_S = 1.0
# The first-byte timeout of a call to a local agent. The agent is silent while discovery is unreachable, and a
# change that it has at discovery's return counts as notified at once. A silent call and the pause after it
# therefore stay within the grace period for drains.
AGENT_FIRST_BYTE_TIMEOUT_S = 0.2
AGENT_FIRST_BYTE_TIMEOUT_MAX_S = 0.8
# An agent that has not answered this many calls, in some 20 s, is taken to be slow, not silent, and the
# first-byte timeout doubles.
AGENT_FAILURES_PER_DOUBLING = 60
AGENT_DOUBLINGS_MAX = 8  # bounds the exponent; the timeout reaches its maximum with fewer doublings

# The window of retries to an agent. It is short, as the agent's changes count as notified at once.
AGENT_RETRY_WINDOW_S = 0.1
# The window of the retry after the call that followed a silent watch.
AFTER_SILENT_WATCH_RETRY_WINDOW_S = 0.5
# The first backoff window per dispatcher of the group. It spreads the retries of the whole group after a
# common failure.
BACKOFF_PER_DISPATCHER_S = 0.25
# The longest backoff window. A change counts as notified 6 s after discovery could be reached, whatever
# failed before. A call that began just before that time is given up POLL_FIRST_BYTE_TIMEOUT_S later; the next
# call begins within this window and may take POLL_FIRST_BYTE_TIMEOUT_S again.
BACKOFF_MAX_S = 2.0


@dataclass(frozen=True, slots=True)
class CallFailure:
    """How a call has failed.

    Attributes:
        silent: No byte arrived before the first-byte timeout.
        answer_begun: The call failed after the first byte of its answer.
        refused_by_discovery: The answer says that discovery has too many callers (503).
    """

    silent: bool = False
    answer_begun: bool = False
    refused_by_discovery: bool = False


class CallRetries:
    """Timeouts and backoff of one chain of calls.

    Attributes:
        pushed: Whether a local agent answers, in place of a central discovery.
        backoff_first_s: The first backoff window after a failure.
        backoff_max_s: The longest backoff window.
        body_timeout_s: How long the next answer may take from its first byte to its last.
    """

    def __init__(self, pushed: bool, group_size: int, max_age_s: float) -> None:
        """Start with no failure.

        Args:
            pushed: Whether a local agent answers.
            group_size: How many dispatchers call the same discovery.
            max_age_s: How long a list may be used without a further call; 0 for no bound.
        """
        self.pushed = pushed
        # The lower bound keeps a maximum age of 0 from causing calls without a pause.
        self.backoff_max_s = max(min(BACKOFF_MAX_S, max_age_s / 2), CALL_SPACING_S)
        self.backoff_first_s = min(BACKOFF_PER_DISPATCHER_S * group_size, self.backoff_max_s)
        self.body_timeout_s = BODY_TIMEOUT_S
        self._backoff_s = 0.0  # the window of the last retry; 0 if the last call has not failed
        self._after_silent_watch = False  # the call that follows a silent watch is not answered yet
        self._failure_count = 0  # consecutive failures
        self._overloaded = False  # discovery itself has refused the last call
        # The pause after the last answer that held changes in place of the requested snapshot; 0 if there was
        # none.
        self._wrong_answer_pause_s = 0.0

    @property
    def failing(self) -> bool:
        """Whether the last call has failed."""
        return self._failure_count > 0

    def first_byte_timeout_s(self, wait_s: float, purpose: CallPurpose) -> float:
        """Return the first-byte timeout of the next call, in seconds.

        Args:
            wait_s: How long discovery may wait before it answers; 0 if the call does not wait.
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
        """Record that an answer was of the requested kind."""
        self._wrong_answer_pause_s = 0.0

    def delay_wrong_answer(self, decision: AnswerDecision) -> AnswerDecision:
        """Return the decision with a pause before the snapshot, answered with changes, is requested again.

        The pause doubles each time, so that discovery is not called twenty times a second.
        """
        doubled_s = min(2 * self._wrong_answer_pause_s, self.backoff_max_s)
        self._wrong_answer_pause_s = doubled_s if self._wrong_answer_pause_s else 2 * CALL_SPACING_S
        return replace(decision, pause_s=self._wrong_answer_pause_s)

    def handle_failure(self, call: DiscoveryCall, failure: CallFailure, jitter: float) -> float:
        """Record that a call has failed.

        Args:
            call: The call.
            failure: How it failed.
            jitter: A random number from 0 to 1.

        Returns:
            The seconds until the retry.
        """
        self._overloaded = failure.refused_by_discovery
        self._failure_count += 1
        if self.pushed:
            return AGENT_RETRY_WINDOW_S * (0.5 + jitter / 2)
        if failure.answer_begun:
            self.body_timeout_s = min(2 * self.body_timeout_s, BODY_TIMEOUT_MAX_S)
            return BROKEN_BODY_RETRY_WINDOW_S * jitter
        if (
            call.is_watch and failure.silent
        ):  # watches end at different times, so their retries do not coincide
            self._after_silent_watch = True
            return 0.0
        if self._after_silent_watch:
            self._after_silent_watch = False
            return AFTER_SILENT_WATCH_RETRY_WINDOW_S * jitter
        doubled_s = min(2 * self._backoff_s, self.backoff_max_s)
        self._backoff_s = doubled_s if self._backoff_s else self.backoff_first_s
        return self._backoff_s * jitter
