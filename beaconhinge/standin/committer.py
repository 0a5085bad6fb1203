"""A process that commits until it is killed, and prints what was acknowledged.

    python -m beaconhinge.standin.committer FOLDER START

Each batch puts the two keys of one number, so that a half-written batch can be detected. After every tenth
number, a batch deletes an earlier one. A line is written only after its commit has returned.
"""

from __future__ import annotations

import asyncio
import os
import sys

from ..store import Delete, Options, Put, Store

WRITERS = 8
OPTIONS = Options(segment_bytes=16 * 1024, compact_bytes_per_s=64 * 1024 * 1024, compact_dead_share=0.3)


def keys(number: int) -> tuple[bytes, bytes]:
    """Return the two keys of a number."""
    return b"a%09d" % number, b"b%09d" % number


async def run(folder: str, start: int) -> None:
    """Commit the numbers from `start` on, with several writers, until killed."""
    store = Store.open(folder, OPTIONS)
    os.write(1, b"open\n")
    numbers = iter(range(start, 10**9))

    async def write() -> None:
        for number in numbers:
            first, second = keys(number)
            await store.commit([Put(first, b"%d" % number * 20), Put(second, b"%d" % number * 20)])
            os.write(1, b"put %d\n" % number)
            if number % 10 == 0:
                deleted = number - 100
                await store.commit([Delete(key) for key in keys(deleted)])
                os.write(1, b"gone %d\n" % deleted)

    await asyncio.gather(*(write() for _ in range(WRITERS)))


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], int(sys.argv[2])))
