"""Several dispatchers before one fleet that is too small for what comes, in simulated time: who is admitted?

Small on purpose: fixed service times, workers that turn away what does not fit, reports that arrive at once.
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
GROUP, WORKERS, SLOTS, TIME = 3, 6, 4, 0.25  # 96 jobs a second fit
RATES = (70.0, 60.0, 120.0)  # jobs a second that the tenants ask for: the smallest share asks for most

PAIRS = {
    "groupSize": str(GROUP),
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
    number: int
    dispatcher: Dispatcher | None = None
    life: int = 0
    written: bytes = b""
    attempts: Any = None


class World:
    def __init__(
        self,
        seed: int,
        restart_at: float,
        keep_books: bool,
        down: float = 1.0,
        edit: Callable[[bytes], bytes] = lambda data: data,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.nodes = [Node(number) for number in range(GROUP)]
        self.busy: Counter[int] = Counter()
        self.tenant: dict[tuple[int, int, int], int] = {}
        self.served: list[tuple[float, int, int]] = []  # time, node, tenant
        self.requests = 0
        self.keep_books = keep_books
        self.edit = edit
        self.dropped: list[str] = []
        for node in self.nodes:
            self.start(node)
        for tenant in range(len(RATES)):
            self.arrive(tenant)
        if restart_at:
            self.at(restart_at, lambda: self.kill(self.nodes[0]))
            self.at(restart_at + down, lambda: self.start(self.nodes[0]))

    def at(self, after: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.agenda, (self.now + after, self.order, call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.agenda and self.agenda[0][0] <= end:
            self.now, _, call = heapq.heappop(self.agenda)
            call()
        self.now = end

    def start(self, node: Node) -> None:
        node.life += 1
        node.attempts = Counter()
        settings = interface.Settings.from_pairs({**PAIRS, "myNumber": str(node.number)})
        node.dispatcher = Dispatcher(settings, seed=node.number + 10 * node.life)
        self.feed(node, interface.Start())
        if self.keep_books and node.written:
            try:
                found = record.decode(self.edit(node.written))
                record.restore(
                    node.dispatcher, found, self.now, record.check(found, settings, self.now, 30.0)
                )
            except record.StaleRecordError as why:
                self.dropped.append(str(why))
        self.feed(
            node,
            interface.MembershipUpdate(
                UpdateKind.BOOTSTRAP,
                1,
                [interface.MemberEntry(worker=100 + i) for i in range(WORKERS)],
            ),
        )
        self.write(node, node.life)

    def write(self, node: Node, life: int) -> None:
        if node.dispatcher is not None and node.life == life:
            node.written = record.encode(record.take(node.dispatcher, self.now))
            self.at(0.5, lambda: self.write(node, life))

    def kill(self, node: Node) -> None:
        node.dispatcher = None

    def arrive(self, tenant: int) -> None:
        self.at(self.random.expovariate(RATES[tenant]), lambda: self.arrive(tenant))
        alive = [node for node in self.nodes if node.dispatcher is not None]
        node = self.random.choice(alive)
        self.requests += 1
        self.tenant[node.number, node.life, self.requests] = tenant
        self.feed(node, interface.JobArrived(self.requests, 0, tenant, 2.0))

    def feed(self, node: Node, event: interface.Event) -> None:
        if node.dispatcher is None:
            return
        life = node.life
        for action in node.dispatcher.handle(self.now, event):
            if isinstance(action, interface.SetTimer):
                self.later(node, life, action.after, interface.TimerFired(action.token))
            elif isinstance(action, interface.SendAttempt):
                self.send(node, life, action)
            elif isinstance(action, interface.SendToPeer):
                for other in self.nodes:
                    if other is not node:
                        self.later(
                            other, other.life, 0.001, interface.PeerMessage(node.number, action.payload)
                        )

    def later(self, node: Node, life: int, after: float, event: interface.Event) -> None:
        self.at(after, lambda: self.feed(node, event) if node.life == life else None)

    def send(self, node: Node, life: int, action: interface.SendAttempt) -> None:
        attempt = node.attempts[action.request]
        node.attempts[action.request] += 1
        worker, request = action.worker, action.request
        if self.busy[worker] >= SLOTS:
            self.later(
                node,
                life,
                0.002,
                interface.AttemptEnded(request, worker, attempt, AttemptOutcome.REJECTED),
            )
            return
        self.busy[worker] += 1

        def done() -> None:
            self.busy[worker] -= 1
            self.served.append((self.now, node.number, self.tenant[node.number, life, request]))
            if node.life == life:
                self.feed(
                    node,
                    interface.AttemptEnded(request, worker, attempt, AttemptOutcome.SERVED, True, TIME),
                )

        self.at(TIME, done)

    def share(self, since: float, until: float) -> list[float]:
        """Of what was served in that time, each tenant's part."""
        counts = Counter(tenant for at, _, tenant in self.served if since <= at - 1000.0 < until)
        return [counts[tenant] / max(1, counts.total()) for tenant in range(len(SHARES))]
