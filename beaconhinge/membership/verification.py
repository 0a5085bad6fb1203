"""When the applied endpoint list is compared with discovery's snapshot.

No I/O: time and jitter are arguments. Times are seconds, sizes bytes.

A version is a number that discovery gives to its list. An answer that names a version need not hold its
content: it may hold none of the changes, or only some of them. So each change of the applied list stays
*unconfirmed* until a second answer, requested separately, agrees with it. Differences are reconciled as by
anti-entropy in replicated stores: the snapshot is read after any doubtful answer, and at a low rate even
without one. docs/design/membership.md describes what these reads cost.
"""

from __future__ import annotations

import math

# The delay between the first unconfirmed change and the read that confirms it. It is random, so that the
# dispatchers of a fleet do not read at the same time, and long enough that one read confirms a burst of
# changes. A change counts as notified (the dispatcher must act on it, received or not) 6 s after discovery
# announced it at the latest, and a call may take 2 s.
CONFIRM_DELAY_MIN_S = 2.0
CONFIRM_DELAY_MAX_S = 3.8
# The same delay where a local agent pushes lists: the agent's changes count as notified at once, and a call
# to it costs nothing.
AGENT_CONFIRM_DELAY_S = 0.1
# The rate of confirming reads that a whole group may add to discovery's load; discovery answers some dozens
# of calls a second beside the watches. In a group of more than 18 the reads are spread over longer than
# CONFIRM_DELAY_MAX_S, so that a change that an answer left out may count as notified some seconds before it
# is read.
GROUP_READS_PER_SECOND = 10.0
# A group larger than this reads only to settle what an answer has shown to be doubtful, as an overloaded
# discovery has no time for other confirming reads.
CONFIRMING_GROUP_SIZE_MAX = 60
# Discovery counts as overloaded, and reads that can wait are put off, while calls fail or take longer than
# this.
SLOW_ANSWER_S = 0.5
# The first delay of a read that is put off for overload; it doubles each time, up to RESYNC_PERIOD_S, until a
# read is answered quickly.
OVERLOAD_BACKOFF_S = 2.0
# A group of up to this size confirms at once the changes that it missed (before a start, in a pause, while
# calls failed), since they count as notified already. It does not accept a single snapshot as its own
# confirmation either. The second snapshots of a larger group kept discovery from answering
# (docs/design/membership.md).
SMALL_GROUP_SIZE_MAX = 18
# The time between snapshots while answers contradict each other or can't be parsed. It doubles each time, up
# to RESYNC_PERIOD_S.
DOUBT_BACKOFF_S = 2.0
# The same time where a local agent pushes lists.
AGENT_DOUBT_BACKOFF_S = 0.2
# The mean time between snapshots while nothing changes.
RESYNC_PERIOD_S = 60.0
# The shortest time between snapshots that are not read because of a doubtful answer.
SNAPSHOT_SPACING_S = 1.5
# Snapshots of large fleets are expensive: those beyond this rate and burst wait.
SNAPSHOT_BUDGET_BYTES_PER_S = 8 * 1024
SNAPSHOT_BUDGET_BURST_BYTES = 128 * 1024
# The size of an entry by which a snapshot is estimated before the first one has been read.
ESTIMATED_ENTRY_BYTES = 160


def _double(backoff_s: float, first_s: float) -> float:
    """Return the backoff after this one: the first if there was none, else twice as long within bounds."""
    return min(2 * backoff_s, RESYNC_PERIOD_S) if backoff_s else first_s


class Verification:
    """Tracks whether the applied list is confirmed, and when a read has to confirm it.

    Attributes:
        pushed: Whether a local agent pushes lists, in place of a central discovery that is polled.
        small_group: Whether the group of dispatchers is small enough to confirm by snapshots.
        confirmed_version: The version that was confirmed last, or configured; None if there is none.
        unconfirmed_since_s: When the first change after the last confirmation was applied; None if every
            change is confirmed.
        doubtful: Whether an answer contradicts another one, or could not be parsed.
    """

    def __init__(
        self, pushed: bool, group_size: int, now: float, jitter: float, version: int | None = None
    ) -> None:
        """Start with the configured list as the confirmed one.

        Args:
            pushed: Whether a local agent pushes lists.
            group_size: How many dispatchers call the same discovery.
            now: The current time.
            jitter: A random number from 0 to 1.
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
        self._doubt_backoff_s = 0.0  # the time from a doubtful snapshot to the next; 0 after any other one
        self._overload_backoff_s = 0.0  # the last delay of a read for overload; 0 without overload
        self._last_snapshot_s = -math.inf
        self._snapshot_size_bytes = 0
        self._budget_bytes = float(SNAPSHOT_BUDGET_BURST_BYTES)
        self._budget_refilled_s = now

    def restart(self, now: float, jitter: float) -> None:
        """Start again with nothing confirmed, after a switch to another discovery or another list."""
        self.confirmed_version = None
        self.handle_change(now, jitter)

    def handle_change(self, now: float, jitter: float, missed: bool = False) -> None:
        """Schedule the read that confirms a change of the applied list.

        Args:
            now: The current time.
            jitter: A random number from 0 to 1.
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
        """Put reads off, as discovery is overloaded. A doubtful list is read nevertheless."""
        if self.doubtful:
            return
        self._overload_backoff_s = _double(self._overload_backoff_s, OVERLOAD_BACKOFF_S)
        self._read_due_s = max(self._read_due_s, now + self._overload_backoff_s)

    def handle_recovery(self, now: float, jitter: float) -> None:
        """Schedule the read that failed calls have put off, as discovery answers again.

        A change that an earlier answer left out counts as notified 6 s after discovery can be reached.
        """
        self._overload_backoff_s = 0.0
        if self.unconfirmed_since_s is not None:
            self.handle_change(now, jitter)

    def handle_doubt(self, now: float) -> None:
        """Schedule a read of the snapshot, as an answer is wrong, can't be parsed, or contradicts another.

        It is read now unless a snapshot was read just before.
        """
        if self.unconfirmed_since_s is None:
            self.unconfirmed_since_s = now
        self.doubtful = True
        if now == self._last_snapshot_s:  # the snapshot that was to settle the doubt is itself doubtful
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
        """Record that a scheduled read was answered; the caller reports the outcome by a further call."""
        self._read_due_s = now + 2 * self._resync_period_s

    def handle_snapshot(self, now: float, size_bytes: int) -> None:
        """Record that a snapshot of this size has been received."""
        self.handle_confirming_read(now)
        self._refill_budget(now)
        self._budget_bytes -= size_bytes
        self._last_snapshot_s, self._snapshot_size_bytes = now, size_bytes

    def seconds_until_read(self, now: float, entry_count: int) -> float:
        """Return the seconds until the snapshot has to be read; 0 if it is due now.

        Args:
            now: The current time.
            entry_count: The number of workers in the applied list, from which a snapshot's size is estimated.
        """
        due_in_s = max(0.0, self._read_due_s - now)
        if self.doubtful or self.confirmed_version is None:
            return due_in_s
        return max(due_in_s, self._seconds_until_affordable(now, entry_count))

    def bounded_seconds_until_read(self, now: float) -> float:
        """Return the seconds until a doubtful list has to be read, bounded by the longest such delay."""
        return min(max(0.0, self._read_due_s - now), self._doubt_backoff_first_s)

    def _seconds_until_affordable(self, now: float, entry_count: int) -> float:
        """Return the seconds until the byte budget allows a snapshot.

        A snapshot may exceed the budget; later ones then wait until the excess is made up for.
        """
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
