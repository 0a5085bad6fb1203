"""The simulated network: message delays, lost datagrams and network partitions."""

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

# Each datagram is charged as at least this many bytes, as in the operators' price.
MIN_CHARGED_BYTES = 16
# Shortest and longest delay in seconds of a message between a dispatcher and a worker.
HOP_S = (0.0003, 0.0012)
# Shortest and longest delay in seconds of a datagram between two dispatchers.
PEER_HOP_S = (0.002, 0.013)


class Network:
    """Draws delays and losses, and holds the partitions between zones."""

    def __init__(self, clock: Clock, rng: random.Random, plan: Plan, counters: Counter[str]) -> None:
        self.clock = clock
        self.random = rng
        self.plan = plan
        self.counters = counters
        # Time in seconds until which datagrams between dispatchers of different zones are lost.
        self.gossip_cut_until = -math.inf
        # Time in seconds until which messages between a dispatcher and a worker of another zone are lost.
        self.worker_cut_until = -math.inf

    def hop_s(self) -> float:
        """Return a random delay in seconds for a message between a dispatcher and a worker."""
        return self.random.uniform(*HOP_S)

    def cut_gossip(self, until: float) -> None:
        """Drop datagrams between dispatchers of different zones until this time."""
        self.gossip_cut_until = until

    def are_separated(self, node: Node, worker: FakeWorker) -> bool:
        """Whether all messages between the two are lost, without either being notified."""
        return worker.unreachable_silently or (
            node.zone != worker.zone and self.clock.now < self.worker_cut_until
        )

    def send_datagrams(
        self, sender: Node, receivers: Iterable[Node], size: int, deliver: Callable[[Node], object]
    ) -> None:
        """Send a datagram of `size` bytes to each receiver but the sender itself.

        `deliver` is called later with each receiver that the datagram reaches.
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
