"""Runs one dispatcher as a process of its own, with its folder and its log."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM, Signals
from typing import Any

from ..harness import SceneError, end, log_lines, start, until_up


@dataclass(frozen=True, slots=True)
class Shutdown:
    """A planned shutdown of a process. Times are seconds by the rig's clock.

    Attributes:
        process: Number of the process.
        term_at: When the process was sent SIGTERM.
        ended_at: When the process had ended, by itself or by SIGKILL.
        killed: Whether SIGKILL was sent.
        paused: Whether the process was paused by SIGSTOP at some time from SIGTERM to its end.
        status: Exit status of the process.
    """

    process: int
    term_at: float
    ended_at: float
    killed: bool
    paused: bool
    status: int


class Process:
    """One dispatcher's process, which is ended and restarted in the course of a run.

    `down_spans` are the spans in which it did not run, was paused or was starting, in seconds by the rig's
    clock.
    """

    def __init__(
        self,
        number: int,
        port: int,
        folder: Path,
        platform: Mapping[str, object],
        local_config: str,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.number = number
        self.port = port
        self.folder = folder
        self.platform = platform
        self.local_config = local_config
        self.environment = environment or {}
        self.log_lines: list[Mapping[str, Any]] = []
        self.down_spans: list[tuple[float, float]] = []
        # Summed over all incarnations, each as it last reported before its end.
        self.counters: Counter[str] = Counter()
        self._last_counters: Mapping[str, Any] = {}
        self._end_count = 0
        self.starting = False
        self.ending = False
        # When SIGTERM was sent for a planned shutdown that is under way; None if there is none.
        self.term_at: float | None = None
        self._down_at: float | None = None
        self._reader: asyncio.Task[None] | None = None
        self._process: asyncio.subprocess.Process | None = None

    @property
    def process_id(self) -> int | None:
        """Id of the process; None if it does not run."""
        return self._process.pid if self.running and self._process is not None else None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended. A paused process counts as running."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Write the configuration, start the process and wait until it is up.

        Raises:
            SceneError: The process is not up in time, and no fault has ended it meanwhile.
        """
        self.folder.mkdir(exist_ok=True)
        (self.folder / "balancer.json").write_text(json.dumps(self.platform))
        (self.folder / "ours.toml").write_text(self.local_config)
        config_variable = {"BEACONHINGE_CONFIG": str(self.folder / "ours.toml")}
        self._process = await start({**config_variable, **self.environment}, "-O")
        self._reader = asyncio.create_task(self._read_log(self._process))
        end_count_before, self.starting = self._end_count, True
        try:
            await until_up(self._process, self.port, self.log_lines)
        except SceneError:
            if self._end_count == end_count_before:
                raise
        else:
            self.starting = False
            self._mark_up()

    def _mark_up(self) -> None:
        """End the down span that is open, if there is one."""
        if self._down_at is not None:
            self.down_spans.append((self._down_at, time.monotonic()))
            self._down_at = None

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        async for line in log_lines(process):
            self.log_lines.append(line)
            if line["event"] == "counters":
                self._last_counters = {name: n for name, n in line.items() if isinstance(n, int)}

    def signal(self, number: Signals) -> bool:
        """Send a signal if the process runs, and return whether it runs."""
        if not self.running:
            return False
        assert self._process is not None
        # Not `Process.send_signal` of asyncio: it would first collect the exit status of a process that has
        # just ended, and the event loop would miss that status.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._process.pid, number)
        return True

    def pause(self) -> bool:
        """Pause the process by SIGSTOP, and return whether it ran."""
        paused = self.signal(SIGSTOP)
        if paused:
            self._down_at = self._down_at or time.monotonic()
        return paused

    def resume(self) -> None:
        """Resume the process by SIGCONT. If another fault has ended it, it stays down until it is started."""
        self.signal(SIGCONT)
        if self.running and not self.starting and not self.ending:
            self._mark_up()

    async def end(self, number: Signals) -> int:
        """Send a signal, wait for the process's end, and return its exit status."""
        assert self._process is not None
        self._end_count += 1
        self._down_at = self._down_at or time.monotonic()
        self.ending = True
        status = await end(self._process, number)
        self.ending = False
        await self._collect_counters()
        return status

    async def shut_down(
        self, kill_after_s: float, further_signals: Sequence[Signals], signal_gap_s: float
    ) -> Shutdown:
        """End the process as the platform does: by SIGTERM, and by SIGKILL if it then takes too long.

        Args:
            kill_after_s: Seconds from SIGTERM to SIGKILL.
            further_signals: Signals sent one after the other after SIGTERM.
            signal_gap_s: Seconds from SIGTERM to the first of these, and between two of them.
        """
        assert self._process is not None
        self._end_count += 1
        self.ending, self.term_at = True, time.monotonic()
        paused = self._down_at is not None
        self.signal(SIGTERM)
        signal_series = asyncio.create_task(self._send_series(further_signals, signal_gap_s))
        killed = False
        try:
            async with asyncio.timeout(kill_after_s):
                await self._process.wait()
        except TimeoutError:
            killed = self.signal(SIGKILL)
            await self._process.wait()
        signal_series.cancel()
        paused |= self._down_at is not None
        term_at, ended_at = self.term_at, time.monotonic()
        self._down_at, self.ending, self.term_at = self._down_at or ended_at, False, None
        await self._collect_counters()
        assert self._process.returncode is not None
        return Shutdown(self.number, term_at, ended_at, killed, paused, self._process.returncode)

    async def _send_series(self, numbers: Sequence[Signals], gap_s: float) -> None:
        for number in numbers:
            await asyncio.sleep(gap_s)
            self.signal(number)

    async def _collect_counters(self) -> None:
        """Read the log to its end, and add the counters that this incarnation reported last."""
        if self._reader is not None:
            await self._reader
        self.counters.update(self._last_counters)
        self._last_counters = {}

    def delete_folder(self) -> None:
        """Delete the folder, so that the next start finds an empty one."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def restore_store(self, store: Path) -> None:
        """Replace the process's store by a copy of `store`, for the next start."""
        shutil.rmtree(self.folder / "store", ignore_errors=True)
        shutil.copytree(store, self.folder / "store")
