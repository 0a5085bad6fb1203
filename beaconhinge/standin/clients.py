"""Clients that send requests on schedule, whatever the answers are, and count each request's final answer."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ..net import http1
from ..net.http1 import BadMessage, Closed
from .http import Caller

# Seconds after a request's own time-out when its answer counts as missing.
ANSWER_GRACE_S = 2.0


@dataclass(frozen=True)
class Kind:
    """A class of requests.

    Attributes:
        name: Name of the request class.
        part: Weight of the class among the arrivals.
        timeout_ms: Milliseconds that a client waits for the answer.
        keyed: Whether each request has an idempotency key.
    """

    name: str
    part: float
    timeout_ms: int
    keyed: bool = False


class Clients:
    """Clients of one dispatcher, whose requests arrive by a Poisson process."""

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
        self.by_class: Counter[tuple[str, str]] = Counter()  # the same by class and status
        self.waits: list[float] = []  # seconds to each answer 200
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Send requests for `seconds`, then wait for the open ones and close all connections."""
        loop = asyncio.get_running_loop()
        end = due = loop.time()
        end += seconds
        while (due := due + self.random.expovariate(self.rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.create_task(self._send_request())
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        if self._open:
            await asyncio.wait(self._open)
        self.caller.close()

    @property
    def open(self) -> int:
        """Number of requests without an answer yet."""
        return len(self._open)

    async def _send_request(self) -> None:
        self.asked += 1
        kind = self.random.choices(self.kinds, [k.part for k in self.kinds])[0]
        tenant = self.random.choices([t for t, _ in self.tenants], [part for _, part in self.tenants])[0]
        request_id = f"{self.random.getrandbits(64):016x}"
        headers = {
            "Host": "service",
            "X-Request-ID": request_id,
            "X-Tenant-Id": tenant,
            "X-Timeout-Ms": str(kind.timeout_ms),
            "Content-Length": "4",
        }
        if kind.keyed:
            headers["Idempotency-Key"] = request_id * 2
        sent_at = asyncio.get_running_loop().time()
        status = "missing"
        try:
            async with asyncio.timeout(kind.timeout_ms / 1000 + ANSWER_GRACE_S):
                data = http1.request("POST", f"/{kind.name}".encode(), headers, b"work")
                message = await self.caller.call_with_retry(data)
            status = str(message.status)
        except (OSError, Closed, BadMessage):  # a time-out is an OSError too
            pass
        self.answers[status] += 1
        self.by_class[kind.name, status] += 1
        if status == "200":
            self.waits.append(asyncio.get_running_loop().time() - sent_at)
