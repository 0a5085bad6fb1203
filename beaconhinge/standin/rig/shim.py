"""Builds `shim.c`, which makes system calls of a dispatcher fail, and reads its counters."""

from __future__ import annotations

import shutil
import struct
import subprocess
from collections import Counter
from pathlib import Path

from ...errors import Error

SOURCE = Path(__file__).with_name("shim.c")
# In the order of the counters in the file that `shim.c` writes.
COUNTER_NAMES = ("accept", "connect", "short_read", "short_write", "clock_step", "socket")
COUNTERS = struct.Struct("=8Q")


class ShimError(Error):
    """The shim could not be built: there is no C compiler, or it reported an error."""


def build_library(folder: Path) -> Path:
    """Build the shared library in a folder, and return its path.

    Raises:
        ShimError: There is no C compiler, or it reported an error.
    """
    compiler = shutil.which("cc")
    if compiler is None:
        raise ShimError("no C compiler (cc) is on the path")
    library = folder / "shim.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    built = subprocess.run(command, capture_output=True, text=True, check=False)
    if built.returncode:
        raise ShimError(f"{SOURCE.name}: {built.stderr.strip()}")
    return library


def environment(library: Path, counts: Path, failing: str, seed: int) -> dict[str, str]:
    """Return the environment variables for a process whose system calls fail as `failing` says.

    Args:
        library: The shim's shared library.
        counts: File that the shim counts its hits in.
        failing: Share of the calls of each kind that fail, and the seconds by which the wall clock steps:
            "accept=0.02,connect=0.02,short=0.2,step=3600,socket=0.02", for example.
        seed: Seed of the shim's random numbers.
    """
    return {
        "LD_PRELOAD": str(library),
        "BEACONHINGE_SHIM": failing,
        "BEACONHINGE_SHIM_SEED": str(seed),
        "BEACONHINGE_SHIM_COUNTS": str(counts),
    }


def read_hits(counts: Path) -> Counter[str]:
    """Return how often each kind of failure hit, from the shim's file `counts`; empty if there is no file."""
    if not counts.exists():
        return Counter()
    return Counter(dict(zip(COUNTER_NAMES, COUNTERS.unpack(counts.read_bytes()), strict=False)))
