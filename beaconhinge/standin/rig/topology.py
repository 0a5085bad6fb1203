"""The processes and stand-ins of one run: dispatchers, workers, discovery servers and links."""

from __future__ import annotations

import asyncio
import shutil
import socket
from pathlib import Path

from ...net.keys import OWNER_KEY
from ...recovery import key_records
from ...store import Put, Store
from ..discovery import Discovery
from ..harness import SETTINGS
from ..http import Server
from ..ports import free_ports
from ..workers import DeduplicationGroup, FakeWorker
from . import shim
from .links import Links
from .process import Process
from .scenario import Scenario

UNSAFE_CLASS = {"name": "transfer", "aim": 2.0, "hardLimit": 7.5, "semantics": "fragile"}


class Topology:
    """The processes and stand-ins of a run, configured to reach each other.

    Each worker has one address for each dispatcher, and each dispatcher has a discovery server of its own. So
    a fault can hit a single dispatcher, and a worker knows which dispatcher sent a job.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.folder = folder
        # Backups of the stores as they were before the scenario, by number of the process.
        self.store_backups = folder / "old"
        self.shim_counts: list[Path] = []
        self._shim_library: Path | None = None
        count = scenario.processes
        self.ports = free_ports(count)
        self._peer_addresses = [("127.0.0.1", port) for port in free_ports(count, socket.SOCK_DGRAM)]
        self.links = Links(self._peer_addresses, scenario.seed)
        self.workers = self._create_workers()
        self.discoveries = [self._create_discovery(number) for number in range(count)]
        self.processes = [self._create_process(number) for number in range(count)]

    def _create_workers(self) -> list[FakeWorker]:
        scenario = self.scenario
        groups = [
            DeduplicationGroup(scenario.deduplication_window_s) for _ in range(scenario.deduplication_groups)
        ]
        mean_run_s = {
            "render": scenario.render_s,
            "publish": scenario.publish_s,
            "transfer": scenario.publish_s,
        }
        workers = [
            FakeWorker(
                f"s-{scenario.seed:04x}{number:04x}",
                self.ports[0],
                mean_run_s,
                scenario.slots,
                4 * scenario.slots,
                seed=scenario.seed,
                deduplication_group=groups[number % scenario.deduplication_groups],
                lost_share=scenario.lost_share,
                returned_share=scenario.returned_share,
            )
            for number in range(scenario.workers)
        ]
        for worker in workers:
            for port in self.ports[1:]:
                worker.add_address(port)
        return workers

    def _create_discovery(self, dispatcher: int) -> Discovery:
        groups = self.scenario.deduplication_groups
        return Discovery(
            [
                {
                    **worker.entry("ab"[number % 2], "plain", number % groups),
                    "addr": worker.servers[dispatcher].address,
                }
                for number, worker in enumerate(self.workers)
            ]
        )

    def _create_process(self, number: int) -> Process:
        return Process(
            number,
            self.ports[number],
            self.folder / f"n{number}",
            self._platform_config(number),
            self._local_config(),
            self._environment(number),
        )

    def _platform_config(self, number: int) -> dict[str, object]:
        peers, all_peers = self.links.addresses(number)
        host, port = self._peer_addresses[number]
        return {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": self.scenario.seed * 1000 + number,
            "settings": self._settings(number),
            "discovery": self.discoveries[number].server.address,
            "known": self.discoveries[number].whole_list(),
            "peer_listen": f"{host}:{port}",
            "peers": peers,
            "peers_all": all_peers,
            **self._limits(),
        }

    def _limits(self) -> dict[str, object]:
        sockets = self.scenario.sockets
        return {"limits": {"memory_mb": self.scenario.memory_mb, "sockets": sockets}} if sockets else {}

    def _settings(self, number: int) -> dict[str, object]:
        limits = {**SETTINGS["policyLimits"], "peers": True, "connectTimeout": 0.25}
        tenants = [
            {"name": "north", "share": 0.85, "quotaRps": 0.0},
            {"name": "south", "share": 0.15, "quotaRps": self.scenario.quota_rps},
        ]
        classes, family = SETTINGS["requestClasses"], SETTINGS["familyInfo"]
        if self.scenario.unsafe:
            classes = [*classes, UNSAFE_CLASS]
            family = {**family, "classKind": [-1] * 3, "classStretch": [2.0] * 3}
        window_s = self.scenario.deduplication_window_s
        classes = [
            {**job_class, "dedupWindow": window_s} if "dedupWindow" in job_class else job_class
            for job_class in classes
        ]
        if self.scenario.longest_deadline_s:
            classes = [{**job_class, "hardLimit": self.scenario.longest_deadline_s} for job_class in classes]
        return {
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

    def _local_config(self) -> str:
        store = '[store]\nfolder = "store"\n' if self.scenario.store else ""
        return (
            f'[platform]\nconfig = "balancer.json"\n[log]\nformat = "json"\n{store}'
            f"[recovery]\nenabled = {str(self.scenario.recovery).lower()}\n"
            f"stall_s = {self.scenario.stall_s}\n"
        )

    def _environment(self, number: int) -> dict[str, str]:
        """Return the environment of a process: with the shim in every second one, if the scenario has one."""
        if not self.scenario.system_calls or number % 2:
            return {}
        if self._shim_library is None:
            self._shim_library = shim.build_library(self.folder)
        self.shim_counts.append(self.folder / f"shim-{number}")
        return shim.environment(
            self._shim_library,
            self.shim_counts[-1],
            self.scenario.system_calls,
            self.scenario.seed * 1000 + number,
        )

    def has_reached_worker(self, request_id: str) -> bool:
        """Return whether a worker has received the request with this id."""
        return any(
            deadline.request_id == request_id for worker in self.workers for deadline in worker.deadlines
        )

    def servers(self) -> list[Server]:
        """Return all servers of the stand-ins, those of discovery first."""
        return [
            *(discovery.server for discovery in self.discoveries),
            *(server for worker in self.workers for server in worker.servers),
        ]

    async def prepare_stores(self) -> None:
        """Give each process a store like that of a long-running one, with a complete journal of keys."""
        await asyncio.gather(*(self._prepare_store(process) for process in self.processes))

    async def _prepare_store(self, process: Process) -> None:
        process.folder.mkdir()
        store = Store.open(process.folder / "store")
        owner = key_records.encode_owner(f"n{process.number}", process.number, 0.0)
        await store.commit([Put(OWNER_KEY, owner)])
        await store.close()
        shutil.copytree(process.folder / "store", self.store_backups / str(process.number))
