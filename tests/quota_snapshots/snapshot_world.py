"""Simulates several dispatchers in front of an overloaded fleet, to measure each tenant's share of the service.

It is simple on purpose: service times are fixed, full workers refuse attempts, and peer messages arrive after
1 ms.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from beaconhinge.policy import interface
from beaconhinge.policy.dispatcher import Dispatcher
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind
from beaconhinge.quota_snapshots import record

SHARES = (0.54, 0.29, 0.17)
GROUP_SIZE, WORKERS, SLOTS, SERVICE_TIME_S = 3, 6, 4, 0.25  # the fleet can serve 96 jobs a second
RATES = (70.0, 60.0, 120.0)  # jobs a second by tenant; the tenant with the smallest share sends most

PAIRS = {
    "groupSize": str(GROUP_SIZE),
    "requestClasses.count": "1",
    "requestClasses.0.aim": "0.5",
    "requestClasses.0.hardLimit": "2.0",
    "requestClasses.0.semantics": "retryable",
    "orgs.count": "3",
    **{f"orgs.{i}.share": str(share) for i, share in enumerate(SHARES)},
    "policyLimits.peers": "true",
    "policyLimits.retryAfter": "true",
    "policyLimits.mostHeld": "100",
}


@dataclass
class Node:
    """A dispatcher of the group; `dispatcher` is None while it is down.

    Attributes:
        incarnation: number of its starts.
        snapshot: the last snapshot it wrote.
        attempts: number of attempts by request, in this incarnation.
    """

    number: int
    dispatcher: Dispatcher | None = None
    incarnation: int = 0
    snapshot: bytes = b""
    attempts: Any = None


class FleetSimulation:
    """A group of dispatchers, their workers and clients. Times are seconds; the simulation begins at 1000.

    Attributes:
        served: time, node and tenant of each job served.
        rejected_snapshots: reasons why snapshots were not restored.
    """

    def __init__(
        self,
        seed: int,
        restart_at: float,
        use_snapshots: bool,
        downtime_s: float = 1.0,
        edit: Callable[[bytes], bytes] = lambda data: data,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.nodes = [Node(number) for number in range(GROUP_SIZE)]
        self.slots_in_use: Counter[int] = Counter()
        self.tenant: dict[tuple[int, int, int], int] = {}
        self.served: list[tuple[float, int, int]] = []
        self.requests = 0
        self.use_snapshots = use_snapshots
        self.edit = edit
        self.rejected_snapshots: list[str] = []
        for node in self.nodes:
            self.start(node)
        for tenant in range(len(RATES)):
            self.arrive(tenant)
        if restart_at:
            self.at(restart_at, lambda: self.kill(self.nodes[0]))
            self.at(restart_at + downtime_s, lambda: self.start(self.nodes[0]))

    def at(self, after: float, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + after, self.event_count, call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end

    def start(self, node: Node) -> None:
        node.incarnation += 1
        node.attempts = Counter()
        settings = interface.Settings.from_pairs({**PAIRS, "myNumber": str(node.number)})
        node.dispatcher = Dispatcher(settings, seed=node.number + 10 * node.incarnation)
        self.feed(node, interface.Start())
        if self.use_snapshots and node.snapshot:
            try:
                found = record.decode(self.edit(node.snapshot))
                record.restore(
                    node.dispatcher, found, self.now, record.check(found, settings, self.now, 30.0)
                )
            except record.StaleRecordError as error:
                self.rejected_snapshots.append(str(error))
        self.feed(
            node,
            interface.MembershipUpdate(
                UpdateKind.BOOTSTRAP,
                1,
                [interface.MemberEntry(worker=100 + i) for i in range(WORKERS)],
            ),
        )
        self.write(node, node.incarnation)

    def write(self, node: Node, incarnation: int) -> None:
        if node.dispatcher is not None and node.incarnation == incarnation:
            node.snapshot = record.encode(record.take(node.dispatcher, self.now))
            self.at(0.5, lambda: self.write(node, incarnation))

    def kill(self, node: Node) -> None:
        node.dispatcher = None

    def arrive(self, tenant: int) -> None:
        self.at(self.random.expovariate(RATES[tenant]), lambda: self.arrive(tenant))
        alive = [node for node in self.nodes if node.dispatcher is not None]
        node = self.random.choice(alive)
        self.requests += 1
        self.tenant[node.number, node.incarnation, self.requests] = tenant
        self.feed(node, interface.JobArrived(self.requests, 0, tenant, 2.0))

    def feed(self, node: Node, event: interface.Event) -> None:
        if node.dispatcher is None:
            return
        incarnation = node.incarnation
        for action in node.dispatcher.handle(self.now, event):
            if isinstance(action, interface.SetTimer):
                self.feed_later(node, incarnation, action.after, interface.TimerFired(action.token))
            elif isinstance(action, interface.SendAttempt):
                self.send(node, incarnation, action)
            elif isinstance(action, interface.SendToPeer):
                for other in self.nodes:
                    if other is not node:
                        self.feed_later(
                            other,
                            other.incarnation,
                            0.001,
                            interface.PeerMessage(node.number, action.payload),
                        )

    def feed_later(self, node: Node, incarnation: int, after: float, event: interface.Event) -> None:
        self.at(after, lambda: self.feed(node, event) if node.incarnation == incarnation else None)

    def send(self, node: Node, incarnation: int, action: interface.SendAttempt) -> None:
        attempt = node.attempts[action.request]
        node.attempts[action.request] += 1
        worker, request = action.worker, action.request
        if self.slots_in_use[worker] >= SLOTS:
            self.feed_later(
                node,
                incarnation,
                0.002,
                interface.AttemptEnded(request, worker, attempt, AttemptOutcome.REJECTED),
            )
            return
        self.slots_in_use[worker] += 1

        def attempt_done() -> None:
            self.slots_in_use[worker] -= 1
            self.served.append((self.now, node.number, self.tenant[node.number, incarnation, request]))
            if node.incarnation == incarnation:
                self.feed(
                    node,
                    interface.AttemptEnded(
                        request, worker, attempt, AttemptOutcome.SERVED, True, SERVICE_TIME_S
                    ),
                )

        self.at(SERVICE_TIME_S, attempt_done)

    def served_shares(self, since: float, until: float) -> list[float]:
        """Return each tenant's share of the jobs served between two times after the begin of the simulation."""
        counts = Counter(tenant for at, _, tenant in self.served if since <= at - 1000.0 < until)
        return [counts[tenant] / max(1, counts.total()) for tenant in range(len(SHARES))]
