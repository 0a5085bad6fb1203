"""Reads of the worker list go beside the watch: whatever becomes of them, the watch tells what comes next."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest
from harness import SETTINGS, Harness, ReceivedMessage, reply, run_scenario

from beaconhinge.net.discovery import Discovery
from beaconhinge.policy import interface

LATE_S = 0.3


def answer(version: int, *servers: dict[str, object], full: bool = False) -> bytes:
    return reply(200, json.dumps({"version": version, "full": full, "servers": servers}).encode())


def wait_of(message: ReceivedMessage) -> int:
    """How long the call may wait, in milliseconds."""
    return int(message.start_line.split("wait=")[1].split()[0]) if "wait=" in message.start_line else 0


class ScriptedDiscovery:
    """Answers watches as the test says, and reads by a function. Tells when either has come."""

    def __init__(self, harness: Harness, read: Callable[[], bytes | None]) -> None:
        self.read = read
        self.read_delay_s = 0.0
        self.watch_answers: asyncio.Queue[bytes] = asyncio.Queue()
        self.watches: asyncio.Queue[str] = asyncio.Queue()
        self.reads: asyncio.Queue[str] = asyncio.Queue()
        self.open_watches = 0
        harness.discovery.script = self._script

    def forget_reads(self) -> None:
        """Take no more notice of the reads that have come."""
        while not self.reads.empty():
            self.reads.get_nowait()

    async def _script(self, message: ReceivedMessage) -> bytes | None:
        if wait_of(message):
            self.open_watches += 1
            self.watches.put_nowait(message.start_line)
            try:
                return await self.watch_answers.get()
            finally:
                self.open_watches -= 1
        self.reads.put_nowait(message.start_line)
        found = self.read()
        await asyncio.sleep(self.read_delay_s)
        return found


@pytest.fixture
def discoveries(monkeypatch: pytest.MonkeyPatch) -> list[Discovery]:
    """The client of discovery of the process that a test starts."""
    found = list[Discovery]()
    original = Discovery.start_from_bootstrap
    monkeypatch.setattr(Discovery, "start_from_bootstrap", lambda self: (found.append(self), original(self)))
    return found


async def first_watch(harness: Harness, discovery: ScriptedDiscovery) -> None:
    """The watch is open, and the list of version 0 stands."""
    harness.discovery.cut()
    assert "index=0" in await discovery.watches.get()


async def only_the_second_worker_serves(harness: Harness) -> None:
    for number in range(4):
        request = asyncio.create_task(harness.post(X_Request_ID=f"r{number}"))
        await harness.workers[1].seen.get()
        await harness.callback(1, id=f"r{number}", state="done", result="x")
        assert (await request).status == 200
    assert harness.workers[0].seen.empty()


# How reads are answered: with the bytes, or by the end of their connection.
READ_ANSWERS = {"refused": reply(503), "reset": None, "not a list": reply(200, b"{")}
# The seconds that the answer takes.
READ_DELAYS_S = {"late and old": LATE_S, "silent": 60.0}


@pytest.mark.parametrize("way", [*READ_ANSWERS, *READ_DELAYS_S, "old"])
@pytest.mark.parametrize("pushed", [False, True])
def test_worker_that_drains_while_the_list_is_read_gets_no_jobs(
    way: str, pushed: bool, discoveries: list[Discovery]
) -> None:
    """The read took the place of the watch: what changed right after was known when the read was answered."""

    async def scenario(harness: Harness) -> None:
        old = answer(0, harness.host(0), harness.host(1), full=True)
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await first_watch(harness, discovery)
        discovery.read = lambda: READ_ANSWERS.get(way, old)
        discovery.read_delay_s = READ_DELAYS_S.get(way, 0.0)
        discovery.forget_reads()
        discoveries[0].state.request_snapshot(0.0)
        discoveries[0].calls.read_wanted.set()
        assert "index" not in await discovery.reads.get()
        discovery.watch_answers.put_nowait(answer(1, harness.host(0, state="Terminating")))
        assert "index=1" in await discovery.watches.get()
        await only_the_second_worker_serves(harness)
        if way != "silent":
            await discovery.reads.get()  # it is made again, as it showed nothing
        await only_the_second_worker_serves(harness)
        assert discovery.open_watches == 1

    settings = {**SETTINGS, "membershipMode": "pushed" if pushed else "on_request"}
    run_scenario(scenario, workers=2, settings=settings)


@pytest.mark.parametrize("why", ["process paused", "refresh", "snapshot wanted"])
def test_sound_watch_stays_open_as_the_list_is_read_for_what_was_missed(
    why: str, discoveries: list[Discovery]
) -> None:
    """It was cancelled, and none was open until a call had been answered that does not wait."""

    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await first_watch(harness, discovery)
        discovery.read = lambda: answer(0, harness.host(0), harness.host(1), full=True)
        discovery.forget_reads()
        client = discoveries[0]
        if why == "process paused":
            client._handle_process_pause()
        elif why == "refresh":
            await client.refresh()
        else:
            client.policy_runner.action_handlers[interface.FetchMembership](interface.FetchMembership())
        assert "index" not in await discovery.reads.get()
        assert discovery.open_watches == 1
        assert discovery.watches.empty()
        discovery.watch_answers.put_nowait(answer(1, harness.host(0, state="Terminating")))
        await discovery.watches.get()
        await only_the_second_worker_serves(harness)

    run_scenario(scenario, workers=2)


def test_list_of_a_large_fleet_is_not_read_whole_for_what_was_missed(discoveries: list[Discovery]) -> None:
    """Half a megabyte each time: the changes are asked for, though a call with an index ends the watch."""

    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await first_watch(harness, discovery)
        discovery.forget_reads()
        client = discoveries[0]
        client.state.verification.handle_snapshot(client.timers.now(), 500_000)
        await client.refresh()
        assert "index=0&wait=0" in await discovery.reads.get()
        assert "index=0" in await discovery.watches.get()

    run_scenario(scenario)


def test_watch_is_opened_anew_as_discovery_numbers_its_lists_anew(discoveries: list[Discovery]) -> None:
    """Asked for from a number that is never reached, it would tell nothing."""

    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await first_watch(harness, discovery)
        discovery.watch_answers.put_nowait(answer(7, harness.host(0)))
        assert "index=7" in await discovery.watches.get()
        discovery.read = lambda: answer(2, harness.host(1), full=True)
        discoveries[0].state.request_snapshot(0.0)
        discoveries[0].calls.read_wanted.set()
        assert "index=2" in await discovery.watches.get()
        assert discoveries[0].version == 2
        await only_the_second_worker_serves(harness)

    run_scenario(scenario, workers=2)


def test_each_moment_without_a_watch_is_counted_by_its_reason(discoveries: list[Discovery]) -> None:
    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await first_watch(harness, discovery)
        counters = discoveries[0].metrics.counters
        for version in (1, 2, 3):
            discovery.watch_answers.put_nowait(answer(version, harness.host(0, weight=version)))
            await discovery.watches.get()
        assert counters["watch_gaps_answered"] == 3
        discovery.read = lambda: answer(3)
        discovery.watch_answers.put_nowait(reply(503))
        await discovery.watches.get()
        assert counters["watch_gaps_refused"] == 1
        lengths = sum(count for name, count in counters.items() if name.startswith("watch_gap_"))
        ends = sum(count for name, count in counters.items() if name.startswith("watch_gaps_"))
        assert lengths == ends

    run_scenario(scenario)
