"""The record of a run, written while it goes on, and the finished run that the judge reads."""

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
    """A worker's drain, with its times in seconds by the rig's clock.

    Attributes:
        worker: The worker that drained.
        began_at: When discovery's list began to give it as draining.
        ended_at: When the list ceased to do so.
        dispatcher: Number of the only dispatcher whose list gave it as draining; None if all lists did.
    """

    worker: FakeWorker
    began_at: float
    ended_at: float
    dispatcher: int | None = None

    def concerns(self, dispatcher: int) -> bool:
        """Return whether the list of this dispatcher gave the worker as draining."""
        return self.dispatcher in (None, dispatcher)


def ignore_event(_line: str) -> None:
    """Ignore an event; the default for `on_event`."""


@dataclass
class RunRecord:
    """Events and faults of a run. Dictionaries are keyed by the number of the dispatcher that a fault hit.

    Times are seconds by the rig's clock.
    """

    on_event: Callable[[str], None] = ignore_event
    began_at: float = 0.0
    events: list[str] = field(default_factory=list)
    fault_hits: Counter[str] = field(default_factory=Counter)
    exit_statuses: list[int] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    # Times at which watches of a dispatcher fell silent, ascending.
    silent_from: dict[int, list[float]] = field(default_factory=dict)
    discovery_outages: dict[int, list[TimeSpan]] = field(default_factory=dict)
    spoilt_spans: dict[int, list[TimeSpan]] = field(default_factory=dict)
    # Spans in which discovery answered no read of the whole list, though the watch went on.
    unreadable_spans: dict[int, list[TimeSpan]] = field(default_factory=dict)
    # Planned shutdowns of processes, in the order in which they were recorded.
    shutdowns: list[Shutdown] = field(default_factory=list)
    # Spans in which idle clients held connections to a dispatcher.
    crowded_spans: dict[int, list[TimeSpan]] = field(default_factory=dict)
    # Number of jobs without a key of killed processes that workers still ran 2 s after the restart.
    orphaned_jobs: int = 0
    # Most seconds by which a fault that is over ended later than planned.
    faults_late_s: float = 0.0
    lease_acts: list[Act] = field(default_factory=list)
    # Spans in which the rig's own process stood still, and with it all clients, workers and discoveries.
    own_stalls: list[TimeSpan] = field(default_factory=list)

    def log_own_stall(self, since: float, until: float) -> None:
        """Record and log that the rig's own process stood still."""
        self.own_stalls.append((since, until))
        self.log(f"the rig itself has stood still for {until - since:.2f} s")

    def log(self, text: str) -> None:
        """Record an event with its time since the run began, and pass it to `on_event`."""
        line = f"{time.monotonic() - self.began_at:7.2f} s  {text}"
        self.events.append(line)
        self.on_event(line)


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """A run that is over, with all that the judge reads."""

    scenario: Scenario
    topology: Topology
    clients: Clients
    record: RunRecord
    lease_names: list[str]
    peak_memory_bytes: dict[int, int]  # by number of the dispatcher
