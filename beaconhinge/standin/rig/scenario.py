"""A scenario as data: sizes, rates, a seed, and faults with their times. Pure."""

from __future__ import annotations

import os
import random
import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from ...errors import Error
from ..discovery import ReadFault, Spoil
from ..workers import LostMessage, WorkerFault
from .floods import Flood

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
    "flood",
    "crowded-discovery",
    "lost-messages",
]
SeriesSignal = Literal["TERM", "HUP", "USR1", "CONT"]
DrawnKind = Literal["stop", "kill", "term", "cut", "lossy"]
# `stop` is drawn twice as often as each other kind.
DRAWN_KINDS: tuple[DrawnKind, ...] = ("stop", "stop", "kill", "term", "cut", "lossy")
MAX_PROCESSES = 40
MAX_WORKERS = 200
MAX_SCENARIO_S = 600.0
# Jobs per second.
MAX_RATE = 2000.0
# At a planned restart, SIGKILL follows SIGTERM after the longest deadline, but at most after this time, ...
MAX_AWAITED_DEADLINE_S = 3.0
# ... plus this margin.
KILL_MARGIN_S = 0.7
# Probability that a drawn kill hits all dispatchers.
KILL_ALL_CHANCE = 0.2


class ScenarioError(Error):
    """The scenario cannot be run; the text names the file and the key."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, with its time. An attribute that has another name in files gives that name in brackets.

    Kinds:
        `stop`: SIGSTOP, and SIGCONT after the duration.
        `kill`, `term`: That signal, and a restart after the duration; after `kill` with the same folder, an
            empty one, or another store.
        `restart`: SIGTERM, further signals, SIGKILL as early as the platform sends it, and a restart after
            the duration.
        `cut`: Datagrams to the destinations are dropped.
        `lossy`: A share of all datagrams is lost, and the same share is sent twice.
        `discovery`: Discovery is unavailable.
        `mute`: The open watches fall silent for good.
        `drain`: The first workers drain, all in one version of the list.
        `spoil`: Answers of discovery are spoilt.
        `reload`: SIGHUP.
        `workers`: The last worker that has no fault yet treats its jobs as the worker fault says.
        `crowd`: Clients that are idle, or stop in a message, hold as many connections as they get.
        `reads`: Reads of the whole list from discovery are treated as the read fault says.
        `flood`: Bad clients send without end what a dispatcher must not keep, as the flood says.
        `crowded-discovery`: Each call to discovery waits for its turn for too long, and is refused then.
        `lost-messages`: Messages between workers and dispatchers get lost.
        `drain-at-read`: The last workers drain in the list of each dispatcher just after its next read of the
            whole list.

    Attributes:
        at_s: Seconds from the scenario's beginning to the fault's.
        kind: Kind of the fault [what].
        duration_s: Duration of the fault in seconds [for_s].
        dispatchers: Numbers of the dispatchers that the fault hits; empty for all [who].
        destinations: For `cut`, numbers of the receiving dispatchers; empty for all [to].
        loss_share: For `lossy`, the share of datagrams lost, from 0 to 1 [part].
        workers: For `drain` and `drain-at-read`, the number of workers [boxes].
        read_fault: For `reads`, how reads are treated.
        spoil: For `spoil`, how answers are spoilt [how].
        worker_fault: For `workers`, how jobs are treated [trouble].
        signals: For `restart`, the signals sent after SIGTERM.
        signal_gap_s: Seconds from SIGTERM to the first of `signals`, and between two of them.
        connections: For `crowd`, the number of connections tried at each dispatcher; for `flood`, that of the
            clients that flood it.
        half_sent: For `crowd`, whether its clients send a whole message and stop in the middle of another.
        flood: For `flood`, what is sent.
        lost_message: For `lost-messages`, which messages.
        folder: For `kill`, the folder of the restarted process. `other` has a copy of another process's
            store, `old` has its own store as it was before the scenario.
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
    half_sent: bool = False
    flood: Flood = Flood.HEADERS
    lost_message: LostMessage = LostMessage.WITHDRAWAL


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes, rates and faults of one run. Keys that have another name in files are given in brackets.

    Jobs of the class `render` may be retried; a `publish` has a key and may run once; a `transfer` must never
    run twice.

    Attributes:
        workers: Number of workers [boxes].
        deduplication_groups: Number of groups of workers that share which keys they have seen [racks].
        slots: Slots of each worker.
        rate: Jobs per second, over all dispatchers.
        keyed: Share of the jobs that are `publish`.
        unsafe: Share of the jobs without a key that are `transfer`.
        disconnecting: Share of the jobs without a key whose client disconnects before the answer [leaving].
        render_s: Mean run time of `render` in seconds.
        publish_s: Mean run time of `publish` and `transfer` in seconds.
        client_timeout_s: Seconds that a client waits for a job; three times that for a `publish`, over
            several attempts [patience_s].
        seconds: Seconds in which clients send jobs.
        quota_rps: Quota of a second tenant, in jobs per second.
        over_quota_factor: Rate of the second tenant's jobs, in multiples of its quota; none is a `publish`
            [greedy].
        pushed_membership: Whether each dispatcher has an agent that holds the list. What the agent holds
            counts as notified [pushed].
        store: Whether each dispatcher has a store in its folder.
        leases: Number of leases, each with a call on a resource that records who acts.
        lease_span_s: Span of each lease in seconds [span_s].
        lease_act_interval_s: Seconds between two acts of a holder [act_s].
        ejections_judged: Whether the ejection of a healthy worker breaks a rule.
        every_fault_hits: Whether a fault that hits nothing breaks a rule.
        front: Whether clients connect through a front. It opens no connection to a dispatcher that is down or
            that got SIGTERM 0.4 s ago or earlier. A request whose connection was refused or closed goes to
            another dispatcher.
        longest_deadline_s: Longest deadline of every class in seconds; 0 for those of the settings. Clients
            wait no longer.
        sockets: Limit on the sockets of each dispatcher; 0 for the platform's.
        memory_mb: Limit on the memory of each dispatcher, in megabytes. More breaks a rule.
        deduplication_window_s: Seconds in which a group of workers does not run a key again.
        lost_share: Share of the jobs with a key that workers start and then report as lost.
        returned_share: Share of the attempts with a key that workers take and hand back unstarted.
        keyed_attempts: Most attempts of a client for a job with a key; 0 for no limit.
        system_calls: How system calls of every second process fail, as `shim.environment` takes it.
        drawn_faults: Number of further faults, of all kinds in DRAWN_KINDS, drawn from the seed [drawn].
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
    memory_mb: int = 192
    deduplication_window_s: float = 40.0
    lost_share: float = 0.0
    returned_share: float = 0.0
    keyed_attempts: int = 0

    drawn_faults: int = msgspec.field(default=0, name="drawn")
    faults: list[Fault] = []

    @property
    def kill_after_s(self) -> float:
        """Seconds from SIGTERM to SIGKILL at a planned restart."""
        longest_s = self.longest_deadline_s or MAX_AWAITED_DEADLINE_S
        return min(longest_s, MAX_AWAITED_DEADLINE_S) + KILL_MARGIN_S

    def affected_dispatchers(self, fault: Fault) -> list[int]:
        """Return the numbers of the dispatchers that a fault hits."""
        return fault.dispatchers or list(range(self.processes))

    def problem(self) -> str | None:
        """Return a text on the first invalid size or fault, with its key in files; None if all are valid."""
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
                return f"faults[{number}]: at_s must lie within the scenario, for_s must be more than 0"
            if fault.kind in ("drain", "drain-at-read") and not 1 <= fault.workers < self.workers:
                return f"faults[{number}]: boxes must be between 1 and {self.workers - 1}"
            if not all(0 <= n < self.processes for n in fault.dispatchers + fault.destinations):
                return f"faults[{number}]: who and to must be between 0 and {self.processes - 1}"
        return None


def draw_faults(scenario: Scenario) -> Scenario:
    """Return the scenario with `drawn_faults` more faults, drawn from its seed.

    A drawn fault begins in the first half of the scenario and lasts at most two lease spans, so that the
    recovery from it can be observed before the end.
    """
    rng, lease_span = random.Random(f"{scenario.seed}/faults"), scenario.lease_span_s
    faults = list(scenario.faults)
    for _ in range(scenario.drawn_faults):
        kind = rng.choice(DRAWN_KINDS)
        at = rng.uniform(0.1, 0.5) * scenario.seconds
        dispatchers = rng.sample(range(scenario.processes), rng.randint(1, max(1, scenario.processes // 2)))
        if kind in ("kill", "term"):
            hits_all = kind == "kill" and rng.random() < KILL_ALL_CHANCE
            faults.append(
                Fault(
                    at,
                    kind,
                    rng.uniform(0.05, 0.5),
                    [] if hits_all else dispatchers,
                    folder=rng.choice(("same", "empty")) if kind == "kill" else "same",
                )
            )
        elif kind == "stop":
            faults.append(Fault(at, kind, lease_span * rng.choice((0.33, 0.9, 1.1, 2.0)), dispatchers))
        elif kind == "cut":
            destinations = rng.sample(range(scenario.processes), rng.randint(1, scenario.processes))
            faults.append(Fault(at, kind, lease_span * rng.uniform(0.5, 2.0), dispatchers, destinations))
        else:
            faults.append(Fault(at, kind, lease_span * rng.uniform(1.0, 2.0), loss_share=0.5))
    return msgspec.structs.replace(scenario, faults=faults)


def read_scenario(path: str | os.PathLike[str], seed: int | None = None) -> Scenario:
    """Read a scenario from a TOML file. A `seed` that is not None replaces the seed in the file.

    Raises:
        ScenarioError: The file cannot be read, or does not contain a valid scenario.
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
