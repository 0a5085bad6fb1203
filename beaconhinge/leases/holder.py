"""Acquires, renews and releases one lease. Pure: each call takes the time and returns the actions to do."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from .terms import Council, LeaseTerms
from .votes import SendMessage
from .wire import DENY, GRANT, RELEASE, RENEW, REQUEST, LeaseMessage, milliseconds

SENDS_PER_ROUND = 3  # times that a request is sent to members that have not answered
RENEW_AFTER_SPANS = 0.3  # spans from the request of a successful round to the next renewal
RENEW_RETRY_SPANS = 0.1  # spans until a failed renewal is tried again, at most
# Spans that a contender waits at most after a round without a majority; doubles from the first to the max.
BACKOFF_FIRST_SPANS = 0.005
BACKOFF_MAX_SPANS = 0.25


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """A tenure of the lease has begun; `number` is greater than that of every earlier tenure."""

    lease: int
    number: int


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The tenure is over; it ended before this action was returned.

    `reason` is `ended` (its time ran out), `given up` or `handed over`.
    """

    lease: int
    number: int
    reason: str


Action: TypeAlias = SendMessage | LeaseAcquired | LeaseEnded


@dataclass(slots=True)
class Tenure:
    """One period in which this process holds the lease, from its grant to `end`.

    Attributes:
        number: Greater than the number of every earlier tenure, whichever process had it.
        end: Time of this process's clock at which it ends unless renewed.
        round_id: The voting round that granted it.
    """

    number: int
    end: float
    round_id: int

    def covers(self, now: float, max_duration: float, drift: float) -> bool:
        """Return whether an act that begins now is over before the tenure ends.

        Args:
            now: Time of this process's clock.
            max_duration: The act's longest duration in seconds of true time.
            drift: Share by which the clock may run fast.
        """
        return now + max_duration * (1 + drift) <= self.end


