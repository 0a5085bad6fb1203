"""When the applied endpoint list is compared with discovery's snapshot.

No I/O: time and jitter are arguments. Times are seconds, sizes bytes.

A version is a number that discovery gives to its list. Having heard the number does not mean having the
content: an answer may hold none of the changes that it numbers, or only some of them. So each change of the
applied list stays *unconfirmed* until a second answer, asked for apart from the first, agrees with it. What
reconciles the two is the anti-entropy of replicated stores: the snapshot is read after anything doubtful, and
at a low rate anyway. docs/design/membership.md tells the price.
"""

from __future__ import annotations

import math

# The delay between the first unconfirmed change and the read that confirms it: drawn at random lest a fleet
# come at once, and long enough that one read does for a burst of changes. What discovery announces counts as
# notified 6 s later at the latest, and a call has 2 s.
CONFIRM_DELAY_MIN_S = 2.0
CONFIRM_DELAY_MAX_S = 3.8
# The same where a local agent pushes lists: what it has counts at once, and asking it is free.
AGENT_CONFIRM_DELAY_S = 0.1
# What a whole group may add to discovery's load: it answers some dozens of calls a second, watches apart. In
# a group of more than 18 the reads are spread over longer than CONFIRM_DELAY_MAX_S, and what an answer left
# out unseen may count for some seconds.
GROUP_READS_PER_SECOND = 10.0
# In a larger group nothing is read to confirm what no answer shows to be doubtful: an overbooked discovery
# has no time for that.
CONFIRMING_GROUP_SIZE_MAX = 60
# While calls fail, or take longer than this, discovery is overloaded: what can wait does.
SLOW_ANSWER_S = 0.5
# The first such delay; doubled each time, up to RESYNC_PERIOD_S, until a read is answered quickly.
OVERLOAD_BACKOFF_S = 2.0
# A group of up to this size confirms at once what was missed (before a start, in a pause, while calls
# failed), since that counts as notified already, and takes no single snapshot for its own confirmation. Those
# of a larger group kept discovery from answering (docs/design/membership.md).
SMALL_GROUP_SIZE_MAX = 18
# Between snapshots while answers contradict each other or can't be parsed; doubled while that goes on, up to
# RESYNC_PERIOD_S.
DOUBT_BACKOFF_S = 2.0
AGENT_DOUBT_BACKOFF_S = 0.2
# The mean time between snapshots while nothing changes.
RESYNC_PERIOD_S = 60.0
# The least time between snapshots that nothing doubtful has caused.
SNAPSHOT_SPACING_S = 1.5
# Snapshots of large fleets are expensive: beyond this rate they wait.
SNAPSHOT_BUDGET_BYTES_PER_S = 8 * 1024
SNAPSHOT_BUDGET_BURST_BYTES = 128 * 1024
# The size of an entry, until a snapshot has shown it.
ESTIMATED_ENTRY_BYTES = 160


def _double(backoff_s: float, first_s: float) -> float:
    """The backoff after this one: the first if there was none, else twice as long within bounds."""
    return min(2 * backoff_s, RESYNC_PERIOD_S) if backoff_s else first_s


