"""A scenario as data: sizes, a seed, and faults with their times. Pure."""

from __future__ import annotations

import os
import random
import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from ...errors import Error
from ..discovery import ReadFault, Spoil
from ..workers import WorkerFault

FaultKind = Literal[
    "stop",
    "kill",
    "term",
    "restart",
    "cut",
    "lossy",
    "discovery",
    "mute",
    "drain",
    "spoil",
    "reload",
    "workers",
    "crowd",
    "reads",
    "drain-at-read",
]
SeriesSignal = Literal["TERM", "HUP", "USR1", "CONT"]
DrawnKind = Literal["stop", "kill", "term", "cut", "lossy"]
# `stop` is drawn twice as often as each other kind.
DRAWN_KINDS: tuple[DrawnKind, ...] = ("stop", "stop", "kill", "term", "cut", "lossy")
MAX_PROCESSES = 40
MAX_WORKERS = 200
MAX_SCENARIO_S = 600.0
# Jobs a second.
MAX_RATE = 2000.0
# From SIGTERM to SIGKILL at a planned restart: the longest deadline, or this where that is longer ...
MAX_AWAITED_DEADLINE_S = 3.0
# ... and this beside it.
KILL_MARGIN_S = 0.7
# Chance that a drawn kill hits all dispatchers.
KILL_ALL_CHANCE = 0.2