@dataclass(slots=True)
class VotingRound:
    """A request to all members and their answers.

    Attributes:
        id: Random; answers repeat it.
        number: The tenure's number that is requested or renewed.
        requested_at: When the request was first sent.
        resend_at: When the request is sent again to members that have not answered.
        granted: Members that granted it.
        denied: Members that denied it, each with the seconds after which a new request may succeed.
    """

    id: int
    number: int
    requested_at: float
    request: LeaseMessage
    resend_at: float
    granted: set[int] = field(default_factory=set)
    denied: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class LeaseHolder:
    """Acquires, renews and releases one lease for this process.

    Attributes:
        own_number: Number of this dispatcher.
        lease: Key of the lease in messages.
        random: Returns numbers from 0 to 1.
        wanted: The lease is to be acquired and kept.
        highest_seen: The highest tenure number that any member has reported.
        request_at: When the lease is next requested or renewed.
        failed_round_id: The voting round that failed last; -1 before the first.
        back_off: Spans that a contender waits at most after the last failed round.
    """

    own_number: int
    lease: int
    council: Council
    terms: LeaseTerms
    random: Callable[[], float]
    wanted: bool = False
    tenure: Tenure | None = None
    voting_round: VotingRound | None = None
    highest_seen: int = 0
    request_at: float = 0.0
    failed_round_id: int = -1
    back_off: float = 0.0

    def want(self, now: float) -> list[Action]:
        """Acquire the lease and renew it until `release`; return the actions due now."""
        if not self.wanted:
            self.wanted, self.request_at = True, max(self.request_at, now)
        return self.advance(now)

    def release(self, now: float, reacquire_delay: float = 0.0) -> list[Action]:
        """Give the lease up now; return the actions to perform.

        It is not requested again before `reacquire_delay` seconds are over.
        """
        self.wanted = False
        # For a holder, `request_at` is its next renewal and no longer matters; for a contender it is the
        # earliest time at which a request may succeed, and is kept.
        self.request_at = (
            now + reacquire_delay if self.tenure is not None else max(self.request_at, now + reacquire_delay)
        )
        return self.advance(now)

    def adopt(self, council: Council, terms: LeaseTerms) -> None:
        """Use another council from now on.

        An open voting round is dropped. The tenure stays, and the new council renews it.
        """
        self.council, self.terms, self.voting_round = council, terms, None

    def advance(self, now: float) -> list[Action]:
        """Expire, renew, resend or request, as due at `now`; return the actions to perform."""
        actions = self._expire(now)
        if not self.wanted:
            return actions + self._release_now("given up")
        if self.voting_round is not None and now >= self.voting_round.requested_at + self.terms.round_timeout:
            actions += self._round_lost(now)
        elif self.voting_round is not None and now >= self.voting_round.resend_at:
            self.voting_round.resend_at += self.terms.round_timeout / SENDS_PER_ROUND
            answered = self.voting_round.granted | self.voting_round.denied.keys()
            actions += [
                SendMessage(member, self.voting_round.request)
                for member in sorted(self.council.members - answered)
            ]
        if self.voting_round is None and now >= self.request_at:
            actions += self._request(now)
        return actions

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[Action]:
        """Process a member's answer; return the actions to perform."""
        actions = self._expire(now)
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
            # The answer belongs to no open round. But a member that denied the last failed round may report
            # later, by a value of 0, that the lease is free: then it is requested sooner.
            free = message.kind == DENY and message.round_id == self.failed_round_id and message.value == 0
            if free and self.wanted and voting_round is None and self.tenure is None:
                self.request_at = min(
                    self.request_at, now + BACKOFF_FIRST_SPANS * self.terms.span * self.random()
                )
            return actions
        if message.kind == GRANT and message.number == voting_round.number:
            voting_round.granted.add(sender)
            voting_round.denied.pop(sender, None)
        elif message.kind == DENY and sender not in voting_round.granted:
            voting_round.denied[sender] = message.value / 1000
        if len(voting_round.granted) >= self.council.majority:
            return actions + self._round_won(now, voting_round)
        if len(voting_round.denied) > len(self.council.members) - self.council.majority:
            actions += self._round_lost(now)
            if now >= self.request_at:  # the lease is free, only the requested number was too low
                actions += self._request(now)
        return actions

    @property
    def next_at(self) -> float:
        """The latest time at which `advance` has to be called; infinite if it need not be."""
        times = [self.tenure.end] if self.tenure is not None else []
        if self.wanted:
            voting_round = self.voting_round
            times += (
                [self.request_at]
                if voting_round is None
                else [voting_round.resend_at, voting_round.requested_at + self.terms.round_timeout]
            )
        return min(times, default=math.inf)

    def _expire(self, now: float) -> list[Action]:
        """End the tenure if its time is over.

        Runs before anything else in each call, since the process may have been stopped.
        """
        if self.tenure is None or now < self.tenure.end:
            return []
        number, self.tenure = self.tenure.number, None
        if self.voting_round is not None and self.voting_round.number == number:
            self.voting_round = None  # a renewal ends with its tenure
            self.request_at = now
        return [LeaseEnded(self.lease, number, "ended")]

    def _release_now(self, why: str) -> list[Action]:
        """End the tenure or the open round; return the actions to perform.

        A release goes to all members, since any of them may have granted the open request.
        """
        actions: list[Action] = []
        if self.tenure is not None:
            actions.append(LeaseEnded(self.lease, self.tenure.number, why))
            actions += self._broadcast(self._release_message(self.tenure.round_id, 1))
        elif self.voting_round is not None:
            actions += self._broadcast(self._release_message(self.voting_round.id))
        self.tenure = self.voting_round = None
        return actions

    def _release_message(self, round_: int, held: int = 0) -> LeaseMessage:
        return LeaseMessage(RELEASE, self.council.number, round_, self.lease, value=held)

    def _broadcast(self, message: LeaseMessage) -> list[Action]:
        return [SendMessage(member, message) for member in sorted(self.council.members)]

    def _request(self, now: float) -> list[Action]:
        kind, number = (
            (REQUEST, self.highest_seen + 1) if self.tenure is None else (RENEW, self.tenure.number)
        )
        request = LeaseMessage(
            kind,
            self.council.number,
            int(self.random() * 0xFFFFFFFF),
            self.lease,
            number,
            milliseconds(self.terms.span),
        )
        self.voting_round = VotingRound(
            request.round_id, number, now, request, now + self.terms.round_timeout / SENDS_PER_ROUND
        )
        return self._broadcast(request)

    def _round_won(self, now: float, voting_round: VotingRound) -> list[Action]:
        self.voting_round, self.back_off = None, 0.0
        end = voting_round.requested_at + self.terms.holder_span
        self.request_at = voting_round.requested_at + self.terms.span * RENEW_AFTER_SPANS * (
            0.8 + 0.4 * self.random()
        )
        if self.tenure is not None:
            self.tenure.end = max(self.tenure.end, end)
            return []
        if now >= end:  # the majority's grants arrived too late to use
            self.request_at = now
            return []
        self.tenure = Tenure(voting_round.number, end, voting_round.id)
        return [LeaseAcquired(self.lease, voting_round.number)]

    def _round_lost(self, now: float) -> list[Action]:
        """End a round in which no majority granted the request.

        A holder retries its renewal soon. A contender releases the grants that it got, and waits until a
        majority may grant the lease, plus a random back-off so that two contenders do not collide forever.
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
            # The lease is free: the number was too low, and the answers have reported a higher one.
            self.request_at = now
            return self._broadcast(self._release_message(voting_round.id))
        self.back_off = min(max(2 * self.back_off, BACKOFF_FIRST_SPANS), BACKOFF_MAX_SPANS)
        waits = sorted([0.0] * len(voting_round.granted) + list(voting_round.denied.values()))
        wait = waits[self.council.majority - 1] if len(waits) >= self.council.majority else 0.0
        spread = self.back_off + (self.terms.spread if wait > 0 else 0.0)
        self.request_at = max(self.request_at, now + wait + self.terms.span * spread * self.random())
        return self._broadcast(self._release_message(voting_round.id))
