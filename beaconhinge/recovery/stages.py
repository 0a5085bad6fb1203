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
class Opened:
    """The door is open."""


@dataclass(frozen=True, slots=True)
class Asked:
    """These of the others are asked how they are, and discovery for its list."""

    others: frozenset[int]


@dataclass(frozen=True, slots=True)
class Listed:
    """Discovery has told its list."""


@dataclass(frozen=True, slots=True)
class Heard:
    number: int
    phase: int


@dataclass(frozen=True, slots=True)
class Woke:
    """The process stood still until now; these are asked anew."""

    others: frozenset[int]


@dataclass(frozen=True, slots=True)
class Turn:
    """Time has passed."""


Event: TypeAlias = Opened | Asked | Listed | Heard | Woke | Turn


@dataclass(slots=True)
class Return:
    """`began`: when the present phase was entered."""

    began: float
    phase: int = READING
    listed: bool = False
    silent: set[int] = field(default_factory=set)  # asked, and not heard yet
    serving: set[int] = field(default_factory=set)  # heard to be in `normal`: this one has restarted alone

    def feed(self, now: float, event: Event) -> list[int]:
        match event:
            case Opened() if self.phase == READING:
                return self._enter(now, LISTENING)
            case Asked() if self.phase in (LISTENING, ASKING):  # the disk may have been slow
                self.silent = set(event.others)
                if self.phase == LISTENING:
                    return self._enter(now, ASKING)
            case Woke() if LISTENING < self.phase < NORMAL:
                # What was heard before may be of a fleet that has lost its power since.
                self.listed, self.silent, self.serving = False, set(event.others), set()
                self.began = now
            case Listed():
                self.listed = True
            case Heard():
                self.silent.discard(event.number)
                if event.phase == NORMAL:
                    self.serving.add(event.number)
        return self._turn(now)

    @property
    def ends_at(self) -> float:
        """When the phase ends by its bound alone."""
        return self.began + MOST.get(self.phase, float("inf"))

    def _enter(self, now: float, phase: int) -> list[int]:
        self.began, self.phase = now, phase
        return [phase, *self._turn(now)]

    def _turn(self, now: float) -> list[int]:
        over = now >= self.ends_at
        if self.phase == LISTENING and over:
            return self._enter(now, ASKING)
        if self.phase == ASKING and (over or self.listed and not self.silent):
            return self._enter(now, NORMAL)
        return []
