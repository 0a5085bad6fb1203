"""Runs a scenario: starts the processes and stand-ins, injects the faults and judges the run."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from .clients import Clients
from .faults import FaultInjector
from .judge import judge
from .lease_resource import LeaseResource
from .memory_watch import MemoryWatch
from .record import FinishedRun, RunRecord, ignore_event
from .run_logs import write_logs
from .scenario import Scenario, draw_faults
from .topology import Topology
from .verdict import Verdict

# Seconds from the last answer to the shutdown, in which late effects of a fault can still appear.
SETTLE_S = 1.0
# Seconds after SIGTERM in which the front still opens connections to a dispatcher.
FRONT_NOTICES_S = 0.4
# Seconds between two checks whether the rig's own process stood still.
STALL_CHECK_S = 0.05
# Seconds of delay of a check from which on it counts as a stall.
OWN_STALL_S = 0.25


class ScenarioRun:
    """One run of a scenario, from the start of its processes to the verdict."""

    def __init__(
        self, scenario: Scenario, folder: Path, on_event: Callable[[str], None] = ignore_event
    ) -> None:
        """Set everything up without starting it.

        Args:
            scenario: The scenario, whose `faults` include the drawn ones.
            folder: An empty folder for the processes' configurations and stores.
            on_event: Called with a line of text when a fault begins, when it ends, and for each stall of the
                rig.
        """
        self.scenario = scenario
        self.record = RunRecord(on_event)
        self.topology = Topology(scenario, folder)
        self.fault_injector = FaultInjector(self.topology, self.record)
        self.memory_watch = MemoryWatch(self.topology.processes)
        self.lease_resource = LeaseResource(scenario, self.record.lease_acts)
        self.clients = Clients(
            scenario,
            self.topology.ports,
            self.fault_injector.late_s,
            self.topology.has_reached_worker,
            self._takes_new_connections,
        )

    def _takes_new_connections(self, dispatcher: int) -> bool:
        """Return whether the front opens new connections to a dispatcher."""
        process = self.topology.processes[dispatcher]
        if process.term_at is not None:
            return time.monotonic() - process.term_at < FRONT_NOTICES_S
        return process.running and not process.ending and not process.starting

    async def run(self) -> Verdict:
        """Run the scenario to its end, and return the verdict.

        Raises:
            SceneError: A process did not start.
        """
        topology, record = self.topology, self.record
        await self.start_stand_ins()
        watches = [
            asyncio.create_task(self._watch_own_stalls()),
            asyncio.create_task(self.memory_watch.run()),
        ]
        try:
            if self.scenario.store:
                await topology.prepare_stores()
            await asyncio.gather(*(process.start() for process in topology.processes))
            record.began_at = time.monotonic()
            faults = [
                asyncio.create_task(self.fault_injector.inject(fault)) for fault in self.scenario.faults
            ]
            await asyncio.gather(asyncio.create_task(self.clients.run()), *faults)
            await self.fault_injector.wait_for_orphan_counts()
            await asyncio.sleep(SETTLE_S)
            record.exit_statuses += await asyncio.gather(
                *(process.end(signal.SIGTERM) for process in topology.processes)
            )
        finally:
            for watch in watches:
                watch.cancel()
            await self.stop()
        return judge(
            FinishedRun(
                self.scenario,
                topology,
                self.clients,
                record,
                self.lease_resource.lease_names,
                self.memory_watch.peak_bytes,
            )
        )

    async def _watch_own_stalls(self) -> None:
        """Record each stall of this process, in which clients, workers and discoveries all stand still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            now = time.monotonic()
            if now - before > STALL_CHECK_S + OWN_STALL_S:
                self.record.log_own_stall(before, now)

    async def start_stand_ins(self) -> None:
        """Start the links, the resource for leases and all servers."""
        self.topology.links.start()
        if self.scenario.leases:
            await self.lease_resource.start(self.topology.processes)
        for server in self.topology.servers():
            server.start()

    async def stop(self) -> None:
        """Kill all processes that still run, and close all servers and connections."""
        topology = self.topology
        for process in topology.processes:
            process.signal(signal.SIGKILL)
        await self.lease_resource.stop()
        for server in topology.servers():
            await server.stop()
        for worker in topology.workers:
            worker.close()
        topology.links.close()


async def run_scenario(
    scenario: Scenario, on_event: Callable[[str], None] = ignore_event, logs: Path | None = None
) -> Verdict:
    """Run a scenario in a temporary folder, which is deleted afterwards, and return its verdict.

    Args:
        scenario: The scenario, without its drawn faults.
        on_event: Called with a line of text when a fault begins, when it ends, and for each stall of the rig.
        logs: Folder that logs of the processes and the clients' attempts are written to; None writes none.

    Raises:
        SceneError: A process did not start.
    """
    with tempfile.TemporaryDirectory(prefix="beaconhinge-") as folder:
        run = ScenarioRun(draw_faults(scenario), Path(folder), on_event)
        try:
            return await run.run()
        finally:
            if logs is not None:
                write_logs(run.topology, run.clients.attempts, run.record, logs)
