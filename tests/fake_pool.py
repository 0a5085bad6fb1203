"""A pool of workers without sockets, for attempts that are sent in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from virtual_time import PausingClock

from beaconhinge.membership.inventory import WorkerEndpoint
from beaconhinge.net.http1 import Message
from beaconhinge.policy import interface
from beaconhinge.policy.interface import AttemptOutcome
from beaconhinge.runtime.timer_wheel import TimerWheel


@dataclass
class FakePool:
    """Workers that accept all jobs; the list may be acted on from `usable_from_s` on."""

    clock: PausingClock
    timers: TimerWheel
    connect_s: float
    workers: dict[int, Any] = field(default_factory=dict)
    usable_from_s: float = 0.0
    written: list[tuple[float, interface.MemberEntry]] = field(default_factory=list)
    list_version: int = 1

    def list_members(self, entries: list[interface.MemberEntry]) -> None:
        for entry in entries:
            host = WorkerEndpoint(f"w{entry.worker}", ("127.0.0.1", 1), entry)
            self.workers[entry.worker] = SimpleNamespace(host=host)

    def list_usable(self) -> bool:
        return self.clock.now() >= self.usable_from_s

    async def wait_until_list_usable(self) -> None:
        await asyncio.sleep(max(0.0, self.usable_from_s - self.clock.now()))

    def is_in_maintenance(self, _worker: str) -> bool:
        return False

    async def connection(self, host: WorkerEndpoint) -> Any:
        await asyncio.sleep(self.connect_s)

        async def send(_data: bytes) -> None:
            self.written.append((self.clock.now(), self.workers[host.member.worker].host.member))

        async def read() -> Message:
            return Message(status=202)

        return SimpleNamespace(used_at=0.0, send=send, next=read, close=lambda: None)

    def keep(self, _host: WorkerEndpoint, _connection: Any, _message: Message) -> None:
        pass

    def put_back(self, _host: WorkerEndpoint, _connection: Any) -> None:
        pass

    async def exchange(self, _host: WorkerEndpoint, _method: str, _target: bytes) -> Message | AttemptOutcome:
        return Message(status=204)
