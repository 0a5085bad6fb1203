"""Runs the resource that dispatchers act on under leases: a process that records who acted when."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Iterable

import msgspec

from .process import Process
from .scenario import Scenario
from .verdict import Act

# Longest duration of an act, as a share of the lease's span.
LONGEST_ACT_SHARE = 0.4


class LeaseResource:
    """Starts the resource's process, and collects the acts that it reports."""

    def __init__(self, scenario: Scenario, acts: list[Act]) -> None:
        """Set the resource up without starting it.

        Args:
            scenario: Gives the seed and the leases.
            acts: List that the reported acts are appended to.
        """
        self.scenario = scenario
        self.acts = acts
        self.lease_names = [f"export-{number}" for number in range(scenario.leases)]
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self, dispatchers: Iterable[Process]) -> None:
        """Start the process, and add its address to the configuration of dispatchers not started yet."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "beaconhinge.standin.resource",
            str(self.scenario.seed),
            stdout=asyncio.subprocess.PIPE,
        )
        lines = self._process.stdout
        assert lines is not None
        port = json.loads(await lines.readline())["port"]
        for dispatcher in dispatchers:
            dispatcher.local_config += self._lease_config(port)
        self._reader = asyncio.create_task(self._read_acts(lines))

    def _lease_config(self, port: int) -> str:
        scenario = self.scenario
        config = f"[leases]\nenabled = true\nspan_s = {scenario.lease_span_s}\n"
        for name in self.lease_names:
            config += (
                f'[[leases.calls]]\nname = "{name}"\nto = "127.0.0.1:{port}"\n'
                f"every_s = {scenario.lease_act_interval_s}\n"
                f"longest_s = {LONGEST_ACT_SHARE * scenario.lease_span_s}\n"
            )
        return config

    async def _read_acts(self, lines: asyncio.StreamReader) -> None:
        async for line in lines:
            self.acts.append(msgspec.json.decode(line, type=Act))

    async def stop(self) -> None:
        """Kill the process, if it was started, and wait for its end."""
        if self._process is not None:
            self._process.kill()
            await self._process.wait()
