"""One process: its votes and its leases, and the word that it has with itself. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from . import holder
from .holder import Held, Holder, Lost
from .terms import Council, Terms
from .votes import Member, Say, Vote, Write
from .wire import GRANT, NO, Message

Action: TypeAlias = Say | Write | Held | Lost


@dataclass(slots=True)
class Node:
    """`out`: another process of this dispatcher has taken over; this one says nothing any more."""

    member: Member
    random: Callable[[], float]
    holders: dict[int, Holder] = field(default_factory=dict)
    out: bool = False

    def want(self, now: float, lease: int) -> list[Action]:
        if self.out:
            return []
        if lease not in self.holders:
            member = self.member
            self.holders[lease] = Holder(member.own, lease, member.council, member.terms, self.random)
        return self._route(now, self._holder(lease).want(now))

    def give_up(self, now: float, lease: int, stay_out: float = 0.0) -> list[Action]:
        held = self.holders.get(lease)
        return [] if held is None or self.out else self._route(now, held.give_up(now, stay_out))

    def hear(self, now: float, sender: int, message: Message) -> list[Action]:
        if self.out:
            return []
        # Whatever it is that comes first after a stop: what is over has ended before it counts.
        done = self.turn(now)
        return done + self._route(now, self._hear(now, sender, message))

    def written(self, now: float, write: Write, well: bool) -> list[Action]:
        return [] if self.out else self._route(now, self.member.written(now, write, well))

    def turn(self, now: float) -> list[Action]:
        if self.out:
            return []
        turns = (self._holder(lease).turn(now) for lease in self.holders)
        return self._route(now, [action for done in turns for action in done])

    def _holder(self, lease: int) -> Holder:
        """It asks under a number above all that this process has granted itself."""
        held = self.holders[lease]
        held.highest = max(held.highest, self.member.highest.get(lease, self.member.floor))
        return held

    @property
    def next_at(self) -> float:
        return min((held.next_at for held in self.holders.values()), default=math.inf)

    def adopt(self, now: float, council: Council, terms: Terms) -> list[Action]:
        self.member.adopt(now, council, terms)
        for held in self.holders.values():
            held.adopt(council, terms)
        return self._route(now, self.member.steps())

    # ---- an upgrade ----------------------------------------------------------------------------------------

    def hand_over(self, now: float, busy: frozenset[int]) -> tuple[list[Action], dict[str, Any]]:
        """To another process of this dispatcher: from here on this one neither votes nor holds. It gives up
        what it holds, but for `busy` leases, under which an act is under way: these end by their span.
        """
        lost: list[Action] = []
        for held in self.holders.values():
            if held.lease not in busy:
                lost += self._route(now, held.give_up(now))
            elif held.tenure is not None:
                lost.append(Lost(held.lease, held.tenure.number, "handed over"))
        member = self.member
        votes = [
            [lease, vote.holder, vote.number, vote.round, vote.until - now]
            for lease, vote in member.votes.items()
        ]
        state = {
            "votes": votes,
            "highest": list(member.highest.items()),
            "floor": member.floor,
            "silent": member.silent_until - now,
            "moved": member.moved_at - now,
            "council": member.council.number,
            "numbers": list(member.numbers.items()),
        }
        self.out = True
        self.holders.clear()
        return lost, state

    def take_over(self, now: float, passed: float, state: dict[str, Any]) -> None:
        """What the other process handed over `passed` seconds ago. A vote whose number was being written
        counts from now. Raises ValueError, KeyError or TypeError, and has changed nothing then.
        """
        member, longest = self.member, self.member.terms.granted
        if state["council"] != member.council.number:
            raise ValueError("of another step of the members")
        lefts = [math.inf if left == math.inf else float(left) - passed for *_, left in state["votes"]]
        votes = {
            int(lease): Vote(int(who), int(number), now + min(left, longest), int(round_))
            for (lease, who, number, round_, _), left in zip(state["votes"], lefts, strict=True)
        }
        highest = {int(lease): int(number) for lease, number in state["highest"]}
        numbers = {int(number): int(council) for number, council in state["numbers"]}
        moved, silent, floor = float(state["moved"]), float(state["silent"]), int(state["floor"])
        member.votes, member.highest, member.floor = votes, {**member.highest, **highest}, floor
        member.numbers, member.moved_at = numbers, now + moved - passed
        member.silent_until = now + silent - passed

    # ---- the word with itself ------------------------------------------------------------------------------

    def _hear(self, now: float, sender: int, message: Message) -> Iterable[Action | holder.Action]:
        if message.kind not in (GRANT, NO):
            return self.member.hear(now, sender, message)
        known = message.lease in self.holders
        return self._holder(message.lease).hear(now, sender, message) if known else []

    def _route(self, now: float, actions: Iterable[Action | holder.Action]) -> list[Action]:
        """What goes to others. What goes to this process itself is heard at once."""
        done: list[Action] = []
        waiting = list(actions)
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, Say) and action.to == self.member.own:
                waiting += self._hear(now, self.member.own, action.message)
            else:
                done.append(action)
        return done


def new(
    own: int,
    council: Council,
    terms: Terms,
    now: float,
    random: Callable[[], float],
    floor: int = 0,
    durable: bool = False,
    highest: dict[int, int] | None = None,
) -> Node:
    """A process that has just started: whatever its last life granted is over once it speaks."""
    return Node(
        Member(own, council, terms, now + terms.silence, floor, durable, highest=dict(highest or {})), random
    )
