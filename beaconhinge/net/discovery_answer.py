"""What comes of the answers on a connection to discovery, read in the turn in which its bytes arrive."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..membership.partial_list import LeavingEntries, PartialListReader
from ..runtime.timer_wheel import TimerWheel

STATUS_OK = 200


@dataclass(slots=True)
class AnswerProgress:
    """How far the answer to one call has come. Times are seconds since the call.

    Attributes:
        first_byte_s: When the first byte of its body came; None if none has come.
        last_byte_s: When the latest byte of its body came; None if none has come.
        body_bytes: How many bytes of its body have come.
    """

    first_byte_s: float | None = None
    last_byte_s: float | None = None
    body_bytes: int = 0


class AnswerReader:
    """Reads the bodies of answers as they arrive (`http1.BodySink`).

    Attributes:
        progress: Of the answer to the latest call.
    """

    def __init__(self, timers: TimerWheel, on_leaving: Callable[[LeavingEntries], None]) -> None:
        """Create a reader.

        Args:
            timers: The clock.
            on_leaving: Called with entries that take workers out of service, in the turn that read them.
        """
        self._timers = timers
        self._on_leaving = on_leaving
        self._call_started_s = timers.now()
        self._list_reader = PartialListReader()
        self._found: list[LeavingEntries] = []
        self.progress = AnswerProgress()

    @property
    def content_complete(self) -> bool:
        """Whether the list of the answer that came last has been read to its end."""
        return self._list_reader.complete

    def start_call(self) -> None:
        """Record that a call is made now."""
        self._call_started_s = self._timers.now()
        self._list_reader = PartialListReader()
        self.progress = AnswerProgress()

    def begin_message(self) -> None:
        """An answer has begun."""
        self._list_reader = PartialListReader()

    def receive_body(self, status: int, part: bytes) -> None:
        """Read a part of an answer's body. What an answer of another status than 200 holds is no list."""
        progress, elapsed_s = self.progress, self._timers.now() - self._call_started_s
        if progress.first_byte_s is None:
            progress.first_byte_s = elapsed_s
        progress.last_byte_s = elapsed_s
        progress.body_bytes += len(part)
        found = self._list_reader.feed(part) if status == STATUS_OK else None
        if found is not None:
            self._found.append(found)

    def finish_read(self) -> None:
        """Report what the bytes read in this turn have completed."""
        found, self._found = self._found, []
        for leaving in found:
            self._on_leaving(leaving)
