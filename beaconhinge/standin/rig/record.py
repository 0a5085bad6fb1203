"""What is recorded of a run while it goes on, and all that the judge reads once it is over."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..workers import FakeWorker
from .clients import Clients
from .process import Shutdown
from .scenario import Scenario
from .topology import Topology
from .verdict import Act, TimeSpan


@dataclass(frozen=True, slots=True)
class Drain:
    """A worker that drained, and from when to when. Seconds of the rig's clock.

    Attributes:
        dispatcher: The one whose list said so; None if all of them did.
    """

    worker: FakeWorker
    began_at: float
    ended_at: float
    dispatcher: int | None = None

    def concerns(self, dispatcher: int) -> bool:
        """Whether a dispatcher's list said so."""
        return self.dispatcher in (None, dispatcher)


def ignore_event(_line: str) -> None:
    """Take no notice of an event."""


@dataclass
class RunRecord:
    """Events and faults of a run, by number of the dispatcher where they meet one.

    Times are seconds of the rig's clock.
    """

    on_event: Callable[[str], None] = ignore_event
    began_at: float = 0.0
    events: list[str] = field(default_factory=list)
    fault_hits: Counter[str] = field(default_factory=Counter)
    exit_statuses: list[int] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    # When watches of a dispatcher fell silent, in their order.
    silent_from: dict[int, list[float]] = field(default_factory=dict)
    discovery_outages: dict[int, list[TimeSpan]] = field(default_factory=dict)
    spoilt_spans: dict[int, list[TimeSpan]] = field(default_factory=dict)
    # When discovery gave a dispatcher no whole list, though its watch went on.
    unreadable_spans: dict[int, list[TimeSpan]] = field(default_factory=dict)
    # Planned ends of processes, in their order.
    shutdowns: list[Shutdown] = field(default_factory=list)
    # When idle clients held connections, by number of the dispatcher.
    crowded_spans: dict[int, list[TimeSpan]] = field(default_factory=dict)
    # Plain jobs of a killed process that workers still ran some time after its return.
    orphaned_jobs: int = 0
    # Seconds by which a fault that is over ended later than planned.
    faults_late_s: float = 0.0
    lease_acts: list[Act] = field(default_factory=list)
    # When the rig's own process stood still, and with it all clients, workers and discoveries.
    own_stalls: list[TimeSpan] = field(default_factory=list)

    def log_own_stall(self, since: float, until: float) -> None:
        """Write down that the rig's own process stood still."""
        self.own_stalls.append((since, until))
        self.log(f"the rig itself has stood still for {until - since:.2f} s")

    def log(self, text: str) -> None:
        """Write down an event with its time since the run began."""
        line = f"{time.monotonic() - self.began_at:7.2f} s  {text}"
        self.events.append(line)
        self.on_event(line)


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """A run that is over, as the judge gets it."""

    scenario: Scenario
    topology: Topology
    clients: Clients
    record: RunRecord
    lease_names: list[str]
