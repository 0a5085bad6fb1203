"""Whether work may be sent by the endpoint list at this moment.

No I/O: time is an argument, in seconds.

A process always holds some list: from the configuration, from the previous process, or from an answer of
discovery before this process was paused. That list need not be current. A list is current for LIST_MAX_AGE_S
after the last answer of discovery, since the dispatcher counts as notified of a change 6 s after it was made,
whatever happened to this process: from then on it must not send jobs to a worker that the change takes out of
service. While discovery can't be reached, no better list is available, and service continues with the one
that the process holds (static stability). In the remaining state it is unknown whether the list is current:
there is no recent answer, and no failed call that shows discovery to be down. Work then waits, for
UNKNOWN_MAX_S at most. docs/design/membership.md has the reasons.
"""

from __future__ import annotations

import enum
import math

# How long the list counts as current after discovery's last answer.
LIST_MAX_AGE_S = 6.0
# A connection that is refused or reset within this time may show that discovery is down. A later refusal
# shows that discovery has many callers.
QUICK_REFUSAL_S = 0.5
# The number of consecutive quick refusals that shows discovery to be down. A single one may have been a fault
# of that one connection.
REFUSALS_UNTIL_DOWN = 2
# How long work waits, after a start or a pause, for a discovery that neither answers nor refuses. Such a
# discovery has many callers, and a job sent without its answer is likely to reach a worker that has left.
UNKNOWN_MAX_S = 5.8
# The same time where a local agent pushes lists.
AGENT_UNKNOWN_MAX_S = 5.0
# The shortest gap between two calls of `mark_running` after which the process counts as paused.
PROCESS_PAUSE_S = 1.0
# The same gap where a local agent pushes lists. It is shorter, as changes that the agent holds count as
# notified at once.
AGENT_PROCESS_PAUSE_S = 0.35


class FreshnessState(enum.Enum):
    """How current the endpoint list is. Work is sent unless the state is UNKNOWN."""

    CURRENT = "current"
    UNREACHABLE = "unreachable"  # discovery does not answer; the last list continues to be used
    UNKNOWN = "unknown"  # no recent answer, and no failed call that shows discovery to be down


class ListFreshness:
    """Tracks how current this process's endpoint list is. The first state is UNKNOWN."""

    def __init__(self, pushed: bool, now: float) -> None:
        """Start in the state UNKNOWN.

        Args:
            pushed: Whether a local agent pushes lists, in place of a central discovery that is polled.
            now: The current time.
        """
        self.pushed = pushed
        self._process_pause_s = AGENT_PROCESS_PAUSE_S if pushed else PROCESS_PAUSE_S
        self._unknown_max_s = AGENT_UNKNOWN_MAX_S if pushed else UNKNOWN_MAX_S
        self._answered_s = -math.inf  # when discovery last answered
        self._unreachable_s = -math.inf  # when a call last showed that discovery can't be reached
        self._refusal_count = 0  # quick refusals since the last answer
        self._running_since_s = self._last_running_s = now

    def mark_running(self, now: float) -> bool:
        """Record that this process runs; a timer calls this several times a second.

        Returns:
            Whether the process has just been paused. Changes made during the pause have not been received
            then, and earlier failures no longer show anything about discovery.
        """
        gap_s, self._last_running_s = now - self._last_running_s, now
        if gap_s < self._process_pause_s:
            return False
        self._running_since_s, self._unreachable_s, self._refusal_count = now, -math.inf, 0
        if self.pushed:
            self._answered_s = -math.inf
        return True

    def handle_answer(self, call_started_s: float, now: float) -> None:
        """Record that the call which began at `call_started_s` has been answered.

        An answer to a call that began before a pause of this process is ignored, as it may have been written
        before the pause.
        """
        if call_started_s >= self._running_since_s:
            self._answered_s, self._refusal_count = now, 0

    def handle_failure(self, call_started_s: float, now: float, refused: bool, was_watch: bool) -> None:
        """Record that the call which began at `call_started_s` has failed.

        A process that has received an answer since its start or its last pause continues with that list while
        its calls fail. A process without an answer continues only once quick refusals show that discovery is
        down, rather than overloaded or cut off by a fault of this machine.

        Args:
            call_started_s: When the call began.
            now: The current time.
            refused: Whether discovery's side refused or broke the connection.
            was_watch: Whether the call was a long poll. A broken long poll is ignored, as it shows nothing
                about discovery.
        """
        if call_started_s < self._running_since_s or was_watch:
            return
        if refused and now - call_started_s < QUICK_REFUSAL_S and not self.pushed:
            self._refusal_count += 1
        if self._refusal_count >= REFUSALS_UNTIL_DOWN or self._answered_s >= self._running_since_s:
            self._unreachable_s = now

    def state(self, now: float) -> FreshnessState:
        """Return how current the list is at this moment."""
        if now - self._answered_s <= LIST_MAX_AGE_S:
            return FreshnessState.CURRENT
        if now - self._unreachable_s <= LIST_MAX_AGE_S:
            return FreshnessState.UNREACHABLE
        if now - self._unknown_since(now) >= self._unknown_max_s:
            return FreshnessState.UNREACHABLE
        return FreshnessState.UNKNOWN

    def _unknown_since(self, now: float) -> float:
        return max(self._running_since_s, min(self._answered_s + LIST_MAX_AGE_S, now))
