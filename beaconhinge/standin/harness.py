"""A dispatcher as a process among stand-in discovery, workers and clients on free loopback ports."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ..errors import Error
from ..net import http1
from ..net.http1 import BadMessage, Closed
from .clients import Clients, Kind
from .discovery import Discovery
from .http import Caller
from .ports import free_port
from .workers import FakeWorker

KINDS = (Kind("render", 0.9, 7500), Kind("publish", 0.1, 25000, keyed=True))
MEAN_RUN_S = {"render": 0.15, "publish": 1.5}
TENANTS = (("north", 0.54), ("south", 0.29), ("east", 0.17))
SETTINGS: dict[str, Any] = {
    "membershipMode": "on_request",
    "dcs": ["a", "b"],
    "kinds": ["plain"],
    "zone": 0,
    "requestClasses": [
        {"name": "render", "aim": 0.5, "hardLimit": 7.5, "semantics": "retryable"},
        {
            "name": "publish",
            "aim": 2.0,
            "hardLimit": 25.0,
            "semantics": "dedup",
            "group": "cell",
            "dedupWindow": 40.0,
        },
    ],
    "orgs": [{"name": name, "share": share, "quotaRps": 0.0} for name, share in TENANTS],
    "familyInfo": {"classKind": [-1, -1], "classStretch": [2.0, 2.0], "progress": 1.0, "tellsStart": True},
    "policyLimits": {
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfter": 2.0,
        "mayDuplicate": True,
        "idleClose": 5.0,
        "mostHeld": 2000,
    },
}
# That a dispatcher may take to be up, and to end.
START_TIMEOUT_S = 10.0
END_TIMEOUT_S = 10.0
HTTP_OK = 200
UP_POLL_S = 0.02


class SceneError(Error):
    """The dispatcher did not start, or did not end as it should."""


class Figures(msgspec.Struct):
    """What a run came to. `missing`: requests that never got their one final answer."""

    seconds: float
    asked: int
    served: int
    refused: int
    failed: int
    missing: int
    other: int
    median_ms: float
    p99_ms: float
    jobs_run: int
    exit_status: int

    @property
    def well(self) -> bool:
        """Each request got one final answer, and the dispatcher ended in order."""
        return not self.missing and not self.other and self.exit_status == 0 and self.asked > 0


async def start(environment: Mapping[str, str], *options: str) -> asyncio.subprocess.Process:
    """A dispatcher as a process; its log comes on standard error."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *options,
        "-m",
        "beaconhinge",
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, **environment},
    )


async def until_up(
    process: asyncio.subprocess.Process, port: int, lines: Sequence[Mapping[str, Any]]
) -> None:
    """Wait until the dispatcher is up; `lines` are its log so far.

    Raises:
        SceneError: It ended, or is not up in time.
    """
    caller, request = Caller(port), http1.request("GET", b"/up", {"Host": "x"})
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while process.returncode is None:
                with contextlib.suppress(OSError, Closed, BadMessage):
                    if (await caller.call(request, fresh=True)).status == HTTP_OK:
                        return
                await asyncio.sleep(UP_POLL_S)
    except TimeoutError:
        raise SceneError(f"the dispatcher was not up after {START_TIMEOUT_S:g} s: {lines[-1:]}") from None
    raise SceneError(f"the dispatcher ended with status {process.returncode}: {lines[-1:]}")


async def end(process: asyncio.subprocess.Process, number: signal.Signals = signal.SIGTERM) -> int:
    """Send a signal and return the exit status; a process that does not end in time is killed."""
    if process.returncode is None:
        process.send_signal(number)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
    assert process.returncode is not None
    return process.returncode


async def log_lines(process: asyncio.subprocess.Process) -> AsyncIterator[dict[str, Any]]:
    """What a dispatcher whose log is JSON tells on its standard error; other lines as an event `unread`."""
    assert process.stderr is not None
    async for line in process.stderr:
        try:
            yield json.loads(line)
        except ValueError:
            yield {"event": "unread", "text": line.decode("utf-8", "replace").strip()}


class DemoFleet:
    """A dispatcher as a process, and the stand-ins around it."""

    def __init__(self, worker_count: int, rate: float, seed: int, folder: Path) -> None:
        self.port = free_port()
        self.folder = folder
        names = [f"s-{seed:04x}{number:04x}" for number in range(worker_count)]
        self.workers = [FakeWorker(name, self.port, MEAN_RUN_S, seed=seed) for name in names]
        entries = [worker.entry("ab"[i % 2], "plain", i % 3) for i, worker in enumerate(self.workers)]
        self.discovery = Discovery(entries)
        self.clients = Clients(self.port, KINDS, TENANTS, rate, seed)
        self.counters: dict[str, int] = {}  # of the dispatcher, as last logged
        self.lines: list[Mapping[str, Any]] = []  # its log
        self.process: asyncio.subprocess.Process

    def platform(self, **more: object) -> dict[str, object]:
        """Return the platform's configuration of the dispatcher."""
        return {
            "name": "demo",
            "listen": f"127.0.0.1:{self.port}",
            "seed": 1,
            "settings": SETTINGS,
            "discovery": self.discovery.server.address,
            "known": self.discovery.whole(),
            **more,
        }

    def write_configuration(self) -> Path:
        """Write both configurations; return the path of the local one."""
        (self.folder / "balancer.json").write_text(json.dumps(self.platform()))
        local_config = self.folder / "edge.toml"
        local_config.write_text(
            '[platform]\nconfig = "balancer.json"\n\n[log]\nformat = "json"\n\n[store]\nfolder = "store"\n'
        )
        return local_config

    async def start(self) -> None:
        """Start the stand-ins and the dispatcher; raise SceneError if it is not up in time."""
        for server in (self.discovery.server, *(worker.server for worker in self.workers)):
            server.start()
        self.process = await start({"BEACONHINGE_CONFIG": str(self.write_configuration())})
        self.discovery.server.spawn(self._read_log())
        await until_up(self.process, self.port, self.lines)

    async def _read_log(self) -> None:
        async for line in log_lines(self.process):
            self.lines.append(line)
            if line["event"] == "counters":
                self.counters = {name: n for name, n in line.items() if isinstance(n, int)}

    def ask_for_counters(self) -> None:
        """Have the dispatcher log its counters now."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGUSR1)

    async def stop(self) -> int:
        """End the dispatcher in order, and all the rest; return its exit status."""
        status = await end(self.process)
        for server in (self.discovery.server, *(worker.server for worker in self.workers)):
            await server.stop()
        for worker in self.workers:
            worker.close()
        return status

    def figures(self, seconds: float, exit_status: int) -> Figures:
        """Return what the run came to."""
        answers, waits = self.clients.answers, sorted(self.clients.waits) or [0.0]
        known = {name: answers[name] for name in ("200", "503", "502", "missing")}
        return Figures(
            seconds,
            self.clients.asked,
            known["200"],
            known["503"],
            known["502"],
            known["missing"],
            answers.total() - sum(known.values()),
            1000 * waits[len(waits) // 2],
            1000 * waits[int(0.99 * len(waits))],
            sum(worker.runs.total() for worker in self.workers),
            exit_status,
        )


@contextlib.asynccontextmanager
async def running_demo_fleet(worker_count: int, rate: float, seed: int) -> AsyncIterator[DemoFleet]:
    """Run a fleet that is up, in a folder that is deleted afterwards."""
    with tempfile.TemporaryDirectory(prefix="beaconhinge-") as folder:
        made = DemoFleet(worker_count, rate, seed, Path(folder))
        try:
            await made.start()
            yield made
        finally:
            if hasattr(made, "process"):
                await made.stop()