class ScenarioError(Error):
    """A scenario that cannot be run; the text names file and key."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, with its time. The attributes carry other names in files, which stand in brackets.

    Kinds: `stop`: SIGSTOP, and SIGCONT after the duration. `kill`, `term`: that signal, and a start again
    after the duration, with the same, an empty or another folder. `restart`: SIGTERM, further signals,
    SIGKILL as early as the platform has it, and a start again after the duration. `cut`: datagrams to the
    destinations are dropped. `lossy`: a share of all datagrams is lost, and as many come twice. `discovery`:
    it is out. `mute`: the watches that are open fall silent for good. `drain`: the first workers drain, in
    one version of the list. `spoil`: answers of discovery are spoilt. `reload`: SIGHUP. `workers`: the last
    worker that has no fault yet treats its jobs as the worker fault says. `crowd`: idle clients hold as many
    connections as they get. `reads`: calls to discovery for the whole list are treated as the read fault
    says. `drain-at-read`: the last workers drain, at each dispatcher by itself, just after it has made such a
    call.

    Attributes:
        at_s: Seconds from the scenario's beginning.
        kind: What happens [what].
        duration_s: Seconds that it lasts [for_s].
        dispatchers: Numbers of those that it meets; none: all [who].
        destinations: For `cut`, numbers; none: all [to].
        loss_share: For `lossy`, a part of 1 [part].
        workers: For `drain` and `drain-at-read`, how many [boxes].
        read_fault: For `reads`.
        spoil: For `spoil` [how].
        worker_fault: For `workers` [trouble].
        signals: For `restart`, sent after SIGTERM.
        signal_gap_s: Seconds between these.
        connections: For `crowd`, how many at each dispatcher.
        folder: For `kill`: `other` is a copy of another's store, `old` its own as it was before the scenario.
    """

    at_s: float
    kind: FaultKind = msgspec.field(name="what")
    duration_s: float = msgspec.field(name="for_s")

    dispatchers: list[int] = msgspec.field(default_factory=list, name="who")
    destinations: list[int] = msgspec.field(default_factory=list, name="to")
    loss_share: float = msgspec.field(default=0.5, name="part")
    workers: int = msgspec.field(default=1, name="boxes")
    spoil: Spoil = msgspec.field(default=Spoil.NO_ENTRIES, name="how")
    read_fault: ReadFault = ReadFault.LATE
    worker_fault: WorkerFault = msgspec.field(default=WorkerFault.HANG, name="trouble")
    folder: Literal["same", "empty", "other", "old"] = "same"
    signals: list[SeriesSignal] = msgspec.field(default_factory=list)
    signal_gap_s: float = 0.1
    connections: int = 100


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes, rates and faults of one run; times in seconds, file keys of other names in brackets.

    Jobs of the class `render` are harmless to repeat; a `publish` has a key and may run once; a `transfer`
    must never run twice.

    Attributes:
        workers: How many [boxes].
        deduplication_groups: Of workers that share what keys they have seen [racks].
        slots: Of a worker.
        rate: Jobs a second, over all dispatchers.
        keyed: Share of the jobs that is `publish`.
        unsafe: Share of those without a key that is `transfer`.
        disconnecting: Share of those without a key whose client disconnects before the answer [leaving].
        render_s: Mean run time; so is `publish_s`, which holds for `transfer` too.
        client_timeout_s: That a client waits; three times that for `publish`, over several attempts
            [patience_s].
        seconds: In which clients send jobs.
        quota_rps: Of a second tenant.
        over_quota_factor: How many times its quota the second tenant asks for, in `render` [greedy].
        pushed_membership: Whether an agent of each dispatcher has the list, and what it has counts as
            notified [pushed].
        store: Whether dispatchers keep one in their folder.
        leases: How many, each with a call on a resource that writes down who acts.
        lease_span_s: Of each lease [span_s].
        lease_act_interval_s: Between two acts of a holder [act_s].
        ejections_judged: Whether the ejection of a healthy worker breaks the scenario.
        every_fault_hits: Whether a fault that hits nothing breaks the scenario.
        front: Whether clients come through a front, which opens no connection to a dispatcher that has had
            SIGTERM for 0.4 s or is known to be down, and sends what found nobody to another one.
        longest_deadline_s: Of all classes; 0: as the settings have them. Clients wait no longer.
        sockets: Limit of each dispatcher; 0: as the platform has it.
        system_calls: How those of every second process fail, as `shim.environment` has it.
        drawn_faults: How many more, of every kind, are drawn from the seed [drawn].
    """

    name: str
    seed: int = 1
    processes: int = 5
    workers: int = msgspec.field(default=9, name="boxes")
    deduplication_groups: int = msgspec.field(default=3, name="racks")
    slots: int = 4
    rate: float = 60.0
    keyed: float = 0.2
    unsafe: float = 0.0

    disconnecting: float = msgspec.field(default=0.0, name="leaving")
    render_s: float = 0.25
    publish_s: float = 1.0

    client_timeout_s: float = msgspec.field(default=3.0, name="patience_s")
    seconds: float = 10.0
    quota_rps: float = 10.0
    over_quota_factor: float = msgspec.field(default=0.0, name="greedy")
    recovery: bool = True

    pushed_membership: bool = msgspec.field(default=False, name="pushed")
    store: bool = True
    stall_s: float = 1.0
    leases: int = 0
    lease_span_s: float = msgspec.field(default=1.0, name="span_s")
    lease_act_interval_s: float = msgspec.field(default=0.1, name="act_s")
    ejections_judged: bool = True
    every_fault_hits: bool = True
    system_calls: str = ""
    front: bool = False
    longest_deadline_s: float = 0.0
    sockets: int = 0

    drawn_faults: int = msgspec.field(default=0, name="drawn")
    faults: list[Fault] = []

    @property
    def kill_after_s(self) -> float:
        """Seconds from SIGTERM to SIGKILL at a planned restart."""
        longest_s = self.longest_deadline_s or MAX_AWAITED_DEADLINE_S
        return min(longest_s, MAX_AWAITED_DEADLINE_S) + KILL_MARGIN_S

    def affected_dispatchers(self, fault: Fault) -> list[int]:
        """Return the numbers of the dispatchers that a fault meets."""
        return fault.dispatchers or list(range(self.processes))

    def problem(self) -> str | None:
        """Return what is wrong with the sizes and faults, by file key; None if nothing is."""
        bounds = {
            "processes": (1, MAX_PROCESSES),
            "boxes": (1, MAX_WORKERS),
            "racks": (1, self.workers),
            "slots": (1, 64),
            "rate": (0.1, MAX_RATE),
            "seconds": (0.1, MAX_SCENARIO_S),
            "keyed": (0, 1),
            "unsafe": (0, 1),
            "leaving": (0, 1),
            "render_s": (0.001, 60),
            "publish_s": (0.001, 60),
            "patience_s": (0.1, 60),
            "quota_rps": (0.1, MAX_RATE),
            "greedy": (0, 10),
            "span_s": (0.5, 60),
            "act_s": (0.05, 60),
            "drawn": (0, 100),
            "leases": (0, 20),
        }
        names = {field.encode_name: field.name for field in msgspec.structs.fields(self)}
        for key, (least, most) in bounds.items():
            if not least <= getattr(self, names[key]) <= most:
                return f"{key}: must be between {least} and {most}"
        for number, fault in enumerate(self.faults):
            if not (0 <= fault.at_s <= self.seconds and 0 < fault.duration_s <= MAX_SCENARIO_S):
                return f"faults[{number}]: at_s must lie within the scenario, for_s be more than 0"
            if fault.kind in ("drain", "drain-at-read") and not 1 <= fault.workers < self.workers:
                return f"faults[{number}]: boxes must be between 1 and {self.workers - 1}"
            if not all(0 <= n < self.processes for n in fault.dispatchers + fault.destinations):
                return f"faults[{number}]: there are dispatchers 0 to {self.processes - 1}"
        return None


def draw_faults(scenario: Scenario) -> Scenario:
    """Return the scenario with as many more faults as it wants drawn from its seed.

    They begin in its first half and last at most two lease spans, so that what holds again in the end can be
    seen.
    """
    rng, lease_span = random.Random(f"{scenario.seed}/faults"), scenario.lease_span_s
    found = list(scenario.faults)
    for _ in range(scenario.drawn_faults):
        kind = rng.choice(DRAWN_KINDS)
        at = rng.uniform(0.1, 0.5) * scenario.seconds
        who = rng.sample(range(scenario.processes), rng.randint(1, max(1, scenario.processes // 2)))
        if kind in ("kill", "term"):
            hits_all = kind == "kill" and rng.random() < KILL_ALL_CHANCE
            found.append(
                Fault(
                    at,
                    kind,
                    rng.uniform(0.05, 0.5),
                    [] if hits_all else who,
                    folder=rng.choice(("same", "empty")) if kind == "kill" else "same",
                )
            )
        elif kind == "stop":
            found.append(Fault(at, kind, lease_span * rng.choice((0.33, 0.9, 1.1, 2.0)), who))
        elif kind == "cut":
            to = rng.sample(range(scenario.processes), rng.randint(1, scenario.processes))
            found.append(Fault(at, kind, lease_span * rng.uniform(0.5, 2.0), who, to))
        else:
            found.append(Fault(at, kind, lease_span * rng.uniform(1.0, 2.0), loss_share=0.5))
    return msgspec.structs.replace(scenario, faults=found)


def read_scenario(path: str | os.PathLike[str], seed: int | None = None) -> Scenario:
    """Read a scenario from a TOML file, with another seed if one is given.

    Raises:
        ScenarioError: The file can't be read, or does not hold a scenario.
    """
    try:
        content = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        scenario = msgspec.convert(content if seed is None else {**content, "seed": seed}, Scenario)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    problem = scenario.problem()
    if problem is not None:
        raise ScenarioError(f"{path}: {problem}")
    return scenario
