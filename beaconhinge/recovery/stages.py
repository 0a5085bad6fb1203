"""The stages of a start, up to normal service: a state machine that is fed with events.

Times are seconds of one monotonic clock. `docs/design/recovery.md` gives the reasons for the stages.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

READING, LISTENING, QUERYING, NORMAL = range(4)
NAMES = ("reading", "listening", "asking", "normal")
MOST = {LISTENING: 1.0, QUERYING: 0.5}  # maximum duration of a stage in seconds


@dataclass(frozen=True, slots=True)
class ListenerOpened:
    """The listener accepts connections."""


@dataclass(frozen=True, slots=True)
class PeersQueried:
    """These dispatchers have been queried for their stage, and discovery for its list."""

    peers: frozenset[int]


@dataclass(frozen=True, slots=True)
class ListReceived:
    """Discovery has sent its list."""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Another dispatcher has reported its stage."""

    number: int
    stage: int


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """The process has resumed after a stall; these dispatchers are queried again."""

    peers: frozenset[int]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed: a stage may have reached its limit."""


Event: TypeAlias = ListenerOpened | PeersQueried | ListReceived | PeerAnswered | ProcessResumed | TimePassed


@dataclass(slots=True)
class RecoveryStages:
    """The state machine of a start.

    Attributes:
        entered_at: When the present stage was entered, or began again after a stall.
        stage: READING, LISTENING, QUERYING or NORMAL.
        list_received: Discovery has sent its list.
        unanswered: Dispatchers that were queried and have not answered.
        peers_serving: Dispatchers that reported normal service; if there are any, this one restarted alone.
    """

    entered_at: float
    stage: int = READING
    list_received: bool = False
    unanswered: set[int] = field(default_factory=set)
    peers_serving: set[int] = field(default_factory=set)

    def feed(self, now: float, event: Event) -> list[int]:
        """Process an event; return the stages that it entered, in order."""
        match event:
            case ListenerOpened() if self.stage == READING:
                return self._enter(now, LISTENING)
            # The queries may follow only in QUERYING: LISTENING ends by its limit if the disk is slow.
            case PeersQueried() if self.stage in (LISTENING, QUERYING):
                self.unanswered = set(event.peers)
                if self.stage == LISTENING:
                    return self._enter(now, QUERYING)
            case ProcessResumed() if LISTENING < self.stage < NORMAL:
                # Answers from before the stall may be outdated: the whole fleet may have lost power since.
                self.list_received, self.unanswered, self.peers_serving = False, set(event.peers), set()
                self.entered_at = now
            case ListReceived():
                self.list_received = True
            case PeerAnswered():
                self.unanswered.discard(event.number)
                if event.stage == NORMAL:
                    self.peers_serving.add(event.number)
        return self._advance(now)

    @property
    def ends_at(self) -> float:
        """Time at which the stage ends by its limit; infinite if it has none."""
        return self.entered_at + MOST.get(self.stage, float("inf"))

    def _enter(self, now: float, stage: int) -> list[int]:
        self.entered_at, self.stage = now, stage
        return [stage, *self._advance(now)]

    def _advance(self, now: float) -> list[int]:
        over = now >= self.ends_at
        if self.stage == LISTENING and over:
            return self._enter(now, QUERYING)
        if self.stage == QUERYING and (over or self.list_received and not self.unanswered):
            return self._enter(now, NORMAL)
        return []
