"""How one lease is taken, kept and given up. Pure: each call is told the time, and tells what to do."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from .terms import Council, Terms
from .votes import Say
from .wire import ASK, GRANT, NO, RELEASE, RENEW, Message, milliseconds

REPEATS = 3  # times that a question is put to those who have not answered
KEEP, AGAIN = 0.3, 0.1  # parts of the span from a question to the renewal, and to the next try of one
BACK_OFF, BACK_OFF_MOST = 0.005, 0.25  # parts of the span, doubling, that contenders who met wait at most


@dataclass(frozen=True, slots=True)
class Held:
    lease: int
    number: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The tenure is over, and was before this was told: `ended` by its time, or `given up`."""

    lease: int
    number: int
    why: str


Action: TypeAlias = Say | Held | Lost


@dataclass(slots=True)
class Tenure:
    number: int  # only grows from tenure to tenure, whoever holds it
    end: float
    round: int  # in which it was asked for

    def guard(self, now: float, longest: float, drift: float) -> bool:
        """Whether an act that takes `longest` true seconds at most is over before the tenure is."""
        return now + longest * (1 + drift) <= self.end


@dataclass(slots=True)
class Round:
    """A question to all members, and who has answered it."""

    id: int
    number: int
    asked_at: float  # for the first time
    question: Message
    again_at: float
    granted: set[int] = field(default_factory=set)
    refused: dict[int, float] = field(default_factory=dict)  # and for how long it is not worth asking


