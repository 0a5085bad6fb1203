"""A resource that dispatchers act on under leases, as a process with its own clock.

    python -m beaconhinge.standin.resource SEED

The first line of the output, in JSON, has the port. Each act is printed as a further line of JSON. An act
with a lease number below the highest one seen is refused, and printed as well.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from ..net import http1
from ..net.http1 import Message
from .http import Server

# Shortest and longest duration of an act, in seconds.
ACT_S = (0.01, 0.06)


class Resource:
    """Refuses acts under a lease number below the highest that it has seen."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.highest: dict[str, int] = {}  # highest number seen, by lease
        self.server = Server(self._answer)

    async def _answer(self, message: Message) -> bytes:
        begin = time.monotonic()
        lease = message.headers.get("x-lease", "")
        try:
            number = int(message.headers.get("x-lease-number", ""))
        except ValueError:
            return http1.response(400)
        if number < self.highest.get(lease, 0):
            self._print_act(lease, number, begin, begin, False)
            return http1.response(409)
        self.highest[lease] = number
        await asyncio.sleep(self.random.uniform(*ACT_S))
        self._print_act(lease, number, begin, time.monotonic(), True)
        return http1.response(200)

    def _print_act(self, lease: str, number: int, begin: float, end: float, accepted: bool) -> None:
        act = {"lease": lease, "number": number, "begin": begin, "end": end, "accepted": accepted}
        print(json.dumps(act), flush=True)


async def main(seed: int) -> None:
    """Print the port, and serve until killed."""
    resource = Resource(seed)
    print(json.dumps({"port": resource.server.port}), flush=True)
    resource.server.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
