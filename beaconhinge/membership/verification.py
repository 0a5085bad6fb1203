"""When the list that is believed is compared with discovery's whole list. No I/O: time and chance are
arguments.

A version is a number that discovery gives to its list. Having heard the number does not mean having the
content: an answer may hold none of the changes that it numbers, or only a part of them. So each change of the
believed list stays *unconfirmed* until a second answer, asked for apart from the first, agrees with it. What
reconciles the two is the anti-entropy of replicated stores: the whole list is read after anything doubtful,
and at a low rate anyway. docs/design/membership.md tells the price. Times are seconds, sizes bytes.
"""

from __future__ import annotations

import enum
import math

# After the first unconfirmed change, when the whole list is read: at random lest a fleet come at once, and
# late enough that one read does for a burst of changes. What discovery tells counts as notified 6 s later at
# the latest, and a call has 2 s.
AFTER_CHANGE_EARLIEST, AFTER_CHANGE_LATEST = 2.0, 3.8
# What a whole group may add to discovery's calls: it answers some dozens a second, watches apart. In a group
# of more than 18 the reads are spread over longer than that, and what an answer left out unseen may count for
# some seconds.
FLEET_READS_PER_SECOND = 10.0
# In a larger group nothing is read to confirm what no answer shows to be doubtful: a read takes the place of
# the watch for a moment, and on an overbooked day the watch comes back seconds later.
CONFIRMING_GROUP_MOST = 60
# While calls fail, or take longer than SLOW, discovery has too many callers: what can wait does.
SLOW, AFTER_CROWD = 0.5, 2.0  # doubled each time, up to RESYNC, until a read is answered quickly
# A group of up to so many confirms by whole lists, and at once what was missed (before a start, in a stop,
# while calls failed), since that counts as notified already. Whole lists are dear: those of a larger group
# kept discovery from answering (docs/design/membership.md). It reads the changes again.
SMALL_GROUP_MOST = 18
AFTER_CHANGE_AGENT = 0.1  # where an agent at hand pushes lists: what it has counts at once, asking is free
# Between whole reads while answers contradict each other or can't be read; doubled while that goes on, up to
# RESYNC.
AFTER_DOUBT, AFTER_DOUBT_AGENT = 2.0, 0.2
RESYNC = 60.0  # the mean time between whole reads while nothing changes
SPACING = 1.5  # the least time between whole reads that nothing doubtful has caused
# Whole lists of large fleets are dear: beyond this rate a change is confirmed by reading the changes again.
BYTES_PER_SECOND, BYTES_BURST = 8 * 1024, 128 * 1024
BYTES_PER_ENTRY = 160  # until a whole list has come


class Read(enum.Enum):
    """What the next call to discovery is to read so as to confirm what is believed."""

    NOTHING = enum.auto()
    WHOLE = enum.auto()  # the whole list
    CHANGES = enum.auto()  # the changes since the last confirmed version, once more