@dataclass(slots=True)
class Holder:
    """`random` yields numbers from 0 to 1. `next_at` is when `turn` has something to do, at the latest."""

    own: int
    lease: int
    council: Council
    terms: Terms
    random: Callable[[], float]
    wanted: bool = False
    tenure: Tenure | None = None
    round: Round | None = None
    highest: int = 0  # that any member has told
    ask_at: float = 0.0
    failed: int = -1  # the round that failed last
    back_off: float = 0.0

    def want(self, now: float) -> list[Action]:
        if not self.wanted:
            self.wanted, self.ask_at = True, max(self.ask_at, now)
        return self.turn(now)

    def give_up(self, now: float, stay_out: float = 0.0) -> list[Action]:
        """At once, for others to take; not asked for again before `stay_out` is over."""
        self.wanted = False
        # Of a tenure it is when it would have been renewed; of a contender, when it is worth asking again.
        self.ask_at = now + stay_out if self.tenure is not None else max(self.ask_at, now + stay_out)
        return self.turn(now)

    def adopt(self, council: Council, terms: Terms) -> None:
        """A question of the step before is over. The tenure stays, and is renewed by the new members."""
        self.council, self.terms, self.round = council, terms, None

    def turn(self, now: float) -> list[Action]:
        done = self._stand_down(now)
        if not self.wanted:
            return done + self._release("given up")
        if self.round is not None and now >= self.round.asked_at + self.terms.round:
            done += self._failed(now)
        elif self.round is not None and now >= self.round.again_at:
            self.round.again_at += self.terms.round / REPEATS
            heard = self.round.granted | self.round.refused.keys()
            done += [Say(member, self.round.question) for member in sorted(self.council.members - heard)]
        if self.round is None and now >= self.ask_at:
            done += self._ask(now)
        return done

    def hear(self, now: float, sender: int, message: Message) -> list[Action]:
        done = self._stand_down(now)
        if sender in self.council.members and message.kind in (GRANT, NO):
            self.highest = max(self.highest, message.number)
        asked = self.round
        if (
            asked is None
            or message.round != asked.id
            or message.council != self.council.number
            or sender not in self.council.members
            or not self.wanted
        ):
            # An answer to no question, or to an older one; but who refused may say that it is free by now.
            free = message.kind == NO and message.round == self.failed and message.value == 0
            if free and self.wanted and asked is None and self.tenure is None:
                self.ask_at = min(self.ask_at, now + BACK_OFF * self.terms.span * self.random())
            return done
        if message.kind == GRANT and message.number == asked.number:
            asked.granted.add(sender)
            asked.refused.pop(sender, None)
        elif message.kind == NO and sender not in asked.granted:
            asked.refused[sender] = message.value / 1000
        if len(asked.granted) >= self.council.majority:
            return done + self._granted(now, asked)
        if len(asked.refused) > len(self.council.members) - self.council.majority:
            done += self._failed(now)
            if now >= self.ask_at:  # only the number was too low
                done += self._ask(now)
        return done

    @property
    def next_at(self) -> float:
        ends = [self.tenure.end] if self.tenure is not None else []
        if self.wanted:
            asked = self.round
            ends += [self.ask_at] if asked is None else [asked.again_at, asked.asked_at + self.terms.round]
        return min(ends, default=math.inf)

    def _stand_down(self, now: float) -> list[Action]:
        """Before anything else: a process that was stopped finds its tenure over."""
        if self.tenure is None or now < self.tenure.end:
            return []
        number, self.tenure = self.tenure.number, None
        if self.round is not None and self.round.number == number:
            self.round = None  # a tenure that is over is not renewed
            self.ask_at = now
        return [Lost(self.lease, number, "ended")]

    def _release(self, why: str) -> list[Action]:
        """Tell all members, also those that may have granted an open question."""
        done: list[Action] = []
        if self.tenure is not None:
            done.append(Lost(self.lease, self.tenure.number, why))
            done += self._to_all(self._back(self.tenure.round, 1))
        elif self.round is not None:
            done += self._to_all(self._back(self.round.id))
        self.tenure = self.round = None
        return done

    def _back(self, round_: int, held: int = 0) -> Message:
        return Message(RELEASE, self.council.number, round_, self.lease, value=held)

    def _to_all(self, message: Message) -> list[Action]:
        return [Say(member, message) for member in sorted(self.council.members)]

    def _ask(self, now: float) -> list[Action]:
        kind, number = (ASK, self.highest + 1) if self.tenure is None else (RENEW, self.tenure.number)
        question = Message(
            kind,
            self.council.number,
            int(self.random() * 0xFFFFFFFF),
            self.lease,
            number,
            milliseconds(self.terms.span),
        )
        self.round = Round(question.round, number, now, question, now + self.terms.round / REPEATS)
        return self._to_all(question)

    def _granted(self, now: float, asked: Round) -> list[Action]:
        self.round, self.back_off = None, 0.0
        end = asked.asked_at + self.terms.held
        self.ask_at = asked.asked_at + self.terms.span * KEEP * (0.8 + 0.4 * self.random())
        if self.tenure is not None:
            self.tenure.end = max(self.tenure.end, end)
            return []
        if now >= end:  # granted too late to be of use
            self.ask_at = now
            return []
        self.tenure = Tenure(asked.number, end, asked.id)
        return [Held(self.lease, asked.number)]

    def _failed(self, now: float) -> list[Action]:
        """No majority. A renewal is tried again soon; a contender gives back what it got, and waits for as
        long as a majority will refuse it, and a little by chance, so that two do not meet without end.
        """
        asked, self.round = self.round, None
        assert asked is not None
        self.failed = asked.id
        if self.tenure is not None:
            self.ask_at = now + AGAIN * self.terms.span * self.random()
            return []
        if not any(asked.refused.values()) and asked.refused and self.highest >= asked.number:
            self.ask_at = now  # nobody has it; the number was too low, and a higher one is known now
            return self._to_all(self._back(asked.id))
        self.back_off = min(max(2 * self.back_off, BACK_OFF), BACK_OFF_MOST)
        waits = sorted([0.0] * len(asked.granted) + list(asked.refused.values()))
        wait = waits[self.council.majority - 1] if len(waits) >= self.council.majority else 0.0
        spread = self.back_off + (self.terms.spread if wait > 0 else 0.0)
        self.ask_at = max(self.ask_at, now + wait + self.terms.span * spread * self.random())
        return self._to_all(self._back(asked.id))
