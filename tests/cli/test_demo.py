"""The demo: a dispatcher process among stand-ins; a request without an answer makes the run fail."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest

from beaconhinge.cli import main
from beaconhinge.standin.harness import DemoFleet, Figures, running_demo_fleet


def test_demo_succeeds_and_prints_json_figures(capsys: pytest.CaptureFixture[str]) -> None:
    status = main(["demo", "--seconds", "1", "--rate", "30", "--boxes", "3", "--json"])
    figures = json.loads(capsys.readouterr().out)
    assert status == 0
    assert figures["well"]
    assert figures["missing"] == 0
    assert figures["asked"] == figures["served"] + figures["refused"] + figures["failed"] > 10


async def wait_for_event(fleet: DemoFleet, name: str, after: int = 0) -> int:
    """Wait for an event in the dispatcher's log from line `after` on; return the index of the next line."""
    async with asyncio.timeout(10):
        while name not in [line["event"] for line in fleet.lines[after:]]:
            await asyncio.sleep(0.01)
    return after + [line["event"] for line in fleet.lines[after:]].index(name) + 1


def test_killed_dispatcher_fails_requests_and_restores_quota_snapshot() -> None:
    async def scenario() -> tuple[Figures, list[str]]:
        async with running_demo_fleet(3, 40.0, 7) as fleet:
            requests = asyncio.create_task(fleet.clients.run(2.0))
            async with asyncio.timeout(10):
                while not fleet.counters.get("quota_snapshot_written") or not fleet.clients.open:
                    fleet.ask_for_counters()
                    await asyncio.sleep(0.02)
            fleet.process.send_signal(signal.SIGKILL)
            await fleet.process.wait()
            await requests
            lines_before = len(fleet.lines)
            await fleet.start()
            await wait_for_event(fleet, "started", lines_before)
            names = [line["event"] for line in fleet.lines[lines_before:]]
            return fleet.figures(2.0, await fleet.stop()), names

    figures, names = asyncio.run(scenario())
    assert figures.missing > 0
    assert not figures.well
    assert "quota_snapshot_restored" in names
    assert names.index("quota_snapshot_restored") < names.index("started")
