"""Which version of the endpoint list is applied, and how an answer of discovery changes it.

No I/O: time and jitter are arguments. Times are seconds.

A watch and a read may be in progress at the same time, and be answered in either order. This is the one place
where their answers are merged. The version of an answer is compared with the newest one that was known when
its call was made, which shows whether the answer is out of order, and with the newest one that is known now,
which shows whether another answer has overtaken it. An older answer never undoes a newer one.

A version counts as applied only together with its content: an answer whose content is missing or can't be
parsed leaves the applied version unchanged, while the watch continues from the announced version.
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

# An answer without a change that arrives before this fraction of the watch's wait belongs to an earlier call.
EARLY_ANSWER_FRACTION = 0.9


class ListState:
    """The versions of the endpoint list that this process has applied and received.

    Attributes:
        pushed: Whether a local agent pushes lists, in place of a central discovery that is polled.
        verification: Tracks whether the applied list is confirmed.
        entry_count: The number of workers in the applied list.
        version: The version whose content is applied; None if there is none. 0 is a valid version: if it were
            treated as None, each call would request the snapshot, without a wait.
        announced_version: The newest version that an answer has named, whether or not its content was
            complete; watches continue from it. None if there is none.
        snapshot_needed: Whether the whole list has to be read.
        snapshot_not_before_s: The earliest time at which it may be read.
    """

    def __init__(self, pushed: bool, group_size: int, version: int | None, now: float, jitter: float) -> None:
        """Start with the configured list.

        Args:
            pushed: Whether a local agent pushes lists.
            group_size: How many dispatchers call the same discovery.
            version: The version of the configured list; None if there is none.
            now: The current time.
            jitter: A random number from 0 to 1.
        """
        self.pushed = pushed
        self.verification = Verification(pushed, group_size, now, jitter, version)
        self.entry_count = 0
        self.version = self.announced_version = version
        self.snapshot_needed = False
        self.snapshot_not_before_s = now
        self._older_version_seen = False  # the last answer was older than the newest version before its call

    @property
    def complete(self) -> bool:
        """Whether the content of the announced version is applied."""
        return self.version == self.announced_version

    def restart(self, version: int | None, now: float, jitter: float) -> None:
        """Start again with another discovery or another list, whose version is None if it is unknown."""
        self.verification.restart(now, jitter)
        self.version = self.announced_version = version
        self.snapshot_needed = self._older_version_seen = False

    def request_snapshot(self, not_before_s: float) -> None:
        """Request a read of the whole list, at `not_before_s` at the earliest."""
        self.snapshot_needed = True
        self.snapshot_not_before_s = not_before_s

    def is_older(self, version: int) -> bool:
        """Return whether a version is older than the newest announced one."""
        return self.announced_version is not None and version < self.announced_version

    def handle_answer(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Decide on an answer: whether and how it is applied, and the pause before the next call."""
        if answer.worker_list.is_snapshot:
            self.verification.handle_snapshot(answer.now, answer.worker_list.size_bytes)
        return replace(self._decide(answer), pause_s=max(0.0, CALL_SPACING_S - answer.elapsed_s))

    def _decide(self, answer: ReceivedAnswer) -> AnswerDecision:
        call, worker_list, now = answer.call, answer.worker_list, answer.now
        out_of_order = call.newest_version is not None and worker_list.version < call.newest_version
        renumbered = out_of_order and call.index is None and self._older_version_seen
        if out_of_order and not renumbered:
            # The answer belongs to an earlier call, or discovery has restarted its version numbers. Two older
            # snapshots in a row, read on new connections, show the latter.
            self._older_version_seen = True
            self.request_snapshot(now + CALL_SPACING_S)
            return _unrelated_answer(PassedOver.OLDER)
        if call.index is None and not worker_list.is_snapshot:
            return _unrelated_answer(PassedOver.CHANGES_FOR_SNAPSHOT)
        if _is_early(answer):
            # The answer to this call has yet to arrive on that connection.
            return _unrelated_answer(PassedOver.EARLY)
        self._older_version_seen = False
        if self.is_older(worker_list.version) and not renumbered:
            return self._handle_overtaken(answer)
        if not worker_list.is_snapshot and self._has_other_base(call, worker_list.version):
            return self._handle_other_base(worker_list, now)
        if _lacks_content(call, worker_list):
            return self._handle_missing_content(call, worker_list, now)
        return replace(self._accept(answer), renumbered=renumbered)

    def _handle_overtaken(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Ignore an answer that is older than another call's answer; it confirms nothing.

        A snapshot that is still needed, or a confirmation, is read again.
        """
        if self.snapshot_needed or self.verification.doubtful:
            self.request_snapshot(answer.now + CALL_SPACING_S)
        elif answer.call.is_second_read:
            self.verification.handle_change(answer.now, answer.jitter)
        return AnswerDecision(
            None, keep_connection=True, proves_current=self.complete, passed_over=PassedOver.OVERTAKEN
        )

    def _has_other_base(self, call: DiscoveryCall, version: int) -> bool:
        """Return whether changes up to a newer version start from another version than the announced one."""
        return call.index != self.announced_version and version != self.announced_version

    def _handle_other_base(self, worker_list: WorkerList, now: float) -> AnswerDecision:
        """Apply changes that start from an older version, and request the snapshot.

        A change that was made and undone since that version may be missing in them.
        """
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
        """Apply the changes that could be parsed; the version counts as announced, not as applied."""
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

    def _accept(self, answer: ReceivedAnswer) -> AnswerDecision:
        """Accept the list with its version, and check whether it confirms the list applied before."""
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
        """Record the version that is applied with this list.

        Changes advance the applied version only if no earlier content is missing.
        """
        was_complete, self.announced_version = self.complete, worker_list.version
        if worker_list.is_snapshot:
            self.snapshot_needed = False
        if worker_list.is_snapshot or was_complete:
            self.version = worker_list.version


def _unrelated_answer(why: PassedOver) -> AnswerDecision:
    """Return the decision on an answer that does not belong to its call: its connection is not used again."""
    return AnswerDecision(None, keep_connection=False, proves_current=False, passed_over=why)


def _is_early(answer: ReceivedAnswer) -> bool:
    """Return whether a watch was answered without a change before its wait was over."""
    call = answer.call
    unchanged = call.is_watch and answer.worker_list.version == call.index
    return unchanged and answer.elapsed_s < EARLY_ANSWER_FRACTION * call.wait_s


def _lacks_content(call: DiscoveryCall, worker_list: WorkerList) -> bool:
    """Return whether changes lack the content of their version, or could not all be parsed."""
    if worker_list.is_snapshot:
        return False
    is_new_version = worker_list.version != call.index
    return bool(worker_list.unparsed_ids) or (is_new_version and not worker_list.endpoints)


def _update_kind(call: DiscoveryCall, worker_list: WorkerList) -> UpdateKind | None:
    """Return how the list is applied; None for the unchanged version in answer to a watch."""
    if call.is_watch and worker_list.version == call.index:
        return None
    return UpdateKind.SNAPSHOT if worker_list.is_snapshot else UpdateKind.CHANGES
