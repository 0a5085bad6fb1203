"""The stages of a start, up to full service: a state machine fed with events.

Times are seconds of one monotonic clock. `docs/design/recovery.md` says why the stages are as they are.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

READING, LISTENING, QUERYING, NORMAL = range(4)
NAMES = ("reading", "listening", "asking", "normal")
MOST = {LISTENING: 1.0, QUERYING: 0.5}  # seconds in each, at most


@dataclass(frozen=True, slots=True)
class ListenerOpened:
    """The listener accepts connections."""


@dataclass(frozen=True, slots=True)
class PeersQueried:
    """These dispatchers have been asked for their stage, and discovery for its list."""

    peers: frozenset[int]


@dataclass(frozen=True, slots=True)
class ListReceived:
    """Discovery has sent its list."""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Another dispatcher has said in which stage it is."""

    number: int
    stage: int


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """The process stood still until now; these dispatchers are asked anew."""

    peers: frozenset[int]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed."""


Event: TypeAlias = ListenerOpened | PeersQueried | ListReceived | PeerAnswered | ProcessResumed | TimePassed


@dataclass(slots=True)
class RecoveryStages:
    """The state machine of a start.

    Attributes:
        entered_at: When the present stage was entered.
        unanswered: Dispatchers that were asked and have not answered.
        peers_serving: Dispatchers known to be in normal service: this one has restarted alone.
    """

    entered_at: float
    stage: int = READING
    list_received: bool = False
    unanswered: set[int] = field(default_factory=set)  # asked, and not heard yet
    peers_serving: set[int] = field(
        default_factory=set
    )  # heard to be in `normal`: this one has restarted alone

    def feed(self, now: float, event: Event) -> list[int]:
        """Take in an event; the stages entered by it, in order."""
        match event:
            case ListenerOpened() if self.stage == READING:
                return self._enter(now, LISTENING)
            case PeersQueried() if self.stage in (LISTENING, QUERYING):  # the disk may have been slow
                self.unanswered = set(event.peers)
                if self.stage == LISTENING:
                    return self._enter(now, QUERYING)
            case ProcessResumed() if LISTENING < self.stage < NORMAL:
                # What was heard before may be of a fleet that has lost its power since.
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
        """When the stage ends by its time limit alone."""
        return self.entered_at + MOST.get(self.stage, float("inf"))

    def _enter(self, now: float, phase: int) -> list[int]:
        self.entered_at, self.stage = now, phase
        return [phase, *self._advance(now)]

    def _advance(self, now: float) -> list[int]:
        over = now >= self.ends_at
        if self.stage == LISTENING and over:
            return self._enter(now, QUERYING)
        if self.stage == QUERYING and (over or self.list_received and not self.unanswered):
            return self._enter(now, NORMAL)
        return []
