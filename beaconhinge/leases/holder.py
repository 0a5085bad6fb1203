"""How one lease is taken, kept and given up. Pure: each call is told the time, and tells what to do."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from .terms import Council, LeaseTerms
from .votes import SendMessage
from .wire import DENY, GRANT, RELEASE, RENEW, REQUEST, LeaseMessage, milliseconds

SENDS_PER_ROUND = 3  # times that a question is put to those who have not answered
# Parts of the span from a question to the renewal, and to the next try of one.
RENEW_AFTER_SPANS = 0.3
RENEW_RETRY_SPANS = 0.1
# Parts of the span, doubling, that contenders who met wait at most.
BACKOFF_FIRST_SPANS = 0.005
BACKOFF_MAX_SPANS = 0.25


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """A tenure of the lease has begun; `number` grows from tenure to tenure."""

    lease: int
    number: int


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The tenure is over, and was before this was reported.

    `reason` is `ended` by its time, `given up` or `handed over`.
    """

    lease: int
    number: int
    reason: str


Action: TypeAlias = SendMessage | LeaseAcquired | LeaseEnded


@dataclass(slots=True)
class Tenure:
    """One holding of the lease by this process, from its grant to `end`."""

    number: int  # only grows from tenure to tenure, whoever holds it
    end: float
    round_id: int  # in which it was asked for

    def covers(self, now: float, longest: float, drift: float) -> bool:
        """Whether an act that takes `longest` true seconds at most is over before the tenure is."""
        return now + longest * (1 + drift) <= self.end


@dataclass(slots=True)
class VotingRound:
    """A request to all members, and who has answered it.

    Attributes:
        requested_at: When it was sent first.
        denied: Members that denied it, each with the seconds for which it is not worth asking again.
    """

    id: int
    number: int
    requested_at: float  # for the first time
    question: LeaseMessage
    resend_at: float
    granted: set[int] = field(default_factory=set)
    denied: dict[int, float] = field(default_factory=dict)  # and for how long it is not worth asking


