"""Which version of the endpoint list is applied, and what an answer of discovery does to it.

No I/O: time and jitter are arguments. Times are seconds.

A watch and a read may be out at the same time, and their answers come in either order. This is the one place
where both are merged: an answer is compared with the newest version that was known as its call was made,
which shows whether it is out of order, and with the newest one that is known now, which shows whether another
answer has overtaken it. An older answer never undoes a newer one.

A version is taken together with its content: an answer whose content is missing or can't be parsed leaves the
applied version as it was, while the watch goes on from the version that was announced.
"""

from __future__ import annotations

from dataclasses import replace

from ..policy.interface import UpdateKind
from .discovery_call import (
    CALL_SPACING_S,
    AnswerDecision,
    CallPurpose,
    DiscoveryCall,
    PassedOver,
    ReceivedAnswer,
)
from .inventory import WorkerList
from .verification import SLOW_ANSWER_S, Verification

# An answer without a change that comes before this fraction of the watch's wait belongs to an earlier call.
EARLY_ANSWER_FRACTION = 0.9


class ListState:
    """The versions of the endpoint list that this process knows of.

    Attributes:
        verification: Whether the applied list is confirmed.
        entry_count: The number of workers in the applied list.
        version: The version whose content is applied; None if none is known. 0 is a version like any other:
            taken for none, each call would ask for the snapshot, without a wait.
        announced_version: The newest version that an answer has named, whether or not its content was
            complete: watches continue from it. None if none is known.
        snapshot_needed: Whether the whole list has to be read.
        snapshot_not_before_s: The time from which on it may be read.
    """

    def __init__(self, pushed: bool, group_size: int, version: int | None, now: float, jitter: float) -> None:
        """Start with the configured list.

        Args:
            pushed: Whether a local agent pushes lists.
            group_size: How many dispatchers ask the same discovery.
            version: The version of the configured list; None if there is none.
            now: The current time.
            jitter: Drawn from 0 to 1.
        """
        self.pushed = pushed
        self.verification = Verification(pushed, group_size, now, jitter, version)
        self.entry_count = 0
        self.version = self.announced_version = version
        self.snapshot_needed = False
        self.snapshot_not_before_s = now
        self._older_version_seen = False  # the last answer was older than what was known before its call

    @property
    def complete(self) -> bool:
        """Whether the content of the announced version is applied."""
        return self.version == self.announced_version

    def restart(self, version: int | None, now: float, jitter: float) -> None:
        """Start anew with another discovery or another list, whose version is None if it is not known."""
        self.verification.restart(now, jitter)
        self.version = self.announced_version = version
        self.snapshot_needed = self._older_version_seen = False

    def request_snapshot(self, not_before_s: float) -> None:
        """Have the whole list read, from a time on."""
        self.snapshot_needed = True
        self.snapshot_not_before_s = not_before_s

    def is_older(self, version: int) -> bool:
        """Whether a version is older than what is known."""
        return self.announced_version is not None and version < self.announced_version

    def handle_answer(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Decide on an answer."""
        if answer.worker_list.is_snapshot:
            self.verification.handle_snapshot(answer.now, answer.worker_list.size_bytes)
        return replace(self._decide(answer), pause_s=max(0.0, CALL_SPACING_S - answer.elapsed_s))

    def _decide(self, answer: ReceivedAnswer) -> AnswerDecision:
        call, worker_list, now = answer.call, answer.worker_list, answer.now
        out_of_order = call.newest_version is not None and worker_list.version < call.newest_version
        renumbered = out_of_order and call.index is None and self._older_version_seen
        if out_of_order and not renumbered:
            # Either an answer to an earlier call, or discovery has begun anew: only the snapshot, twice on
            # new connections, can tell.
            self._older_version_seen = True
            self.request_snapshot(now + CALL_SPACING_S)
            return _unrelated_answer(PassedOver.OLDER)
        if call.index is None and not worker_list.is_snapshot:
            return _unrelated_answer(PassedOver.CHANGES_FOR_SNAPSHOT)
        if _is_early(answer):
            # The answer to the last call is still to come on that connection.
            return _unrelated_answer(PassedOver.EARLY)
        self._older_version_seen = False
        if self.is_older(worker_list.version) and not renumbered:
            return self._handle_overtaken(answer)
        if not worker_list.is_snapshot and self._has_other_base(call, worker_list.version):
            return self._handle_other_base(worker_list, now)
        if _lacks_content(call, worker_list):
            return self._handle_missing_content(call, worker_list, now)
        return replace(self._take(answer), renumbered=renumbered)

    def _handle_overtaken(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Another call's answer was newer: what this one tells is known, and confirms nothing."""
        if self.snapshot_needed or self.verification.doubtful:
            self.request_snapshot(answer.now + CALL_SPACING_S)
        elif answer.call.is_second_read:
            self.verification.handle_change(answer.now, answer.jitter)
        return AnswerDecision(
            None, keep_connection=True, proves_current=self.complete, passed_over=PassedOver.OVERTAKEN
        )

    def _has_other_base(self, call: DiscoveryCall, version: int) -> bool:
        """Whether changes up to a newer version are those since another version than the one at hand."""
        return call.index != self.announced_version and version != self.announced_version

    def _handle_other_base(self, worker_list: WorkerList, now: float) -> AnswerDecision:
        """The changes are applied, but what changed there and back again may be missing in them."""
        self.announced_version = worker_list.version
        self.request_snapshot(now + CALL_SPACING_S)
        return AnswerDecision(
            UpdateKind.CHANGES,
            keep_connection=True,
            proves_current=False,
            passed_over=PassedOver.OTHER_BASE,
        )

    def _handle_missing_content(
        self, call: DiscoveryCall, worker_list: WorkerList, now: float
    ) -> AnswerDecision:
        """What could be parsed of the changes is applied; the version counts as announced alone."""
        self.announced_version = worker_list.version
        self.verification.handle_doubt(now)
        pause_s = max(CALL_SPACING_S, self.verification.bounded_seconds_until_read(now))
        self.request_snapshot(now + pause_s)
        return AnswerDecision(
            _update_kind(call, worker_list),
            keep_connection=True,
            proves_current=False,
            passed_over=PassedOver.CONTENT_MISSING,
        )

    def _take(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Take the list with its version, and see what it says of the list that was applied before."""
        call, worker_list, verification = answer.call, answer.worker_list, self.verification
        snapshot_requested = self.snapshot_needed
        is_new_version = worker_list.version != self.version
        self._advance(worker_list)
        if call.is_second_read:
            verification.handle_confirming_read(answer.now)
        contradicts = (
            call.is_second_read and answer.changes_workers and not is_new_version and not snapshot_requested
        )
        agrees = not answer.changes_workers or (worker_list.is_snapshot and not verification.small_group)
        if worker_list.unparsed_ids or contradicts:
            verification.handle_doubt(answer.now)
        elif call.is_second_read and agrees and self.complete:
            verification.handle_confirmation(worker_list.version, answer.now, answer.jitter)
        elif is_new_version or call.is_second_read:
            missed = call.purpose is CallPurpose.CATCH_UP
            verification.handle_change(answer.now, answer.jitter, missed)
        if not call.is_watch and answer.elapsed_s > SLOW_ANSWER_S and not self.pushed:
            verification.handle_overload(answer.now)
        return AnswerDecision(
            _update_kind(call, worker_list),
            keep_connection=True,
            contradicts_earlier=contradicts,
            proves_current=self.complete,
        )

    def _advance(self, worker_list: WorkerList) -> None:
        """The list is applied: with its version, unless an earlier change is missing in it."""
        was_complete, self.announced_version = self.complete, worker_list.version
        if worker_list.is_snapshot:
            self.snapshot_needed = False
        if worker_list.is_snapshot or was_complete:
            self.version = worker_list.version


def _unrelated_answer(why: PassedOver) -> AnswerDecision:
    """The answer does not belong to the call: the connection is not used again."""
    return AnswerDecision(None, keep_connection=False, proves_current=False, passed_over=why)


def _is_early(answer: ReceivedAnswer) -> bool:
    """Whether a watch's answer without a change has come before its wait was over."""
    call = answer.call
    unchanged = call.is_watch and answer.worker_list.version == call.index
    return unchanged and answer.elapsed_s < EARLY_ANSWER_FRACTION * call.wait_s


def _lacks_content(call: DiscoveryCall, worker_list: WorkerList) -> bool:
    """Whether the content of the version is missing, or not all of it could be parsed."""
    if worker_list.is_snapshot:
        return False
    renumbered = worker_list.version != call.index
    return bool(worker_list.unparsed_ids) or (renumbered and not worker_list.endpoints)


def _update_kind(call: DiscoveryCall, worker_list: WorkerList) -> UpdateKind | None:
    """How the list is applied; the unchanged version in answer to a watch is not."""
    if call.is_watch and worker_list.version == call.index:
        return None
    return UpdateKind.SNAPSHOT if worker_list.is_snapshot else UpdateKind.CHANGES
