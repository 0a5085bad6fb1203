"""Builds the components of a dispatcher process, and starts and stops them in the order that they need."""

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
from .dispatch.request_table import RequestTable
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
from .runtime.process_memory import anonymous_memory_bytes
from .runtime.timer_wheel import TimerWheel

# `run` in `__main__.py` blocks these signals first; `handle_signals` unblocks them once handlers are set.
SIGNALS_BLOCKED_AT_START = {signal.SIGHUP}

# Seconds that the end of the process waits for withdrawals that no worker has confirmed.
WITHDRAWALS_BEFORE_END_S = 0.1

# Modules that only some configurations need are imported where they are used, to keep the start short.
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
    """Serve until SIGTERM or SIGINT, then shut down in order.

    Args:
        read_config: reads the platform's configuration; called at the start and at each SIGHUP.
        local_config: the local configuration as read at the start; None if there is none.
        shared_folder: the folder of the file in which a process publishes its management address to the
            process that will replace it; None disables upgrades without downtime.
        read_local_config: reads the local configuration again at a SIGHUP; None if there is none.

    Raises:
        ConfigError: the configuration is invalid.
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
    """Owns the components of the process. The constructor builds those that every configuration has.

    `start` adds the optional ones, since they may need state that an earlier process hands over.
    """

    def __init__(
        self,
        read_config: Callable[[], Config],
        local_config: LocalConfig | None,
        shared_folder: Path | None,
        read_local_config: Callable[[], LocalConfig] | None,
    ) -> None:
        """Build the components, each after those that it depends on; see `serve` for the arguments."""
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
        # Beside the descriptors for operators' calls, reserve those that a second process needs to start.
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
        metrics.gauges = {
            "client_connections": lambda: len(self.listener.clients.clients),
            "client_connections_past_bound": lambda: self.listener.clients.past_bound,
            "message_bytes": lambda: self.listener.clients.message_memory_bytes,
            "message_bytes_free": lambda: budget.free_message_bytes,
            "process_memory_bytes": anonymous_memory_bytes,
        }
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
        """Set the signal handlers: SIGTERM and SIGINT call `stop`, SIGUSR1 logs counters, SIGHUP reloads.

        A SIGHUP that arrived while it was blocked takes effect now.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop)
        loop.add_signal_handler(signal.SIGUSR1, self.metrics.log_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS_BLOCKED_AT_START)

    async def start(self) -> None:
        """Start the components in order.

        State handed over by an earlier process is read first; then the peer socket and the policy start, and
        stored state is restored. Only then does the listener accept clients; operators' calls come last.
        """
        inherited = await self.upgrade.inherit() if self.upgrade is not None else None
        self.peers.listen()
        self.policy_runner.feed(interface.Start())
        if self.upgrade is not None and inherited is not None:
            self.upgrade.restore(inherited)
        self._start_optional_components(inherited)
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
        """Stop the components: release leases, answer clients, save the quotas and close the store."""
        self.metrics.log("stopping", owed=self.listener.unanswered)
        if self.leases is not None:
            self.leases.leave()
        self.peers.stop_sending()
        await self.listener.finish()
        await self.workers.attempts.withdrawals.finish(WITHDRAWALS_BEFORE_END_S)
        if self.snapshots is not None:
            await self.snapshots.write()
            await self.snapshots.store.close()
            self.metrics.counters.update(self.snapshots.store.engine.counters)
        self.timers.stop()
        self.metrics.log_counters()
        self.metrics.log("stopped")

    def reload(self) -> None:
        """Read the whole configuration again and apply it; an invalid one changes nothing.

        Requests in progress continue.
        """
        try:
            new_config = self.read_config()
            self._reload_leases()
        except ConfigError as error:
            self.metrics.count_and_log("reload_refused", why=error)
            return
        self.discovery.switch_to(new_config.discovery)
        self.peers.set_addresses(new_config)
        self.metrics.count("reloads")
        self.metrics.log(
            "reloaded",
            discovery=f"{new_config.discovery[0]}:{new_config.discovery[1]}",
            wait_for_restart=",".join(self.config.changes_for_restart(new_config)) or "none",
        )

    def _reload_leases(self) -> None:
        if self.leases is None or self.read_local_config is None:
            return
        if refusal := self.leases.reload(self.read_local_config().leases):
            raise ConfigError(refusal)

    def _start_optional_components(self, inherited: dict[str, Any] | None) -> None:
        """Start the components that the local configuration enables: quota snapshots, recovery and leases."""
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
        """Open the store, restore the last run's quotas, schedule the next snapshot and return the writer.

        Blocks the event loop, which is safe because no client is accepted yet.
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
    """Return the writer for the configured log format; None for plain text."""
    if local_config.log.format == "plain":
        return None
    from .logs import writer

    return writer(local_config.log.format, sys.stderr, clock.now)
