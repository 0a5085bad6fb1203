"""Deliberate defects in the state machines of leases; the explorer has to find each of them.

A defect is a patched method, or a subclass of the explorer's world whose processes behave wrongly.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from lease_explorer import Move, World, shortest, walk, world_of

from beaconhinge.leases.holder import LeaseHolder, Tenure
from beaconhinge.leases.node import LeaseNode
from beaconhinge.leases.terms import Council
from beaconhinge.leases.votes import SendMessage, Vote, VotingMember, WriteNumber
from beaconhinge.leases.wire import GRANT, RELEASE, RENEW, REQUEST, LeaseMessage


def _span_from_answer(real: Callable[..., Any]) -> Callable[..., Any]:
    def round_won(self: LeaseHolder, now: float, voting_round: Any) -> Any:
        voting_round.requested_at = now
        return real(self, now, voting_round)

    return round_won


def _old_answer_accepted(real: Callable[..., Any]) -> Callable[..., Any]:
    def receive(self: LeaseHolder, now: float, sender: int, message: LeaseMessage) -> Any:
        if self.voting_round is not None and message.kind == GRANT:
            message = replace(message, round_id=self.voting_round.id, number=self.voting_round.number)
        return real(self, now, sender, message)

    return receive


def _ended_tenure_renewed(real: Callable[..., Any]) -> Callable[..., Any]:
    def receive_request(self: VotingMember, now: float, sender: int, message: LeaseMessage) -> Any:
        vote = self.votes.get(message.lease)
        if message.kind == RENEW and (vote is None or now >= vote.until):
            self.votes[message.lease] = Vote(
                sender, message.number, now + self.terms.grant_span, message.round_id
            )
            return [SendMessage(sender, self._answer(GRANT, message, message.number))]
        return real(self, now, sender, message)

    return receive_request


def _ended_tenure_kept(real: Callable[..., Any]) -> Callable[..., Any]:
    def expire(self: LeaseHolder, now: float) -> Any:
        voting_round = self.voting_round
        actions = real(self, now)
        self.voting_round = voting_round
        return actions

    return expire


def _restart_keeps_tenure(real: Callable[..., Any]) -> Callable[..., Any]:
    def receive_request(self: VotingMember, now: float, sender: int, message: LeaseMessage) -> Any:
        vote = self.votes.get(message.lease)
        if (
            message.kind == REQUEST
            and vote is not None
            and vote.holder == sender
            and vote.round_id != message.round_id
        ):
            del self.votes[message.lease]
        return real(self, now, sender, message)

    return receive_request


def _release_by_number(real: Callable[..., Any]) -> Callable[..., Any]:
    def receive(self: VotingMember, now: float, sender: int, message: LeaseMessage) -> Any:
        vote = self.votes.get(message.lease)
        if message.kind == RELEASE and vote is not None and vote.holder == sender:
            message = replace(message, round_id=vote.round_id)
        return real(self, now, sender, message)

    return receive


def _old_process_renews(real: Callable[..., Any]) -> Callable[..., Any]:
    def hand_over(self: LeaseNode, now: float, busy: frozenset[int]) -> Any:
        holders = dict(self.holders)
        tenures = {lease: held.tenure for lease, held in holders.items()}
        result = real(self, now, frozenset(holders))
        self.handed_over, self.holders = False, holders
        for lease, tenure in tenures.items():
            holders[lease].tenure = tenure
        return [], result[1]

    return hand_over


class NoSilence(World):
    """A process votes at once after each start."""

    def _start(self, process: Any, floor: int) -> None:
        super()._start(process, floor)
        process.node.member.silent_until = -1000.0


class GrantedBeforeWritten(World):
    """Each grant is sent before its number is on the disk.

    Member 2 crashes again and again, which loses the numbers that are being written. The second contender
    begins only after a crash. Messages from process 0 to process 1 are lost, so that only member 2 can know
    the number.
    """

    weights = {"write": 0.5, "crash": 1.0, "give": 2.0, "upgrade": 0.05}

    def moves(self) -> list[Move]:
        lost = self.tally["crash"] > 0
        return [
            move
            for move in super().moves()
            if (move[0] != "crash" or move[1:] == (2, True))
            and (move[0] != "want" or lost or move[1] == 0)
            and move[:3] != ("deliver", 0, 1)
        ]

    def _perform(self, process: Any, actions: list[Any]) -> None:
        for action in actions:
            super()._perform(process, [action])
            if isinstance(action, WriteNumber) and process.node is not None:
                super()._perform(process, process.node.number_written(self.clock(process), action, True))


class WallTime(World):
    """Processes use wall clocks, which step by 3 seconds."""

    weights = {"wall": 0.3}

    def clock(self, process: Any) -> float:
        return float(super().clock(process) + process.wall)

    def moves(self) -> list[Move]:
        steps = [("wall", p.number, by) for p in self.processes for by in (-3.0, 3.0) if not p.wall]
        return [*super().moves(), *steps]

    def _wall(self, process: Any, by: float) -> bool:
        process.wall += by
        return True


class ManyActs(World):
    """Many acts at a resource that checks nothing."""

    weights = {
        "act": 8.0,
        "check": 0.1,
        "give": 0.05,
        "tick": 3.0,
        "turn": 2.0,
        "crash": 0.01,
        "upgrade": 0.01,
    }

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        self.moves_left.acts = 60


class LateReleases(World):
    """Many releases and requests, so that releases arrive late."""

    weights = {"give": 1.5, "act": 0.2, "check": 0.1, "want": 4.0, "turn": 4.0}

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        self.moves_left.gives, self.moves_left.wants = 8, 16


class TwoMembersLag(World):
    """Processes 0 and 1 never change the council, and are a majority of its first three members."""

    weights = {"step": 4.0, "upgrade": 0.1}

    def moves(self) -> list[Move]:
        return [move for move in super().moves() if move[0] != "step" or move[1] > 1]


class NumbersRestart(World):
    """A process without a disk starts with number 0 again."""

    def floor(self) -> int:
        return 0


DEFECTS: dict[str, tuple[str, type[World], list[tuple[type, str, Callable[..., Any]]]]] = {
    "the span counted from the answer": (
        "3 members, slow holder",
        World,
        [(LeaseHolder, "_round_won", _span_from_answer)],
    ),
    "no silence after a start": ("3 members, 2 leases", NoSilence, []),
    "a renewal that revives an ended tenure": (
        "3 members, slow holder",
        World,
        [
            (VotingMember, "_receive_request", _ended_tenure_renewed),
            (LeaseHolder, "_expire", _ended_tenure_kept),
        ],
    ),
    "a number granted before it is durable": ("3 members with a disk", GrantedBeforeWritten, []),
    "wall time": ("3 members, 2 leases", WallTime, []),
    "an old answer taken for a new one": (
        "3 members, 2 leases",
        World,
        [(LeaseHolder, "receive", _old_answer_accepted)],
    ),
    "majorities that do not overlap": (
        "3 members, 2 leases",
        World,
        [(Council, "majority", lambda real: property(lambda self: len(self.members) // 2))],
    ),
    "a number that starts anew": ("3 members, 2 leases", NumbersRestart, []),
    "an act without its time left": (
        "3 members, 2 leases",
        ManyActs,
        [(Tenure, "covers", lambda real: lambda self, now, longest, drift: now < self.end)],
    ),
    "the old process of an upgrade that goes on": (
        "3 members, 2 leases",
        World,
        [(LeaseNode, "hand_over", _old_process_renews)],
    ),
    "a step while the one before is in force": (
        "3 to 5 members",
        TwoMembersLag,
        [(Council, "is_settled", lambda real: lambda self, numbers: True)],
    ),
    "the same name taken for the same tenure": (
        "3 members, 2 leases",
        World,
        [(VotingMember, "_receive_request", _restart_keeps_tenure)],
    ),
    "a release by name, come late": (
        "3 members, slow holder",
        LateReleases,
        [(VotingMember, "receive", _release_by_number)],
    ),
}


@contextlib.contextmanager
def with_defect(name: str) -> Iterator[Callable[[], World]]:
    setting, kind, patches = DEFECTS[name]
    with contextlib.ExitStack() as stack:
        for owner, attribute, make_patch in patches:
            stack.enter_context(patch.object(owner, attribute, make_patch(getattr(owner, attribute))))
        yield lambda: world_of(setting, kind)


def find(name: str, walks: int, seed: int = 1, shorten: bool = False) -> tuple[int, str, list[Move]]:
    """Return the first walk that finds the defect, the violated property, and the moves; -1 if none does."""
    with with_defect(name) as make:
        for number in range(walks):
            trace, broken = walk(make(), random.Random(f"{seed}/{name}/{number}"), 160)
            if broken:
                return number, broken, shortest(make, trace, broken) if shorten else trace
    return -1, "", []


if __name__ == "__main__":
    for name in DEFECTS:
        number, broken, trace = find(name, 5000, shorten=True)
        print(f"{name}: walk {number}, {broken}, {len(trace)} moves", *trace, sep="\n  ")
