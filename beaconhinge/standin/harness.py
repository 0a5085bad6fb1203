"""Runs a dispatcher process with stand-in discovery, workers and clients on free loopback ports."""

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
# Most seconds that a dispatcher may take until it is up.
START_TIMEOUT_S = 10.0
# Most seconds that it may take from the signal to its end.
END_TIMEOUT_S = 10.0
HTTP_OK = 200
UP_POLL_S = 0.02


class SceneError(Error):
    """The dispatcher ended while it started, or was not up in time."""


class Figures(msgspec.Struct):
    """The figures of a run; the fields are the keys of its JSON.

    Attributes:
        seconds: Seconds in which clients sent requests.
        asked: Number of requests sent.
        served: Number of requests answered 200.
        refused: Number of requests answered 503.
        failed: Number of requests answered 502.
        missing: Number of requests that never got a final answer.
        other: Number of requests answered with any other status.
        median_ms: Median time to an answer 200, in milliseconds.
        p99_ms: 99th percentile of the time to an answer 200, in milliseconds.
        jobs_run: Number of job runs on all workers.
        exit_status: The dispatcher's exit status.
    """

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
        """Whether requests were sent, all got 200, 502 or 503, and the dispatcher ended with status 0."""
        return not self.missing and not self.other and self.exit_status == 0 and self.asked > 0


async def start(environment: Mapping[str, str], *options: str) -> asyncio.subprocess.Process:
    """Start a dispatcher with these variables and interpreter options; return its process.

    Its log can be read from the process's `stderr`.
    """
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
    """Wait until the dispatcher is up.

    Args:
        process: The dispatcher.
        port: Port that the dispatcher listens on.
        lines: The dispatcher's log, to which lines are added meanwhile; the error quotes the last one.

    Raises:
        SceneError: The dispatcher ended, or is not up in time.
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
    """Yield the log lines of a dispatcher that logs JSON, any other line as an event `unread`."""
    assert process.stderr is not None
    async for line in process.stderr:
        try:
            yield json.loads(line)
        except ValueError:
            yield {"event": "unread", "text": line.decode("utf-8", "replace").strip()}


class DemoFleet:
    """A dispatcher process, with the stand-ins that it works with."""

    def __init__(self, worker_count: int, rate: float, seed: int, folder: Path) -> None:
        self.port = free_port()
        self.folder = folder
        names = [f"s-{seed:04x}{number:04x}" for number in range(worker_count)]
        self.workers = [FakeWorker(name, self.port, MEAN_RUN_S, seed=seed) for name in names]
        entries = [worker.entry("ab"[i % 2], "plain", i % 3) for i, worker in enumerate(self.workers)]
        self.discovery = Discovery(entries)
        self.clients = Clients(self.port, KINDS, TENANTS, rate, seed)
        self.counters: dict[str, int] = {}  # the dispatcher's counters, as last logged
        self.lines: list[Mapping[str, Any]] = []  # the dispatcher's log
        self.process: asyncio.subprocess.Process

    def platform(self, **more: object) -> dict[str, object]:
        """Return the platform's configuration of the dispatcher, with `more` keys added or replaced."""
        return {
            "name": "demo",
            "listen": f"127.0.0.1:{self.port}",
            "seed": 1,
            "settings": SETTINGS,
            "discovery": self.discovery.server.address,
            "known": self.discovery.whole_list(),
            **more,
        }

    def write_configuration(self) -> Path:
        """Write the platform's and the local configuration; return the path of the local one."""
        (self.folder / "balancer.json").write_text(json.dumps(self.platform()))
        local_config = self.folder / "edge.toml"
        local_config.write_text(
            '[platform]\nconfig = "balancer.json"\n\n[log]\nformat = "json"\n\n[store]\nfolder = "store"\n'
        )
        return local_config

    async def start(self) -> None:
        """Start the stand-ins and the dispatcher, and wait until the dispatcher is up.

        Raises:
            SceneError: The dispatcher ended, or is not up in time.
        """
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
        """Request by SIGUSR1 that the dispatcher log its counters now."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGUSR1)

    async def stop(self) -> int:
        """End the dispatcher by SIGTERM and stop all stand-ins; return the dispatcher's exit status."""
        status = await end(self.process)
        for server in (self.discovery.server, *(worker.server for worker in self.workers)):
            await server.stop()
        for worker in self.workers:
            worker.close()
        return status

    def figures(self, seconds: float, exit_status: int) -> Figures:
        """Return the figures of the run.

        Args:
            seconds: Seconds in which clients sent requests.
            exit_status: The dispatcher's exit status.
        """
        answers, waits = self.clients.answers, sorted(self.clients.waits) or [0.0]
        expected = {name: answers[name] for name in ("200", "503", "502", "missing")}
        return Figures(
            seconds,
            self.clients.asked,
            expected["200"],
            expected["503"],
            expected["502"],
            expected["missing"],
            answers.total() - sum(expected.values()),
            1000 * waits[len(waits) // 2],
            1000 * waits[int(0.99 * len(waits))],
            sum(worker.runs.total() for worker in self.workers),
            exit_status,
        )


@contextlib.asynccontextmanager
async def running_demo_fleet(worker_count: int, rate: float, seed: int) -> AsyncIterator[DemoFleet]:
    """Start a fleet in a temporary folder, yield it when it is up, and stop it afterwards."""
    with tempfile.TemporaryDirectory(prefix="beaconhinge-") as folder:
        fleet = DemoFleet(worker_count, rate, seed, Path(folder))
        try:
            await fleet.start()
            yield fleet
        finally:
            if hasattr(fleet, "process"):
                await fleet.stop()
