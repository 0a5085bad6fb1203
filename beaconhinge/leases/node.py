"""One process: its votes and its leases, and the word that it has with itself. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from . import holder
from .holder import LeaseAcquired, LeaseEnded, LeaseHolder
from .terms import Council, LeaseTerms
from .votes import SendMessage, Vote, VotingMember, WriteNumber
from .wire import DENY, GRANT, LeaseMessage

Action: TypeAlias = SendMessage | WriteNumber | LeaseAcquired | LeaseEnded


@dataclass(slots=True)
class LeaseNode:
    """Votes and leases of one process, with the messages that it sends to itself.

    Attributes:
        handed_over: Another process of this dispatcher has taken over; this one sends nothing any more.
    """

    member: VotingMember
    random: Callable[[], float]
    holders: dict[int, LeaseHolder] = field(default_factory=dict)
    handed_over: bool = False

    def want(self, now: float, lease: int) -> list[Action]:
        """Take a lease, and keep it until it is released."""
        if self.handed_over:
            return []
        if lease not in self.holders:
            member = self.member
            self.holders[lease] = LeaseHolder(
                member.own_number, lease, member.council, member.terms, self.random
            )
        return self._route(now, self._holder(lease).want(now))

    def release(self, now: float, lease: int, stay_out: float = 0.0) -> list[Action]:
        """Give a lease up; it is not requested again before `stay_out` seconds are over."""
        holder = self.holders.get(lease)
        return [] if holder is None or self.handed_over else self._route(now, holder.release(now, stay_out))

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[Action]:
        """Take in a message of another member; what is over by now ends before it counts."""
        if self.handed_over:
            return []
        # Whatever it is that comes first after a stop: what is over has ended before it counts.
        done = self.advance(now)
        return done + self._route(now, self._receive(now, sender, message))

    def number_written(self, now: float, write: WriteNumber, well: bool) -> list[Action]:
        """The number of a grant is on the disk, or (`well` is False) could not be written."""
        return [] if self.handed_over else self._route(now, self.member.number_written(now, write, well))

    def advance(self, now: float) -> list[Action]:
        """Do what is due at `now`."""
        if self.handed_over:
            return []
        turns = (self._holder(lease).advance(now) for lease in self.holders)
        return self._route(now, [action for done in turns for action in done])

    def _holder(self, lease: int) -> LeaseHolder:
        """It asks under a number above all that this process has granted itself."""
        holder = self.holders[lease]
        holder.highest_seen = max(
            holder.highest_seen, self.member.highest_granted.get(lease, self.member.floor)
        )
        return holder

    @property
    def next_at(self) -> float:
        """When `advance` has something to do, at the latest; infinite if never."""
        return min((held.next_at for held in self.holders.values()), default=math.inf)

    def adopt(self, now: float, council: Council, terms: LeaseTerms) -> list[Action]:
        """Go on with another council."""
        self.member.adopt(now, council, terms)
        for lease_holder in self.holders.values():
            lease_holder.adopt(council, terms)
        return self._route(now, self.member.announce_council())

    # ---- an upgrade ----------------------------------------------------------------------------------------

    def hand_over(self, now: float, busy: frozenset[int]) -> tuple[list[Action], dict[str, Any]]:
        """Leave votes and leases to another process of this dispatcher.

        From here on this process neither votes nor holds. It gives up what it holds, but for `busy` leases,
        under which an act is under way: these end by their span.

        Returns:
            What to do, and the state for `take_over` of the other process.
        """
        lost: list[Action] = []
        for lease_holder in self.holders.values():
            if lease_holder.lease not in busy:
                lost += self._route(now, lease_holder.release(now))
            elif lease_holder.tenure is not None:
                lost.append(LeaseEnded(lease_holder.lease, lease_holder.tenure.number, "handed over"))
        member = self.member
        votes = [
            [lease, vote.holder, vote.number, vote.round_id, vote.until - now]
            for lease, vote in member.votes.items()
        ]
        state = {
            "votes": votes,
            "highest": list(member.highest_granted.items()),
            "floor": member.floor,
            "silent": member.silent_until - now,
            "moved": member.council_settled_at - now,
            "council": member.council.number,
            "numbers": list(member.council_numbers.items()),
        }
        self.handed_over = True
        self.holders.clear()
        return lost, state

    def take_over(self, now: float, passed: float, state: dict[str, Any]) -> None:
        """Go on with what the other process handed over `passed` seconds ago.

        A vote whose number was being written counts from now.

        Raises:
            ValueError: The state is of another council, or malformed; nothing has changed then. KeyError and
                TypeError say the same.
        """
        member, longest = self.member, self.member.terms.grant_span
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
        member.votes, member.highest_granted, member.floor = (
            votes,
            {**member.highest_granted, **highest},
            floor,
        )
        member.council_numbers, member.council_settled_at = numbers, now + moved - passed
        member.silent_until = now + silent - passed

    # ---- the word with itself ------------------------------------------------------------------------------

    def _receive(self, now: float, sender: int, message: LeaseMessage) -> Iterable[Action | holder.Action]:
        if message.kind not in (GRANT, DENY):
            return self.member.receive(now, sender, message)
        known = message.lease in self.holders
        return self._holder(message.lease).receive(now, sender, message) if known else []

    def _route(self, now: float, actions: Iterable[Action | holder.Action]) -> list[Action]:
        """What goes to others. What goes to this process itself is heard at once."""
        done: list[Action] = []
        waiting = list(actions)
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, SendMessage) and action.to == self.member.own_number:
                waiting += self._receive(now, self.member.own_number, action.message)
            else:
                done.append(action)
        return done


def new_node(
    own: int,
    council: Council,
    terms: LeaseTerms,
    now: float,
    random: Callable[[], float],
    floor: int = 0,
    durable: bool = False,
    highest: dict[int, int] | None = None,
) -> LeaseNode:
    """A process that has just started: whatever its last life granted is over once it speaks."""
    return LeaseNode(
        VotingMember(
            own, council, terms, now + terms.silence, floor, durable, highest_granted=dict(highest or {})
        ),
        random,
    )
