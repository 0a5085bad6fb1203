"""The parts of a running dispatcher: built, started and stopped in the order that stands here."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .config import Config, ConfigError
from .dispatch.policy_runner import PolicyRunner
from .dispatch.request import RequestTable
from .net.discovery import Discovery
from .net.listener import Listener
from .net.management import MAX_CALLERS, Management
from .net.operator_calls import OperatorCalls
from .net.peers import PeerSocket
from .net.sockets import RESERVED_DESCRIPTORS, DescriptorBudget
from .net.upgrade import ProcessUpgrade
from .net.worker_pool import WorkerPool
from .policy import interface
from .policy.dispatcher import Dispatcher
from .runtime.clock import Clock
from .runtime.metrics import Metrics
from .runtime.timer_wheel import TimerWheel

# Blocked from the first moment of `run` until their handlers are set.
SIGNALS_BLOCKED_AT_START = {signal.SIGHUP}

# What only some configurations need is imported where it is built: a start stays lean.
if TYPE_CHECKING:
    from .config.local import LocalConfig
    from .net.leases import LeaseService
    from .net.restart import RestartCoordinator
    from .quota_snapshots.writer import SnapshotWriter
    from .store import Store


async def serve(
    read_config: Callable[[], Config],
    local_config: LocalConfig | None = None,
    shared_folder: Path | None = None,
    read_local_config: Callable[[], LocalConfig] | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, and end in good order.

    Args:
        read_config: reads the platform's configuration, at the start and at each SIGHUP.
        local_config: our own configuration, where there is one.
        shared_folder: where a process leaves its address for the one that will replace it.
        read_local_config: reads our own configuration as it is now.

    Raises:
        ConfigError: the configuration is faulty.
        Error: an address or the store cannot be used.
        OSError: a socket or a file cannot be used.
    """
    application = Application(read_config, local_config, shared_folder, read_local_config)
    stopping = asyncio.Event()
    application.handle_signals(stopping.set)
    await application.start()
    await stopping.wait()
    await application.stop()