class Verification:
    """Tracks whether the applied list is confirmed, and what has to be read when to confirm it.

    Attributes:
        pushed: Whether a local agent pushes lists, in place of a central discovery that is polled.
        small_group: Whether the group of dispatchers is small enough to confirm by snapshots.
        confirmed_version: The version that was confirmed last, or configured; None if there is none.
        unconfirmed_since_s: When the first change after the last confirmation was applied; None if all is
            confirmed.
        doubtful: Whether an answer contradicts another one, or could not be parsed.
    """

    def __init__(
        self, pushed: bool, group_size: int, now: float, jitter: float, version: int | None = None
    ) -> None:
        """Start with the configured list as the confirmed one.

        Args:
            pushed: Whether a local agent pushes lists.
            group_size: How many dispatchers ask the same discovery.
            now: The current time.
            jitter: Drawn from 0 to 1.
            version: The version of the configured list, None if there is none.
        """
        self.pushed = pushed
        group_round_s = 0.0 if pushed else group_size / GROUP_READS_PER_SECOND
        self._confirm_delay_max_s = max(CONFIRM_DELAY_MAX_S, CONFIRM_DELAY_MIN_S + group_round_s)
        self.small_group = pushed or group_size <= SMALL_GROUP_SIZE_MAX
        self._confirms_changes = pushed or group_size <= CONFIRMING_GROUP_SIZE_MAX
        self._resync_period_s = RESYNC_PERIOD_S if self._confirms_changes else math.inf
        self._snapshot_spacing_s = 0.0 if pushed else max(SNAPSHOT_SPACING_S, group_round_s)
        self.confirmed_version = version
        self.unconfirmed_since_s: float | None = None
        self._read_due_s = now + self._resync_period_s * (0.5 + jitter)
        self.doubtful = False
        self._doubt_backoff_first_s = AGENT_DOUBT_BACKOFF_S if pushed else DOUBT_BACKOFF_S
        self._doubt_backoff_s = 0.0  # from a doubtful snapshot to the next; 0: the last was not doubtful
        self._overload_backoff_s = 0.0  # by which the last read was put off; 0: discovery is not overloaded
        self._last_snapshot_s = -math.inf
        self._snapshot_size_bytes = 0
        self._budget_bytes = float(SNAPSHOT_BUDGET_BURST_BYTES)
        self._budget_refilled_s = now

    def restart(self, now: float, jitter: float) -> None:
        """Another discovery is asked from now on, or another list was taken over: nothing is confirmed."""
        self.confirmed_version = None
        self.handle_change(now, jitter)

    def handle_change(self, now: float, jitter: float, missed: bool = False) -> None:
        """Schedule the read that confirms a change of the applied list.

        Args:
            now: The current time.
            jitter: Drawn from 0 to 1.
            missed: Whether the change was made while no watch was open.
        """
        if self.unconfirmed_since_s is None:
            self.unconfirmed_since_s = now
        if not self._confirms_changes:
            return
        if missed and self.small_group and not self.pushed:
            self._read_due_s = now
            return
        spread_s = self._confirm_delay_max_s - CONFIRM_DELAY_MIN_S
        delay_s = AGENT_CONFIRM_DELAY_S if self.pushed else CONFIRM_DELAY_MIN_S + spread_s * jitter
        earliest_s = self._last_snapshot_s + self._snapshot_spacing_s
        self._read_due_s = min(self._read_due_s, max(now + delay_s, earliest_s))

    def handle_overload(self, now: float) -> None:
        """Put reads off as discovery has too many callers. What is doubtful is read all the same."""
        if self.doubtful:
            return
        self._overload_backoff_s = _double(self._overload_backoff_s, OVERLOAD_BACKOFF_S)
        self._read_due_s = max(self._read_due_s, now + self._overload_backoff_s)

    def handle_recovery(self, now: float, jitter: float) -> None:
        """Schedule the read that confirms what failed calls have put off: discovery answers again.

        What an answer left out before counts as notified 6 s after discovery can be reached.
        """
        self._overload_backoff_s = 0.0
        if self.unconfirmed_since_s is not None:
            self.handle_change(now, jitter)

    def handle_doubt(self, now: float) -> None:
        """Have the snapshot read, as an answer can't be right, can't be parsed, or contradicts another.

        It is read now unless that was done just before.
        """
        if self.unconfirmed_since_s is None:
            self.unconfirmed_since_s = now
        self.doubtful = True
        if now == self._last_snapshot_s:  # the answer that was to settle it is itself doubtful
            self._doubt_backoff_s = _double(self._doubt_backoff_s, self._doubt_backoff_first_s)
        earliest_s = self._last_snapshot_s + (self._doubt_backoff_s or self._doubt_backoff_first_s)
        self._read_due_s = min(self._read_due_s, max(now, earliest_s))

    def handle_confirmation(self, version: int, now: float, jitter: float) -> None:
        """Record that a second answer agrees with the applied list, which has this version."""
        self.confirmed_version, self.unconfirmed_since_s, self.doubtful = version, None, False
        self._overload_backoff_s = 0.0
        self._doubt_backoff_s = 0.0
        self._read_due_s = now + self._resync_period_s * (0.5 + jitter)

    def handle_confirming_read(self, now: float) -> None:
        """Record that what had to be read has been; the outcome is reported by the next call."""
        self._read_due_s = now + 2 * self._resync_period_s

    def handle_snapshot(self, now: float, size_bytes: int) -> None:
        """Record that a snapshot of this size has come."""
        self.handle_confirming_read(now)
        self._refill_budget(now)
        self._budget_bytes -= size_bytes
        self._last_snapshot_s, self._snapshot_size_bytes = now, size_bytes

    def seconds_until_read(self, now: float, entry_count: int) -> float:
        """Return the seconds until the snapshot has to be read; 0 if it has to be now.

        Args:
            now: The current time.
            entry_count: The number of workers in the applied list, by which a snapshot's size is estimated.
        """
        due_in_s = max(0.0, self._read_due_s - now)
        if self.doubtful or self.confirmed_version is None:
            return due_in_s
        return max(due_in_s, self._seconds_until_affordable(now, entry_count))

    def bounded_seconds_until_read(self, now: float) -> float:
        """Return the seconds until a doubtful list has to be read, bounded by the longest such delay."""
        return min(max(0.0, self._read_due_s - now), self._doubt_backoff_first_s)

    def _seconds_until_affordable(self, now: float, entry_count: int) -> float:
        """The seconds until the byte budget allows a snapshot. One that exceeds it is made up for later."""
        self._refill_budget(now)
        expected_bytes = self._snapshot_size_bytes or entry_count * ESTIMATED_ENTRY_BYTES
        if self._budget_bytes > 0 or expected_bytes <= SNAPSHOT_BUDGET_BYTES_PER_S:
            return 0.0
        return (1.0 - self._budget_bytes) / SNAPSHOT_BUDGET_BYTES_PER_S

    def snapshot_affordable(self, now: float, entry_count: int) -> bool:
        """Return whether the byte budget allows a snapshot now."""
        return self._seconds_until_affordable(now, entry_count) <= 0.0

    def _refill_budget(self, now: float) -> None:
        grown = self._budget_bytes + (now - self._budget_refilled_s) * SNAPSHOT_BUDGET_BYTES_PER_S
        self._budget_bytes = min(grown, float(SNAPSHOT_BUDGET_BURST_BYTES))
        self._budget_refilled_s = now
