"""Whether the endpoint list may be acted on at this moment.

No I/O: time is an argument, in seconds.

A list is at hand from the configuration, from the previous process, or from an answer of discovery before
this process was paused. That does not make it current. It is current for LIST_MAX_AGE_S after the last answer
of discovery, since a change counts as notified 6 s after it was made, whatever happened to this process.
While discovery can't be reached, the list at hand is the best there is, and service continues with it (static
stability). What remains is the state in which nothing is known: no recent answer, and no attempt that failed.
Work waits then, for UNKNOWN_MAX_S at most. docs/design/membership.md has the reasons.
"""

from __future__ import annotations

import enum
import math

# How long the list counts as current after discovery's last answer.
LIST_MAX_AGE_S = 6.0
# A connection that is refused or reset this quickly may show that discovery is down; one that is refused
# later shows that discovery has many callers.
QUICK_REFUSAL_S = 0.5
# A single refusal may have been a fault of that one connection: so many in a row show that discovery is down.
REFUSALS_SHOW_DOWN = 2
# How long work waits, after a start or a pause, for a discovery that neither answers nor refuses. It has many
# callers then, and what is sent without its answer is likely to reach a worker that has left.
UNKNOWN_MAX_S = 5.8
AGENT_UNKNOWN_MAX_S = 5.0
# The gap between two signs of running from which on the process counts as paused. A local agent that pushes
# lists may hold changes that count at once, hence the shorter one.
PROCESS_PAUSE_S = 1.0
AGENT_PROCESS_PAUSE_S = 0.35


class ListState(enum.Enum):
    """What is known of the endpoint list. Work is sent unless it is UNKNOWN."""

    CURRENT = "current"
    UNREACHABLE = "unreachable"  # discovery does not answer; the list at hand is used
    UNKNOWN = "unknown"  # no recent answer, and no failure that would explain it


class ListFreshness:
    """Tracks how current this process's endpoint list is. At the start nothing is known."""

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
        self._refusal_count = 0  # consecutive, with no answer between
        self._running_since_s = self._last_running_s = now

    def mark_running(self, now: float) -> bool:
        """Record a sign that this process runs; it is called several times a second.

        Returns:
            Whether the process has just been paused. Changes made meanwhile are not known yet then, and
            earlier failures show nothing any more.
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

        An answer to a call from before a pause of this process may be as old as the pause, and does not
        count.
        """
        if call_started_s >= self._running_since_s:
            self._answered_s, self._refusal_count = now, 0

    def handle_failure(self, call_started_s: float, now: float, refused: bool, was_watch: bool) -> None:
        """Record that the call which began at `call_started_s` has failed.

        A process that has had an answer since it runs continues with that list while its calls fail. One that
        has had none has to see that discovery is down, rather than overloaded or cut off by a fault of this
        machine.

        Args:
            call_started_s: When the call began.
            now: The current time.
            refused: Whether discovery's side refused or broke the connection.
            was_watch: Whether the call was a long poll. A long poll that breaks shows nothing.
        """
        if call_started_s < self._running_since_s or was_watch:
            return
        if refused and now - call_started_s < QUICK_REFUSAL_S and not self.pushed:
            self._refusal_count += 1
        if self._refusal_count >= REFUSALS_SHOW_DOWN or self._answered_s >= self._running_since_s:
            self._unreachable_s = now

    def state(self, now: float) -> ListState:
        """Return what is known of the list at this moment."""
        if now - self._answered_s <= LIST_MAX_AGE_S:
            return ListState.CURRENT
        if now - self._unreachable_s <= LIST_MAX_AGE_S:
            return ListState.UNREACHABLE
        if now - self._unknown_since(now) >= self._unknown_max_s:
            return ListState.UNREACHABLE
        return ListState.UNKNOWN

    def _unknown_since(self, now: float) -> float:
        return max(self._running_since_s, min(self._answered_s + LIST_MAX_AGE_S, now))
