"""What all parts of the policy share during one event: settings, time, random draws and actions so far."""

import random
from dataclasses import dataclass, field

from . import interface

MAX_TICK_INTERVAL_S = 0.1
"""Seconds between wake-ups, a tenth of the shortest deadline at most; they cost little."""

SMALL_GROUP_SIZE = 8
"""In a larger group than that a dispatcher has few sends, and an Nth of a budget is less than a job."""

INF = float("inf")


@dataclass(slots=True)
class Context:
    """Inputs and output of the event being handled.

    Attributes:
        settings: Settings of this dispatcher.
        random: The one source of random draws. Their order is part of the behaviour.
        now: Time of the event in seconds.
        actions: Answer to the event so far.
        tick_s: Seconds between housekeeping timers.
        large_group: Whether a dispatcher has too few sends to learn from its own alone.
    """

    settings: interface.Settings
    random: random.Random
    now: float = 0.0
    actions: list[interface.Action] = field(default_factory=list)
    tick_s: float = field(init=False)
    large_group: bool = field(init=False)

    def __post_init__(self) -> None:
        """Derive what follows from the settings alone."""
        deadlines = [c.deadline_s / 10 for c in self.settings.classes if c.deadline_s > 0]
        self.tick_s = min([MAX_TICK_INTERVAL_S, *deadlines])
        self.large_group = self.settings.group_size > SMALL_GROUP_SIZE
