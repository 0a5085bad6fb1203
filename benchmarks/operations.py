"""Operators' calls, upgrades and idle connections among stand-ins: `python benchmarks/operations.py [FILE]`.

Time to the answer of `show-stat`, idle and beside load with a crowd that only connects; upgrades under load,
the time until the new process was ready and the jobs without an answer; memory for each idle connection.
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

RATE, CROWD, CALLS, UPGRADES = 60.0, 250, 200, 5


class Dispatcher:
    """One process, and where it is called."""

    def __init__(self, scene: DemoFleet) -> None:
        self.scene = scene
        self.mgmt = free_port()

    async def start(self) -> None:
        config = self.scene.folder / f"{self.mgmt}.json"
        config.write_text(json.dumps(self.scene.platform(mgmt=f"127.0.0.1:{self.mgmt}")))
        environment = {**os.environ, "RELAY_CONFIG": str(config), "TMPDIR": str(self.scene.folder)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "beaconhinge", env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        while not (await self.call("ready")).startswith(b"SUCCESS"):
            await asyncio.sleep(0.02)

    async def call(self, line: str) -> bytes:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt)
        except ConnectionRefusedError:  # it does not listen yet
            return b""
        writer.write(line.encode() + b"\n")
        answer = await reader.read()
        writer.close()
        return answer

    async def timed(self) -> list[float]:
        took = []
        for _ in range(CALLS):
            begun = time.perf_counter()
            assert (await self.call("show-stat")).endswith(b"EOT\n")
            took.append(time.perf_counter() - begun)
            await asyncio.sleep(0.02)
        return took

    async def end(self) -> None:
        self.process.terminate()
        assert await self.process.wait() == 0

    @property
    def resident(self) -> float:
        """Bytes."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return float(pages * os.sysconf("SC_PAGE_SIZE"))


async def crowd(port: int) -> None:
    """Connect and say nothing, again and again."""

    async def one() -> None:
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await reader.read()
            writer.close()

    await asyncio.gather(*(one() for _ in range(CROWD)))


async def play(folder: str) -> dict[str, float]:
    scene = DemoFleet(6, RATE, 1, Path(folder))
    for server in (scene.discovery.server, *(box.server for box in scene.boxes)):
        server.start()
    now = Dispatcher(scene)
    await now.start()
    idle = await now.timed()
    before = now.resident
    held = [await asyncio.open_connection("127.0.0.1", scene.port) for _ in range(CROWD)]
    await asyncio.sleep(0.5)
    each = (now.resident - before) / CROWD
    for _, writer in held:
        writer.close()
    asking = asyncio.create_task(scene.clients.run(12.0))
    crowding = asyncio.create_task(crowd(scene.port))
    busy = await now.timed()
    crowding.cancel()
    await asking
    asking = asyncio.create_task(scene.clients.run(25.0))
    ready = []
    for _ in range(UPGRADES):
        old, now, begun = now, Dispatcher(scene), time.perf_counter()
        await now.start()
        ready.append(time.perf_counter() - begun)
        await old.end()
        await asyncio.sleep(0.5)
    await asking
    await now.end()
    for server in (scene.discovery.server, *(box.server for box in scene.boxes)):
        await server.stop()
    answers = scene.clients.answers
    return {
        "call, idle, ms (median)": 1000 * median(idle),
        "call, idle, ms (longest)": 1000 * max(idle),
        "call, loaded, ms (median)": 1000 * median(busy),
        "call, loaded, ms (longest)": 1000 * max(busy),
        "call, loaded to idle (ratio of medians)": median(busy) / median(idle),
        "memory for an idle connection, KB": each / 1024,
        "upgrade, s until ready (median)": median(ready),
        "upgrade, s until ready (longest)": max(ready),
        "jobs asked": scene.clients.asked,
        "jobs served": answers["200"],
        "jobs unanswered": answers["missing"],
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=Path, default=Path("build/benchmarks/operations.json"))
    file = parser.parse_args().file
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(play(folder))
    for name, value in result.items():
        print(f"{name:42} {value:10.2f}")
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
