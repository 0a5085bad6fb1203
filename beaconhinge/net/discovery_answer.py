"""What comes of the answers on a connection to discovery, byte by byte, and when."""

from __future__ import annotations

from dataclasses import dataclass

from ..runtime.timer_wheel import TimerWheel


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


class AnswerRecorder:
    """Records the progress of each answer as its bytes are read.

    Attributes:
        progress: Of the answer to the latest call.
    """

    def __init__(self, timers: TimerWheel) -> None:
        """Create a recorder by this clock."""
        self._timers = timers
        self._call_started_s = timers.now()
        self.progress = AnswerProgress()

    def start_call(self) -> None:
        """Record that a call is made now."""
        self._call_started_s = self._timers.now()
        self.progress = AnswerProgress()

    def receive_body(self, part: bytes) -> None:
        """Record a part of an answer's body."""
        progress, elapsed_s = self.progress, self._timers.now() - self._call_started_s
        if progress.first_byte_s is None:
            progress.first_byte_s = elapsed_s
        progress.last_byte_s = elapsed_s
        progress.body_bytes += len(part)
