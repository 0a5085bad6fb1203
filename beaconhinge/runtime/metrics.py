"""Counters, log lines and supervised tasks. The on-call page explains the events and counters."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, TextIO

REPEAT_INTERVAL_S = 5.0  # least time between two log lines of one name by `count_and_log`


class Metrics:
    """Counters, log lines, and tasks whose failures are logged.

    Attributes:
        now: The clock, in seconds.
        sink: The stream to which plain log lines are written.
        counters: Counters by name; operators read them in the log and by `show-stat`.
        tasks: The tasks that have not ended yet.
        traced: The topics whose events are logged one by one.
        gauges: Return current values, by name; they are logged beside the counters.
    """

    def __init__(
        self,
        now: Callable[[], float],
        sink: TextIO | None = None,
        writer: Callable[[str, dict[str, object]], None] | None = None,
        traced: frozenset[str] = frozenset(),
    ) -> None:
        self.now = now
        self.sink = sink or sys.stderr
        self._write = writer or self._write_plain_line  # `beaconhinge.logs` has writers of other formats
        self.counters: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[Any]] = set()
        self._suppressed_until: dict[str, float] = {}
        self.traced = traced
        self.gauges: dict[str, Callable[[], int]] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += by

    def log(self, event: str, **fields: object) -> None:
        """Write one log line: the event's name and its fields."""
        try:
            self._write(event, fields)
        except OSError:  # the log's reader is gone; the dispatcher keeps serving
            self.count("log_lost")

    def _write_plain_line(self, event: str, fields: dict[str, object]) -> None:
        parts = [
            f"{self.now():.3f}",
            event,
            *(f"{key}={_format_value(value)}" for key, value in fields.items()),
        ]
        print(" ".join(parts), file=self.sink, flush=True)

    def trace(self, topic: str, event: str, **fields: object) -> None:
        """Log an event if its topic is traced; such events occur with every request."""
        if topic in self.traced:
            self.log(event, **fields)

    def count_and_log(self, name: str, **fields: object) -> None:
        """Count an unexpected event, and log it at a limited rate, as a peer may cause it without end."""
        self.count(name)
        if self.now() >= self._suppressed_until.get(name, 0.0):
            self._suppressed_until[name] = self.now() + REPEAT_INTERVAL_S
            self.log(name, total=self.counters[name], **fields)

    def check(self, condition: bool, name: str) -> bool:
        """Check an invariant: assert it in debug mode; count and log a breach under `python -O`, as in `run`.

        Returns:
            The condition.

        Raises:
            AssertionError: The condition is false, in debug mode.
        """
        assert condition, name
        if not condition:
            self.count_and_log("broken_" + name)
        return condition

    def log_exception(self, where: str, error: BaseException) -> None:
        """Count and log an exception, with the file and line that raised it."""
        last = traceback.extract_tb(error.__traceback__)[-1:]
        at = f"{last[0].filename.rsplit('/', 1)[-1]}:{last[0].lineno}" if last else "unknown"
        self.count_and_log("task_failed", task=where, error=f"{type(error).__name__}: {error}", at=at)

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """Start a coroutine as a task and return it; a failure is logged with `name`."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.log_exception(task.get_name(), error)

    def log_counters(self) -> None:
        """Write one log line with all counters, and one with all gauges if there are any."""
        self.log("counters", **dict(sorted(self.counters.items())))
        if self.gauges:
            self.log("gauges", **{name: read() for name, read in sorted(self.gauges.items())})


def _format_value(value: object) -> str:
    """Return a value as one word of a log line, so that a peer's bytes can't forge lines or fields."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    text = text[:200].encode("ascii", "backslashreplace").decode()
    return repr(text) if not text.isprintable() or set(text) & {" ", "=", '"', "'"} or not text else text
