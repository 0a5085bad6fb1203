"""Injects the faults of a scenario into processes and stand-ins, and counts what each fault hit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from functools import partial

from ...net.sockets import connect
from ..discovery import DiscoveryState
from ..workers import FakeWorker
from .floods import flood
from .process import Process
from .record import Drain, RunRecord
from .scenario import Fault
from .topology import Topology

# Most seconds by which a link fault is extended while it has dropped nothing.
MAX_LINK_FAULT_EXTENSION_S = 10.0
# Seconds from the restart of a killed process to the count of its jobs that workers still run.
ORPHANS_COUNTED_AFTER_S = 2.0
LINK_FAULT_POLL_S = 0.02
# Seconds from a read of the whole list to a change of that list. If the read follows a watch's answer, the
# A message that is answered with an error, and the beginning of another.
WHOLE_AND_HALF_MESSAGE = (
    b"GET /nothing HTTP/1.1\r\n\r\nPOST /render HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"
)
# change falls within the 0.2 s in which changes count as notified.
CHANGE_AFTER_READ_S = 0.05
# A job as a worker identifies it: the port of its dispatcher, and the request's id.
JobKey = tuple[int, str]


class FaultInjector:
    """Injects faults at their planned times, several at once where they overlap."""

    def __init__(self, topology: Topology, record: RunRecord) -> None:
        self.topology = topology
        self.record = record
        self._unfinished = list(topology.scenario.faults)
        self._orphan_counts: list[asyncio.Task[None]] = []

    def late_s(self) -> float:
        """Return the most seconds by which a fault has ended, or is overdue, after its planned end.

        Faults end late because a slow machine starts processes slowly. The scenario is extended by this time,
        so that the time after the faults is as long as planned.
        """
        now = time.monotonic() - self.record.began_at
        overdue = (now - fault.at_s - fault.duration_s for fault in self._unfinished)
        return max(0.0, self.record.faults_late_s, *overdue)

    async def inject(self, fault: Fault) -> None:
        """Wait for the fault's time, inject it, and return when it has ended."""
        await asyncio.sleep(max(0.0, self.record.began_at + fault.at_s - time.monotonic()))
        numbers = self.topology.scenario.affected_dispatchers(fault)
        names = ",".join(map(str, numbers))
        self.record.log(f"{fault.kind} {names} for {fault.duration_s:g} s")
        injection = {
            "stop": partial(self._pause, fault, numbers),
            "kill": partial(self._restart, fault, numbers),
            "term": partial(self._restart, fault, numbers),
            "restart": partial(self._shut_down, fault, numbers),
            "crowd": partial(self._open_idle_connections, fault, numbers),
            "cut": partial(self._drop_datagrams, fault, numbers),
            "lossy": partial(self._drop_datagrams, fault, numbers),
            "discovery": partial(self._stop_discovery, fault, numbers),
            "mute": partial(self._mute_watches, fault, numbers),
            "drain": partial(self._drain_workers, fault),
            "spoil": partial(self._spoil_answers, fault, numbers),
            "reload": partial(self._reload, numbers),
            "workers": partial(self._break_worker, fault),
            "lost-messages": partial(self._lose_messages, fault),
            "reads": partial(self._fail_reads, fault, numbers),
            "drain-at-read": partial(self._drain_at_reads, fault, numbers),
            "flood": partial(self._flood, fault, numbers),
            "crowded-discovery": partial(self._crowd_discovery, fault, numbers),
        }[fault.kind]
        # Awaited before the addition: another fault of this kind may add its hits meanwhile.
        hits = await injection()
        self.record.fault_hits[fault.kind] += hits
        self.record.faults_late_s = self.late_s()
        self._unfinished.remove(fault)
        self.record.log(f"{fault.kind} {names} is over")

    async def wait_for_orphan_counts(self) -> None:
        """Wait until the jobs that killed processes left on workers are counted."""
        await asyncio.gather(*self._orphan_counts)

    # ---- processes -----------------------------------------------------------------------------------------

    async def _pause(self, fault: Fault, numbers: list[int]) -> int:
        """Pause processes by SIGSTOP for the fault's duration. Return how many were paused."""
        paused = [process for process in self._processes(numbers) if process.pause()]
        await asyncio.sleep(fault.duration_s)
        for process in paused:
            process.resume()
        return len(paused)

    async def _restart(self, fault: Fault, numbers: list[int]) -> int:
        """End processes by SIGKILL or SIGTERM and start them after the duration. Return how many."""
        ended = [process for process in self._processes(numbers) if _can_restart(process, fault)]
        jobs_without_key = self._jobs_without_key(ended)
        signal_number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
        statuses = await asyncio.gather(*(process.end(signal_number) for process in ended))
        self.record.exit_statuses += statuses if fault.kind == "term" else []
        await asyncio.sleep(fault.duration_s)
        for process in ended:
            self._replace_folder(process, fault)
        await asyncio.gather(*(process.start() for process in ended))
        if fault.kind == "kill":
            self._orphan_counts.append(asyncio.create_task(self._count_orphans(jobs_without_key)))
        return len(ended)

    async def _shut_down(self, fault: Fault, numbers: list[int]) -> int:
        """Shut processes down as the platform does and start them after the duration. Return how many."""
        ending = [process for process in self._processes(numbers) if _can_restart(process, fault)]
        further_signals = [signal.Signals[f"SIG{name}"] for name in fault.signals]
        kill_after_s = self.topology.scenario.kill_after_s
        self.record.shutdowns += await asyncio.gather(
            *(process.shut_down(kill_after_s, further_signals, fault.signal_gap_s) for process in ending)
        )
        await asyncio.sleep(fault.duration_s)
        await asyncio.gather(*(process.start() for process in ending))
        return len(ending)

    async def _open_idle_connections(self, fault: Fault, numbers: list[int]) -> int:
        """Hold connections to dispatchers for the fault's duration. Return how many were opened.

        Their clients are idle, or stop in the middle of their second message.
        """
        began = time.monotonic()
        async with contextlib.AsyncExitStack() as connections:
            opened = 0
            for number in numbers:
                for _ in range(fault.connections):
                    with contextlib.suppress(OSError):
                        sock = await connect(("127.0.0.1", self.topology.ports[number]))
                        connections.callback(sock.close)
                        opened += 1
                        if fault.half_sent:
                            sock.send(WHOLE_AND_HALF_MESSAGE)
            await asyncio.sleep(fault.duration_s)
        for number in numbers:
            self.record.crowded_spans.setdefault(number, []).append((began, time.monotonic()))
        return opened

    async def _flood(self, fault: Fault, numbers: list[int]) -> int:
        """Flood dispatchers for the fault's duration. Return how many connections were made."""
        floods = [
            flood(self.topology.ports[number], fault.flood, fault.duration_s)
            for number in numbers
            for _ in range(fault.connections)
        ]
        return sum(await asyncio.gather(*floods))

    def _jobs_without_key(self, processes: list[Process]) -> list[tuple[FakeWorker, JobKey]]:
        """Return the jobs without a key that workers run for these processes, each with its worker.

        A worker counts the runs of such a job by the request's id, those of others by their key.
        """
        ports = {process.port for process in processes}
        return [
            (worker, job)
            for worker in self.topology.workers
            for job in worker.jobs
            if job[0] in ports and job[1] in worker.runs
        ]

    def _replace_folder(self, process: Process, fault: Fault) -> None:
        """Give a process the folder that it starts with, as `Fault.folder` says."""
        if fault.folder == "empty":
            process.delete_folder()
        elif fault.folder == "old":
            process.restore_store(self.topology.store_backups / str(process.number))
        elif fault.folder == "other":
            process.restore_store(self.topology.processes[process.number - 1].folder / "store")

    async def _count_orphans(self, jobs: list[tuple[FakeWorker, JobKey]]) -> None:
        """Record how many of these jobs their workers still run after ORPHANS_COUNTED_AFTER_S."""
        await asyncio.sleep(ORPHANS_COUNTED_AFTER_S)
        self.record.orphaned_jobs += sum(job in worker.jobs for worker, job in jobs)

    async def _reload(self, numbers: list[int]) -> int:
        """Send SIGHUP with an unchanged configuration. Return how many processes received it."""
        return sum(
            process.signal(signal.SIGHUP) for process in self._processes(numbers) if not process.starting
        )

    def _processes(self, numbers: list[int]) -> list[Process]:
        return [self.topology.processes[number] for number in numbers]

    # ---- links ---------------------------------------------------------------------------------------------

    async def _drop_datagrams(self, fault: Fault, numbers: list[int]) -> int:
        """Drop datagrams for the fault's duration. Return how many were dropped.

        While none was dropped, the fault is extended by up to MAX_LINK_FAULT_EXTENSION_S.
        """
        links = self.topology.links
        dropped_before, directions = links.counters["dropped"], list[tuple[int, int]]()
        if fault.kind == "cut":
            directions = [
                (sender, receiver)
                for sender in numbers
                for receiver in fault.destinations or range(self.topology.scenario.processes)
                if sender != receiver
            ]
            links.cuts.update(directions)
        else:
            links.loss_shares.update(dict.fromkeys(numbers, fault.loss_share))
        await asyncio.sleep(fault.duration_s)
        can_hit = directions or fault.kind == "lossy"
        until = time.monotonic() + (MAX_LINK_FAULT_EXTENSION_S if can_hit else 0.0)
        # Polls the counter: the relay counts in a callback of its socket, which cannot signal this fault.
        while links.counters["dropped"] == dropped_before and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(LINK_FAULT_POLL_S)
        links.cuts.subtract(directions)
        if fault.kind == "lossy":
            for number in numbers:
                links.loss_shares.pop(number, None)
        return links.counters["dropped"] - dropped_before

    # ---- discovery -----------------------------------------------------------------------------------------

    async def _stop_discovery(self, fault: Fault, numbers: list[int]) -> int:
        """Make discovery unavailable for the fault's duration. Return how many calls it got meanwhile."""
        return await self._discovery_outage(fault, numbers, DiscoveryState.DOWN)

    async def _crowd_discovery(self, fault: Fault, numbers: list[int]) -> int:
        """Make discovery crowded for the fault's duration. Return how many calls it got meanwhile."""
        return await self._discovery_outage(fault, numbers, DiscoveryState.CROWDED)

    async def _discovery_outage(self, fault: Fault, numbers: list[int], state: DiscoveryState) -> int:
        discoveries, began = [self.topology.discoveries[number] for number in numbers], time.monotonic()
        calls_before = sum(discovery.calls for discovery in discoveries)
        for discovery in discoveries:
            discovery.set_state(state)
        await asyncio.sleep(fault.duration_s)
        for discovery in discoveries:
            discovery.set_state(DiscoveryState.SERVING)
        for number in numbers:
            self.record.discovery_outages.setdefault(number, []).append((began, time.monotonic()))
        return sum(discovery.calls for discovery in discoveries) - calls_before

    async def _mute_watches(self, fault: Fault, numbers: list[int]) -> int:
        """Silence the open watches for good. Return how many fell silent."""
        for number in numbers:
            self.record.silent_from.setdefault(number, []).append(time.monotonic())
        muted = sum(self.topology.discoveries[number].mute() for number in numbers)
        await asyncio.sleep(fault.duration_s)
        return muted

    async def _spoil_answers(self, fault: Fault, numbers: list[int]) -> int:
        """Spoil discovery's answers for the fault's duration. Return how many were spoilt."""
        discoveries, began = [self.topology.discoveries[number] for number in numbers], time.monotonic()
        spoilt_before = sum(discovery.spoilt_answers for discovery in discoveries)
        for discovery in discoveries:
            discovery.spoil = fault.spoil
        await asyncio.sleep(fault.duration_s)
        for number in numbers:
            self.topology.discoveries[number].spoil = None
        # A change that is written in full counts as notified when it is written, whatever else is spoilt in
        # the answer.
        for number in [] if fault.spoil.writes_changes_at_once else numbers:
            self.record.spoilt_spans.setdefault(number, []).append((began, time.monotonic()))
        return sum(discovery.spoilt_answers for discovery in discoveries) - spoilt_before

    async def _fail_reads(self, fault: Fault, numbers: list[int]) -> int:
        """Apply the read fault to reads of the whole list. Return how many reads met it."""
        discoveries, began = [self.topology.discoveries[number] for number in numbers], time.monotonic()
        hits_before = sum(discovery.faulty_reads for discovery in discoveries)
        for discovery in discoveries:
            discovery.read_fault = fault.read_fault
        await asyncio.sleep(fault.duration_s)
        for discovery in discoveries:
            discovery.read_fault = None
        for number in [] if fault.read_fault.answers else numbers:
            self.record.unreadable_spans.setdefault(number, []).append((began, time.monotonic()))
        return sum(discovery.faulty_reads for discovery in discoveries) - hits_before

    async def _drain_at_reads(self, fault: Fault, numbers: list[int]) -> int:
        """Drain workers just after each dispatcher's next read. Return how many dispatchers made a read."""
        drains = [asyncio.create_task(self._drain_at_read(fault, number)) for number in numbers]
        return sum(await asyncio.gather(*drains))

    async def _drain_at_read(self, fault: Fault, number: int) -> bool:
        """Drain the last workers in one dispatcher's list just after it reads the whole list.

        Returns:
            Whether the dispatcher made a read within the fault's duration.
        """
        discovery, until = self.topology.discoveries[number], time.monotonic() + fault.duration_s
        draining = self.topology.workers[-fault.workers :]
        names = [worker.name for worker in draining]
        discovery.read_received.clear()
        try:
            async with asyncio.timeout(fault.duration_s):
                await discovery.read_received.wait()
        except TimeoutError:
            return False
        await asyncio.sleep(CHANGE_AFTER_READ_S)
        began = time.monotonic()
        discovery.change(names, state="Terminating")
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        self.record.drains += [Drain(worker, began, time.monotonic(), number) for worker in draining]
        discovery.change(names, state="Ready")
        return True

    # ---- workers -------------------------------------------------------------------------------------------

    async def _drain_workers(self, fault: Fault) -> int:
        """Drain the first workers for the fault's duration. Return how many.

        Draining workers still accept the jobs sent to them, so that late sends can be counted.
        """
        draining = self.topology.workers[: fault.workers]
        began = time.monotonic()
        names = [worker.name for worker in draining]
        for discovery in self.topology.discoveries:
            discovery.change(names, state="Terminating")
        await asyncio.sleep(fault.duration_s)
        self.record.drains += [Drain(worker, began, time.monotonic()) for worker in draining]
        for discovery in self.topology.discoveries:
            discovery.change(names, state="Ready")
        return len(draining)

    async def _break_worker(self, fault: Fault) -> int:
        """Give one worker the fault for its duration. Return how many jobs met it.

        Concurrent faults of this kind go to different workers while there is a worker without a fault.
        """
        workers = self.topology.workers
        worker = next((worker for worker in reversed(workers) if worker.fault is None), workers[-1])
        hits_before, worker.fault = worker.fault_hits, fault.worker_fault
        await asyncio.sleep(fault.duration_s)
        worker.fault = None
        return worker.fault_hits - hits_before

    async def _lose_messages(self, fault: Fault) -> int:
        """Lose messages between all workers and the dispatchers for the fault's duration. Return how many."""
        workers = self.topology.workers
        lost_before = sum(worker.lost_messages for worker in workers)
        for worker in workers:
            worker.lost_message = fault.lost_message
        await asyncio.sleep(fault.duration_s)
        for worker in workers:
            worker.lost_message = None
        return sum(worker.lost_messages for worker in workers) - lost_before


def _can_restart(process: Process, fault: Fault) -> bool:
    """Return whether this fault ends and restarts the process.

    A process that another fault is ending is restarted by that fault. A process that is starting has not
    installed its signal handlers yet, and so cannot shut down in order on SIGTERM.
    """
    too_early = process.starting and fault.kind in ("term", "restart")
    return process.running and not process.ending and not too_early
