"""The network of the simulated fleet: how long messages take, what is lost, and who can't reach whom."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from .clock import Clock
from .entities import Node
from .plan import Plan
from .workers import FakeWorker

# Bytes that a datagram is charged with at least, as the operators' price shows.
MIN_CHARGED_BYTES = 16
# Least and greatest seconds between a dispatcher and a worker, and between two dispatchers.
HOP_S = (0.0003, 0.0012)
PEER_HOP_S = (0.002, 0.013)


class Network:
    """Draws delays and losses, and knows the cuts between zones."""

    def __init__(self, clock: Clock, rng: random.Random, plan: Plan, counters: Counter[str]) -> None:
        self.clock = clock
        self.random = rng
        self.plan = plan
        self.counters = counters
        # Till then the zones' dispatchers do not hear each other.
        self.gossip_cut_until = -math.inf
        # Till then no dispatcher reaches a worker of the other zone.
        self.worker_cut_until = -math.inf

    def hop_s(self) -> float:
        """Draw the seconds that a message between a dispatcher and a worker takes."""
        return self.random.uniform(*HOP_S)

    def cut_gossip(self, until: float) -> None:
        """Let dispatchers hear only those of their zone until then."""
        self.gossip_cut_until = until

    def are_separated(self, node: Node, worker: FakeWorker) -> bool:
        """Whether nothing passes between the two, unnoticed by both."""
        return worker.unreachable_silently or (
            node.zone != worker.zone and self.clock.now < self.worker_cut_until
        )

    def send_datagrams(
        self, sender: Node, receivers: Iterable[Node], size: int, deliver: Callable[[Node], object]
    ) -> None:
        """Send a datagram of so many bytes to each receiver but the sender.

        `deliver` is called for each receiver that it arrives at.
        """
        for receiver in receivers:
            if receiver is sender:
                continue
            self.counters["datagrams"] += 1
            if self.clock.now < self.plan.seconds:
                self.counters["charged_bytes"] += max(MIN_CHARGED_BYTES, size)
            cut = self.clock.now < self.gossip_cut_until and sender.zone != receiver.zone
            if not cut and self.random.random() >= self.plan.datagram_loss:
                self.clock.after(self.random.uniform(*PEER_HOP_S), partial(deliver, receiver))
