"""One dispatcher as a process of its own, with its folder and its log."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import sys
import time
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from signal import SIGCONT, SIGSTOP, Signals
from typing import Any

from ...net import http1
from ...net.http1 import BadMessage, Closed
from ..http import Caller
from ..scene import START, SceneError, log_lines

ENDING = 10.0  # seconds that SIGTERM may take


class Process:
    """Several lives of one dispatcher. `stood` are the spans of the rig's clock in which it did not run."""

    def __init__(self, number: int, port: int, folder: Path, platform: Mapping[str, object],
                 ours: str) -> None:
        self.number = number
        self.port = port
        self.folder = folder
        self.platform = platform
        self.ours = ours
        self.lines: list[Mapping[str, Any]] = []
        self.stood: list[tuple[float, float]] = []
        self.counters: Counter[str] = Counter()  # of all lives, as each last told
        self._told: Mapping[str, Any] = {}
        self._down_at: float | None = None
        self._reader: asyncio.Task[None] | None = None
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Raises SceneError when it is not up in time."""
        self.folder.mkdir(exist_ok=True)
        (self.folder / "balancer.json").write_text(json.dumps(self.platform))
        (self.folder / "ours.toml").write_text(self.ours)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "beaconhinge", stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "BEACONHINGE_CONFIG": str(self.folder / "ours.toml")})
        self._reader = asyncio.create_task(self._read(self._process))
        caller, asked = Caller(self.port), http1.request("GET", b"/up", {"Host": "x"})
        try:
            async with asyncio.timeout(START):
                while self.running:
                    try:
                        if (await caller.call(asked, fresh=True)).status == 200:
                            self._up()
                            return
                    except (OSError, Closed, BadMessage):
                        pass  # not there yet
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pass
        raise SceneError(f"dispatcher {self.number} did not start: {self.lines[-1:]}")

    def _up(self) -> None:
        if self._down_at is not None:
            self.stood.append((self._down_at, time.monotonic()))
            self._down_at = None

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        async for told in log_lines(process):
            self.lines.append(told)
            if told["event"] == "counters":
                self._told = {name: n for name, n in told.items() if isinstance(n, int)}

    def signal(self, number: Signals) -> bool:
        if not self.running:
            return False
        assert self._process is not None
        self._process.send_signal(number)
        return True

    def stop(self) -> bool:
        if self._down_at is None and self.signal(SIGSTOP):
            self._down_at = time.monotonic()
            return True
        return False

    def go_on(self) -> None:
        self.signal(SIGCONT)
        self._up()

    async def end(self, number: Signals) -> int:
        """Send that signal and wait; its exit status. One that does not heed it in time is killed."""
        assert self._process is not None
        self.signal(number)
        self._down_at = self._down_at or time.monotonic()
        try:
            async with asyncio.timeout(ENDING):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        if self._reader is not None:
            await self._reader
        self.counters.update(self._told)
        self._told = {}
        return self._process.returncode or 0

    def forget(self) -> None:
        """Start next with an empty folder."""
        shutil.rmtree(self.folder, ignore_errors=True)
