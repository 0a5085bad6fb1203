"""Measures operators' calls, upgrades and idle connections of a dispatcher among stand-ins.

    python benchmarks/operations.py [FILE]

The figures are: the time until `show-stat` is answered, on an idle dispatcher and on one under load with many
clients that connect and send nothing; for upgrades under load, the time until the new process is ready, and
the jobs without an answer; and the memory of an idle connection.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from beaconhinge.standin.harness import DemoFleet
from beaconhinge.standin.ports import free_port

RATE = 60.0  # jobs per second
CONNECTIONS = 250  # idle ones
CALLS = 200
UPGRADES = 5
POLL_S = 0.02  # interval at which a new process is polled for readiness


class Dispatcher:
    """One dispatcher process, and the port on which it takes operators' calls."""

    def __init__(self, fleet: DemoFleet) -> None:
        self.fleet = fleet
        self.management_port = free_port()

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        config = self.fleet.folder / f"{self.management_port}.json"
        config.write_text(json.dumps(self.fleet.platform(mgmt=f"127.0.0.1:{self.management_port}")))
        environment = {**os.environ, "RELAY_CONFIG": str(config), "TMPDIR": str(self.fleet.folder)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "beaconhinge", env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        while not (await self.call("ready")).startswith(b"SUCCESS"):  # noqa: ASYNC110 - readiness is polled
            await asyncio.sleep(POLL_S)

    async def call(self, line: str) -> bytes:
        """Return the answer to an operators' call; nothing while the process does not listen."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.management_port)
        except ConnectionRefusedError:
            return b""
        writer.write(line.encode() + b"\n")
        answer = await reader.read()
        writer.close()
        return answer

    async def time_calls(self) -> list[float]:
        """Return the seconds that each of `CALLS` calls of show-stat took."""
        durations = []
        for _ in range(CALLS):
            start_time = time.perf_counter()
            assert (await self.call("show-stat")).endswith(b"EOT\n")
            durations.append(time.perf_counter() - start_time)
            await asyncio.sleep(0.02)
        return durations

    async def end(self) -> None:
        """End the process by SIGTERM; it must exit with status 0."""
        self.process.terminate()
        assert await self.process.wait() == 0

    @property
    def resident_bytes(self) -> float:
        """Resident memory of the process."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return float(pages * os.sysconf("SC_PAGE_SIZE"))


async def connect_idly(port: int) -> None:
    """Keep `CONNECTIONS` connections open that send nothing; each is opened again when it is closed."""

    async def keep_connected() -> None:
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await reader.read()
            writer.close()

    await asyncio.gather(*(keep_connected() for _ in range(CONNECTIONS)))


async def measure(folder: str) -> dict[str, float]:
    """Return all figures by name, with the unit in the name."""
    fleet = DemoFleet(6, RATE, 1, Path(folder))
    for server in (fleet.discovery.server, *(worker.server for worker in fleet.boxes)):
        server.start()
    current = Dispatcher(fleet)
    await current.start()
    idle = await current.time_calls()
    bytes_before = current.resident_bytes
    connections = [await asyncio.open_connection("127.0.0.1", fleet.port) for _ in range(CONNECTIONS)]
    await asyncio.sleep(0.5)
    bytes_per_connection = (current.resident_bytes - bytes_before) / CONNECTIONS
    for _, writer in connections:
        writer.close()
    clients = asyncio.create_task(fleet.clients.run(12.0))
    idle_clients = asyncio.create_task(connect_idly(fleet.port))
    busy = await current.time_calls()
    idle_clients.cancel()
    await clients
    clients = asyncio.create_task(fleet.clients.run(25.0))
    ready = []
    for _ in range(UPGRADES):
        old, current, start_time = current, Dispatcher(fleet), time.perf_counter()
        await current.start()
        ready.append(time.perf_counter() - start_time)
        await old.end()
        await asyncio.sleep(0.5)
    await clients
    await current.end()
    for server in (fleet.discovery.server, *(worker.server for worker in fleet.boxes)):
        await server.stop()
    answers = fleet.clients.answers
    return {
        "call, idle, ms (median)": 1000 * median(idle),
        "call, idle, ms (longest)": 1000 * max(idle),
        "call, loaded, ms (median)": 1000 * median(busy),
        "call, loaded, ms (longest)": 1000 * max(busy),
        "call, loaded to idle (ratio of medians)": median(busy) / median(idle),
        "memory for an idle connection, KB": bytes_per_connection / 1024,
        "upgrade, s until ready (median)": median(ready),
        "upgrade, s until ready (longest)": max(ready),
        "jobs asked": fleet.clients.asked,
        "jobs served": answers["200"],
        "jobs unanswered": answers["missing"],
    }


def main() -> None:
    """Measure, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=Path, default=Path("build/benchmarks/operations.json"))
    file = parser.parse_args().file
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(measure(folder))
    for name, value in result.items():
        print(f"{name:42} {value:10.2f}")
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
