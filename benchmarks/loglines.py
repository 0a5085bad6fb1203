"""Measures the time to write a log line in each format, and the time and memory to import its library.

python benchmarks/loglines.py
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable
from statistics import median
from typing import Literal, TextIO

from beaconhinge.logs import writer
from beaconhinge.runtime.metrics import Metrics

LINES = 20_000
ROUNDS = 5
# Prints the seconds and the megabytes of resident memory that a statement takes.
IMPORT_SCRIPT = """
import time
def resident(): return int(open("/proc/self/statm").read().split()[1]) * 4096 / 1e6
before, start_time = resident(), time.perf_counter()
{}
print(time.perf_counter() - start_time, resident() - before)
"""


def line_cost_us(metrics: Metrics) -> float:
    """Return the microseconds that writing one log line takes."""
    start_time = time.perf_counter()
    for number in range(LINES):
        metrics.log(
            "worker_answer_unexpected",
            total=number,
            worker=17,
            status=500,
            request="9b1f03aa5c7e2d41",
            target="/render",
            why="no such script",
        )
    return (time.perf_counter() - start_time) / LINES * 1e6


def main() -> None:
    """Print the cost of a line in each format, and of each import."""

    def structured(form: Literal["logfmt", "json"]) -> Callable[[TextIO], Metrics]:
        return lambda sink: Metrics(time.time, writer=writer(form, sink, time.time))

    forms: dict[str, Callable[[TextIO], Metrics]] = {
        "plain": lambda sink: Metrics(time.time, sink),
        "logfmt": structured("logfmt"),
        "json": structured("json"),
    }
    rounds: dict[str, list[float]] = {name: [] for name in forms}
    with open(os.devnull, "w") as sink:
        for _ in range(ROUNDS):
            for name, make in forms.items():
                rounds[name].append(line_cost_us(make(sink)))
    for name, costs in rounds.items():
        ratio = median(a / b for a, b in zip(costs, rounds["plain"], strict=True))
        print(f"{name:8} {median(costs):6.1f} us a line, {ratio:.2f} of plain")
    for statement in ("pass", "import logging", "import structlog", "import beaconhinge.__main__"):
        runs = [
            subprocess.run(
                [sys.executable, "-c", IMPORT_SCRIPT.format(statement)],
                capture_output=True,
                text=True,
                check=True,
            ).stdout.split()
            for _ in range(ROUNDS)
        ]
        print(
            f"{statement:28} {1000 * median(float(r[0]) for r in runs):7.1f} ms, "
            f"{median(float(r[1]) for r in runs):.1f} MB"
        )


if __name__ == "__main__":
    main()