@dataclass(slots=True)
class LeaseHolder:
    """How this process takes, keeps and gives up one lease.

    Attributes:
        random: Yields numbers from 0 to 1.
        highest_seen: The highest number that any member has reported.
        request_at: When the lease is requested, or renewed, next.
        next_at: When `advance` has something to do, at the latest.
    """

    own_number: int
    lease: int
    council: Council
    terms: LeaseTerms
    random: Callable[[], float]
    wanted: bool = False
    tenure: Tenure | None = None
    voting_round: VotingRound | None = None
    highest_seen: int = 0  # that any member has told
    request_at: float = 0.0
    failed_round_id: int = -1  # the round that failed last
    back_off: float = 0.0

    def want(self, now: float) -> list[Action]:
        """Take the lease, and keep it until it is released."""
        if not self.wanted:
            self.wanted, self.request_at = True, max(self.request_at, now)
        return self.advance(now)

    def release(self, now: float, stay_out: float = 0.0) -> list[Action]:
        """Give the lease up at once; it is not requested again before `stay_out` seconds are over."""
        self.wanted = False
        # Of a tenure it is when it would have been renewed; of a contender, when it is worth asking again.
        self.request_at = now + stay_out if self.tenure is not None else max(self.request_at, now + stay_out)
        return self.advance(now)

    def adopt(self, council: Council, terms: LeaseTerms) -> None:
        """Go on with another council.

        An open request is over, the tenure stays and is renewed by the new one.
        """
        self.council, self.terms, self.voting_round = council, terms, None

    def advance(self, now: float) -> list[Action]:
        """Do what is due at `now`."""
        done = self._expire(now)
        if not self.wanted:
            return done + self._release_now("given up")
        if self.voting_round is not None and now >= self.voting_round.requested_at + self.terms.round_timeout:
            done += self._round_lost(now)
        elif self.voting_round is not None and now >= self.voting_round.resend_at:
            self.voting_round.resend_at += self.terms.round_timeout / SENDS_PER_ROUND
            heard = self.voting_round.granted | self.voting_round.denied.keys()
            done += [
                SendMessage(member, self.voting_round.question)
                for member in sorted(self.council.members - heard)
            ]
        if self.voting_round is None and now >= self.request_at:
            done += self._request(now)
        return done

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[Action]:
        """Take in the answer of a member."""
        done = self._expire(now)
        if sender in self.council.members and message.kind in (GRANT, DENY):
            self.highest_seen = max(self.highest_seen, message.number)
        voting_round = self.voting_round
        if (
            voting_round is None
            or message.round_id != voting_round.id
            or message.council != self.council.number
            or sender not in self.council.members
            or not self.wanted
        ):
            # An answer to no question, or to an older one; but who refused may say that it is free by now.
            free = message.kind == DENY and message.round_id == self.failed_round_id and message.value == 0
            if free and self.wanted and voting_round is None and self.tenure is None:
                self.request_at = min(
                    self.request_at, now + BACKOFF_FIRST_SPANS * self.terms.span * self.random()
                )
            return done
        if message.kind == GRANT and message.number == voting_round.number:
            voting_round.granted.add(sender)
            voting_round.denied.pop(sender, None)
        elif message.kind == DENY and sender not in voting_round.granted:
            voting_round.denied[sender] = message.value / 1000
        if len(voting_round.granted) >= self.council.majority:
            return done + self._round_won(now, voting_round)
        if len(voting_round.denied) > len(self.council.members) - self.council.majority:
            done += self._round_lost(now)
            if now >= self.request_at:  # only the number was too low
                done += self._request(now)
        return done

    @property
    def next_at(self) -> float:
        """When `advance` has something to do, at the latest; infinite if never."""
        ends = [self.tenure.end] if self.tenure is not None else []
        if self.wanted:
            voting_round = self.voting_round
            ends += (
                [self.request_at]
                if voting_round is None
                else [voting_round.resend_at, voting_round.requested_at + self.terms.round_timeout]
            )
        return min(ends, default=math.inf)

    def _expire(self, now: float) -> list[Action]:
        """Before anything else: a process that was stopped finds its tenure over."""
        if self.tenure is None or now < self.tenure.end:
            return []
        number, self.tenure = self.tenure.number, None
        if self.voting_round is not None and self.voting_round.number == number:
            self.voting_round = None  # a tenure that is over is not renewed
            self.request_at = now
        return [LeaseEnded(self.lease, number, "ended")]

    def _release_now(self, why: str) -> list[Action]:
        """Tell all members, also those that may have granted an open question."""
        done: list[Action] = []
        if self.tenure is not None:
            done.append(LeaseEnded(self.lease, self.tenure.number, why))
            done += self._broadcast(self._release_message(self.tenure.round_id, 1))
        elif self.voting_round is not None:
            done += self._broadcast(self._release_message(self.voting_round.id))
        self.tenure = self.voting_round = None
        return done

    def _release_message(self, round_: int, held: int = 0) -> LeaseMessage:
        return LeaseMessage(RELEASE, self.council.number, round_, self.lease, value=held)

    def _broadcast(self, message: LeaseMessage) -> list[Action]:
        return [SendMessage(member, message) for member in sorted(self.council.members)]

    def _request(self, now: float) -> list[Action]:
        kind, number = (
            (REQUEST, self.highest_seen + 1) if self.tenure is None else (RENEW, self.tenure.number)
        )
        question = LeaseMessage(
            kind,
            self.council.number,
            int(self.random() * 0xFFFFFFFF),
            self.lease,
            number,
            milliseconds(self.terms.span),
        )
        self.voting_round = VotingRound(
            question.round_id, number, now, question, now + self.terms.round_timeout / SENDS_PER_ROUND
        )
        return self._broadcast(question)

    def _round_won(self, now: float, voting_round: VotingRound) -> list[Action]:
        self.voting_round, self.back_off = None, 0.0
        end = voting_round.requested_at + self.terms.holder_span
        self.request_at = voting_round.requested_at + self.terms.span * RENEW_AFTER_SPANS * (
            0.8 + 0.4 * self.random()
        )
        if self.tenure is not None:
            self.tenure.end = max(self.tenure.end, end)
            return []
        if now >= end:  # granted too late to be of use
            self.request_at = now
            return []
        self.tenure = Tenure(voting_round.number, end, voting_round.id)
        return [LeaseAcquired(self.lease, voting_round.number)]

    def _round_lost(self, now: float) -> list[Action]:
        """No majority has granted the request.

        A renewal is tried again soon. A contender gives back what it got, and waits for as long as a
        majority will deny it, and a little by chance, so that two do not meet without end.
        """
        voting_round, self.voting_round = self.voting_round, None
        assert voting_round is not None
        self.failed_round_id = voting_round.id
        if self.tenure is not None:
            self.request_at = now + RENEW_RETRY_SPANS * self.terms.span * self.random()
            return []
        if (
            not any(voting_round.denied.values())
            and voting_round.denied
            and self.highest_seen >= voting_round.number
        ):
            self.request_at = now  # nobody has it; the number was too low, and a higher one is known now
            return self._broadcast(self._release_message(voting_round.id))
        self.back_off = min(max(2 * self.back_off, BACKOFF_FIRST_SPANS), BACKOFF_MAX_SPANS)
        waits = sorted([0.0] * len(voting_round.granted) + list(voting_round.denied.values()))
        wait = waits[self.council.majority - 1] if len(waits) >= self.council.majority else 0.0
        spread = self.back_off + (self.terms.spread if wait > 0 else 0.0)
        self.request_at = max(self.request_at, now + wait + self.terms.span * spread * self.random())
        return self._broadcast(self._release_message(voting_round.id))
