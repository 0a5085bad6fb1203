"""In which order service returns after a start. Pure: `feed(now, event)` tells the phases entered.

Times are seconds of one forward-only clock. `docs/design/recovery.md` says why.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

READING, LISTENING, ASKING, NORMAL = range(4)
NAMES = ("reading", "listening", "asking", "normal")
MOST = {LISTENING: 1.0, ASKING: 0.5}  # seconds in each, at most


@dataclass(frozen=True, slots=True)
class ListenerOpened:
    """The door is open."""


@dataclass(frozen=True, slots=True)
class PeersQueried:
    """These of the others are asked how they are, and discovery for its list."""

    peers: frozenset[int]


@dataclass(frozen=True, slots=True)
class ListReceived:
    """Discovery has told its list."""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    number: int
    stage: int


@dataclass(frozen=True, slots=True)
class ProcessResumed:
    """The process stood still until now; these are asked anew."""

    peers: frozenset[int]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed."""


Event: TypeAlias = ListenerOpened | PeersQueried | ListReceived | PeerAnswered | ProcessResumed | TimePassed


@dataclass(slots=True)
class RecoveryStages:
    """`began`: when the present phase was entered."""

    entered_at: float
    stage: int = READING
    list_received: bool = False
    unanswered: set[int] = field(default_factory=set)  # asked, and not heard yet
    peers_serving: set[int] = field(
        default_factory=set
    )  # heard to be in `normal`: this one has restarted alone

    def feed(self, now: float, event: Event) -> list[int]:
        match event:
            case ListenerOpened() if self.stage == READING:
                return self._enter(now, LISTENING)
            case PeersQueried() if self.stage in (LISTENING, ASKING):  # the disk may have been slow
                self.unanswered = set(event.peers)
                if self.stage == LISTENING:
                    return self._enter(now, ASKING)
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
        """When the phase ends by its bound alone."""
        return self.entered_at + MOST.get(self.stage, float("inf"))

    def _enter(self, now: float, phase: int) -> list[int]:
        self.entered_at, self.stage = now, phase
        return [phase, *self._advance(now)]

    def _advance(self, now: float) -> list[int]:
        over = now >= self.ends_at
        if self.stage == LISTENING and over:
            return self._enter(now, ASKING)
        if self.stage == ASKING and (over or self.list_received and not self.unanswered):
            return self._enter(now, NORMAL)
        return []
