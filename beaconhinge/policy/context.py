"""Data that all components of the policy share during one event."""

import random
from dataclasses import dataclass, field

from . import interface

MAX_TICK_INTERVAL_S = 0.1
"""Longest interval of the housekeeping timer, or a tenth of the shortest deadline; a tick costs little."""

SMALL_GROUP_SIZE = 8
"""Largest size of a small group.

In a larger one each dispatcher sends few attempts, and an equal share of a budget is less than a job.
"""

INF = float("inf")


@dataclass(slots=True)
class Context:
    """Inputs and output of the event being handled.

    Attributes:
        settings: Settings of this dispatcher.
        random: The only random number generator. The order of draws is part of the behaviour.
        now: Time of the event in seconds.
        actions: Actions that answer the event, so far.
        tick_s: Seconds between housekeeping timers.
        large_group: Whether the group is so large that a dispatcher can't learn from its own sends alone.
    """

    settings: interface.Settings
    random: random.Random
    now: float = 0.0
    actions: list[interface.Action] = field(default_factory=list)
    tick_s: float = field(init=False)
    large_group: bool = field(init=False)

    def __post_init__(self) -> None:
        """Derive the tick interval and the group's size class from the settings."""
        deadlines = [c.deadline_s / 10 for c in self.settings.classes if c.deadline_s > 0]
        self.tick_s = min([MAX_TICK_INTERVAL_S, *deadlines])
        self.large_group = self.settings.group_size > SMALL_GROUP_SIZE
