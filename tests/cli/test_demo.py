"""The demo: a dispatcher process among stand-ins; a request without its one answer shows in the exit status."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest

from beaconhinge.cli import main
from beaconhinge.standin.harness import DemoFleet, Figures, running_demo_fleet


def test_the_demo_ends_well_and_says_so_in_json(capsys: pytest.CaptureFixture[str]) -> None:
    status = main(["demo", "--seconds", "1", "--rate", "30", "--boxes", "3", "--json"])
    figures = json.loads(capsys.readouterr().out)
    assert status == 0
    assert figures["well"]
    assert figures["missing"] == 0
    assert figures["asked"] == figures["served"] + figures["refused"] + figures["failed"] > 10


async def event(made: DemoFleet, name: str, after: int = 0) -> int:
    """Wait for a line of the dispatcher's log; the number of the one behind it."""
    async with asyncio.timeout(10):
        while name not in [line["event"] for line in made.lines[after:]]:
            await asyncio.sleep(0.01)
    return after + [line["event"] for line in made.lines[after:]].index(name) + 1


def test_a_killed_dispatcher_leaves_requests_unanswered_and_goes_on_with_its_books() -> None:
    async def scenario() -> tuple[Figures, list[str]]:
        async with running_demo_fleet(3, 40.0, 7) as made:
            asking = asyncio.create_task(made.clients.run(2.0))
            async with asyncio.timeout(10):
                while not made.counters.get("quota_snapshot_written") or not made.clients.open:
                    made.ask_for_counters()
                    await asyncio.sleep(0.02)
            made.process.send_signal(signal.SIGKILL)
            await made.process.wait()
            await asking
            seen = len(made.lines)
            await made.start()
            await event(made, "started", seen)
            names = [line["event"] for line in made.lines[seen:]]
            return made.figures(2.0, await made.stop()), names

    figures, names = asyncio.run(scenario())
    assert figures.missing > 0
    assert not figures.well
    assert "quota_snapshot_restored" in names
    assert names.index("quota_snapshot_restored") < names.index("started")
