"""Draws hostile scenarios: floods from bad clients, a crowded discovery, lost jobs, short windows.

They have a draw of their own, so that the scenarios of `soak.py` stay the same for each seed.
"""

from __future__ import annotations

import random

from ..workers import LostMessage, WorkerFault
from .floods import Flood
from .scenario import Fault, Scenario

SCENARIO_S = 15.0
FIRST_FAULT_AT_S = 0.6
# Discovery is crowded for longer than a list counts as current (6 s).
CROWD_AT_S = (0.8, 2.0)
CROWD_S = (8.5, 10.5)
WINDOWS_S = (1.5, 2.0, 3.0)
MEMORY_MB = (64, 96)
SOCKETS = 512
WORKERS = 8
LOST_SHARE = 0.3
RETURNED_SHARE = 0.2
STALLED_CLIENTS = 450


def draw_hostile_soak(seed: int, processes: int) -> Scenario:
    """Draw a hostile scenario. Clients send a job with a key once, so it may run once at most."""
    rng = random.Random(f"{seed}/hostile")
    faults = [
        Fault(rng.uniform(*CROWD_AT_S), "crowded-discovery", rng.uniform(*CROWD_S)),
        Fault(rng.uniform(1.0, 8.0), "workers", rng.uniform(0.5, 3.0), worker_fault=WorkerFault.RESET),
    ]
    for _ in range(rng.randint(2, 4)):
        faults.append(
            Fault(
                rng.uniform(FIRST_FAULT_AT_S, 7.0),
                "flood",
                rng.uniform(3.0, 6.0),
                rng.sample(range(processes), max(1, processes // 3)),
                connections=rng.randint(1, 2),
                flood=rng.choice(list(Flood)),
            )
        )
    faults += [*_draw_lost_messages(seed), _draw_stalled_clients(seed, processes)]
    return Scenario(
        f"hostile soak of {processes}",
        seed=seed,
        processes=processes,
        workers=WORKERS,
        deduplication_groups=2,
        deduplication_window_s=rng.choice(WINDOWS_S),
        slots=8,
        rate=8.0 * processes,
        keyed=0.4,
        keyed_attempts=1,
        lost_share=LOST_SHARE,
        returned_share=RETURNED_SHARE,
        unsafe=0.1,
        render_s=0.1,
        publish_s=0.3,
        client_timeout_s=6.0,
        longest_deadline_s=9.0,
        seconds=SCENARIO_S,
        recovery=False,
        store=False,
        ejections_judged=False,
        every_fault_hits=False,
        sockets=SOCKETS,
        memory_mb=rng.choice(MEMORY_MB),
        faults=faults,
    )


def _draw_lost_messages(seed: int) -> list[Fault]:
    """Draw losses of messages between workers and dispatchers, beside a worker that hangs.

    The jobs of a worker that hangs are copied and then withdrawn. The draw is one of its own, so that the
    other faults of a seed stay the same.
    """
    rng = random.Random(f"{seed}/hostile/lost messages")
    faults = [
        Fault(rng.uniform(1.0, 8.0), "lost-messages", rng.uniform(0.5, 3.0), lost_message=lost)
        for lost in LostMessage
    ]
    hang = Fault(rng.uniform(1.0, 6.0), "workers", rng.uniform(0.5, 3.0), worker_fault=WorkerFault.HANG)
    return [*faults, hang]


def _draw_stalled_clients(seed: int, processes: int) -> Fault:
    """Draw a crowd whose clients stop in the middle of a message, more of them than a dispatcher has places.

    The draw is one of its own, so that the other faults of a seed stay the same.
    """
    rng = random.Random(f"{seed}/hostile/stalled clients")
    dispatchers = [rng.randrange(processes)]
    at = rng.uniform(1.0, 6.0)
    return Fault(at, "crowd", 6.0, dispatchers, connections=STALLED_CLIENTS, half_sent=True)
