"""Draws scenarios of random overlapping faults from a seed, and shrinks a failing one to fewer faults.

Pure, but for the function passed in that runs a scenario.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from ..discovery import ReadFault, Spoil
from ..workers import WorkerFault
from .scenario import Fault, FaultKind, Scenario, SeriesSignal

SCENARIO_S = 17.0
# Faults begin between these two times, in seconds, so that there is time to check what must hold again 6 s
# later.
FIRST_FAULT_AT_S = 0.6
LAST_FAULT_AT_S = 7.5
# Which system calls fail, as `shim.environment` takes it.
SYSTEM_CALLS = "accept=0.02,connect=0.01,short=0.2,step=3600,socket=0.01"
# Kinds that are drawn, each as often as it is listed here.
FAULT_KINDS: tuple[FaultKind, ...] = (
    "stop",
    "stop",
    "kill",
    "kill",
    "restart",
    "restart",
    "reload",
    "cut",
    "lossy",
    "discovery",
    "mute",
    "spoil",
    "spoil",
    "spoil",
    "workers",
    "workers",
)
# Longest deadlines that a deployment may have, in seconds. SIGKILL is sent 0.7 s after the longest deadline.
LONGEST_DEADLINES_S = (0.8, 1.5, 3.0)
# Limit on the sockets of dispatchers in scenarios with a crowd. The crowd opens more connections than that.
CROWDED_SOCKETS = 96
CROWD_CONNECTIONS = 120
# Signals that may be sent after SIGTERM, while a process ends.
SIGNALS_AFTER_TERM: tuple[SeriesSignal, ...] = ("HUP", "TERM", "HUP", "USR1")
# Most seconds between the beginnings of two faults that are drawn to coincide.
COINCIDENCE_S = 0.3
# Probabilities: that the list is pushed, that there is a crowd, that recovery is enabled ...
PUSHED_CHANCE = 0.25
CROWD_CHANCE = 0.25
RECOVERY_CHANCE = 0.3
# ... and that a fault coincides with an earlier one.
COINCIDENCE_CHANCE = 0.5


def draw_soak(seed: int, processes: int) -> Scenario:
    """Draw a scenario with a long drain of workers and with random faults before, during and after its start.

    System calls fail in half of the processes.
    """
    rng = random.Random(f"{seed}/soak")
    drain = Fault(rng.uniform(1.0, 3.0), "drain", SCENARIO_S - 4.0, workers=rng.randint(1, 3))
    faults = [drain]
    pushed = rng.random() < PUSHED_CHANCE  # a local agent answers at once: its answers are not spoilt
    for _ in range(rng.randint(5, 9)):
        coinciding_at = rng.choice(faults).at_s + rng.uniform(-COINCIDENCE_S, COINCIDENCE_S)
        at = (
            coinciding_at
            if rng.random() < COINCIDENCE_CHANCE
            else rng.uniform(FIRST_FAULT_AT_S, LAST_FAULT_AT_S)
        )
        faults.append(
            _draw_fault(rng, min(max(at, FIRST_FAULT_AT_S), LAST_FAULT_AT_S), processes, drain.workers)
        )
    faults = [fault for fault in faults if not (pushed and fault.kind == "spoil")]
    crowded = rng.random() < CROWD_CHANCE
    if crowded:
        at = rng.uniform(FIRST_FAULT_AT_S, LAST_FAULT_AT_S)
        dispatchers = rng.sample(range(processes), max(1, processes // 3))
        faults.append(Fault(at, "crowd", rng.uniform(1.0, 4.0), dispatchers, connections=CROWD_CONNECTIONS))
    faults += _draw_read_faults(seed, processes, pushed)
    longest_s = rng.choice(LONGEST_DEADLINES_S)
    recovery = rng.random() < RECOVERY_CHANCE  # without it no dispatcher knows the keys of another one
    return Scenario(
        f"soak of {processes}",
        seed=seed,
        processes=processes,
        workers=8,
        deduplication_groups=4,
        slots=8,
        rate=12.0 * processes,
        keyed=0.15 if recovery else 0.0,
        unsafe=0.15,
        disconnecting=0.1,
        render_s=0.1,
        publish_s=0.3,
        # An attempt with a key waits for 1.5 times the client's time-out.
        client_timeout_s=longest_s / 1.5 if recovery else longest_s,
        front=True,
        longest_deadline_s=longest_s,
        sockets=CROWDED_SOCKETS if crowded else 0,
        seconds=SCENARIO_S,
        pushed_membership=pushed,
        recovery=recovery,
        store=False,
        ejections_judged=False,
        every_fault_hits=False,
        system_calls=SYSTEM_CALLS,
        faults=faults,
    )


def _draw_read_faults(seed: int, processes: int, pushed: bool) -> list[Fault]:
    """Draw faults of reads of the whole list from an overloaded discovery, and a drain just after a read.

    They have a random generator of their own, so that the other faults of a seed stay the same. A local agent
    is never overloaded, so with pushed membership there are no faults of reads.
    """
    rng = random.Random(f"{seed}/soak/reads")
    faults = list[Fault]()
    for _ in range(0 if pushed else rng.randint(1, 3)):
        at = rng.uniform(FIRST_FAULT_AT_S, LAST_FAULT_AT_S)
        dispatchers = rng.sample(range(processes), rng.randint(1, max(1, processes // 2)))
        fault = rng.choice(list(ReadFault))
        faults.append(Fault(at, "reads", rng.uniform(1.0, 6.0), dispatchers, read_fault=fault))
    at = rng.uniform(FIRST_FAULT_AT_S, LAST_FAULT_AT_S)
    faults.append(Fault(at, "drain-at-read", SCENARIO_S - LAST_FAULT_AT_S - 2.0))
    return faults


def _draw_fault(rng: random.Random, at: float, processes: int, draining: int) -> Fault:
    dispatchers = rng.sample(range(processes), rng.randint(1, max(1, processes // 2)))
    kind = rng.choice(FAULT_KINDS)
    match kind:
        case "stop":
            fault = Fault(at, kind, rng.choice((0.2, 0.5, 2.0, 7.0)), dispatchers)
        case "kill":
            fault = Fault(at, kind, rng.choice((0.1, 1.0, 6.5)), dispatchers)
        case "restart":
            signals = rng.sample(SIGNALS_AFTER_TERM, rng.randint(0, len(SIGNALS_AFTER_TERM)))
            gap_s = rng.uniform(0.0, 0.6)
            fault = Fault(at, kind, rng.uniform(0.05, 0.5), dispatchers, signals=signals, signal_gap_s=gap_s)
        case "reload":
            fault = Fault(at, kind, 0.1, dispatchers)
        case "cut":
            duration_s = rng.uniform(1.0, 4.0)
            destinations = rng.sample(range(processes), processes // 2 or 1)
            fault = Fault(at, kind, duration_s, dispatchers, destinations)
        case "lossy":
            fault = Fault(at, kind, rng.uniform(1.0, 4.0), loss_share=0.5)
        case "discovery":
            fault = Fault(at, kind, rng.uniform(0.5, 4.0), dispatchers)
        case "mute":
            fault = Fault(at, kind, 0.2, dispatchers)
        case "spoil":
            fault = Fault(at, kind, rng.uniform(0.5, 3.0), dispatchers, spoil=rng.choice(list(Spoil)))
        case _:
            duration_s = rng.uniform(0.5, 2.0)
            worker_fault = rng.choice(list(WorkerFault))
            fault = Fault(at, "workers", duration_s, workers=draining + 1, worker_fault=worker_fault)
    return fault


def shrink(scenario: Scenario, fails: Callable[[Scenario], bool]) -> Scenario:
    """Return the scenario without the faults that it does not need to fail, tried one after the other.

    The drain stays: without it no worker leaves the list. `fails` runs a scenario and returns whether it
    failed.
    """
    for fault in [fault for fault in scenario.faults if fault.kind != "drain"]:
        others = [other for other in scenario.faults if other is not fault]
        candidate = msgspec.structs.replace(scenario, faults=others)
        if fails(candidate):
            scenario = candidate
    return scenario
