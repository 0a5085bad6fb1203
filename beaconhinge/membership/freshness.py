"""Whether the believed list of workers may be acted on now. No I/O: time is an argument.

A list is believed because it is at hand: configured, inherited, had from discovery before this process stood
still. That does not make it current. It is current for CURRENT_FOR after discovery's last word, since a
change counts as notified 6 s after it was made, whatever happened to this process. Where discovery can't be
reached, the list that is at hand is the best there is, and service goes on with it (static stability). What
is left is the state in which nothing is known: no word lately, and no try that failed. Work waits then, for
UNKNOWN_MOST at most. docs/design/membership.md has the reasons. Times are seconds.
"""

from __future__ import annotations

import enum
import math

CURRENT_FOR = 6.0  # from discovery's last word
# A connection that is refused or reset within this may show that discovery is down; later, that it has many
# callers. One such call may have met a fault of its own: so many in a row show it.
DOWN_WITHIN = 0.5
REFUSALS_SHOW_DOWN = 2
# That work waits, after a start or a stop, for a discovery that neither answers nor breaks the connection. It
# has many callers then: what is sent without its word is likely to go to who has left.
UNKNOWN_MOST, UNKNOWN_MOST_AGENT = 5.8, 5.0
# A gap between two signs that this process runs, from which on it has stood still. An agent at hand, which
# pushes lists, may have news that count at once.
STOOD_STILL, STOOD_STILL_AGENT = 1.0, 0.35


class ListState(enum.Enum):
    """What is known of the believed list. Work is sent unless it is UNKNOWN."""

    CURRENT = "current"
    UNREACHABLE = "unreachable"  # discovery does not answer; the list at hand is used
    UNKNOWN = "unknown"  # nothing has been heard lately, and nothing has failed


class Freshness:
    """One process's view of how current its list is. It starts with nothing known."""

    def __init__(self, pushed: bool, now: float) -> None:
        self.pushed = pushed
        self._stood_still = STOOD_STILL_AGENT if pushed else STOOD_STILL
        self._unknown_most = UNKNOWN_MOST_AGENT if pushed else UNKNOWN_MOST
        self._heard_at = -math.inf  # when discovery last said what there is
        self._unreachable_at = -math.inf  # when a call last showed that it can't be reached
        self._refusals = 0  # one after the other, with no word between
        self._awake_since = self._ran_at = now

    def ran(self, now: float) -> bool:
        """This process runs, which is said a few times a second. Whether it has just stood still: what it was
        told meanwhile is not heard yet, and what failed before shows nothing any more.
        """
        gap, self._ran_at = now - self._ran_at, now
        if gap < self._stood_still:
            return False
        self._awake_since, self._unreachable_at, self._refusals = now, -math.inf, 0
        if self.pushed:
            self._heard_at = -math.inf
        return True

    def heard(self, began: float, now: float) -> None:
        """The call that began at `began` has been answered. An answer that was written while this process
        stood still is as old as that.
        """
        if began >= self._awake_since:
            self._heard_at, self._refusals = now, 0

    def failed(self, began: float, now: float, down: bool, watched: bool) -> None:
        """The call that began at `began` has failed, `down` if discovery's side refused or broke its
        connection. A watch that breaks shows nothing. One that has had a word since it runs goes on with that
        while its calls fail; one that has had none has to see that discovery is down: not that it has many
        callers, nor that this machine is short of something.
        """
        if began < self._awake_since or watched:
            return
        if down and now - began < DOWN_WITHIN and not self.pushed:
            self._refusals += 1
        if self._refusals >= REFUSALS_SHOW_DOWN or self._heard_at >= self._awake_since:
            self._unreachable_at = now

    def state(self, now: float) -> ListState:
        if now - self._heard_at <= CURRENT_FOR:
            return ListState.CURRENT
        if now - self._unreachable_at <= CURRENT_FOR or now - self._unknown_since(now) >= self._unknown_most:
            return ListState.UNREACHABLE
        return ListState.UNKNOWN

    def _unknown_since(self, now: float) -> float:
        return max(self._awake_since, min(self._heard_at + CURRENT_FOR, now))