class Application:
    """The composition of the process. The constructor builds the parts that every configuration has.

    `start` adds the others, since they may need what an earlier process hands over.
    """

    def __init__(
        self,
        read_config: Callable[[], Config],
        local_config: LocalConfig | None,
        shared_folder: Path | None,
        read_local_config: Callable[[], LocalConfig] | None,
    ) -> None:
        """Build the parts, in the order in which each needs the ones before it; see `serve`."""
        self.read_config = read_config
        self.local_config = local_config
        self.read_local_config = read_local_config
        config = self.config = read_config()
        clock = Clock()
        traced = frozenset(os.environ.get("BEACONHINGE_TRACE", "").split(","))
        writer = _log_writer(local_config, clock) if local_config else None
        metrics = self.metrics = Metrics(clock.now, writer=writer, traced=traced)
        timers = self.timers = TimerWheel(clock.now, metrics.log_exception)
        dispatcher = Dispatcher(config.settings, config.seed)
        policy_runner = self.policy_runner = PolicyRunner(dispatcher, timers, metrics)
        # Beside the operators' descriptors a second process needs its own to start with.
        reserved = 2 * (MAX_CALLERS + 1) + RESERVED_DESCRIPTORS if config.mgmt else 0
        budget = DescriptorBudget(config.limits.sockets, config.limits.max_body_bytes, reserved)
        self.workers = WorkerPool(config, policy_runner, timers, budget, metrics)
        self.discovery = Discovery(config, policy_runner, self.workers, timers, metrics, clock.wall_time)
        self.peers = PeerSocket(config, policy_runner, timers, metrics)
        self.requests = RequestTable(
            policy_runner, self.workers, timers, metrics, config.settings, config.class_names
        )
        self.listener = Listener(
            config,
            self.requests,
            self.workers.receive_callback,
            lambda: bool(self.workers.workers) and self.discovery.list_usable,
            self.peers.others_reachable,
            timers,
            budget,
            metrics,
        )
        self.operators = OperatorCalls(config, policy_runner, self.workers, self.requests, self.listener)
        self.upgrade = self._make_upgrade(shared_folder, budget)
        if local_config and local_config.progress.enabled:
            from .net.streams import Streams

            self.listener.streams = Streams(local_config.progress, config, self.requests, timers, metrics)
        self.snapshots: SnapshotWriter | None = None
        self.recovery: RestartCoordinator | None = None
        self.leases: LeaseService | None = None

    def _make_upgrade(self, shared_folder: Path | None, budget: DescriptorBudget) -> ProcessUpgrade | None:
        if self.config.mgmt is None or shared_folder is None:
            return None
        return ProcessUpgrade(
            self.config,
            self.config.mgmt,
            shared_folder,
            self.policy_runner,
            self.workers,
            self.discovery,
            self.peers,
            self.listener,
            self.operators,
            budget,
            self.timers,
            self.metrics,
        )

    def handle_signals(self, stop: Callable[[], None]) -> None:
        """Set the handlers of signals; a SIGHUP that came since `run` began is dealt with now."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop)
        loop.add_signal_handler(signal.SIGUSR1, self.metrics.log_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS_BLOCKED_AT_START)

    async def start(self) -> None:
        """Start the parts.

        What an earlier process hands over comes first, then peers and the policy, then what was stored; all
        of that before the first client is accepted, and operators' calls last.
        """
        inherited = await self.upgrade.inherit() if self.upgrade is not None else None
        self.peers.listen()
        self.policy_runner.feed(interface.Start())
        if self.upgrade is not None and inherited is not None:
            self.upgrade.restore(inherited)
        self._start_stored_parts(inherited)
        self.discovery.start_from_bootstrap()
        self.listener.listen()
        if self.recovery is not None:
            self.recovery.open(inherited is not None)
        if self.upgrade is not None:
            await self.upgrade.announce_serving()
        if self.config.mgmt is not None:
            management = Management(self.config.mgmt, self.operators.handlers, self.timers, self.metrics)
            management.accept_successor = self.upgrade.accept_successor if self.upgrade is not None else None
            management.listen()
        self.metrics.log(
            "started",
            name=self.config.name,
            listen=f"{self.config.listen[0]}:{self.config.listen[1]}",
            workers=len(self.workers.workers),
            sockets=self.config.limits.sockets,
        )

    async def stop(self) -> None:
        """Stop the parts: give leases back, answer clients, save quotas and the store."""
        self.metrics.log("stopping", owed=self.listener.unanswered)
        if self.leases is not None:
            self.leases.leave()
        self.peers.stop_sending()
        await self.listener.finish()
        if self.snapshots is not None:
            await self.snapshots.write()
            await self.snapshots.store.close()
            self.metrics.counters.update(self.snapshots.store.engine.counters)
        self.timers.stop()
        self.metrics.log_counters()
        self.metrics.log("stopped")

    def reload(self) -> None:
        """Read the whole configuration again; nothing of a faulty one counts. Requests in work go on."""
        try:
            new = self.read_config()
            self._reload_leases()
        except ConfigError as error:
            self.metrics.count_and_log("reload_refused", why=error)
            return
        self.discovery.switch_to(new.discovery)
        self.peers.set_addresses(new)
        self.metrics.count("reloads")
        self.metrics.log(
            "reloaded",
            discovery=f"{new.discovery[0]}:{new.discovery[1]}",
            wait_for_restart=",".join(self.config.changes_for_restart(new)) or "none",
        )

    def _reload_leases(self) -> None:
        if self.leases is None or self.read_local_config is None:
            return
        if why := self.leases.reload(self.read_local_config().leases):
            raise ConfigError(why)

    def _start_stored_parts(self, inherited: dict[str, Any] | None) -> None:
        """Start what our own configuration switches on: quota snapshots, recovery, leases."""
        local_config = self.local_config
        if local_config is None:
            return
        store: Store | None = None
        if local_config.store.folder:
            self.snapshots = self._start_snapshots(local_config)
            store = self.snapshots.store
        if local_config.recovery.enabled:
            from .net.recovery import wire_recovery

            self.recovery = wire_recovery(
                local_config.recovery,
                self.config,
                store,
                self.policy_runner,
                self.timers,
                self.requests,
                self.workers,
                self.discovery,
                self.peers,
                self.listener,
                self.operators,
                self.upgrade,
                self.metrics,
            )
        if local_config.leases.enabled:
            from .net.lease_calls import wire_leases

            self.leases = wire_leases(
                local_config.leases,
                self.config,
                store,
                self.operators,
                self.upgrade,
                self.peers,
                self.timers,
                self.metrics,
                inherited,
            )

    def _start_snapshots(self, local_config: LocalConfig) -> SnapshotWriter:
        """Restore the quotas of the last run before the policy decides anything.

        Blocks; no client is accepted yet.
        """
        from .quota_snapshots.writer import SnapshotWriter
        from .store import Store

        writer = SnapshotWriter(
            Store.open(local_config.store.folder, local_config.store, log=self.metrics.log),
            self.policy_runner.dispatcher,
            self.timers,
            self.metrics,
            local_config.books.interval_s,
            local_config.books.max_age_s,
        )
        writer.restore()
        writer.schedule_write()
        return writer


def _log_writer(local_config: LocalConfig, clock: Clock) -> Callable[[str, dict[str, object]], None] | None:
    if local_config.log.format == "plain":
        return None
    from .logs import writer

    return writer(local_config.log.format, sys.stderr, clock.now)