class Verification:
    """Whether the believed list is confirmed, and what has to be read when to have it confirmed."""

    def __init__(
        self, pushed: bool, group_size: int, now: float, chance: float, version: int | None = None
    ) -> None:
        self.pushed = pushed
        turn = 0.0 if pushed else group_size / FLEET_READS_PER_SECOND
        self._latest = max(AFTER_CHANGE_LATEST, AFTER_CHANGE_EARLIEST + turn)
        self.small_group = pushed or group_size <= SMALL_GROUP_MOST
        self._confirms = pushed or group_size <= CONFIRMING_GROUP_MOST
        self._resync = RESYNC if self._confirms else math.inf
        self._spacing = 0.0 if pushed else max(SPACING, turn)
        self.confirmed_version = version  # of the list that was confirmed last, or configured
        self.unconfirmed_since: float | None = None  # the first change since then
        self._due = now + self._resync * (0.5 + chance)
        self.doubtful = False  # an answer contradicts another, or could not be read
        self._first_doubt = AFTER_DOUBT_AGENT if pushed else AFTER_DOUBT
        self._doubt_again = 0.0  # seconds from a doubtful whole list to the next read; 0: the last was not
        self._crowded_for = 0.0  # seconds that the last read was put off because of a crowd
        self._last_whole = -math.inf
        self._whole_bytes = 0
        self._budget = float(BYTES_BURST)
        self._budget_at = now

    def begin(self, now: float, chance: float) -> None:
        """Another discovery is asked from now on, or another list was taken over: nothing of it is
        confirmed."""
        self.confirmed_version = None
        self.changed(now, chance)

    def changed(self, now: float, chance: float, missed: bool = False) -> None:
        """The believed list has changed by an answer that nothing has confirmed yet. `missed`: it tells of
        changes that were made while nobody watched.
        """
        if self.unconfirmed_since is None:
            self.unconfirmed_since = now
        if not self._confirms:
            return
        span = self._latest - AFTER_CHANGE_EARLIEST
        if missed and self.small_group and not self.pushed:
            self._due = now
            return
        wait = AFTER_CHANGE_AGENT if self.pushed else AFTER_CHANGE_EARLIEST + span * chance
        self._due = min(self._due, max(now + wait, self._last_whole + self._spacing))

    def crowded(self, now: float) -> None:
        """Discovery has too many callers at present. What is doubtful is read all the same."""
        if self.doubtful:
            return
        self._crowded_for = min(2 * self._crowded_for, RESYNC) if self._crowded_for else AFTER_CROWD
        self._due = max(self._due, now + self._crowded_for)

    def doubt(self, now: float) -> None:
        """An answer can't be right, or can't be read, or contradicts another: read the whole list, now if
        that was not done just before.
        """
        if self.unconfirmed_since is None:
            self.unconfirmed_since = now
        self.doubtful = True
        if now == self._last_whole:  # the answer that was to settle it is itself doubtful
            self._doubt_again = min(2 * self._doubt_again, RESYNC) if self._doubt_again else self._first_doubt
        self._due = min(self._due, max(now, self._last_whole + (self._doubt_again or self._first_doubt)))

    def confirmed(self, version: int, now: float, chance: float) -> None:
        """A second answer agrees with what is believed."""
        self.confirmed_version, self.unconfirmed_since, self.doubtful = version, None, False
        self._crowded_for = 0.0
        self._doubt_again = 0.0
        self._due = now + self._resync * (0.5 + chance)

    def read_again(self, now: float) -> None:
        """What had to be read has been; what follows from it is said next."""
        self._due = now + 2 * self._resync

    def whole_read(self, now: float, size: int) -> None:
        """A whole list of so many bytes has come."""
        self.read_again(now)
        self._refill(now)
        self._budget -= size
        self._last_whole, self._whole_bytes = now, size

    def wait(self, now: float) -> float:
        """Seconds until something has to be read; 0 if it has to be now."""
        return max(0.0, self._due - now)

    def pause(self, now: float) -> float:
        """The same, bounded: so long may pass without any call at most."""
        return min(self.wait(now), self._first_doubt)

    def read(self, now: float, entries: int) -> Read:
        """What to read now; `entries`: the size of the believed list, which tells the price of the whole
        one."""
        if now < self._due:
            return Read.NOTHING
        if self.doubtful or self.confirmed_version is None:
            return Read.WHOLE
        return Read.WHOLE if self.small_group and self._affordable(now, entries) else Read.CHANGES

    def _affordable(self, now: float, entries: int) -> bool:
        """Whether the whole list may be read, by the bytes that it takes."""
        self._refill(now)
        return self._budget > 0 or (self._whole_bytes or entries * BYTES_PER_ENTRY) <= BYTES_PER_SECOND

    def _refill(self, now: float) -> None:
        grown = self._budget + (now - self._budget_at) * BYTES_PER_SECOND
        self._budget, self._budget_at = min(grown, float(BYTES_BURST)), now
