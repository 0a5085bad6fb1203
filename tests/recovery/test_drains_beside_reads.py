"""A worker drains while the dispatcher reads the whole list: the watch must go on beside the read.

Failure: a request reached a draining worker 0.47 s after its dispatcher counted as notified; 0.45 s are
allowed. A change within 0.2 s of a watch's answer counts as notified when it is made.

Cause: reads of the list replaced the watch or cut it short, and calls that do not wait cancelled a working
watch. A watch was answered without a change just as the worker began to drain; the next call was a read to
confirm an earlier change, which a loaded discovery answered 0.7 s later. The test repeats that sequence
with each fault of such a read.
"""

from __future__ import annotations

import asyncio

from beaconhinge.standin.discovery import ReadFault
from beaconhinge.standin.rig import Fault, Scenario, run_scenario

# Each fault of reads affects one process; the reads of the last process are answered normally.
READ_FAULTS = list(ReadFault)


def test_draining_worker_gets_no_jobs_while_the_list_is_read_again() -> None:
    """Real processes with 25 requests a second each; a second worker drains as each reads its list again."""
    processes = len(READ_FAULTS) + 1
    read_faults = [
        Fault(0.8, "reads", 9.0, [number], read_fault=read_fault)
        for number, read_fault in enumerate(READ_FAULTS)
    ]
    scenario = Scenario(
        "drains as the list is read again",
        seed=4401,
        processes=processes,
        workers=4,
        slots=16,
        rate=25.0 * processes,
        keyed=0.0,
        render_s=0.05,
        seconds=10.0,
        recovery=False,
        store=False,
        faults=[Fault(1.0, "drain", 8.0), Fault(1.2, "drain-at-read", 8.0), *read_faults],
    )
    verdict = asyncio.run(run_scenario(scenario))
    assert verdict.faults["drain-at-read"] == processes
    assert verdict.faults["reads"] >= len(READ_FAULTS)
    assert verdict.ends["200"] > 0.95 * verdict.asked
    assert verdict.broken == [], [read_fault.value for read_fault in READ_FAULTS]
