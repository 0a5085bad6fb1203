"""The leases of one process: its vote as a member, its holders, and the messages between the two. Pure."""

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
    """The votes and leases of one process; messages that it sends to itself are delivered at once.

    Attributes:
        member: The votes that this process grants.
        random: Returns numbers from 0 to 1.
        holders: The holder of each lease that this process wants or holds, by the lease's key.
        handed_over: Another process of this dispatcher has taken over; this one sends nothing any more.
    """

    member: VotingMember
    random: Callable[[], float]
    holders: dict[int, LeaseHolder] = field(default_factory=dict)
    handed_over: bool = False

    def want(self, now: float, lease: int) -> list[Action]:
        """Acquire a lease and renew it until `release`; return the actions to perform."""
        if self.handed_over:
            return []
        if lease not in self.holders:
            member = self.member
            self.holders[lease] = LeaseHolder(
                member.own_number, lease, member.council, member.terms, self.random
            )
        return self._route(now, self._holder(lease).want(now))

    def release(self, now: float, lease: int, reacquire_delay: float = 0.0) -> list[Action]:
        """Give a lease up, and don't request it again for `reacquire_delay` seconds; return the actions."""
        holder = self.holders.get(lease)
        return (
            []
            if holder is None or self.handed_over
            else self._route(now, holder.release(now, reacquire_delay))
        )

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[Action]:
        """Process a message of another member; return the actions to perform."""
        if self.handed_over:
            return []
        # The message may be the first event after a stop of the process: expired tenures end first.
        actions = self.advance(now)
        return actions + self._route(now, self._receive(now, sender, message))

    def number_written(self, now: float, write: WriteNumber, succeeded: bool) -> list[Action]:
        """The number of a grant is on the disk, or could not be written; return the actions to perform."""
        return [] if self.handed_over else self._route(now, self.member.number_written(now, write, succeeded))

    def advance(self, now: float) -> list[Action]:
        """Do what is due at `now` for each lease; return the actions to perform."""
        if self.handed_over:
            return []
        action_lists = (self._holder(lease).advance(now) for lease in self.holders)
        return self._route(now, [action for actions in action_lists for action in actions])

    def _holder(self, lease: int) -> LeaseHolder:
        """Return the holder of a lease, after raising its highest number to that granted by this process."""
        holder = self.holders[lease]
        holder.highest_seen = max(
            holder.highest_seen, self.member.highest_granted.get(lease, self.member.floor)
        )
        return holder

    @property
    def next_at(self) -> float:
        """The latest time at which `advance` has to be called; infinite if it need not be."""
        return min((held.next_at for held in self.holders.values()), default=math.inf)

    def adopt(self, now: float, council: Council, terms: LeaseTerms) -> list[Action]:
        """Use another council from now on; return the actions to perform."""
        self.member.adopt(now, council, terms)
        for lease_holder in self.holders.values():
            lease_holder.adopt(council, terms)
        return self._route(now, self.member.announce_council())

    # ---- an upgrade ----------------------------------------------------------------------------------------

    def hand_over(self, now: float, busy: frozenset[int]) -> tuple[list[Action], dict[str, Any]]:
        """Hand votes and leases over to another process of this dispatcher.

        From here on this process neither votes nor holds a lease. It releases the leases that it holds,
        except `busy` ones, under which an act is in progress: these are not released, and end by their span.

        Returns:
            The actions to perform, and the state for `take_over` of the other process.
        """
        actions: list[Action] = []
        for lease_holder in self.holders.values():
            if lease_holder.lease not in busy:
                actions += self._route(now, lease_holder.release(now))
            elif lease_holder.tenure is not None:
                actions.append(LeaseEnded(lease_holder.lease, lease_holder.tenure.number, "handed over"))
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
        return actions, state

    def take_over(self, now: float, elapsed: float, state: dict[str, Any]) -> None:
        """Restore the state that the other process handed over `elapsed` seconds ago.

        The span of a vote whose number was being written starts now.

        Raises:
            ValueError: The state belongs to another council or is malformed; this node is unchanged then.
            KeyError: The same.
            TypeError: The same.
        """
        member, max_left = self.member, self.member.terms.grant_span
        if state["council"] != member.council.number:
            raise ValueError("the handed-over state belongs to another council")
        seconds_left = [
            math.inf if left == math.inf else float(left) - elapsed for *_, left in state["votes"]
        ]
        votes = {
            int(lease): Vote(int(voted_for), int(number), now + min(left, max_left), int(round_))
            for (lease, voted_for, number, round_, _), left in zip(state["votes"], seconds_left, strict=True)
        }
        highest = {int(lease): int(number) for lease, number in state["highest"]}
        numbers = {int(number): int(council) for number, council in state["numbers"]}
        moved, silent, floor = float(state["moved"]), float(state["silent"]), int(state["floor"])
        member.votes, member.highest_granted, member.floor = (
            votes,
            {**member.highest_granted, **highest},
            floor,
        )
        member.council_numbers, member.council_settled_at = numbers, now + moved - elapsed
        member.silent_until = now + silent - elapsed

    # ---- messages, also of this process to itself ----------------------------------------------------------

    def _receive(self, now: float, sender: int, message: LeaseMessage) -> Iterable[Action | holder.Action]:
        if message.kind not in (GRANT, DENY):
            return self.member.receive(now, sender, message)
        has_holder = message.lease in self.holders
        return self._holder(message.lease).receive(now, sender, message) if has_holder else []

    def _route(self, now: float, actions: Iterable[Action | holder.Action]) -> list[Action]:
        """Return the actions for others; messages to this process itself are processed here, in order."""
        remote_actions: list[Action] = []
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            if isinstance(action, SendMessage) and action.to == self.member.own_number:
                queue += self._receive(now, self.member.own_number, action.message)
            else:
                remote_actions.append(action)
        return remote_actions


def new_node(
    own_number: int,
    council: Council,
    terms: LeaseTerms,
    now: float,
    random: Callable[[], float],
    floor: int = 0,
    durable: bool = False,
    highest_granted: dict[int, int] | None = None,
) -> LeaseNode:
    """Return the node of a process that has just started.

    It grants nothing for `terms.silence` seconds, until all votes of its earlier incarnation have ended.
    """
    return LeaseNode(
        VotingMember(
            own_number,
            council,
            terms,
            now + terms.silence,
            floor,
            durable,
            highest_granted=dict(highest_granted or {}),
        ),
        random,
    )
