"""A call to discovery, and what follows from its answer: messages between decisions and sockets."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..policy.interface import UpdateKind
from .inventory import WorkerList

# The least time from the start of one call to the start of the next: bounds the rate of calls that are
# answered at once. A watch that was open for longer is followed at once: what changes within 0.2 s counts as
# notified.
CALL_SPACING_S = 0.05
# How long an answer may take from its first byte to its last. Some never end; others are slow and complete,
# so that the timeout doubles after one that was given up while its bytes still came.
BODY_TIMEOUT_S = 3.0


class CallPurpose(enum.Enum):
    """What a call to discovery is for. The values stand in log lines."""

    WATCH = "watch"  # a long poll for what comes next
    CATCH_UP = (
        "catch_up"  # the changes that were missed while no watch was open, or while this process was paused
    )
    SNAPSHOT = "snapshot"  # the whole list, as the one at hand is unknown, incomplete or doubtful
    CONFIRM = "confirm"  # the whole list or the last changes once more, to compare


@dataclass(frozen=True, slots=True)
class DiscoveryCall:
    """One call to discovery.

    Attributes:
        index: Only what is newer than this version is asked for; None asks for the snapshot.
        wait_s: How long discovery may wait for a change; 0 if it is to answer at once.
        first_byte_timeout_s: How long the first byte of the answer may take.
        body_timeout_s: How long the answer may take from its first byte to its last.
        purpose: What the call is for.
        newest_version: The newest version that discovery had announced as the call was made; None if none is
            known.
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
        """Whether the answer holds what was, or should have been, read before."""
        return self.index is None


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """An answer of discovery, with what decisions on it need.

    Attributes:
        call: The call that it answers.
        worker_list: What it holds.
        elapsed_s: The time from the call to the answer.
        now: The current time.
        jitter: Drawn from 0 to 1.
        changes_workers: Whether applying the list would change the known workers.
    """

    call: DiscoveryCall
    worker_list: WorkerList
    elapsed_s: float
    now: float
    jitter: float
    changes_workers: bool


class PassedOver(enum.Enum):
    """Why an answer, or the version that it numbers, is not taken. The values stand in log lines."""

    OLDER = "older"  # than the newest version that was known as the call was made
    OVERTAKEN = "overtaken"  # by a newer answer to another call, which was made beside this one
    EARLY = "early"  # a watch's answer without a change before its wait was over
    CHANGES_FOR_SNAPSHOT = "changes_for_snapshot"
    OTHER_BASE = "other_base"  # its changes are those since an older version than another answer has brought
    CONTENT_MISSING = "content_missing"  # of the version, or it could not all be parsed


@dataclass(frozen=True, slots=True)
class AnswerDecision:
    """What follows from an answer.

    Attributes:
        update_kind: How the list is applied; None if it is not.
        keep_connection: Whether the connection may be used for the next call.
        pause_s: The time to the next call.
        contradicts_earlier: Whether the same version, read a second time, has other content.
        proves_current: Whether the applied list is current, as far as the answer shows.
        passed_over: Why the answer, or its version, is not taken; None if it is.
        renumbered: Whether discovery has begun to number its lists anew, so that an open watch is asked for
            by a number that means nothing.
    """

    update_kind: UpdateKind | None
    keep_connection: bool
    pause_s: float = CALL_SPACING_S
    contradicts_earlier: bool = False
    proves_current: bool = True
    passed_over: PassedOver | None = None
    renumbered: bool = False
