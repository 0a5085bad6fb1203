"""Measures the time until a lease is held: a free one, a released one, and one whose holder was killed.

    python benchmarks/leases.py [--rounds 200] [--kills 10] [--write FILE]

The first two are measured among nodes on loopback sockets in one process; the last among dispatcher processes
that act on a resource in a process of its own. Figures are in milliseconds. Run it on an idle machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import socket
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import uvloop

from beaconhinge.config.local import LeaseOptions as Settings
from beaconhinge.net.leases import LeaseService
from beaconhinge.net.peers import PeerSocket
from beaconhinge.runtime.clock import Clock
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel
from beaconhinge.standin.ports import free_port
from beaconhinge.standin.rig import Scenario
from beaconhinge.standin.rig.runner import ScenarioRun
from beaconhinge.store import Store

LEASE_SPAN_S = 2.0
POLL_S = 0.005  # interval at which the lease acts are polled


def _ignore(*_: object) -> None:
    """Discard a log line or an event."""


def summarize(name: str, seconds: Sequence[float]) -> dict[str, float]:
    """Print median and 99th percentile in milliseconds, and return them with the number of rounds."""
    ordered_ms = sorted(1000 * value for value in seconds)
    p99_ms = ordered_ms[min(len(ordered_ms) - 1, int(0.99 * len(ordered_ms)))]
    figures = {"p50": statistics.median(ordered_ms), "p99": p99_ms, "rounds": len(ordered_ms)}
    print(
        f"{name:<44} p50 {figures['p50']:8.1f}  p99 {figures['p99']:8.1f}  of {len(ordered_ms)}", flush=True
    )
    return figures


async def start_members(count: int, folder: Path | None) -> list[LeaseService]:
    """Start `count` members on loopback and wait until they vote; their stores are in `folder`, if any."""
    addresses = [("127.0.0.1", free_port(socket.SOCK_DGRAM)) for _ in range(count)]
    members = []
    for number in range(count):
        clock = Clock()
        metrics = Metrics(clock.now, writer=_ignore)
        timers = TimerWheel(clock.now, metrics.log_exception)
        settings = SimpleNamespace(own_number=number, group_size=count)
        config: Any = SimpleNamespace(
            name=f"n{number}",
            settings=settings,
            peer_listen=addresses[number],
            peers=addresses,
            peers_all=addresses[number],
            mgmt=None,
        )
        policy_runner: Any = SimpleNamespace(action_handlers={}, feed=_ignore)
        peers = PeerSocket(config, policy_runner, timers, metrics)
        peers.listen()
        store = None if folder is None else Store.open(folder / str(number))
        leases = LeaseService(
            Settings(enabled=True, span_s=LEASE_SPAN_S), config, store, peers, timers, metrics
        )
        leases.open()
        members.append(leases)
    await asyncio.sleep(1.05 * LEASE_SPAN_S)
    return members


async def measure_grants(count: int, rounds: int, disk: bool) -> dict[str, dict[str, float]]:
    """Measure the time until a free lease is granted, and until a released one goes to the next holder."""
    with tempfile.TemporaryDirectory() as folder:
        members = await start_members(count, Path(folder) if disk else None)
        free, given_up = [], []
        for number in range(rounds):
            first, second = random.sample(members, 2)
            name, began = f"lease-{number}", time.perf_counter()
            async with first.hold(name):
                free.append(time.perf_counter() - began)
                waiting = asyncio.create_task(second.hold(name).__aenter__())
                await asyncio.sleep(0.01)
                began = time.perf_counter()
            await waiting
            given_up.append(time.perf_counter() - began)
            second.release(second.lease(name))
        for leases in members:
            if leases.store is not None:
                await leases.store.close()
    group = f"{count} members, {'with a disk' if disk else 'without'}"
    return {
        name: summarize(name, values)
        for name, values in ((f"free to granted, {group}", free), (f"given up to next, {group}", given_up))
    }


class KilledHolders(ScenarioRun):
    """Kills the holder of the lease repeatedly, and measures the time until another process acts under it."""

    kills = 10

    async def measure_waits(self) -> list[float]:
        """Return the seconds from each kill to the next act under the lease."""
        acts, processes = self.record.lease_acts, self.topology.processes
        await self.start_stand_ins()
        waits: list[float] = []
        try:
            await asyncio.gather(*(process.start() for process in processes))
            while len(waits) < self.kills:
                count = len(acts)
                while len(acts) < count + 10:  # noqa: ASYNC110 - no event to wait for: the resource writes lines of text
                    await asyncio.sleep(POLL_S)
                number = acts[-1].number
                [holder] = [
                    process
                    for process in processes
                    if any(
                        line["event"] == "lease_held" and line["number"] == number
                        for line in process.log_lines
                    )
                ]
                killed_at = time.monotonic()
                await holder.end(signal.SIGKILL)
                while acts[-1].number == number:  # noqa: ASYNC110 - as above
                    await asyncio.sleep(POLL_S)
                waits.append(acts[-1].begin - killed_at)
                await holder.start()
                await asyncio.sleep(1.2 * LEASE_SPAN_S)  # until the restarted process votes again
        finally:
            await self.stop()
        return waits


async def measure_kills(count: int, kills: int) -> dict[str, dict[str, float]]:
    """Measure the time from the kill of a lease's holder to the next act under the lease."""
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(
            "killed",
            processes=count,
            workers=1,
            deduplication_groups=1,
            leases=1,
            lease_span_s=LEASE_SPAN_S,
            lease_act_interval_s=0.05,
        )
        run = KilledHolders(scenario, Path(folder))
        run.kills = kills
        name = f"holder killed to next act, {count} processes"
        return {name: summarize(name, await run.measure_waits())}


async def measure(rounds: int, kills: int) -> dict[str, dict[str, float]]:
    """Return all figures, by name."""
    figures: dict[str, dict[str, float]] = {}
    for count in (3, 5, 9):
        for disk in (False, True):
            figures |= await measure_grants(count, rounds, disk)
    for count in (3, 5):
        figures |= await measure_kills(count, kills)
    return figures


def main() -> None:
    """Measure, print, and write the figures to a file if one is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--kills", type=int, default=10)
    parser.add_argument("--write", type=Path)
    options = parser.parse_args()
    figures = uvloop.run(measure(options.rounds, options.kills))
    if options.write:
        options.write.write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
