"""Compares this checkout with another one, both as the platform starts them.

    python benchmarks/lean.py OTHER [FILE]

Measures in paired rounds: seconds from the start to the log line `started`, resident memory at that time,
and CPU per request among stand-ins at a fixed rate, without this program's own TOML file. Ratios are of
this checkout to the other.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median

from beaconhinge.standin.harness import DemoFleet

HERE = Path(__file__).resolve().parents[1]
RATE = 60.0  # requests per second
SECONDS = 6.0  # for which a checkout serves in one measurement


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    user, system = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def measure(checkout: Path, seed: int, seconds: float = SECONDS) -> dict[str, float]:
    """Start a checkout among stand-ins and return its figures by name, with the unit in the name.

    It then serves requests for `seconds`; if that is 0, only the start is measured.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = DemoFleet(6, RATE, seed, Path(folder))
        fleet.write_configuration()
        for server in (fleet.discovery.server, *(worker.server for worker in fleet.workers)):
            server.start()
        environment = {
            "RELAY_CONFIG": f"{folder}/balancer.json",
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(checkout),
        }
        start_time = time.perf_counter()
        fleet.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "beaconhinge",
            cwd=checkout,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
        )
        assert fleet.process.stderr is not None
        line = await fleet.process.stderr.readline()
        assert b" started " in line, line
        started = time.perf_counter() - start_time
        memory, cpu_before = resident_mb(fleet.process.pid), cpu_s(fleet.process.pid)
        if not seconds:
            fleet.process.kill()
            await fleet.stop()
            return {"start, s": started, "memory at the start, MB": memory}
        await fleet.clients.run(seconds)
        cpu_used, memory_after = cpu_s(fleet.process.pid) - cpu_before, resident_mb(fleet.process.pid)
        assert fleet.clients.answers.total() == fleet.clients.asked
        await fleet.stop()
        return {
            "start, s": started,
            "memory at the start, MB": memory,
            "memory after, MB": memory_after,
            "CPU a request, ms": 1000 * cpu_used / fleet.clients.asked,
        }


def paired(
    measure_one: Callable[[Path], dict[str, float]], other: Path, number: int
) -> tuple[dict[str, float], dict[str, float]]:
    """Measure this checkout and the other; return the figures in this order.

    Which of them is measured first alternates with the round's number, as the second has warmer caches.
    """
    if number % 2:
        second = measure_one(other)
        return measure_one(HERE), second
    return measure_one(HERE), measure_one(other)


def main() -> None:
    """Print the ratios of this checkout to the other, and write them to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", type=Path)
    parser.add_argument("file", nargs="?", type=Path, default=Path("build/benchmarks/lean.json"))
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    other = options.other.resolve()
    rounds = [
        paired(lambda checkout: asyncio.run(measure(checkout, 1)), other, number)
        for number in range(options.rounds)
    ]
    starts = [
        paired(lambda checkout: asyncio.run(measure(checkout, 0, 0.0)), other, number)
        for number in range(4 * options.rounds)
    ]
    for name in ("start, s", "memory at the start, MB"):  # four times the rounds: a start alone is fast
        print(
            f"{name}: ratios from {min(a[name] / b[name] for a, b in starts):.3f} "
            f"to {max(a[name] / b[name] for a, b in starts):.3f}"
        )
    for index, (a, b) in enumerate(rounds):
        for name in ("start, s", "memory at the start, MB"):
            for side, figures in enumerate((a, b)):
                figures[name] = median(pair[side][name] for pair in starts[4 * index : 4 * index + 4])
    result: dict[str, dict[str, float]] = {}
    for name in rounds[0][0]:
        result[name] = {
            "here": median(a[name] for a, _ in rounds),
            "other": median(b[name] for _, b in rounds),
            "ratio": median(a[name] / b[name] for a, b in rounds),
        }
        print(
            f"{name:26} here {result[name]['here']:8.3f}  other {result[name]['other']:8.3f}  "
            f"ratio {result[name]['ratio']:.3f}"
        )
    options.file.parent.mkdir(parents=True, exist_ok=True)
    options.file.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
