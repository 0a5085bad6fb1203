"""A call to discovery, and the decision on its answer.

The modules of this package that decide exchange these objects with the modules in `net` that own the sockets.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..policy.interface import UpdateKind
from .inventory import WorkerList

# The shortest time from the start of one call to the start of the next; it bounds the rate of calls that are
# answered at once. A watch that was open for longer is followed by the next call at once, as a change made
# within 0.2 s of a watch's answer counts as notified when it is made: from then on no job may be sent to a
# worker that it takes out of service.
CALL_SPACING_S = 0.05
# How long an answer may take from its first byte to its last. Some answers never end; others are slow but
# complete, so that the timeout doubles after an answer that was given up while its bytes still arrived.
BODY_TIMEOUT_S = 3.0


class CallPurpose(enum.Enum):
    """What a call to discovery is for. The values are written to log lines."""

    WATCH = "watch"  # a long poll for the next change
    CATCH_UP = (
        "catch_up"  # the changes that were missed while no watch was open, or while this process was paused
    )
    SNAPSHOT = "snapshot"  # the whole list, as no list is known or the applied list is incomplete or doubtful
    CONFIRM = "confirm"  # the whole list or the last changes a second time, to compare


@dataclass(frozen=True, slots=True)
class DiscoveryCall:
    """One call to discovery.

    Attributes:
        index: The call requests the changes since this version; None requests the snapshot.
        wait_s: How long discovery may wait for a change; 0 if it has to answer at once.
        first_byte_timeout_s: How long the first byte of the answer may take.
        body_timeout_s: How long the answer may take from its first byte to its last.
        purpose: What the call is for.
        newest_version: The newest version that discovery had announced when the call was made; None if there
            was none.
    """

    index: int | None
    wait_s: float
    first_byte_timeout_s: float
    body_timeout_s: float = BODY_TIMEOUT_S
    purpose: CallPurpose = CallPurpose.WATCH
    newest_version: int | None = None

    @property
    def is_watch(self) -> bool:
        """Whether discovery may wait with its answer until something changes."""
        return self.wait_s > 0

    @property
    def is_second_read(self) -> bool:
        """Whether the call requests the snapshot: content that was, or should have been, received before."""
        return self.index is None


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """An answer of discovery, and the circumstances by which it is decided on.

    Attributes:
        call: The call that is answered.
        worker_list: The parsed content of the answer.
        elapsed_s: The time from the call to the answer.
        now: The current time.
        jitter: A random number from 0 to 1.
        changes_workers: Whether applying the list would change the known workers.
    """

    call: DiscoveryCall
    worker_list: WorkerList
    elapsed_s: float
    now: float
    jitter: float
    changes_workers: bool


class PassedOver(enum.Enum):
    """Why an answer is not applied, or its version not recorded. The values are written to log lines."""

    OLDER = "older"  # the version is older than the newest one that was known when the call was made
    OVERTAKEN = "overtaken"  # a concurrent call has been answered with a newer version
    EARLY = "early"  # a watch was answered without a change before its wait was over
    CHANGES_FOR_SNAPSHOT = "changes_for_snapshot"  # a call for the snapshot was answered with changes
    OTHER_BASE = "other_base"  # the changes start from an older version than the one already announced
    CONTENT_MISSING = "content_missing"  # the version's content is missing or could not all be parsed


@dataclass(frozen=True, slots=True)
class AnswerDecision:
    """What to do with an answer, and when to make the next call.

    Attributes:
        update_kind: How the list is applied; None if it is not.
        keep_connection: Whether the connection may be used for the next call.
        pause_s: The time to the next call.
        contradicts_earlier: Whether the same version, read a second time, has other content.
        proves_current: Whether the answer shows that the applied list is current.
        passed_over: Why the answer is not applied or its version not recorded; None if both are done.
        renumbered: Whether discovery has restarted its version numbers, so that the index of an open watch is
            no longer valid.
    """

    update_kind: UpdateKind | None
    keep_connection: bool
    pause_s: float = CALL_SPACING_S
    contradicts_earlier: bool = False
    proves_current: bool = True
    passed_over: PassedOver | None = None
    renumbered: bool = False
