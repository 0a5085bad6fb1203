"""When discovery is called, and which of its answers are taken. No I/O: time and chance are arguments.

A version is taken together with its content: an answer whose content is missing or can't be read leaves the
version as it was, and what was taken is confirmed by a second answer (`verification.py`).

docs/design/membership.md tells what counts as told, and why each wait here is as short as it is. Times are
seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..policy.interface import UpdateKind
from .inventory import WorkerList
from .verification import SLOW, Read, Verification

WAIT, WAIT_PART = 4.0, 0.4  # that a watch may wait for news, and that as a part of `mustAskIn` at most
SILENT = 0.5  # beyond its wait after which a watch has fallen silent: 2 s after it that counts as told
STALL = 1.0  # without a further byte, after which an answer that has begun is given up
# From the first byte of an answer to its last. Some never end; others are slow and whole, so that the time
# doubles after one that was given up while its bytes still came.
BODY, BODY_MOST = 3.0, 12.0
AGAIN_BODY = 0.4  # within which a call comes again whose answer had begun: much of its time is gone
ANSWER = 2.0  # for a call that does not wait: given up, it is worked on all the same, and comes again on top
ANSWER_CONFIRMING = 0.7  # for one that only confirms: a crowd at discovery is not to wait for that
ANSWER_SILENT = 1.0  # the same right after a silent watch, whose news count as told soon
# The same where an agent at hand has the list. While discovery is away it is silent, and what it has at the
# return counts at once, so that a silent call and the pause after it stay within the grace for drains. It is
# slow, not silent, when it has not answered AGENT_SLOW calls, in some 20 s: then they have up to AGENT_MOST.
AGENT_ANSWER, AGENT_MOST, AGENT_SLOW = 0.2, 0.8, 60
PAUSE = 0.05  # from an answer to the next call, of 0.2 allowed: bounds calls answered at once
AGAIN_AGENT = 0.1  # between calls to an agent: what it gets counts as told at once
AGAIN_SILENT = 0.5  # within which a call comes again that was to follow a silent watch
SPREAD = 0.25  # for each dispatcher, over which they call again after a break that all saw
# The longest such time. News count as told 6 s after discovery could be reached, whatever failed before: a
# call that began just before is given up ANSWER later, the next begins within this, and has ANSWER again.
SPREAD_MOST = 2.0
SHORTEST_WAIT = 0.05  # of a watch that ends because something has to be confirmed
EARLY = 0.9  # part of its wait before which a watch's answer without news is not its own


@dataclass(frozen=True, slots=True)
class Call:
    """One call: the whole list (no index), or what is newer than `index`."""

    index: int | None
    wait: float  # that discovery may wait for news
    patience: float  # until the first byte of the answer
    body: float = BODY  # from the first byte of the answer to its last


@dataclass(frozen=True, slots=True)
class Step:
    """What follows from an answer: as which kind of list the module hears of it (not at all if None),
    whether the connection may be used again, and the seconds until the next call.
    """

    kind: UpdateKind | None
    keep: bool
    pause: float = PAUSE
    contradicts: bool = False  # the same version, read a second time, holds something else
    current: bool = True  # the believed list is what discovery said, as far as the answer shows


# Not the answer to the call that is out: the connection is not used again.
OUT_OF_TURN = Step(None, keep=False, current=False)


class DiscoveryWatch:
    """One dispatcher's calls to its discovery, one after the other. `version` is that of the configured list,
    whose content is at hand; None if there is none.
    """

    def __init__(
        self,
        pushed: bool,
        group_size: int,
        must_ask_in: float,
        version: int | None,
        now: float,
        chance: float,
    ) -> None:
        self.pushed = pushed
        self.verification = Verification(pushed, group_size, now, chance, version)
        self.entries = 0  # of the believed list
        # None: no list is known. 0 is a version like any other: taken for none, it once made each call ask
        # for the whole list, one call right after the other, until discovery refused.
        self.version = version
        self._wait = min(WAIT, WAIT_PART * must_ask_in) if must_ask_in > 0 else WAIT
        self._longest = max(min(SPREAD_MOST, must_ask_in / 2), PAUSE)  # even if told to be 0: no hammering
        self._first = min(SPREAD * group_size, self._longest)
        self._whole = False  # all is to be asked for
        self._doubted = False  # the last answer was older than the list in use
        self._body = BODY
        self._confirming = False  # the call that is out only confirms what is believed
        self._reads_changes_again = False  # it asks for the changes since the version that was confirmed last
        self._watching = False  # nothing is missed: the next call may wait
        self._window = 0.0  # in which a call that has failed comes again; 0: none has
        self._silent = False  # a watch has fallen silent, and the call that follows it is not answered yet
        self._failures = 0
        self._wrong_pause = 0.0  # after the last answer that was not the whole list asked for; 0: none
        self._call = Call(None, 0.0, ANSWER)

    def begin(self, version: int | None, now: float, chance: float) -> None:
        """Anew, with another discovery or another list, from no version or from this one."""
        self.verification.begin(now, chance)
        self.version = version
        self._whole = self._doubted = self._watching = False
        self._window, self._silent, self._failures, self._wrong_pause = 0.0, False, 0, 0.0

    def catch_up(self, whole: bool = False) -> None:
        """The next call does not wait."""
        self._watching, self._whole = False, self._whole or whole

    def moved(self, now: float, chance: float) -> float:
        """All have heard of another discovery at once; the seconds until the first call there."""
        self.begin(None, now, chance)
        return 0.0 if self.pushed else self._first * chance

    @property
    def last_call(self) -> Call:
        return self._call

    @property
    def failing(self) -> bool:
        return self._failures > 0

    def call(self, now: float) -> Call:
        """The next call. A watch ends when something has to be confirmed, and the call after it reads
        that."""
        read = self.verification.read(now, self.entries)
        # Nothing is missed: a call that reads the same once more may fail, and the watch goes on after it.
        caught_up = self._watching and not self._whole and not self.verification.doubtful
        self._confirming = caught_up and read is not Read.NOTHING
        index = None if self._whole or read is Read.WHOLE else self.version
        wait = self._wait if self._watching and index is not None else 0.0
        self._reads_changes_again = index is not None and read is Read.CHANGES
        if self._reads_changes_again:
            index, wait = self.verification.confirmed_version, 0.0
        elif wait:
            wait = max(min(wait, self.verification.wait(now)), SHORTEST_WAIT)
        if wait:
            patience = wait + SILENT
        elif self.pushed:
            patience = min(AGENT_ANSWER * 2 ** min(self._failures // AGENT_SLOW, 8), AGENT_MOST)
        elif self._confirming:
            patience = ANSWER_CONFIRMING
        else:
            patience = ANSWER_SILENT if self._silent else ANSWER
        self._call = Call(index, wait, patience, self._body)
        return self._call

    def answered(self, hosts: WorkerList, after: float, now: float, chance: float, differs: bool) -> Step:
        """An answer has come so many seconds after its call. `differs`: the believed list is another with it
        than without it.
        """
        call, known, verification = self._call, self.version, self.verification
        self._window, self._silent, self._failures, self._body = 0.0, False, 0, BODY
        if hosts.is_snapshot:
            verification.whole_read(now, hosts.size_bytes)
        if known is not None and hosts.version < known and not (call.index is None and self._doubted):
            # One answer behind, or discovery has begun anew: only all of it, twice on new connections, tells.
            self._doubted = self._whole = True
            return OUT_OF_TURN
        if call.index is None and not hosts.is_snapshot:
            return self._changes_for_whole(now)
        early = hosts.version == known and call.wait > 0 and after < EARLY * call.wait
        if early:
            return OUT_OF_TURN  # said before: the own answer is still to come there
        kind: UpdateKind | None = UpdateKind.SNAPSHOT if hosts.is_snapshot else UpdateKind.CHANGES
        if hosts.version == known and call.wait > 0:  # an empty answer is news only to one who asked
            kind = None
        requested, self._whole, self._doubted, self._wrong_pause = self._whole, False, False, 0.0
        if not hosts.is_snapshot and (
            hosts.unparsed_ids or hosts.version != call.index and not hosts.endpoints
        ):
            # The content of the version is missing, or not all there: what can be read of it counts, the
            # number does not.
            verification.doubt(now)
            self._whole, self._watching = True, False
            return Step(kind, keep=True, pause=max(PAUSE, verification.pause(now)), current=False)
        self.version, self._watching = hosts.version, True
        second = call.wait == 0 and (call.index is None or self._reads_changes_again)
        if second:
            verification.read_again(now)
        contradicts = second and differs and hosts.version == known and not requested
        if hosts.unparsed_ids or contradicts:
            verification.doubt(now)
        elif second and (not differs or hosts.is_snapshot and not verification.small_group):
            verification.confirmed(hosts.version, now, chance)
        elif hosts.version != known or second:
            verification.changed(now, chance, missed=call.wait == 0 and not second)
        if call.wait == 0 and after > SLOW and not self.pushed:
            verification.crowded(now)
        return Step(kind, keep=True, contradicts=contradicts)

    def _changes_for_whole(self, now: float) -> Step:
        """The whole list was asked for, and changes came. Who only confirms goes back to the watch; who has
        to have the list asks for it again, ever later lest discovery be asked twenty times a second.
        """
        if self._confirming and not self.pushed:
            self.verification.crowded(now)
            return OUT_OF_TURN
        pause = min(2 * self._wrong_pause, self._longest) if self._wrong_pause else 2 * PAUSE
        self._wrong_pause = pause
        return replace(OUT_OF_TURN, pause=pause)

    def failed_to_apply(self, now: float) -> None:
        """The list that was taken last has not been applied whole: it is read anew."""
        self.verification.doubt(now)

    def failed(self, silent: bool, now: float, chance: float, begun: bool = False) -> float:
        """A call has failed, `silent` if nothing came in time, `begun` if its answer had begun; the seconds
        until the next. `chance` is drawn from 0 to 1.
        """
        watched = self._call.wait > 0
        if self._confirming and not self.pushed:
            self.verification.crowded(now)
            return PAUSE  # back to the watch, which costs discovery nothing
        self._watching = False
        self._failures += 1
        if self.pushed:
            return AGAIN_AGENT * (0.5 + chance / 2)
        self.verification.crowded(now)
        if begun:
            self._body = min(2 * self._body, BODY_MOST)
            return AGAIN_BODY * chance
        if watched and silent:  # each watch ends at its own time, so that nobody comes in step
            self._silent = True
            return 0.0
        if self._silent:
            self._silent = False
            return AGAIN_SILENT * chance
        self._window = min(2 * self._window, self._longest) if self._window else self._first
        return self._window * chance
