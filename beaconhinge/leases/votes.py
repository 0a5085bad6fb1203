"""Decides what a member grants. Pure: `receive` returns messages to send and a number to write first."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TypeAlias

from .terms import MAX_LEASES, Council, LeaseTerms
from .wire import COUNCIL_CHANGE, DENY, GRANT, RELEASE, RENEW, REQUEST, LeaseMessage, milliseconds

MAX_WAITING = 16  # denied contenders for each lease that are notified when it is released
# Spans after which a denied contender may try again while the vote is not renewed yet: its holder may have no
# majority.
UNRENEWED_RETRY_SPANS = 0.1


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member, which may be this process itself."""

    to: int
    message: LeaseMessage


@dataclass(frozen=True, slots=True)
class WriteNumber:
    """Write the number to the disk, then call `VotingMember.number_written`, which returns `then_send`."""

    lease: int
    number: int
    then_send: SendMessage


Action: TypeAlias = SendMessage | WriteNumber


@dataclass(slots=True)
class Vote:
    """A grant that is in force.

    Attributes:
        holder: Number of the dispatcher that it was granted to.
        number: Number of the tenure.
        until: When it ends; infinite while its number is being written.
        round_id: The request that it answers.
        renewed: The holder has renewed it, so it has a majority and will not release it as a failed round.
    """

    holder: int
    number: int
    until: float
    round_id: int
    renewed: bool = False


