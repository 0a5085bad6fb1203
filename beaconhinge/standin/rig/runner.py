"""Runs a scenario: starts the processes and stand-ins, lets the faults happen, and has it judged."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from ...net.keys import OWNER_KEY
from ...recovery import key_records
from ...store import Put, Store
from ..discovery import Discovery
from ..harness import SETTINGS
from ..http import Server
from ..ports import free_ports
from ..workers import DeduplicationGroup, FakeWorker
from . import shim
from .clients import Clients
from .judge import judged
from .links import Links
from .process import Process
from .scenario import Fault, Scenario, draw_faults
from .verdict import Act, Verdict

UNSAFE_CLASS = {"name": "transfer", "aim": 2.0, "hardLimit": 7.5, "semantics": "fragile"}
WINDOW = 40.0  # seconds in which a rack drops a repeat
SETTLED = 1.0  # seconds after the last answer, in which what a fault left behind shows
LONGER = 10.0  # seconds that a fault of links lasts beyond its end while it has hit nothing
ORPHANED = 2.0  # seconds after a return, when jobs of the old life are counted that boxes still run


class ScenarioRun:
    """One run of a scenario, and what was recorded of it."""

    def __init__(
        self, scenario: Scenario, folder: Path, told: Callable[[str], None] = lambda line: None
    ) -> None:
        self.scenario = scenario
        self.told = told
        self.events: list[str] = []
        self.hits: Counter[str] = Counter()
        self.statuses: list[int] = []
        self.drains: list[tuple[FakeWorker, float, float]] = []  # from when to when
        self.silent: dict[int, float] = {}  # when the watch of a dispatcher fell silent
        self.away: dict[int, list[tuple[float, float]]] = {}  # spans in which its discovery was out
        self.shim_counts: list[Path] = []
        self.spoilt: dict[int, list[tuple[float, float]]] = {}  # spans in which its answers were spoilt
        self.orphans = 0
        self._counting: list[asyncio.Task[None]] = []
        self._lasting = list(scenario.faults)
        self.late_by_s = 0.0  # seconds by which a fault that is over ended later than planned
        self.acts: list[Act] = []
        self.leases = [f"export-{number}" for number in range(scenario.leases)]
        self.resource: asyncio.subprocess.Process | None = None
        self.old = folder / "old"  # a backup of a store as it was before the scenario
        count = scenario.processes
        ports = free_ports(count)
        real = [("127.0.0.1", port) for port in free_ports(count, socket.SOCK_DGRAM)]
        self.links = Links(real, scenario.seed)
        racks = [DeduplicationGroup(WINDOW) for _ in range(scenario.deduplication_groups)]
        means = {"render": scenario.render_s, "publish": scenario.publish_s, "transfer": scenario.publish_s}
        self.boxes = [
            FakeWorker(
                f"s-{scenario.seed:04x}{n:04x}",
                ports[0],
                means,
                scenario.slots,
                4 * scenario.slots,
                seed=scenario.seed,
                deduplication_group=racks[n % scenario.deduplication_groups],
            )
            for n in range(scenario.workers)
        ]
        for worker in self.boxes:
            for port in ports[1:]:
                worker.add_address(port)
        # Each dispatcher reaches a box at an address of its own, and so has a list of its own.
        self.lists = [
            Discovery(
                [
                    {
                        **worker.entry("ab"[n % 2], "plain", n % scenario.deduplication_groups),
                        "addr": worker.servers[i].address,
                    }
                    for n, worker in enumerate(self.boxes)
                ]
            )
            for i in range(count)
        ]
        self.processes = [
            Process(
                i,
                ports[i],
                folder / f"n{i}",
                self._platform(i, ports[i], real[i]),
                self._ours(),
                self._environment(i, folder),
            )
            for i in range(count)
        ]
        self.clients = Clients(
            scenario,
            ports,
            self.late,
            lambda request: any(
                given.request == request for worker in self.boxes for given in worker.deadlines
            ),
        )
        self.began = 0.0

    def _platform(self, number: int, port: int, listen: tuple[str, int]) -> dict[str, object]:
        peers, everyone = self.links.addresses(number)
        limits = {**SETTINGS["policyLimits"], "peers": True, "connectTimeout": 0.25}
        tenants = [
            {"name": "north", "share": 0.85, "quotaRps": 0.0},
            {"name": "south", "share": 0.15, "quotaRps": self.scenario.quota_rps},
        ]
        classes, family = SETTINGS["requestClasses"], SETTINGS["familyInfo"]
        if self.scenario.unsafe:
            classes = [*classes, UNSAFE_CLASS]
            family = {**family, "classKind": [-1] * 3, "classStretch": [2.0] * 3}
        settings = {
            **SETTINGS,
            "requestClasses": classes,
            "familyInfo": family,
            "orgs": tenants,
            "groupSize": self.scenario.processes,
            "myNumber": number,
            "policyLimits": limits,
            "clients": {"marksRetry": True},
            "rules": {"mustAskIn": 10.0, "graceToAnswer": 0.008},
            "membershipMode": "pushed" if self.scenario.pushed_membership else "on_request",
        }
        return {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "seed": self.scenario.seed * 1000 + number,
            "settings": settings,
            "discovery": self.lists[number].server.address,
            "known": self.lists[number].whole(),
            "peer_listen": f"{listen[0]}:{listen[1]}",
            "peers": peers,
            "peers_all": everyone,
        }

    def _environment(self, number: int, folder: Path) -> dict[str, str]:
        """Every second process has system calls that fail, where the scenario wants that."""
        if not self.scenario.system_calls or number % 2:
            return {}
        if not self.shim_counts:
            self._library = shim.build_library(folder)
        self.shim_counts.append(folder / f"shim-{number}")
        return shim.environment(
            self._library,
            self.shim_counts[-1],
            self.scenario.system_calls,
            self.scenario.seed * 1000 + number,
        )

    def _ours(self) -> str:
        store = '[store]\nfolder = "store"\n' if self.scenario.store else ""
        return (
            f'[platform]\nconfig = "balancer.json"\n[log]\nformat = "json"\n{store}'
            f"[recovery]\nenabled = {str(self.scenario.recovery).lower()}\n"
            f"stall_s = {self.scenario.stall_s}\n"
        )

    # ---- the scenario --------------------------------------------------------------------------------------

    async def run(self) -> Verdict:
        self.links.start()
        if self.scenario.leases:
            await self._start_resource()
        for server in self._servers():
            server.start()
        try:
            if self.scenario.store:
                await asyncio.gather(*(self._settle(process) for process in self.processes))
            await asyncio.gather(*(process.start() for process in self.processes))
            self.began = time.monotonic()
            faults = [asyncio.create_task(self._fault(fault)) for fault in self.scenario.faults]
            asking = asyncio.create_task(self.clients.run())
            await asyncio.gather(asking, *faults)
            await asyncio.gather(*self._counting)
            await asyncio.sleep(SETTLED)
            self.statuses += await asyncio.gather(*(p.end(signal.SIGTERM) for p in self.processes))
        finally:
            for process in self.processes:
                process.signal(signal.SIGKILL)
            if self.resource is not None:
                self.resource.kill()
                await self.resource.wait()
            for server in self._servers():
                await server.stop()
            for worker in self.boxes:
                worker.close()
            self.links.close()
        return judged(self)

    async def _start_resource(self) -> None:
        """Where acts go. Every dispatcher's configuration is written with its address when it starts."""
        self.resource = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "beaconhinge.standin.resource",
            str(self.scenario.seed),
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.resource.stdout is not None
        port = json.loads(await self.resource.stdout.readline())["port"]
        for process in self.processes:
            process.local_config += f"[leases]\nenabled = true\nspan_s = {self.scenario.lease_span_s}\n"
            for lease in self.leases:
                process.local_config += (
                    f'[[leases.calls]]\nname = "{lease}"\nto = "127.0.0.1:{port}"\n'
                    f"every_s = {self.scenario.lease_act_interval_s}\n"
                    f"longest_s = {0.4 * self.scenario.lease_span_s}\n"
                )
        self.reading = asyncio.create_task(self._read_acts(self.resource.stdout))

    async def _read_acts(self, lines: asyncio.StreamReader) -> None:
        async for line in lines:
            self.acts.append(msgspec.json.decode(line, type=Act))

    def _servers(self) -> list[Server]:
        return [
            *(found.server for found in self.lists),
            *(s for worker in self.boxes for s in worker.servers),
        ]

    async def _settle(self, process: Process) -> None:
        """Its folder is that of a dispatcher which has run for long: its journal of keys is whole."""
        process.folder.mkdir()
        store = Store.open(process.folder / "store")
        await store.commit(
            [Put(OWNER_KEY, key_records.encode_owner(f"n{process.number}", process.number, 0.0))]
        )
        await store.close()
        shutil.copytree(process.folder / "store", self.old / str(process.number))

    def _say(self, what: str) -> None:
        line = f"{time.monotonic() - self.began:7.2f} s  {what}"
        self.events.append(line)
        self.told(line)

    def late(self) -> float:
        """Seconds by which a fault ends later than planned: a slow machine takes long to start a process.

        The scenario goes on for as much longer, so that what comes after the faults is as long as meant.
        """
        now = time.monotonic() - self.began
        return max(0.0, self.late_by_s, *(now - fault.at_s - fault.duration_s for fault in self._lasting))

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self.began + fault.at_s - time.monotonic()))
        who = self.scenario.affected_dispatchers(fault)
        self._say(f"{fault.kind} {','.join(map(str, who))} for {fault.duration_s:g} s")
        act = {
            "stop": self._stop,
            "kill": self._restart,
            "term": self._restart,
            "cut": self._drop,
            "lossy": self._drop,
            "discovery": self._no_discovery,
            "mute": self._mute,
            "drain": self._drain,
            "spoil": self._spoil,
            "reload": self._reload,
            "workers": self._trouble_workers,
        }[fault.kind]
        hit = await act(fault, who)  # first: another of its kind may have been counted meanwhile
        self.hits[fault.kind] += hit
        self.late_by_s = self.late()
        self._lasting.remove(fault)
        self._say(f"{fault.kind} {','.join(map(str, who))} is over")

    async def _stop(self, fault: Fault, who: list[int]) -> int:
        hit = [self.processes[n] for n in who if self.processes[n].pause()]
        await asyncio.sleep(fault.duration_s)
        for process in hit:
            process.resume()
        return len(hit)

    async def _restart(self, fault: Fault, who: list[int]) -> int:
        # One that another fault is ending comes back by that one; one that is starting has not learned yet
        # to end in order.
        hit = [
            p
            for p in (self.processes[n] for n in who)
            if p.running and not p.ending and not (p.starting and fault.kind == "term")
        ]
        ports = {process.port for process in hit}
        old = [
            (worker, job)
            for worker in self.boxes
            for job in worker.jobs
            if job[0] in ports and job[1] in worker.runs
        ]
        number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
        statuses = await asyncio.gather(*(process.end(number) for process in hit))
        self.statuses += statuses if fault.kind == "term" else []
        await asyncio.sleep(fault.duration_s)
        for process in hit:
            if fault.folder == "empty":
                process.delete_folder()
            elif fault.folder == "old":
                process.restore_store(self.old / str(process.number))
            elif fault.folder == "other":
                process.restore_store(self.processes[process.number - 1].folder / "store")
        await asyncio.gather(*(process.start() for process in hit))
        if fault.kind == "kill":
            self._counting.append(asyncio.create_task(self._count(old)))
        return len(hit)

    async def _count(self, old: list[tuple[FakeWorker, tuple[int, str]]]) -> None:
        await asyncio.sleep(ORPHANED)
        self.orphans += sum(job in worker.jobs for worker, job in old)

    async def _drop(self, fault: Fault, who: list[int]) -> int:
        """The datagrams that it took. While it has taken none, it lasts up to LONGER beyond its end."""
        before, ways = self.links.counters["dropped"], list[tuple[int, int]]()
        if fault.kind == "cut":
            ways = [
                (i, j) for i in who for j in fault.destinations or range(self.scenario.processes) if i != j
            ]
            self.links.cuts.update(ways)
        else:
            self.links.loss_shares.update(dict.fromkeys(who, fault.loss_share))
        await asyncio.sleep(fault.duration_s)
        until = time.monotonic() + (LONGER if ways or fault.kind == "lossy" else 0.0)
        while self.links.counters["dropped"] == before and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.links.cuts.subtract(ways)
        if fault.kind == "lossy":
            for number in who:
                self.links.loss_shares.pop(number, None)
        return self.links.counters["dropped"] - before

    async def _no_discovery(self, fault: Fault, who: list[int]) -> int:
        """The calls that it met."""
        lists, began = [self.lists[n] for n in who], time.monotonic()
        before = sum(found.calls for found in lists)
        for found in lists:
            found.take_out()
        await asyncio.sleep(fault.duration_s)
        for found in lists:
            found.is_out = False
        for number in who:
            self.away.setdefault(number, []).append((began, time.monotonic()))
        return sum(found.calls for found in lists) - before

    async def _mute(self, fault: Fault, who: list[int]) -> int:
        """The watches that fell silent."""
        self.silent.update(dict.fromkeys(who, time.monotonic()))
        hit = sum(self.lists[n].mute() for n in who)
        await asyncio.sleep(fault.duration_s)
        return hit

    async def _drain(self, fault: Fault, who: list[int]) -> int:
        """The boxes that began to drain. They take what still comes, so that it can be counted."""
        leaving = self.boxes[: fault.workers]
        began = time.monotonic()
        names = [worker.name for worker in leaving]
        for found in self.lists:
            found.change(names, state="Terminating")
        await asyncio.sleep(fault.duration_s)
        self.drains += [(worker, began, time.monotonic()) for worker in leaving]
        for found in self.lists:
            found.change(names, state="Ready")
        return len(leaving)

    async def _reload(self, fault: Fault, who: list[int]) -> int:
        """The processes that were told of a new configuration; it is the same."""
        return sum(self.processes[n].signal(signal.SIGHUP) for n in who if not self.processes[n].starting)

    async def _trouble_workers(self, fault: Fault, who: list[int]) -> int:
        """The jobs that met the trouble. One more fault of the kind has to wait for a worker of its own."""
        worker = next((worker for worker in reversed(self.boxes) if worker.fault is None), self.boxes[-1])
        before, worker.fault = worker.fault_hits, fault.worker_fault
        await asyncio.sleep(fault.duration_s)
        worker.fault = None
        return worker.fault_hits - before

    async def _spoil(self, fault: Fault, who: list[int]) -> int:
        """The answers that it spoilt."""
        lists, began = [self.lists[n] for n in who], time.monotonic()
        before = sum(found.spoilt_answers for found in lists)
        for found in lists:
            found.spoil = fault.spoil
        await asyncio.sleep(fault.duration_s)
        for number in who:
            self.lists[number].spoil = None
            self.spoilt.setdefault(number, []).append((began, time.monotonic()))
        return sum(found.spoilt_answers for found in lists) - before


async def run_scenario(scenario: Scenario, told: Callable[[str], None] = lambda line: None) -> Verdict:
    """Run it in a folder of its own, which goes with it. Raises SceneError where a process does not start."""
    with tempfile.TemporaryDirectory(prefix="beaconhinge-") as folder:
        return await ScenarioRun(draw_faults(scenario), Path(folder), told).run()
