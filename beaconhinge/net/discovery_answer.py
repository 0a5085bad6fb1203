"""Reads discovery's answers in the same turn of the event loop in which their bytes arrive."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..membership.partial_list import LeavingEntries, PartialListReader
from ..runtime.timer_wheel import TimerWheel

STATUS_OK = 200


@dataclass(slots=True)
class AnswerProgress:
    """How much of the answer to one call has arrived. Times are seconds since the call.

    Attributes:
        first_byte_s: When the first byte of the body arrived; None if none has arrived.
        last_byte_s: When the latest byte of the body arrived; None if none has arrived.
        body_bytes: How many bytes of the body have arrived.
    """

    first_byte_s: float | None = None
    last_byte_s: float | None = None
    body_bytes: int = 0


class AnswerReader:
    """Reads the bodies of answers as they arrive (`http1.BodySink`).

    Attributes:
        progress: How much of the answer to the latest call has arrived.
    """

    def __init__(self, timers: TimerWheel, on_leaving: Callable[[LeavingEntries], None]) -> None:
        """Create a reader.

        Args:
            timers: The clock.
            on_leaving: Called with entries that take workers out of service, in the turn that reads them.
        """
        self._timers = timers
        self._on_leaving = on_leaving
        self._call_started_s = timers.now()
        self._list_reader = PartialListReader()
        self._found: list[LeavingEntries] = []
        self.progress = AnswerProgress()

    @property
    def content_complete(self) -> bool:
        """Whether the list in the latest answer has been read to its end."""
        return self._list_reader.complete

    def start_call(self) -> None:
        """Reset the progress as a call is made."""
        self._call_started_s = self._timers.now()
        self._list_reader = PartialListReader()
        self.progress = AnswerProgress()

    def begin_message(self) -> None:
        """Reset the list reader as an answer begins."""
        self._list_reader = PartialListReader()

    def receive_body(self, status: int, part: bytes) -> None:
        """Read a part of an answer's body; only an answer with status 200 holds a list."""
        progress, elapsed_s = self.progress, self._timers.now() - self._call_started_s
        if progress.first_byte_s is None:
            progress.first_byte_s = elapsed_s
        progress.last_byte_s = elapsed_s
        progress.body_bytes += len(part)
        found = self._list_reader.feed(part) if status == STATUS_OK else None
        if found is not None:
            self._found.append(found)

    def finish_read(self) -> None:
        """Report the entries that the bytes read in this turn have completed."""
        found, self._found = self._found, []
        for leaving in found:
            self._on_leaving(leaving)
