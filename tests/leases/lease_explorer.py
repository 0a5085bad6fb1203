"""Explores the state machines of leases over orders of messages, losses, repeats, crashes, stops and clocks.

    python tests/leases/lease_explorer.py [--states 1000000] [--walks 20000] [--seed 1]

True time passes in ticks that no process sees; each process has a clock with its own rate and offset. A
process is stopped while it gets no `turn`. After each move the world, not the processes, checks that no two
processes hold one lease.
"""

from __future__ import annotations

import argparse
import pickle
import random
import sys
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, ClassVar

from beaconhinge.leases import node as node_
from beaconhinge.leases.holder import LeaseAcquired
from beaconhinge.leases.node import LeaseNode
from beaconhinge.leases.terms import Council, LeaseTerms
from beaconhinge.leases.votes import SendMessage, WriteNumber
from beaconhinge.leases.wire import GRANT, LeaseMessage

SPAN, DRIFT = 4.0, 0.25  # ticks of true time, and the drift allowed to clocks
SLOW, FAST = 1 - DRIFT, 1 + DRIFT  # rates of clocks at the limits of the drift
ACT = 2.0  # ticks that an act takes
# A request stays open for the whole span, so that answers count however late they arrive.
TERMS = LeaseTerms(SPAN, drift=DRIFT, open_for=1.0)
IN_FLIGHT = 10  # undelivered messages that are kept; beyond it the oldest are lost
Move = tuple[Any, ...]


class Broken(Exception):
    """A property that must hold is violated."""


class DistinctNumbers:
    """Replaces random numbers by distinct ones, so that all voting rounds of a process have distinct ids."""

    def __init__(self) -> None:
        self.drawn = 0

    def __call__(self) -> float:
        self.drawn += 1
        return self.drawn / 4096 % 1.0


@dataclass
class Process:
    """One process with its clock, disk and node.

    Attributes:
        rate: Seconds of its clock for each tick of true time.
        offset: Its clock at tick 0.
        node: The state machine; None while the process is down.
        disk: The highest number written for each lease.
        writes: Numbers that are being written.
        checked: Lease and tenure number of acts that passed the check of the clock and have not begun.
        wall: Seconds by which its wall clock has stepped.
    """

    number: int
    rate: float
    offset: float
    node: LeaseNode | None = None
    disk: dict[int, int] = field(default_factory=dict)
    writes: list[WriteNumber] = field(default_factory=list)
    checked: list[tuple[int, int]] = field(default_factory=list)
    random: DistinctNumbers = field(default_factory=DistinctNumbers)
    wall: float = 0.0


@dataclass
class Bounds:
    """How many moves of each kind are left: `steps` change the council, `gives` release a lease."""

    ticks: int = 12
    wants: int = 4
    crashes: int = 1
    upgrades: int = 1
    acts: int = 6
    steps: int = 0
    gives: int = 1


