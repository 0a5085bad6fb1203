"""Tasks under leases: scheduled calls by one dispatcher for the fleet, and leases for operators' commands."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

from ..config import Config, ConfigError
from ..config.local import LeaseCall, LeaseOptions
from ..config.platform import address
from ..management import calls
from ..management.calls import OperatorCall
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Store
from . import http1
from .http1 import BadMessage, Closed, Connection
from .leases import LeaseLost, LeaseService, Tenure
from .operator_calls import OperatorCalls
from .peers import PeerSocket
from .sockets import connect
from .upgrade import ProcessUpgrade

CONNECT_TIMEOUT_S = 0.25  # seconds for the connection, which do not count towards an act's longest time
STALE_TENURE_STATUSES = (409, 412)  # statuses of a receiver that has seen a greater tenure number
COMMAND_LEASE_S = 3.0  # seconds for which an operator's call keeps a lease; the command has to repeat it
CHECK_INTERVAL_S = 0.05  # seconds between checks whether an operator's command still wants the lease


def wire_leases(
    options: LeaseOptions,
    config: Config,
    store: Store | None,
    operators: OperatorCalls,
    upgrade: ProcessUpgrade | None,
    peers: PeerSocket,
    timers: TimerWheel,
    metrics: Metrics,
    inherited: dict[str, Any] | None,
) -> LeaseService:
    """Start leases, their scheduled calls and the operators' calls; return the service.

    `inherited` is the state by part that another process of this dispatcher handed over in an upgrade.

    Raises:
        ConfigError: No `peer_listen` is configured, so that other dispatchers' votes cannot arrive.
    """
    if config.peer_listen is None and config.settings.group_size > 1:
        raise ConfigError("leases.enabled: needs peer_listen and peers, by which dispatchers exchange votes")
    leases = LeaseService(options, config, store, peers, timers, metrics)
    if upgrade is not None:
        upgrade.parts["leases"] = leases.hand_over_state, leases.take_back
    operators.handlers |= CommandLeases(leases, timers, metrics).handlers
    leases.open((inherited or {}).get("leases"))
    ScheduledCalls(leases, timers, metrics).start(options.calls)
    return leases


class ScheduledCalls:
    """Sends a POST at each multiple of `every_s` in Unix time while this process holds the call's lease."""

    def __init__(self, leases: LeaseService, timers: TimerWheel, metrics: Metrics) -> None:
        self.leases = leases
        self.timers = timers
        self.metrics = metrics

    def start(self, lease_calls: list[LeaseCall]) -> None:
        """Start one task for each call."""
        for call in lease_calls:
            self.metrics.spawn(self._run(call), f"lease {call.name}")

    async def _run(self, call: LeaseCall) -> None:
        while True:
            try:
                async with self.leases.hold(call.name) as tenure:
                    while await self._act(call, tenure):
                        pass
            except LeaseLost:
                pass  # already logged and counted: another process has the lease, or this one was stopped
            # After a rejected number or a hand-over, other processes get the lease first.
            await asyncio.sleep(call.longest_s)

    async def _act(self, call: LeaseCall, tenure: Tenure) -> bool:
        """Send the next call when it is due; return whether to go on with this tenure."""
        now = self.timers.now()
        due = (math.floor(now / call.every_s) + 1) * call.every_s
        await asyncio.sleep(due - now)
        connection = None
        try:
            async with self.timers.timeout(CONNECT_TIMEOUT_S):
                connection = Connection(await connect(address(call.to, call.name)), False, lambda: None)
            head = {
                "Host": call.to,
                "X-Lease": call.name,
                "X-Lease-Number": str(tenure.number),
                "Content-Length": "0",
            }
            data = http1.request("POST", call.path.encode(), head)
            # Nothing else runs between this check and the write to the socket. The receiver recognises a call
            # that is delayed after that by its tenure's number.
            if not tenure.may_act(call.longest_s):
                self.metrics.count("lease_acts_put_off")
                return tenure.seconds_left > 0
            async with self.timers.timeout(call.longest_s):
                await connection.send(data)
                answer = await connection.next()
            tenure.act_done()
        except (OSError, Closed, BadMessage) as error:  # TimeoutError is an OSError
            self.metrics.count_and_log(
                "lease_act_failed", lease=call.name, why=f"{type(error).__name__}: {error}"
            )
            return True
        finally:
            if connection is not None:
                connection.close()
        self.metrics.count("lease_acts")
        if answer.status in STALE_TENURE_STATUSES:
            self.metrics.count_and_log("lease_number_refused", lease=call.name, number=tenure.number)
            return False
        return True


class CommandLeases:
    """Leases that operators' commands take by management calls.

    Attributes:
        handlers: The handlers of the management calls, by the call's name.
    """

    def __init__(self, leases: LeaseService, timers: TimerWheel, metrics: Metrics) -> None:
        self.leases = leases
        self.timers = timers
        self.metrics = metrics
        self.handlers: dict[str, Callable[[OperatorCall], bytes | Awaitable[bytes]]] = {
            calls.LEASE_LIST: self._list,
            calls.LEASE_TAKE: self._take,
            calls.LEASE_GIVE: self._give,
            calls.LEASE_HAND_OVER: self._hand_over,
        }

    def _list(self, _call: OperatorCall) -> bytes:
        return calls.multi_line(self.leases.status_json())

    def _take(self, call: OperatorCall) -> bytes:
        try:
            lease = self.leases.lease(call.argument)
        except ValueError as why:
            return calls.failure(str(why))
        lease.command_until = self.timers.now() + COMMAND_LEASE_S
        if lease.command_task is None or lease.command_task.done():
            lease.command_task = self.metrics.spawn(self._keep(call.argument), f"lease {call.argument}")
        held = self.leases.current_tenure(lease)
        if held is None:
            return calls.success("waiting")
        return calls.success(f"held {held.number} {max(0, int(1000 * (held.end - self.timers.now())))}")

    def _give(self, call: OperatorCall) -> bytes:
        """Give up the lease of a command that has ended."""
        try:
            self.leases.lease(call.argument).command_until = 0.0
        except ValueError as why:
            return calls.failure(str(why))
        return calls.success(f"{call.argument} is given up")

    def _hand_over(self, call: OperatorCall) -> bytes:
        try:
            held = self.leases.hand_over(self.leases.lease(call.argument))
        except ValueError as why:
            return calls.failure(str(why))
        if not held:
            return calls.failure(f"{call.argument} is not held here")
        return calls.success(f"{call.argument} is for others")

    async def _keep(self, name: str) -> None:
        lease = self.leases.lease(name)
        while self.timers.now() < lease.command_until:
            try:
                async with (
                    asyncio.timeout(max(0.0, lease.command_until - self.timers.now())) as wait,
                    self.leases.hold(name),
                ):
                    wait.reschedule(None)
                    while self.timers.now() < lease.command_until:
                        await asyncio.sleep(CHECK_INTERVAL_S)
            except (LeaseLost, TimeoutError):
                pass
