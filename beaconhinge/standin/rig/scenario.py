"""A scenario as data: sizes, a seed, and faults with their times. Pure."""

from __future__ import annotations

import os
import random
import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from ...errors import Error
from ..discovery import Spoil
from ..workers import WorkerFault

DrawnKind = Literal["stop", "kill", "term", "cut", "lossy"]
DRAWN_KINDS: tuple[DrawnKind, ...] = ("stop", "stop", "kill", "term", "cut", "lossy")
MOST_PROCESSES, MOST_BOXES, MOST_SECONDS, MOST_RATE = 40, 200, 600.0, 2000.0


class ScenarioError(Error):
    """A scenario that cannot be played; the text names file and key."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`stop`: SIGSTOP, and SIGCONT after `for_s`. `kill`, `term`: that signal, and a start again after
    `for_s`, with the same or an empty folder. `cut`: datagrams from `who` to `to` are dropped. `lossy`: a
    `part` of all datagrams of `who` is lost, and as many come twice. `discovery`: it is out. `mute`: the
    watches of `who` that are open then fall silent for good. `drain`: so many `boxes` drain for `for_s`, in
    one version. `spoil`: answers of discovery to `who` are spoilt as `how` says. `reload`: SIGHUP. `workers`:
    the last box, beyond those that drain, treats its jobs as `trouble` says.
    """

    at_s: float
    kind: Literal[
        "stop", "kill", "term", "cut", "lossy", "discovery", "mute", "drain", "spoil", "reload", "workers"
    ] = msgspec.field(name="what")
    duration_s: float = msgspec.field(name="for_s")
    # Dispatchers, by number; none: all of them.
    dispatchers: list[int] = msgspec.field(default_factory=list, name="who")
    destinations: list[int] = msgspec.field(default_factory=list, name="to")  # for `cut`; none: all of them
    loss_share: float = msgspec.field(default=0.5, name="part")  # for `lossy`
    workers: int = msgspec.field(default=1, name="boxes")  # for `drain`
    spoil: Spoil = msgspec.field(default=Spoil.NO_ENTRIES, name="how")  # for `spoil`
    worker_fault: WorkerFault = msgspec.field(default=WorkerFault.HANG, name="trouble")  # for `workers`
    folder: Literal["same", "empty", "other", "old"] = "same"  # `other`: a copy; `old`: as before


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times in seconds. `render` jobs are harmless to repeat; a `publish` has a key and may run once."""

    name: str
    seed: int = 1
    processes: int = 5
    workers: int = msgspec.field(default=9, name="boxes")
    deduplication_groups: int = msgspec.field(default=3, name="racks")
    slots: int = 4  # of a box
    rate: float = 60.0  # jobs a second, over all dispatchers
    keyed: float = 0.2  # part of them that is `publish`
    unsafe: float = 0.0  # part of those without a key that are a `transfer`, which must never run twice
    # Part of the clients without a key that close their connection before the answer.
    disconnecting: float = msgspec.field(default=0.0, name="leaving")
    render_s: float = 0.25  # mean run time
    publish_s: float = 1.0
    # That a client waits; three times that for `publish`, over several tries.
    client_timeout_s: float = msgspec.field(default=3.0, name="patience_s")
    seconds: float = 10.0  # in which clients ask
    quota_rps: float = 10.0  # of a second tenant, and how many times that it asks for, in `render`
    over_quota_factor: float = msgspec.field(default=0.0, name="greedy")
    recovery: bool = True
    # Whether an agent of each dispatcher has the list, and what it has counts as told.
    pushed_membership: bool = msgspec.field(default=False, name="pushed")
    store: bool = True  # whether dispatchers keep one in their folder
    stall_s: float = 1.0
    leases: int = 0  # so many, each with a call every `act_s` to a resource that writes down who acts
    lease_span_s: float = msgspec.field(default=1.0, name="span_s")
    lease_act_interval_s: float = msgspec.field(default=0.1, name="act_s")
    ejections_judged: bool = True  # whether the ejection of a worker that is well breaks the scenario
    every_fault_hits: bool = True  # whether a fault that hits nothing breaks the scenario
    system_calls: str = ""  # how those of every second process fail, as `shim.environment` has it
    # Faults more, of every kind, drawn from the seed.
    drawn_faults: int = msgspec.field(default=0, name="drawn")
    faults: list[Fault] = []

    def affected_dispatchers(self, fault: Fault) -> list[int]:
        return fault.dispatchers or list(range(self.processes))

    def problem(self) -> str | None:
        bounds = {
            "processes": (1, MOST_PROCESSES),
            "boxes": (1, MOST_BOXES),
            "racks": (1, self.workers),
            "slots": (1, 64),
            "rate": (0.1, MOST_RATE),
            "seconds": (0.1, MOST_SECONDS),
            "keyed": (0, 1),
            "unsafe": (0, 1),
            "leaving": (0, 1),
            "render_s": (0.001, 60),
            "publish_s": (0.001, 60),
            "patience_s": (0.1, 60),
            "quota_rps": (0.1, MOST_RATE),
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
            if not (0 <= fault.at_s <= self.seconds and 0 < fault.duration_s <= MOST_SECONDS):
                return f"faults[{number}]: at_s must lie within the scenario, for_s be more than 0"
            if fault.kind == "drain" and not 1 <= fault.workers < self.workers:
                return f"faults[{number}]: boxes must be between 1 and {self.workers - 1}"
            if not all(0 <= n < self.processes for n in fault.dispatchers + fault.destinations):
                return f"faults[{number}]: there are dispatchers 0 to {self.processes - 1}"
        return None


def draw_faults(scenario: Scenario) -> Scenario:
    """Its faults, and as many more as it wants drawn: in the first half of it, none longer than two spans,
    so that what holds again in the end can be seen.
    """
    rng, spans = random.Random(f"{scenario.seed}/faults"), scenario.lease_span_s
    found = list(scenario.faults)
    for _ in range(scenario.drawn_faults):
        what = rng.choice(DRAWN_KINDS)
        at = rng.uniform(0.1, 0.5) * scenario.seconds
        who = rng.sample(range(scenario.processes), rng.randint(1, max(1, scenario.processes // 2)))
        if what in ("kill", "term"):
            every = what == "kill" and rng.random() < 0.2
            found.append(
                Fault(
                    at,
                    what,
                    rng.uniform(0.05, 0.5),
                    [] if every else who,
                    folder=rng.choice(("same", "empty")) if what == "kill" else "same",
                )
            )
        elif what == "stop":
            found.append(Fault(at, what, spans * rng.choice((0.33, 0.9, 1.1, 2.0)), who))
        elif what == "cut":
            to = rng.sample(range(scenario.processes), rng.randint(1, scenario.processes))
            found.append(Fault(at, what, spans * rng.uniform(0.5, 2.0), who, to))
        else:
            found.append(Fault(at, what, spans * rng.uniform(1.0, 2.0), loss_share=0.5))
    return msgspec.structs.replace(scenario, faults=found)


def read_scenario(path: str | os.PathLike[str], seed: int | None = None) -> Scenario:
    """Raises ScenarioError."""
    try:
        content = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        scenario = msgspec.convert(content if seed is None else {**content, "seed": seed}, Scenario)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    problem = scenario.problem()
    if problem is not None:
        raise ScenarioError(f"{path}: {problem}")
    return scenario