@dataclass(slots=True)
class VotingMember:
    """The votes of one member.

    At first it grants nothing, since votes of an earlier incarnation of it may be in force.

    Attributes:
        own_number: Number of this dispatcher.
        silent_until: No new tenure is granted before this time.
        floor: Above every number that an earlier incarnation can have granted.
        durable: Whether a number is written to the disk before it is granted.
        votes: The grants in force, by the lease's key.
        highest_granted: The highest number granted for each lease.
        denied: Requests that were denied, by lease and requester; the requesters are notified of a release.
        council_numbers: The council number that each member last sent.
        council_settled_at: When a majority had left the previous council; infinite until then, minus infinity
            if there was none.
    """

    own_number: int
    council: Council
    terms: LeaseTerms
    silent_until: float
    floor: int = 0
    durable: bool = False
    votes: dict[int, Vote] = field(default_factory=dict)
    highest_granted: dict[int, int] = field(default_factory=dict)
    denied: dict[int, dict[int, LeaseMessage]] = field(default_factory=dict)
    council_numbers: dict[int, int] = field(default_factory=dict)
    council_settled_at: float = math.inf

    def __post_init__(self) -> None:
        self.council_numbers[self.own_number] = self.council.number
        if not self.council.previous_members:
            self.council_settled_at = -math.inf

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[Action]:
        """Process a message; return the messages to send and the number to write first."""
        if sender in self.council.members | self.council.previous_members:
            self.council_numbers[sender] = max(message.council, self.council_numbers.get(sender, 0))
            self._check_council(now)
        if message.kind in (REQUEST, RENEW):
            return self._receive_request(now, sender, message)
        if message.kind == RELEASE:
            vote = self.votes.get(message.lease)
            # Match the round, not the number: a contender may have won a number after it failed under it, and
            # the release of the failed round may arrive late.
            if vote is not None and (vote.holder, vote.round_id) == (sender, message.round_id):
                del self.votes[message.lease]
                # Denied contenders are notified only when a tenure ends (value 1). After a failed round they
                # would all request at once and collide again, without end.
                waiting = self.denied.pop(message.lease, {}) if message.value else {}
                return [
                    SendMessage(
                        to,
                        self._answer(
                            DENY, denied_request, self.highest_granted.get(denied_request.lease, self.floor)
                        ),
                    )
                    for to, denied_request in waiting.items()
                    if to != sender
                ]
        elif message.kind == COUNCIL_CHANGE and message.round_id:
            return [SendMessage(sender, LeaseMessage(COUNCIL_CHANGE, self.council.number))]
        return []

    def adopt(self, now: float, council: Council, terms: LeaseTerms) -> None:
        """Use another council from now on; votes stay in force, and may be renewed at once."""
        self.council, self.terms = council, terms
        self.council_numbers[self.own_number] = council.number
        self.council_settled_at = math.inf if council.previous_members else -math.inf
        self._check_council(now)

    def announce_council(self) -> list[Action]:
        """Return the council's announcement to its other members and those of the previous council.

        Empty once a majority has left the previous council.
        """
        receivers = self.council.members | self.council.previous_members
        unsettled = self.council_settled_at == math.inf
        return [
            SendMessage(member, LeaseMessage(COUNCIL_CHANGE, self.council.number, 1))
            for member in sorted(receivers - {self.own_number})
            if unsettled
        ]

    def number_written(self, now: float, write: WriteNumber, succeeded: bool) -> list[Action]:
        """Start the span of a vote whose number was to be written; return its grant.

        A number that could not be written is not granted, but its vote is in force all the same.
        """
        vote = self.votes.get(write.lease)
        if vote is not None and vote.number == write.number and vote.until == math.inf:
            vote.until = now + self.terms.grant_span
            return [write.then_send] if succeeded else []
        return []

    @property
    def voting_at(self) -> float:
        """Time from which new tenures are granted; infinite until a majority left the previous council."""
        return max(self.silent_until, self.council_settled_at + self.terms.silence)

    def _check_council(self, now: float) -> None:
        if self.council_settled_at == math.inf and self.council.is_settled(self.council_numbers):
            self.council_settled_at = now

    def _answer(self, kind: int, request: LeaseMessage, number: int, left: float = 0.0) -> LeaseMessage:
        return LeaseMessage(
            kind, self.council.number, request.round_id, request.lease, number, milliseconds(left)
        )

    def _receive_request(self, now: float, sender: int, request: LeaseMessage) -> list[Action]:
        highest = self.highest_granted.get(request.lease, self.floor)
        vote = self.votes.get(request.lease)
        if vote is not None and now >= vote.until:
            del self.votes[request.lease]
            vote = None

        def deny(left: float) -> list[Action]:
            return [SendMessage(sender, self._answer(DENY, request, highest, left))]

        if request.council != self.council.number or request.value != milliseconds(self.terms.span):
            return deny(self.terms.span)
        if vote is not None:
            # A process that has restarted does not get the tenure of its earlier incarnation again: an act of
            # that one may be in progress.
            same_tenure = (vote.holder, vote.number) == (sender, request.number)
            if not same_tenure or request.kind == REQUEST and vote.round_id != request.round_id:
                waiting = self.denied.setdefault(request.lease, {})
                if request.kind == REQUEST and (sender in waiting or len(waiting) < MAX_WAITING):
                    waiting[sender] = request
                left = vote.until - now if vote.renewed else UNRENEWED_RETRY_SPANS * self.terms.span
                return deny(min(left, vote.until - now, self.terms.grant_span))
            if vote.until == math.inf:
                return []  # the request was sent again while its number is being written
            vote.until, vote.renewed = now + self.terms.grant_span, request.kind == RENEW
            return [SendMessage(sender, self._answer(GRANT, request, request.number))]
        if now < self.voting_at:
            return deny(min(self.voting_at - now, self.terms.span))
        # Each number is granted once, so a request needs a number above the highest. But a member whose vote
        # ended because renewals were lost, and that has granted nothing since, accepts a renewal of that
        # number; else the tenure would lose its votes one after another.
        tracked = request.lease in self.highest_granted or len(self.highest_granted) < MAX_LEASES
        if request.number < highest or request.number == highest and request.kind == REQUEST or not tracked:
            return deny(0.0)
        self.highest_granted[request.lease] = request.number
        until = math.inf if self.durable else now + self.terms.grant_span
        self.votes[request.lease] = Vote(sender, request.number, until, request.round_id)
        grant = SendMessage(sender, self._answer(GRANT, request, request.number))
        return [WriteNumber(request.lease, request.number, grant)] if self.durable else [grant]
