"""Runs a scenario: starts the processes and stand-ins, lets the faults happen, and has the run judged."""

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
from .record import FinishedRun, RunRecord, ignore_event
from .run_logs import write_logs
from .scenario import Scenario, draw_faults
from .topology import Topology
from .verdict import Verdict

# Seconds after the last answer, in which what a fault left behind shows.
SETTLE_S = 1.0
# Seconds for which the front still opens connections to a dispatcher that has had SIGTERM.
FRONT_NOTICES_S = 0.4
# Seconds between two looks whether the rig itself stood still, and from which a delay says so.
STALL_CHECK_S = 0.05
OWN_STALL_S = 0.25


class ScenarioRun:
    """One run of a scenario: its processes, clients and faults, from start to verdict."""

    def __init__(
        self, scenario: Scenario, folder: Path, on_event: Callable[[str], None] = ignore_event
    ) -> None:
        """Set everything up without starting it.

        Args:
            scenario: The scenario, with its drawn faults among the others.
            folder: An empty folder for the processes' configurations and stores.
            on_event: Is called with a line of text for each fault as it begins and ends.
        """
        self.scenario = scenario
        self.record = RunRecord(on_event)
        self.topology = Topology(scenario, folder)
        self.fault_injector = FaultInjector(self.topology, self.record)
        self.lease_resource = LeaseResource(scenario, self.record.lease_acts)
        self.clients = Clients(
            scenario,
            self.topology.ports,
            self.fault_injector.late_s,
            self.topology.has_reached_worker,
            self._takes_new_connections,
        )

    def _takes_new_connections(self, dispatcher: int) -> bool:
        """Whether the front sends new connections to a dispatcher."""
        process = self.topology.processes[dispatcher]
        if process.term_at is not None:
            return time.monotonic() - process.term_at < FRONT_NOTICES_S
        return process.running and not process.ending and not process.starting

    async def run(self) -> Verdict:
        """Run the scenario to its end and judge it. Raises SceneError where a process does not start."""
        topology, record = self.topology, self.record
        await self.start_stand_ins()
        watching = asyncio.create_task(self._watch_own_stalls())
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
            watching.cancel()
            await self.stop()
        return judge(
            FinishedRun(self.scenario, topology, self.clients, record, self.lease_resource.lease_names)
        )

    async def _watch_own_stalls(self) -> None:
        """Clients, workers and discoveries share this process: where it stands still, all of them do."""
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
        """Kill what still runs, and close all servers and connections."""
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
    """Run a scenario in a folder of its own, which is deleted afterwards.

    Args:
        scenario: The scenario.
        on_event: Is called with a line of text for each fault as it begins and ends.
        logs: A folder for the logs of the processes and the clients' attempts; None keeps none.

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