class World:
    """The processes of a fleet, their clocks, the messages between them, and the checks of what must hold.

    Attributes:
        weights: Weights of kinds of moves that differ from WEIGHTS.
        moves_left: Moves that may still be made.
        copies: How often a message may be delivered.
        councils: The first is in force, the others are later council changes.
        council_index: Index in `councils` of each process's council.
        tick: True time in ticks.
        in_flight: Undelivered messages: sender, receiver, message, copies left.
        granted_by: Members that granted a number, by lease and number.
        numbers: The highest number of a tenure so far, by lease.
        accepted_numbers: The highest number that a resource which checks numbers has accepted, by lease.
        last_acts: End and number of the last act at a resource that checks nothing, by lease.
        tally: How often each kind of move was made, tenures began and stale numbers were refused.
        replaced: Processes and nodes that a new process has taken over from.
    """

    node_type: type[LeaseNode] = LeaseNode
    weights: ClassVar[dict[str, float]] = {}

    def __init__(
        self,
        rates: tuple[float, ...],
        leases: int = 1,
        durable: bool = False,
        bounds: Bounds | None = None,
        councils: tuple[Council, ...] = (),
        contenders: int = 2,
        copies: int = 2,
    ) -> None:
        self.moves_left = bounds or Bounds()
        self.copies = copies
        self.durable = durable
        self.leases = range(1, leases + 1)
        self.contenders = contenders
        self.councils = councils or (Council(1, frozenset(range(len(rates)))),)
        self.council_index = [0] * len(rates)
        self.tick = 0
        self.in_flight: list[tuple[int, int, LeaseMessage, int]] = []
        self.granted_by: dict[tuple[int, int], set[int]] = {}
        self.numbers: dict[int, int] = {}
        self.accepted_numbers: dict[int, int] = {}
        self.last_acts: dict[int, tuple[float, int]] = {}
        self.tally: Counter[str] = Counter()
        self.replaced: list[tuple[Process, LeaseNode]] = []
        self.processes = [Process(n, rate, 100.0 * n) for n, rate in enumerate(rates)]
        for process in self.processes:
            self._start(process, 0)
            assert process.node is not None
            process.node.member.silent_until = -1000.0  # exploration begins long after the first start

    def clock(self, process: Process) -> float:
        return process.offset + self.tick * process.rate

    def floor(self) -> int:
        """Return a number above all so far, as wall time in milliseconds is."""
        return 1000 * (self.tick + 1) + max(self.numbers.values(), default=0)

    def _start(self, process: Process, floor: int) -> None:
        council = self.councils[self.council_index[process.number]]
        fresh = node_.new_node(
            process.number,
            council,
            TERMS,
            self.clock(process),
            process.random,
            floor,
            self.durable,
            process.disk,
        )
        process.node = self.node_type(fresh.member, fresh.random)

    # ---- moves ---------------------------------------------------------------------------------------------

    def moves(self) -> list[Move]:
        left, possible = self.moves_left, list[Move]()
        if left.ticks:
            possible.append(("tick",))
        possible += [("deliver", *flight[:3]) for flight in self.in_flight]
        for process in self.processes:
            n, node = process.number, process.node
            if node is None:
                possible.append(("start", n))
                continue
            if node.next_at <= self.clock(process):
                possible.append(("turn", n))
            possible += [("write", n, write.lease, write.number) for write in process.writes]
            if left.crashes:
                possible += [("crash", n, True), ("crash", n, False)]
            if left.upgrades:
                possible.append(("upgrade", n))
            if left.steps and self.council_index[n] + 1 < len(self.councils):
                possible.append(("step", n))
            for lease in self.leases if n < self.contenders else ():
                held = node.holders.get(lease)
                if left.wants and (held is None or not held.wanted):
                    possible.append(("want", n, lease))
                if held is not None and held.tenure is not None and left.gives:
                    possible.append(("give", n, lease))
                if held is not None and held.tenure is not None and left.acts:
                    possible += [("act", n, lease), ("check", n, lease)]
            possible += [("begin", n, *looked) for looked in process.checked]
        return possible

    def do(self, move: Move) -> bool:
        """Make a move and check what must hold; return False if the move is not possible.

        Raises:
            Broken: The move violates a property.
        """
        kind = move[0]
        process = self.processes[move[1]] if len(move) > 1 and kind != "deliver" else None
        if kind == "tick":
            self.tick += 1
            self.moves_left.ticks -= 1
        elif kind == "deliver":
            if not self._deliver(*move[1:]):
                return False
        elif process is None or kind != "start" and process.node is None:
            return False
        elif not getattr(self, "_" + kind)(process, *move[2:]):
            return False
        self.tally[kind] += 1
        self._check_holders()
        return True

    def _perform(self, process: Process, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                if action.message.kind == GRANT:
                    self.granted_by.setdefault((action.message.lease, action.message.number), set()).add(
                        process.number
                    )
                self.in_flight.append((process.number, action.to, action.message, self.copies))
            elif isinstance(action, WriteNumber):
                process.writes.append(action)
            elif isinstance(action, LeaseAcquired):
                self._held(process, action)
        del self.in_flight[:-IN_FLIGHT]

    def _held(self, process: Process, held: LeaseAcquired) -> None:
        self.tally["tenures"] += 1
        assert process.node is not None
        vote = process.node.member.votes.get(held.lease)
        votes = self.granted_by.get((held.lease, held.number), set())
        if vote is not None and (vote.holder, vote.number) == (process.number, held.number):
            votes = votes | {process.number}  # its own vote, which is not sent
        council = process.node.member.council
        if len(votes & council.members) <= len(council.members) / 2:
            raise Broken("a minority granted")
        if held.number <= self.numbers.get(held.lease, 0):
            raise Broken("a number did not grow")
        self.numbers[held.lease] = held.number

    def _deliver(self, source: int, to: int, message: LeaseMessage) -> bool:
        for index, (src, dst, flying, copies) in enumerate(self.in_flight):
            if (src, dst, flying) == (source, to, message):
                self.in_flight[index : index + 1] = [(src, dst, flying, copies - 1)] if copies > 1 else []
                process = self.processes[to]
                if process.node is not None:
                    self._perform(process, process.node.receive(self.clock(process), source, flying))
                # The kernel may still deliver messages for the new process to the old one.
                for old, node in self.replaced:
                    if old.number == to:
                        self._perform(old, node.receive(self.clock(old), source, flying))
                return True
        return False

    def _want(self, process: Process, lease: int) -> bool:
        self.moves_left.wants -= 1
        self._perform(process, process.node.want(self.clock(process), lease))  # type: ignore[union-attr]
        return True

    def _busy(self, node: LeaseNode, lease: int) -> bool:
        """Return whether an act of the node's tenure is in progress."""
        tenure = node.holders[lease].tenure if lease in node.holders else None
        end, number = self.last_acts.get(lease, (0.0, 0))
        return tenure is not None and number == tenure.number and self.tick < end

    def _give(self, process: Process, lease: int) -> bool:
        assert process.node is not None
        if self._busy(process.node, lease):
            return False
        self.moves_left.gives -= 1
        self._perform(process, process.node.release(self.clock(process), lease))  # type: ignore[union-attr]
        return True

    def _turn(self, process: Process) -> bool:
        self._perform(process, process.node.advance(self.clock(process)))  # type: ignore[union-attr]
        for old, node in self.replaced:
            self._perform(old, node.advance(self.clock(old)))
        return True

    def _write(self, process: Process, lease: int, number: int) -> bool:
        for write in process.writes:
            if (write.lease, write.number) == (lease, number):
                process.writes.remove(write)
                process.disk[lease] = max(number, process.disk.get(lease, 0))
                self._perform(process, process.node.number_written(self.clock(process), write, True))  # type: ignore[union-attr]
                return True
        return False

    def _crash(self, process: Process, keeps: bool) -> bool:
        self.moves_left.crashes -= 1
        process.node, process.writes, process.checked = None, [], []
        self.replaced = [(old, node) for old, node in self.replaced if old.number != process.number]
        if not keeps:
            process.disk = {}
        return True

    def _start_again(self, process: Process) -> None:
        self._start(process, self.floor() if not process.disk else 0)

    def _upgrade(self, process: Process) -> bool:
        self.moves_left.upgrades -= 1
        old, now = process.node, self.clock(process)
        assert old is not None
        lost, state = old.hand_over(now, frozenset(lease for lease in self.leases if self._busy(old, lease)))
        self._perform(process, lost)
        self.replaced.append((process, old))
        process.writes = []
        self._start(process, 0)
        assert process.node is not None
        process.node.take_over(now, 0.0, state)
        return True

    def _step(self, process: Process) -> bool:
        self.moves_left.steps -= 1
        self.council_index[process.number] += 1
        council = self.councils[self.council_index[process.number]]
        self._perform(process, process.node.adopt(self.clock(process), council, TERMS))  # type: ignore[union-attr]
        return True

    def _guard(self, process: Process, lease: int) -> int:
        """Return the tenure number under which an act may begin, or 0; the process reads its clock first."""
        now, node = self.clock(process), process.node
        assert node is not None
        self._perform(process, node.advance(now))
        tenure = node.holders[lease].tenure if lease in node.holders else None
        return tenure.number if tenure is not None and tenure.covers(now, ACT, DRIFT) else 0

    def _check(self, process: Process, lease: int) -> bool:
        number = self._guard(process, lease)
        if number:
            self.moves_left.acts -= 1
            process.checked.append((lease, number))
        return bool(number)

    def _begin(self, process: Process, lease: int, number: int) -> bool:
        """Begin an act any time after its check; the resource rejects it if its number is stale."""
        if (lease, number) not in process.checked:
            return False
        process.checked.remove((lease, number))
        if number < self.accepted_numbers.get(lease, 0):
            self.tally["stale numbers refused"] += 1
            return True
        self.accepted_numbers[lease] = number
        return True

    def _act(self, process: Process, lease: int) -> bool:
        """Act at a resource that checks nothing, without a stop between the check and the act."""
        number = self._guard(process, lease)
        if not number:
            return False
        self.moves_left.acts -= 1
        end, before = self.last_acts.get(lease, (0.0, number))
        if self.tick < end and before != number:
            raise Broken("acts of two tenures overlap")
        self.last_acts[lease] = self.tick + ACT, number
        return True

    def _check_holders(self) -> None:
        """Raise Broken if two processes, running or stopped, hold one lease at this tick."""
        nodes = [(p, p.node) for p in self.processes if p.node is not None] + self.replaced
        for lease in self.leases:
            holding = [
                p.number
                for p, node in nodes
                if (held := node.holders.get(lease)) is not None
                and held.tenure is not None
                and self.clock(p) < held.tenure.end
            ]
            if len(holding) > 1:
                raise Broken("two hold one lease")

    _start_move = None

    def key(self) -> bytes:
        return pickle.dumps(
            (
                self.tick,
                self.council_index,
                sorted(self.in_flight, key=repr),
                self.moves_left,
                self.numbers,
                self.accepted_numbers,
                self.last_acts,
                [(p.node, sorted(p.disk.items()), p.writes, p.checked) for p in self.processes],
                [node for _, node in self.replaced],
            ),
            -1,
        )


def _start_move(self: World, process: Process) -> bool:
    if process.node is not None:
        return False
    self._start_again(process)
    return True


# `_start` makes a node, so the move `start` has its own function.
MOVES: dict[str, Callable[..., bool]] = {"start": _start_move}


def make_move(world: World, move: Move) -> bool:
    if move[0] == "start":
        done = _start_move(world, world.processes[move[1]])
        world.tally["start"] += done
        world._check_holders()
        return done
    return world.do(move)


WEIGHTS = {
    "deliver": 6.0,
    "tick": 2.0,
    "turn": 3.0,
    "write": 4.0,
    "start": 2.0,
    "want": 2.0,
    "act": 2.0,
    "check": 0.7,
    "begin": 0.7,
    "crash": 0.25,
    "upgrade": 0.4,
    "step": 0.5,
    "give": 0.3,
}


def walk(world: World, rng: random.Random, length: int) -> tuple[list[Move], str]:
    """Make up to `length` random moves; return them and the property that the last one violated (or "")."""
    trace: list[Move] = []
    for _ in range(length):
        moves = world.moves()
        if not moves:
            break
        weights = {**WEIGHTS, **world.weights}
        move = rng.choices(moves, [weights[m[0]] for m in moves])[0]
        trace.append(move)
        try:
            make_move(world, move)
        except Broken as broken:
            return trace, str(broken)
    return trace, ""


def shortest(make: Callable[[], World], trace: list[Move], broken: str) -> list[Move]:
    """Return the trace without moves that are not needed to violate the same property."""

    def breaks(moves: list[Move]) -> bool:
        world = make()
        try:
            for move in moves:
                make_move(world, move)
        except Broken as found:
            return str(found) == broken
        return False

    size = len(trace) // 2
    while size:
        index = 0
        while index < len(trace):
            fewer = trace[:index] + trace[index + size :]
            if breaks(fewer):
                trace = fewer
            else:
                index += size
        size //= 2
    return trace


def exhaust(make: Callable[[], World], max_states: int) -> tuple[int, int, Counter[str]]:
    """Explore all orders of moves, those with the fewest first, until `max_states` states are found.

    Returns:
        The number of states, the longest order explored in moves, and how often each kind of move was made.
    """
    first = make()
    seen, queue, deep, tally = {hash(first.key())}, deque([(pickle.dumps(first, -1), 0)]), 0, Counter[str]()
    while queue and len(seen) < max_states:
        pickled, deep = queue.popleft()
        for move in pickle.loads(pickled).moves():
            world = pickle.loads(pickled)
            make_move(world, move)
            key = hash(world.key())
            if key not in seen:
                seen.add(key)
                queue.append((pickle.dumps(world, -1), deep + 1))
                tally[move[0]] += 1
                tally["tenures"] = max(tally["tenures"], world.tally["tenures"])
    return len(seen), deep, tally


THREE = (SLOW, FAST, FAST)
GROWING = (
    Council(1, frozenset({0, 1, 2})),
    Council(2, frozenset({0, 1, 2, 3}), frozenset({0, 1, 2})),
    Council(3, frozenset({0, 1, 2, 3, 4}), frozenset({0, 1, 2, 3})),
)
SETTINGS: dict[str, Callable[[], dict[str, Any]]] = {
    "3 members, 2 leases": lambda: {
        "rates": THREE,
        "leases": 2,
        "bounds": Bounds(ticks=16, wants=8, crashes=2),
    },
    "3 members, slow holder": lambda: {
        "rates": THREE,
        "bounds": Bounds(ticks=16, wants=8, crashes=0, upgrades=0),
    },
    "3 members, fast holder": lambda: {
        "rates": (FAST, SLOW, SLOW),
        "bounds": Bounds(ticks=16, wants=6, crashes=2),
    },
    "3 members with a disk": lambda: {
        "rates": THREE,
        "durable": True,
        "bounds": Bounds(ticks=20, wants=8, crashes=3, gives=4),
    },
    "5 members, 1 lease": lambda: {
        "rates": (SLOW, FAST, SLOW, FAST, FAST),
        "contenders": 3,
        "bounds": Bounds(ticks=16, wants=6, crashes=2),
    },
    "3 members, 2 more contend": lambda: {
        "rates": (FAST, SLOW, FAST, SLOW, SLOW),
        "councils": (Council(1, frozenset({0, 1, 2})),),
        "contenders": 5,
        "bounds": Bounds(ticks=16, wants=8, crashes=2),
    },
    "3 to 5 members": lambda: {
        "rates": (SLOW, FAST, SLOW, FAST, FAST),
        "councils": GROWING,
        "contenders": 5,
        "bounds": Bounds(ticks=22, wants=6, crashes=1, steps=10),
    },
}


def world_of(name: str, kind: type[World] = World) -> World:
    return kind(**SETTINGS[name]())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--states", type=int, default=100_000)
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for name in SETTINGS:
        states, deep, tally = exhaust(lambda name=name: world_of(name), options.states)  # type: ignore[misc]
        print(f"{name}: {states} states, all orders of {deep} moves, {tally['tenures']} tenures in one")
        total: Counter[str] = Counter()
        for number in range(options.walks):
            world = world_of(name)
            trace, broken = walk(world, random.Random(f"{options.seed}/{name}/{number}"), 160)
            total += world.tally
            if broken:
                print(
                    f"walk {number}: {broken}",
                    *shortest(lambda name=name: world_of(name), trace, broken),
                    sep="\n  ",
                )  # type: ignore[misc]
                sys.exit(3)
        print(f"{name}: {options.walks} walks, {dict(sorted(total.items()))}")


if __name__ == "__main__":
    main()
