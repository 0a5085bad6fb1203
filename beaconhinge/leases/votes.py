"""What a member grants. Pure: `hear` tells what to say, and what to write first."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TypeAlias

from .terms import MOST_LEASES, Council, Terms
from .wire import ASK, GRANT, NO, RELEASE, RENEW, STEP, Message, milliseconds

WAITING = 16  # of those who were refused a lease, that are told when it is given up
SOON = 0.1  # part of the span until it is worth asking again for what another has only just asked for


@dataclass(frozen=True, slots=True)
class Say:
    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class Write:
    """Have that number on the disk, then tell `Member.written`."""

    lease: int
    number: int
    then: Say


Action: TypeAlias = Say | Write


@dataclass(slots=True)
class Vote:
    holder: int
    number: int
    until: float  # infinite while its number is being written
    round: int  # in which it was asked for
    kept: bool = False  # renewed: its holder has a majority, and does not give it back in a moment


@dataclass(slots=True)
class Member:
    """One member's votes. It starts silent, since an earlier life of it may have voted; `floor` is above
    every number that an earlier life can have granted. `durable`: a number is written before it is granted.
    """

    own: int
    council: Council
    terms: Terms
    silent_until: float
    floor: int = 0
    durable: bool = False
    votes: dict[int, Vote] = field(default_factory=dict)
    highest: dict[int, int] = field(default_factory=dict)
    refused: dict[int, dict[int, Message]] = field(default_factory=dict)  # by lease and asker: the question
    numbers: dict[int, int] = field(default_factory=dict)  # of their councils, as members last told
    moved_at: float = math.inf  # when the step before was seen to be over

    def __post_init__(self) -> None:
        self.numbers[self.own] = self.council.number
        if not self.council.before:
            self.moved_at = -math.inf

    def hear(self, now: float, sender: int, message: Message) -> list[Action]:
        if sender in self.council.members | self.council.before:
            self.numbers[sender] = max(message.council, self.numbers.get(sender, 0))
            self._look(now)
        if message.kind in (ASK, RENEW):
            return self._asked(now, sender, message)
        if message.kind == RELEASE:
            vote = self.votes.get(message.lease)
            # By its round: one who failed under a number may have it by now, and its word come late.
            if vote is not None and (vote.holder, vote.round) == (sender, message.round):
                del self.votes[message.lease]
                # Not of a question that failed: more would follow at once, and meet without end.
                waiting = self.refused.pop(message.lease, {}) if message.value else {}
                return [
                    Say(to, self._say(NO, asked, self.highest.get(asked.lease, self.floor)))
                    for to, asked in waiting.items()
                    if to != sender
                ]
        elif message.kind == STEP and message.round:
            return [Say(sender, Message(STEP, self.council.number))]
        return []

    def adopt(self, now: float, council: Council, terms: Terms) -> None:
        """Another step. Votes stay in force, and may be renewed at once."""
        self.council, self.terms = council, terms
        self.numbers[self.own] = council.number
        self.moved_at = math.inf if council.before else -math.inf
        self._look(now)

    def steps(self) -> list[Action]:
        """Who has to hear of the step, until that before it is over."""
        known = self.council.members | self.council.before
        waits = self.moved_at == math.inf
        return [
            Say(member, Message(STEP, self.council.number, 1))
            for member in sorted(known - {self.own})
            if waits
        ]

    def written(self, now: float, write: Write, well: bool) -> list[Action]:
        """Its span begins now. What is not on the disk is not granted, and counts as granted all the same."""
        vote = self.votes.get(write.lease)
        if vote is not None and vote.number == write.number and vote.until == math.inf:
            vote.until = now + self.terms.granted
            return [write.then] if well else []
        return []

    @property
    def voting_at(self) -> float:
        """From when on new tenures are granted; infinite while the step before is not over."""
        return max(self.silent_until, self.moved_at + self.terms.silence)

    def _look(self, now: float) -> None:
        if self.moved_at == math.inf and self.council.moved(self.numbers):
            self.moved_at = now

    def _say(self, kind: int, asked: Message, number: int, left: float = 0.0) -> Message:
        return Message(kind, self.council.number, asked.round, asked.lease, number, milliseconds(left))

    def _asked(self, now: float, sender: int, asked: Message) -> list[Action]:
        highest = self.highest.get(asked.lease, self.floor)
        vote = self.votes.get(asked.lease)
        if vote is not None and now >= vote.until:
            del self.votes[asked.lease]
            vote = None

        def no(left: float) -> list[Action]:
            return [Say(sender, self._say(NO, asked, highest, left))]

        if asked.council != self.council.number or asked.value != milliseconds(self.terms.span):
            return no(self.terms.span)
        if vote is not None:
            # Who starts again under the same name does not have the tenure that its last life had: an act of
            # that one may be under way.
            same = (vote.holder, vote.number) == (sender, asked.number)
            if not same or asked.kind == ASK and vote.round != asked.round:
                waiting = self.refused.setdefault(asked.lease, {})
                if asked.kind == ASK and (sender in waiting or len(waiting) < WAITING):
                    waiting[sender] = asked
                left = vote.until - now if vote.kept else SOON * self.terms.span
                return no(min(left, vote.until - now, self.terms.granted))
            if vote.until == math.inf:
                return []  # asked again while its number is being written
            vote.until, vote.kept = now + self.terms.granted, asked.kind == RENEW
            return [Say(sender, self._say(GRANT, asked, asked.number))]
        if now < self.voting_at:
            return no(min(self.voting_at - now, self.terms.span))
        # A number is granted once: a higher one came later. But who has missed some renewals, and granted
        # nothing since, votes for the tenure again; else it would wear off.
        known = asked.lease in self.highest or len(self.highest) < MOST_LEASES
        if asked.number < highest or asked.number == highest and asked.kind == ASK or not known:
            return no(0.0)
        self.highest[asked.lease] = asked.number
        until = math.inf if self.durable else now + self.terms.granted
        self.votes[asked.lease] = Vote(sender, asked.number, until, asked.round)
        grant = Say(sender, self._say(GRANT, asked, asked.number))
        return [Write(asked.lease, asked.number, grant)] if self.durable else [grant]
