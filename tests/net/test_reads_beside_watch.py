"""The worker list is read beside the open watch, which still reports later changes if a read fails."""

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


def wait_ms(message: ReceivedMessage) -> int:
    """Return how long the call lets discovery wait, in milliseconds; 0 for a read."""
    return int(message.start_line.split("wait=")[1].split()[0]) if "wait=" in message.start_line else 0


class ScriptedDiscovery:
    """Discovery that answers watches from a queue and reads by a function, and records the calls.

    Attributes:
        read: Returns the answer to a read; None closes the connection.
        read_delay_s: Seconds from a read to its answer.
        watch_answers: The answers to watches, in order.
        watches: The start lines of the watches that were received.
        reads: The start lines of the reads that were received.
        open_watches: The number of watches that have not been answered.
    """

    def __init__(self, harness: Harness, read: Callable[[], bytes | None]) -> None:
        self.read = read
        self.read_delay_s = 0.0
        self.watch_answers: asyncio.Queue[bytes] = asyncio.Queue()
        self.watches: asyncio.Queue[str] = asyncio.Queue()
        self.reads: asyncio.Queue[str] = asyncio.Queue()
        self.open_watches = 0
        harness.discovery.script = self._script

    def clear_reads(self) -> None:
        """Discard the recorded reads."""
        while not self.reads.empty():
            self.reads.get_nowait()

    async def _script(self, message: ReceivedMessage) -> bytes | None:
        if wait_ms(message):
            self.open_watches += 1
            self.watches.put_nowait(message.start_line)
            try:
                return await self.watch_answers.get()
            finally:
                self.open_watches -= 1
        self.reads.put_nowait(message.start_line)
        answer_bytes = self.read()
        await asyncio.sleep(self.read_delay_s)
        return answer_bytes


@pytest.fixture
def discoveries(monkeypatch: pytest.MonkeyPatch) -> list[Discovery]:
    """Return a list that receives the discovery client of the dispatcher that the test starts."""
    found = list[Discovery]()
    original = Discovery.start_from_bootstrap
    monkeypatch.setattr(Discovery, "start_from_bootstrap", lambda self: (found.append(self), original(self)))
    return found


async def open_first_watch(harness: Harness, discovery: ScriptedDiscovery) -> None:
    """Wait until a watch is open and the list of version 0 is applied."""
    harness.discovery.cut()
    assert "index=0" in await discovery.watches.get()


async def expect_jobs_on_worker_1_only(harness: Harness) -> None:
    """Post 4 jobs, and check that worker 1 gets each of them."""
    for number in range(4):
        request = asyncio.create_task(harness.post(X_Request_ID=f"r{number}"))
        await harness.workers[1].seen.get()
        await harness.callback(1, id=f"r{number}", state="done", result="x")
        assert (await request).status == 200
    assert harness.workers[0].seen.empty()


# The answers to failing reads; None closes the connection.
READ_ANSWERS = {"refused": reply(503), "reset": None, "not a list": reply(200, b"{")}
# Seconds from the read to its answer.
READ_DELAYS_S = {"late and old": LATE_S, "silent": 60.0}


@pytest.mark.parametrize("read_outcome", [*READ_ANSWERS, *READ_DELAYS_S, "old"])
@pytest.mark.parametrize("pushed", [False, True])
def test_worker_that_drains_while_the_list_is_read_gets_no_jobs(
    read_outcome: str, pushed: bool, discoveries: list[Discovery]
) -> None:
    """Guards against a read that replaces the watch.

    A change right after it was noticed only once the read was answered.
    """

    async def scenario(harness: Harness) -> None:
        old = answer(0, harness.host(0), harness.host(1), full=True)
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await open_first_watch(harness, discovery)
        discovery.read = lambda: READ_ANSWERS.get(read_outcome, old)
        discovery.read_delay_s = READ_DELAYS_S.get(read_outcome, 0.0)
        discovery.clear_reads()
        discoveries[0].state.request_snapshot(0.0)
        discoveries[0].calls.read_wanted.set()
        assert "index" not in await discovery.reads.get()
        discovery.watch_answers.put_nowait(answer(1, harness.host(0, state="Terminating")))
        assert "index=1" in await discovery.watches.get()
        await expect_jobs_on_worker_1_only(harness)
        if read_outcome != "silent":
            await discovery.reads.get()  # it is repeated, as its answer proved nothing
        await expect_jobs_on_worker_1_only(harness)
        assert discovery.open_watches == 1

    settings = {**SETTINGS, "membershipMode": "pushed" if pushed else "on_request"}
    run_scenario(scenario, workers=2, settings=settings)


@pytest.mark.parametrize("cause", ["process paused", "refresh", "snapshot wanted"])
def test_open_watch_stays_open_while_missed_changes_are_read(
    cause: str, discoveries: list[Discovery]
) -> None:
    """Guards against cancelling the watch, with no other open until a read has been answered."""

    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await open_first_watch(harness, discovery)
        discovery.read = lambda: answer(0, harness.host(0), harness.host(1), full=True)
        discovery.clear_reads()
        client = discoveries[0]
        if cause == "process paused":
            client._handle_process_pause()
        elif cause == "refresh":
            await client.refresh()
        else:
            client.policy_runner.action_handlers[interface.FetchMembership](interface.FetchMembership())
        assert "index" not in await discovery.reads.get()
        assert discovery.open_watches == 1
        assert discovery.watches.empty()
        discovery.watch_answers.put_nowait(answer(1, harness.host(0, state="Terminating")))
        await discovery.watches.get()
        await expect_jobs_on_worker_1_only(harness)

    run_scenario(scenario, workers=2)


def test_missed_changes_of_a_large_list_are_read_without_a_snapshot(discoveries: list[Discovery]) -> None:
    """A snapshot would take half a megabyte each time. The changes are read, though that ends the watch."""

    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await open_first_watch(harness, discovery)
        discovery.clear_reads()
        client = discoveries[0]
        client.state.verification.handle_snapshot(client.timers.now(), 500_000)
        await client.refresh()
        assert "index=0&wait=0" in await discovery.reads.get()
        assert "index=0" in await discovery.watches.get()

    run_scenario(scenario)


def test_watch_is_reopened_when_discovery_restarts_its_version_numbers(
    discoveries: list[Discovery],
) -> None:
    """A watch from a version that discovery does not reach again would report no change."""

    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await open_first_watch(harness, discovery)
        discovery.watch_answers.put_nowait(answer(7, harness.host(0)))
        assert "index=7" in await discovery.watches.get()
        discovery.read = lambda: answer(2, harness.host(1), full=True)
        discoveries[0].state.request_snapshot(0.0)
        discoveries[0].calls.read_wanted.set()
        assert "index=2" in await discovery.watches.get()
        assert discoveries[0].version == 2
        await expect_jobs_on_worker_1_only(harness)

    run_scenario(scenario, workers=2)


def test_gaps_between_watches_are_counted_by_cause_and_length(discoveries: list[Discovery]) -> None:
    async def scenario(harness: Harness) -> None:
        discovery = ScriptedDiscovery(harness, lambda: answer(0))
        await open_first_watch(harness, discovery)
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
