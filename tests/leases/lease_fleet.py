"""A fleet of lease nodes in virtual time, whose datagrams are delayed, lost or cut off."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from beaconhinge.leases import node as node_
from beaconhinge.leases.node import LeaseNode
from beaconhinge.leases.terms import Council, LeaseTerms
from beaconhinge.leases.votes import SendMessage, WriteNumber


@dataclass
class Fleet:
    """Nodes that run all the time, and the messages and timers that wait.

    Attributes:
        voters: Nodes that vote, numbered from 0.
        loss: Share of datagrams that are lost.
        sent: Datagrams sent, by node.
        cut: Nodes that receive datagrams from each other only.
        waiting: Heap of events: time, a random number as tie-breaker, kind, and what it is about.
        wakes: When each node is to be advanced next.
    """

    size: int
    voters: int
    leases: int
    seed: int = 1
    loss: float = 0.0
    span: float = 2.0
    now: float = 0.0
    sent: Counter[int] = field(default_factory=Counter)
    nodes: dict[int, LeaseNode] = field(default_factory=dict)
    cut: frozenset[int] = frozenset()
    waiting: list[tuple[float, int, str, Any]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.council = Council(1, frozenset(range(self.voters)))
        self.terms = LeaseTerms(self.span, spread=self.size // 25)
        for number in range(self.size):
            self.start(number)
            self.nodes[number].member.silent_until = 0.0
        self.wakes: dict[int, float] = {}

    def start(self, number: int) -> None:
        self.nodes[number] = node_.new_node(
            number, self.council, self.terms, self.now, self.random.random, round(1000 * self.now)
        )

    def want(self, numbers: Any) -> None:
        for number in numbers:
            for lease in range(self.leases):
                self.perform(number, self.nodes[number].want(self.now, lease))

    def perform(self, number: int, actions: list[Any]) -> None:
        for action in actions:
            assert not isinstance(action, WriteNumber)
            if isinstance(action, SendMessage):
                self.sent[number] += 1
                cut_off = (number in self.cut) != (action.to in self.cut)
                if not cut_off and self.random.random() >= self.loss:
                    self.at(
                        self.now + self.random.uniform(0.0002, 0.002),
                        "hear",
                        (action.to, number, action.message),
                    )
        at = self.nodes[number].next_at if number in self.nodes else float("inf")
        if at < self.wakes.get(number, float("inf")):
            self.wakes[number] = at
            self.at(max(at, self.now), "turn", number)

    def at(self, when: float, kind: str, about: Any) -> None:
        heapq.heappush(self.waiting, (when, self.random.getrandbits(40), kind, about))

    def run(self, until: float) -> None:
        while self.waiting and self.waiting[0][0] <= until:
            self.now, _, kind, about = heapq.heappop(self.waiting)
            if kind == "turn":
                self.wakes.pop(about, None)
                if about in self.nodes:
                    self.perform(about, self.nodes[about].advance(self.now))
            elif about[0] in self.nodes:
                self.perform(about[0], self.nodes[about[0]].receive(self.now, about[1], about[2]))
        self.now = until

    def holders(self, lease: int) -> list[int]:
        return [
            number
            for number, node in self.nodes.items()
            if (held := node.holders.get(lease)) is not None
            and held.tenure is not None
            and self.now < held.tenure.end
        ]
