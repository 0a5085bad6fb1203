"""What a member grants. Pure: `hear` tells what to say, and what to write first."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TypeAlias

from .terms import MAX_LEASES, Council, LeaseTerms
from .wire import COUNCIL_CHANGE, DENY, GRANT, RELEASE, RENEW, REQUEST, LeaseMessage, milliseconds

MAX_WAITING = 16  # of those who were refused a lease, that are told when it is given up
# Part of the span until it is worth asking again for what another has only just asked for.
UNRENEWED_RETRY_SPANS = 0.1


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member, which may be this process itself."""

    to: int
    message: LeaseMessage


@dataclass(frozen=True, slots=True)
class WriteNumber:
    """Write the number to the disk, then call `VotingMember.number_written`."""

    lease: int
    number: int
    then_send: SendMessage


Action: TypeAlias = SendMessage | WriteNumber


@dataclass(slots=True)
class Vote:
    """A grant that is in force.

    Attributes:
        until: When it ends; infinite while its number is being written.
        round_id: The request that it answers.
        renewed: Its holder has a majority, and does not give it back in a moment.
    """

    holder: int
    number: int
    until: float  # infinite while its number is being written
    round_id: int  # in which it was asked for
    renewed: bool = False  # renewed: its holder has a majority, and does not give it back in a moment


@dataclass(slots=True)
class VotingMember:
    """The votes of one member.

    It starts silent, since an earlier incarnation of it may have voted.

    Attributes:
        floor: Above every number that an earlier incarnation can have granted.
        durable: A number is written before it is granted.
        denied: Requests that were denied, by lease and requester.
        council_numbers: Numbers of their councils, as members last sent them.
        council_settled_at: When the council before was seen to be over.
    """

    own_number: int
    council: Council
    terms: LeaseTerms
    silent_until: float
    floor: int = 0
    durable: bool = False
    votes: dict[int, Vote] = field(default_factory=dict)
    highest_granted: dict[int, int] = field(default_factory=dict)
    # By lease and asker: the question.
    denied: dict[int, dict[int, LeaseMessage]] = field(default_factory=dict)
    council_numbers: dict[int, int] = field(default_factory=dict)  # of their councils, as members last told
    council_settled_at: float = math.inf  # when the step before was seen to be over

    def __post_init__(self) -> None:
        self.council_numbers[self.own_number] = self.council.number
        if not self.council.previous_members:
            self.council_settled_at = -math.inf

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[Action]:
        """Take in a message: what to send, and what to write first."""
        if sender in self.council.members | self.council.previous_members:
            self.council_numbers[sender] = max(message.council, self.council_numbers.get(sender, 0))
            self._check_council(now)
        if message.kind in (REQUEST, RENEW):
            return self._receive_request(now, sender, message)
        if message.kind == RELEASE:
            vote = self.votes.get(message.lease)
            # By its round: one who failed under a number may have it by now, and its word come late.
            if vote is not None and (vote.holder, vote.round_id) == (sender, message.round_id):
                del self.votes[message.lease]
                # Not of a question that failed: more would follow at once, and meet without end.
                waiting = self.denied.pop(message.lease, {}) if message.value else {}
                return [
                    SendMessage(
                        to, self._answer(DENY, asked, self.highest_granted.get(asked.lease, self.floor))
                    )
                    for to, asked in waiting.items()
                    if to != sender
                ]
        elif message.kind == COUNCIL_CHANGE and message.round_id:
            return [SendMessage(sender, LeaseMessage(COUNCIL_CHANGE, self.council.number))]
        return []

    def adopt(self, now: float, council: Council, terms: LeaseTerms) -> None:
        """Go on with another council; votes stay in force, and may be renewed at once."""
        self.council, self.terms = council, terms
        self.council_numbers[self.own_number] = council.number
        self.council_settled_at = math.inf if council.previous_members else -math.inf
        self._check_council(now)

    def announce_council(self) -> list[Action]:
        """Messages to all who have to hear of the council, until the one before is over."""
        known = self.council.members | self.council.previous_members
        waits = self.council_settled_at == math.inf
        return [
            SendMessage(member, LeaseMessage(COUNCIL_CHANGE, self.council.number, 1))
            for member in sorted(known - {self.own_number})
            if waits
        ]

    def number_written(self, now: float, write: WriteNumber, well: bool) -> list[Action]:
        """The span of a grant begins.

        What is not on the disk is not granted, and counts as granted all the same.
        """
        vote = self.votes.get(write.lease)
        if vote is not None and vote.number == write.number and vote.until == math.inf:
            vote.until = now + self.terms.grant_span
            return [write.then_send] if well else []
        return []

    @property
    def voting_at(self) -> float:
        """From when on new tenures are granted; infinite while the council before is not over."""
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

        def no(left: float) -> list[Action]:
            return [SendMessage(sender, self._answer(DENY, request, highest, left))]

        if request.council != self.council.number or request.value != milliseconds(self.terms.span):
            return no(self.terms.span)
        if vote is not None:
            # Who starts again under the same name does not have the tenure that its last life had: an act of
            # that one may be under way.
            same = (vote.holder, vote.number) == (sender, request.number)
            if not same or request.kind == REQUEST and vote.round_id != request.round_id:
                waiting = self.denied.setdefault(request.lease, {})
                if request.kind == REQUEST and (sender in waiting or len(waiting) < MAX_WAITING):
                    waiting[sender] = request
                left = vote.until - now if vote.renewed else UNRENEWED_RETRY_SPANS * self.terms.span
                return no(min(left, vote.until - now, self.terms.grant_span))
            if vote.until == math.inf:
                return []  # asked again while its number is being written
            vote.until, vote.renewed = now + self.terms.grant_span, request.kind == RENEW
            return [SendMessage(sender, self._answer(GRANT, request, request.number))]
        if now < self.voting_at:
            return no(min(self.voting_at - now, self.terms.span))
        # A number is granted once: a higher one came later. But who has missed some renewals, and granted
        # nothing since, votes for the tenure again; else it would wear off.
        known = request.lease in self.highest_granted or len(self.highest_granted) < MAX_LEASES
        if request.number < highest or request.number == highest and request.kind == REQUEST or not known:
            return no(0.0)
        self.highest_granted[request.lease] = request.number
        until = math.inf if self.durable else now + self.terms.grant_span
        self.votes[request.lease] = Vote(sender, request.number, until, request.round_id)
        grant = SendMessage(sender, self._answer(GRANT, request, request.number))
        return [WriteNumber(request.lease, request.number, grant)] if self.durable else [grant]
