"""Lets the faults of a scenario happen to the processes and stand-ins, and counts what each of them hit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from functools import partial

from ...net.sockets import connect
from ..workers import FakeWorker
from .process import Process
from .record import Drain, RunRecord
from .scenario import Fault
from .topology import Topology

# Seconds that a fault of links lasts beyond its end while it has hit nothing.
MAX_LINK_FAULT_EXTENSION_S = 10.0
# Seconds after a return, when jobs of the killed process are counted that workers still run.
ORPHANS_COUNTED_AFTER_S = 2.0
LINK_FAULT_POLL_S = 0.02
# Seconds from a call to discovery for the whole list to the change that meets it. Where such a call follows a
# watch's answer this is within the 0.2 s in which changes count as notified.
CHANGE_AFTER_READ_S = 0.05
# A job as a worker holds it: the port of its dispatcher, and the request.
JobKey = tuple[int, str]


class FaultInjector:
    """Carries out faults at their times, several at once where they overlap."""

    def __init__(self, topology: Topology, record: RunRecord) -> None:
        self.topology = topology
        self.record = record
        self._unfinished = list(topology.scenario.faults)
        self._orphan_counts: list[asyncio.Task[None]] = []

    def late_s(self) -> float:
        """Return by how many seconds a fault ends later than planned: a slow machine starts processes slowly.

        The scenario goes on for as much longer, so that what comes after the faults is as long as meant.
        """
        now = time.monotonic() - self.record.began_at
        overdue = (now - fault.at_s - fault.duration_s for fault in self._unfinished)
        return max(0.0, self.record.faults_late_s, *overdue)

    async def inject(self, fault: Fault) -> None:
        """Wait for the fault's time, and carry it out to its end."""
        await asyncio.sleep(max(0.0, self.record.began_at + fault.at_s - time.monotonic()))
        numbers = self.topology.scenario.affected_dispatchers(fault)
        names = ",".join(map(str, numbers))
        self.record.log(f"{fault.kind} {names} for {fault.duration_s:g} s")
        carry_out = {
            "stop": partial(self._pause, fault, numbers),
            "kill": partial(self._restart, fault, numbers),
            "term": partial(self._restart, fault, numbers),
            "restart": partial(self._shut_down, fault, numbers),
            "crowd": partial(self._crowd, fault, numbers),
            "cut": partial(self._drop_datagrams, fault, numbers),
            "lossy": partial(self._drop_datagrams, fault, numbers),
            "discovery": partial(self._take_discovery_out, fault, numbers),
            "mute": partial(self._mute_watches, fault, numbers),
            "drain": partial(self._drain_workers, fault),
            "spoil": partial(self._spoil_answers, fault, numbers),
            "reload": partial(self._reload, numbers),
            "workers": partial(self._break_worker, fault),
            "reads": partial(self._fail_reads, fault, numbers),
            "drain-at-read": partial(self._drain_at_reads, fault, numbers),
        }[fault.kind]
        hits = await carry_out()  # first: another of its kind may have been counted meanwhile
        self.record.fault_hits[fault.kind] += hits
        self.record.faults_late_s = self.late_s()
        self._unfinished.remove(fault)
        self.record.log(f"{fault.kind} {names} is over")

    async def wait_for_orphan_counts(self) -> None:
        """Wait until the jobs left by killed processes are counted."""
        await asyncio.gather(*self._orphan_counts)

    # ---- processes -----------------------------------------------------------------------------------------

    async def _pause(self, fault: Fault, numbers: list[int]) -> int:
        """Count the processes that were stopped and go on again."""
        paused = [process for process in self._processes(numbers) if process.pause()]
        await asyncio.sleep(fault.duration_s)
        for process in paused:
            process.resume()
        return len(paused)

    async def _restart(self, fault: Fault, numbers: list[int]) -> int:
        """Count the processes that were ended and started again."""
        ended = [process for process in self._processes(numbers) if _can_restart(process, fault)]
        plain_jobs = self._plain_jobs_of(ended)
        signal_number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
        statuses = await asyncio.gather(*(process.end(signal_number) for process in ended))
        self.record.exit_statuses += statuses if fault.kind == "term" else []
        await asyncio.sleep(fault.duration_s)
        for process in ended:
            self._replace_folder(process, fault)
        await asyncio.gather(*(process.start() for process in ended))
        if fault.kind == "kill":
            self._orphan_counts.append(asyncio.create_task(self._count_orphans(plain_jobs)))
        return len(ended)

    async def _shut_down(self, fault: Fault, numbers: list[int]) -> int:
        """Count the processes that were ended as the platform ends them, and started again."""
        ending = [process for process in self._processes(numbers) if _can_restart(process, fault)]
        further = [signal.Signals[f"SIG{name}"] for name in fault.signals]
        kill_after_s = self.topology.scenario.kill_after_s
        self.record.shutdowns += await asyncio.gather(
            *(process.shut_down(kill_after_s, further, fault.signal_gap_s) for process in ending)
        )
        await asyncio.sleep(fault.duration_s)
        await asyncio.gather(*(process.start() for process in ending))
        return len(ending)

    async def _crowd(self, fault: Fault, numbers: list[int]) -> int:
        """Count the idle connections that were made."""
        began = time.monotonic()
        async with contextlib.AsyncExitStack() as held:
            made = 0
            for number in numbers:
                for _ in range(fault.connections):
                    with contextlib.suppress(OSError):
                        held.callback((await connect(("127.0.0.1", self.topology.ports[number]))).close)
                        made += 1
            await asyncio.sleep(fault.duration_s)
        for number in numbers:
            self.record.crowded_spans.setdefault(number, []).append((began, time.monotonic()))
        return made

    def _plain_jobs_of(self, processes: list[Process]) -> list[tuple[FakeWorker, JobKey]]:
        """Return the jobs without a key that workers run for these processes: they count by their request."""
        ports = {process.port for process in processes}
        return [
            (worker, job)
            for worker in self.topology.workers
            for job in worker.jobs
            if job[0] in ports and job[1] in worker.runs
        ]

    def _replace_folder(self, process: Process, fault: Fault) -> None:
        if fault.folder == "empty":
            process.delete_folder()
        elif fault.folder == "old":
            process.restore_store(self.topology.store_backups / str(process.number))
        elif fault.folder == "other":
            process.restore_store(self.topology.processes[process.number - 1].folder / "store")

    async def _count_orphans(self, jobs: list[tuple[FakeWorker, JobKey]]) -> None:
        await asyncio.sleep(ORPHANS_COUNTED_AFTER_S)
        self.record.orphaned_jobs += sum(job in worker.jobs for worker, job in jobs)

    async def _reload(self, numbers: list[int]) -> int:
        """Count the processes that got SIGHUP; the configuration is the same."""
        return sum(
            process.signal(signal.SIGHUP) for process in self._processes(numbers) if not process.starting
        )

    def _processes(self, numbers: list[int]) -> list[Process]:
        return [self.topology.processes[number] for number in numbers]

    # ---- links ---------------------------------------------------------------------------------------------

    async def _drop_datagrams(self, fault: Fault, numbers: list[int]) -> int:
        """Count the datagrams that it took.

        While it has taken none, it lasts up to MAX_LINK_FAULT_EXTENSION_S beyond its end.
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
        # The relay counts in a callback of its socket, which knows nothing of faults.
        while links.counters["dropped"] == dropped_before and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(LINK_FAULT_POLL_S)
        links.cuts.subtract(directions)
        if fault.kind == "lossy":
            for number in numbers:
                links.loss_shares.pop(number, None)
        return links.counters["dropped"] - dropped_before

    # ---- discovery -----------------------------------------------------------------------------------------

    async def _take_discovery_out(self, fault: Fault, numbers: list[int]) -> int:
        """Count the calls that met no discovery."""
        discoveries, began = [self.topology.discoveries[number] for number in numbers], time.monotonic()
        calls_before = sum(discovery.calls for discovery in discoveries)
        for discovery in discoveries:
            discovery.take_out()
        await asyncio.sleep(fault.duration_s)
        for discovery in discoveries:
            discovery.is_out = False
        for number in numbers:
            self.record.discovery_outages.setdefault(number, []).append((began, time.monotonic()))
        return sum(discovery.calls for discovery in discoveries) - calls_before

    async def _mute_watches(self, fault: Fault, numbers: list[int]) -> int:
        """Count the watches that fell silent."""
        for number in numbers:
            self.record.silent_from.setdefault(number, []).append(time.monotonic())
        muted = sum(self.topology.discoveries[number].mute() for number in numbers)
        await asyncio.sleep(fault.duration_s)
        return muted

    async def _spoil_answers(self, fault: Fault, numbers: list[int]) -> int:
        """Count the answers that were spoilt."""
        discoveries, began = [self.topology.discoveries[number] for number in numbers], time.monotonic()
        spoilt_before = sum(discovery.spoilt_answers for discovery in discoveries)
        for discovery in discoveries:
            discovery.spoil = fault.spoil
        await asyncio.sleep(fault.duration_s)
        for number in numbers:
            self.topology.discoveries[number].spoil = None
        # What is written whole counts as notified when it is written, whatever becomes of the answer.
        for number in [] if fault.spoil.writes_changes_at_once else numbers:
            self.record.spoilt_spans.setdefault(number, []).append((began, time.monotonic()))
        return sum(discovery.spoilt_answers for discovery in discoveries) - spoilt_before

    async def _fail_reads(self, fault: Fault, numbers: list[int]) -> int:
        """Count the calls for the whole list that met the fault."""
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
        """Count the dispatchers that made such a call."""
        drains = [asyncio.create_task(self._drain_at_read(fault, number)) for number in numbers]
        return sum(await asyncio.gather(*drains))

    async def _drain_at_read(self, fault: Fault, number: int) -> bool:
        """Whether a dispatcher made such a call within the fault's duration."""
        discovery, until = self.topology.discoveries[number], time.monotonic() + fault.duration_s
        draining = self.topology.workers[-fault.workers :]
        names = [worker.name for worker in draining]
        discovery.read_came.clear()
        try:
            async with asyncio.timeout(fault.duration_s):
                await discovery.read_came.wait()
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
        """Count the workers that began to drain. They take what still comes, so that it can be counted."""
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
        """Count the jobs that met the fault. Each fault of the kind takes a worker of its own if it can."""
        workers = self.topology.workers
        worker = next((worker for worker in reversed(workers) if worker.fault is None), workers[-1])
        hits_before, worker.fault = worker.fault_hits, fault.worker_fault
        await asyncio.sleep(fault.duration_s)
        worker.fault = None
        return worker.fault_hits - hits_before


def _can_restart(process: Process, fault: Fault) -> bool:
    """Whether this fault ends and starts the process.

    One that another fault is ending comes back by that one; one that is starting has not learned yet to end
    in order.
    """
    too_early = process.starting and fault.kind in ("term", "restart")
    return process.running and not process.ending and not too_early
