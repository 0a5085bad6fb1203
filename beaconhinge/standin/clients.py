"""Clients that ask on schedule, whatever the answers do, and count one final answer for each request."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ..net import http1
from ..net.http1 import BadMessage, Closed
from .http import Caller

# Seconds beyond a request's own time-out after which its answer counts as missing.
ANSWER_GRACE_S = 2.0


@dataclass(frozen=True)
class Kind:
    """A class of requests: its part of the arrivals and how long a client waits."""

    name: str
    part: float
    timeout_ms: int
    keyed: bool = False


class Clients:
    """Clients of one dispatcher, whose requests come by a Poisson process."""

    def __init__(
        self,
        port: int,
        kinds: Sequence[Kind],
        tenants: Sequence[tuple[str, float]],
        rate: float,
        seed: int = 0,
    ) -> None:
        self.caller = Caller(port)
        self.kinds = kinds
        self.tenants = tenants
        self.rate = rate
        self.random = random.Random(seed)
        self.asked = 0
        self.answers: Counter[str] = Counter()  # final answers by status; `missing` for none
        self.by_class: Counter[tuple[str, str]] = Counter()
        self.waits: list[float] = []  # seconds to each answer 200
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Ask for so many seconds, then wait for what is open still."""
        loop = asyncio.get_running_loop()
        end = due = loop.time()
        end += seconds
        while (due := due + self.random.expovariate(self.rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.create_task(self._ask())
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        if self._open:
            await asyncio.wait(self._open)
        self.caller.close()

    @property
    def open(self) -> int:
        """Requests without an answer yet."""
        return len(self._open)

    async def _ask(self) -> None:
        self.asked += 1
        kind = self.random.choices(self.kinds, [k.part for k in self.kinds])[0]
        tenant = self.random.choices([t for t, _ in self.tenants], [part for _, part in self.tenants])[0]
        number = f"{self.random.getrandbits(64):016x}"
        head = {
            "Host": "service",
            "X-Request-ID": number,
            "X-Tenant-Id": tenant,
            "X-Timeout-Ms": str(kind.timeout_ms),
            "Content-Length": "4",
        }
        if kind.keyed:
            head["Idempotency-Key"] = number * 2
        begun = asyncio.get_running_loop().time()
        status = "missing"
        try:
            async with asyncio.timeout(kind.timeout_ms / 1000 + ANSWER_GRACE_S):
                data = http1.request("POST", f"/{kind.name}".encode(), head, b"work")
                message = await self.caller.ask(data)
            status = str(message.status)
        except (OSError, Closed, BadMessage):  # a time-out is an OSError too
            pass
        self.answers[status] += 1
        self.by_class[kind.name, status] += 1
        if status == "200":
            self.waits.append(asyncio.get_running_loop().time() - begun)
