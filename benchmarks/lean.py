"""This checkout beside another one as the platform starts them: `python benchmarks/lean.py OTHER [FILE]`.

In paired rounds: seconds from the start to the line `started`, resident memory then, and CPU a request among
the stand-ins at a fixed rate, with nothing of our own configured. Ratios are of this checkout to the other.
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
# Jobs a second, for so many seconds.
RATE = 60.0
SECONDS = 6.0


def resident(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu(pid: int) -> float:
    """Return the CPU that a process has used, in seconds."""
    user, system = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def measure(checkout: Path, seed: int, seconds: float = SECONDS) -> dict[str, float]:
    """Start a checkout among the stand-ins; with seconds, have it serve for so long. Return the figures."""
    with tempfile.TemporaryDirectory() as folder:
        made = DemoFleet(6, RATE, seed, Path(folder))
        made.write_configuration()
        for server in (made.discovery.server, *(worker.server for worker in made.boxes)):
            server.start()
        environment = {
            "RELAY_CONFIG": f"{folder}/balancer.json",
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(checkout),
        }
        begun = time.perf_counter()
        made.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "beaconhinge",
            cwd=checkout,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
        )
        assert made.process.stderr is not None
        line = await made.process.stderr.readline()
        assert b" started " in line, line
        started = time.perf_counter() - begun
        memory, before = resident(made.process.pid), cpu(made.process.pid)
        if not seconds:
            made.process.kill()
            await made.stop()
            return {"start, s": started, "memory at the start, MB": memory}
        await made.clients.run(seconds)
        used, after = cpu(made.process.pid) - before, resident(made.process.pid)
        assert made.clients.answers.total() == made.clients.asked
        await made.stop()
        return {
            "start, s": started,
            "memory at the start, MB": memory,
            "memory after, MB": after,
            "CPU a request, ms": 1000 * used / made.clients.asked,
        }


def paired(
    measure_one: Callable[[Path], dict[str, float]], other: Path, number: int
) -> tuple[dict[str, float], dict[str, float]]:
    """Measure this checkout and the other, in an order that alternates: the second has warmer caches."""
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
    for name in ("start, s", "memory at the start, MB"):  # cheap enough for more rounds
        print(
            f"{name}: ratios from {min(a[name] / b[name] for a, b in starts):.3f} "
            f"to {max(a[name] / b[name] for a, b in starts):.3f}"
        )
    for at, (a, b) in enumerate(rounds):
        for name in ("start, s", "memory at the start, MB"):
            for side, figures in enumerate((a, b)):
                figures[name] = median(pair[side][name] for pair in starts[4 * at : 4 * at + 4])
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
