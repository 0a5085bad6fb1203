"""One dispatcher as a process of its own, with its folder and its log."""

from __future__ import annotations

import asyncio
import json
import shutil
import time
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from signal import SIGCONT, SIGSTOP, Signals
from typing import Any

from ..harness import SceneError, end, log_lines, start, until_up


class Process:
    """One dispatcher's process, which is ended and started again in the course of a run.

    `down_spans` are the spans of the rig's clock in which it did not run.
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
        self.counters: Counter[str] = Counter()  # of all incarnations, as each last reported
        self._last_counters: Mapping[str, Any] = {}
        self._end_count = 0
        self.starting = False
        self.ending = False
        self._down_at: float | None = None
        self._reader: asyncio.Task[None] | None = None
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended; a paused one runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start it and wait until it is up.

        Raises:
            SceneError: It is not up in time, and no fault has ended it meanwhile.
        """
        self.folder.mkdir(exist_ok=True)
        (self.folder / "balancer.json").write_text(json.dumps(self.platform))
        (self.folder / "ours.toml").write_text(self.local_config)
        own = {"BEACONHINGE_CONFIG": str(self.folder / "ours.toml")}
        self._process = await start({**own, **self.environment}, "-O")
        self._reader = asyncio.create_task(self._read(self._process))
        ends, self.starting = self._end_count, True
        try:
            await until_up(self._process, self.port, self.log_lines)
        except SceneError:
            if self._end_count == ends:
                raise
        else:
            self.starting = False
            self._mark_up()

    def _mark_up(self) -> None:
        if self._down_at is not None:
            self.down_spans.append((self._down_at, time.monotonic()))
            self._down_at = None

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        async for line in log_lines(process):
            self.log_lines.append(line)
            if line["event"] == "counters":
                self._last_counters = {name: n for name, n in line.items() if isinstance(n, int)}

    def signal(self, number: Signals) -> bool:
        """Send a signal, if it runs; whether it does."""
        if not self.running:
            return False
        assert self._process is not None
        self._process.send_signal(number)
        return True

    def pause(self) -> bool:
        """Stop it by SIGSTOP; whether it ran."""
        stopped = self.signal(SIGSTOP)
        if stopped:
            self._down_at = self._down_at or time.monotonic()
        return stopped

    def resume(self) -> None:
        """Let it go on. One that another fault has ended meanwhile stays down until it is started."""
        self.signal(SIGCONT)
        if self.running and not self.starting and not self.ending:
            self._mark_up()

    async def end(self, number: Signals) -> int:
        """Send a signal, wait for the end, and return the exit status."""
        assert self._process is not None
        self._end_count += 1
        self._down_at = self._down_at or time.monotonic()
        self.ending = True
        status = await end(self._process, number)
        self.ending = False
        if self._reader is not None:
            await self._reader
        self.counters.update(self._last_counters)
        self._last_counters = {}
        return status

    def delete_folder(self) -> None:
        """Start next with an empty folder."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def restore_store(self, store: Path) -> None:
        """Start next with a copy of that store."""
        shutil.rmtree(self.folder / "store", ignore_errors=True)
        shutil.copytree(store, self.folder / "store")
