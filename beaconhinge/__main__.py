"""Start, signals and an orderly exit."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from .config import Config, ConfigError, load
from .dispatch.policy_runner import PolicyRunner
from .dispatch.request import RequestTable
from .errors import Error
from .net.discovery import Discovery
from .net.listener import Listener
from .net.management import CALLERS, Management
from .net.operator_calls import OperatorCalls
from .net.peers import PeerSocket
from .net.sockets import RESERVED_DESCRIPTORS, DescriptorBudget
from .net.upgrade import Upgrade
from .net.worker_pool import WorkerPool
from .policy import interface
from .policy.dispatcher import Dispatcher
from .runtime.clock import Clock
from .runtime.metrics import Metrics
from .runtime.timer_wheel import TimerWheel

HELD = {signal.SIGHUP}  # kept until its handler stands

if TYPE_CHECKING:
    from .config.local import LocalConfig
    from .quota_snapshots.writer import SnapshotWriter


async def serve(
    reader: Callable[[], Config],
    local_config: LocalConfig | None = None,
    shared: Path | None = None,
    reread: Callable[[], LocalConfig] | None = None,
) -> None:
    """`shared`: the folder in which a process leaves word for the one that will replace it. `reread` gives
    our own configuration as it is now.
    """
    config = reader()
    loop = asyncio.get_running_loop()
    clock = Clock()
    traced = frozenset(os.environ.get("BEACONHINGE_TRACE", "").split(","))
    metrics = Metrics(
        clock.now, writer=_log_writer(local_config, clock) if local_config else None, traced=traced
    )
    timers = TimerWheel(clock.now, metrics.log_exception)
    policy_runner = PolicyRunner(Dispatcher(config.settings, config.seed), timers, metrics)
    # Beside the callers' descriptors a second process needs its own to start with.
    aside = 2 * (CALLERS + 1) + RESERVED_DESCRIPTORS if config.mgmt else 0
    budget = DescriptorBudget(config.limits.sockets, config.limits.body_bytes, aside)
    workers = WorkerPool(config, policy_runner, timers, budget, metrics)
    discovery = Discovery(config, policy_runner, workers, timers, metrics, clock.wall_time)
    peers = PeerSocket(config, policy_runner, timers, metrics)
    requests = RequestTable(policy_runner, workers, timers, metrics, config.settings, config.class_names)
    listener = Listener(
        config,
        requests,
        workers.news,
        lambda: bool(workers.workers) and discovery.current,
        peers.others,
        timers,
        budget,
        metrics,
    )
    operators = OperatorCalls(config, policy_runner, workers, requests, listener)
    upgrade = None
    if config.mgmt is not None and shared is not None:
        upgrade = Upgrade(
            config,
            config.mgmt,
            shared,
            policy_runner,
            workers,
            discovery,
            peers,
            listener,
            operators,
            budget,
            timers,
            metrics,
        )
    if local_config and local_config.progress.enabled:
        from .net.streams import Streams

        listener.streams = Streams(local_config.progress, config, requests, timers, metrics)

    def reload() -> None:
        """Read the whole configuration again; nothing of a faulty one counts. Requests in work go on."""
        try:
            new = reader()
            if leases is not None and reread is not None and (why := leases.reload(reread().leases)):
                raise ConfigError(why)
        except ConfigError as error:
            metrics.count_and_log("reload_refused", why=error)
            return
        discovery.move(new.discovery)
        peers.move(new)
        metrics.count("reloads")
        metrics.log(
            "reloaded",
            discovery=f"{new.discovery[0]}:{new.discovery[1]}",
            wait_for_restart=",".join(config.kept_until_restart(new)) or "none",
        )

    leases = None
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, metrics.log_counters)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)  # one that came since `run` began is dealt with now
    inherited = await upgrade.inherit() if upgrade is not None else None
    peers.listen()
    policy_runner.feed(interface.Start())
    if upgrade is not None and inherited is not None:
        upgrade.restore(inherited)
    keeper = (
        _keeper(local_config, policy_runner, timers, metrics)
        if local_config and local_config.store.folder
        else None
    )
    returning = None
    if local_config and local_config.recovery.enabled:
        from .net.recovery import recover

        returning = recover(
            local_config.recovery,
            config,
            keeper.store if keeper else None,
            policy_runner,
            timers,
            requests,
            workers,
            discovery,
            peers,
            listener,
            operators,
            upgrade,
            metrics,
        )
    if local_config and local_config.leases.enabled:
        from .net.lease_calls import lease

        leases = lease(
            local_config.leases,
            config,
            keeper.store if keeper else None,
            operators,
            upgrade,
            peers,
            timers,
            metrics,
            inherited,
        )
    discovery.remembered()
    listener.listen()
    if returning is not None:
        returning.open(inherited is not None)
    if upgrade is not None:
        await upgrade.serving()
    if config.mgmt is not None:
        management = Management(config.mgmt, operators.acts, timers, metrics)
        management.adopt = upgrade.adopt if upgrade is not None else None
        management.listen()
    metrics.log(
        "started",
        name=config.name,
        listen=f"{config.listen[0]}:{config.listen[1]}",
        workers=len(workers.workers),
        sockets=config.limits.sockets,
    )

    await stopping.wait()
    metrics.log("stopping", owed=listener.owing)
    if leases is not None:
        leases.leave()
    peers.leave()
    await listener.finish()
    if keeper is not None:
        await keeper.write()
        await keeper.store.close()
        metrics.counters.update(keeper.store.engine.counters)
    metrics.log_counters()
    metrics.log("stopped")


def _log_writer(local_config: LocalConfig, clock: Clock) -> Callable[[str, dict[str, object]], None] | None:
    if local_config.log.format == "plain":
        return None
    from .logs import writer

    return writer(local_config.log.format, sys.stderr, clock.now)


def _keeper(
    local_config: LocalConfig, policy_runner: PolicyRunner, timers: TimerWheel, metrics: Metrics
) -> SnapshotWriter:
    """The books of the last life are there before the module hears of anything. Blocks; the door is shut
    still.
    """
    from .quota_snapshots.writer import SnapshotWriter
    from .store import Store

    keeper = SnapshotWriter(
        Store.open(local_config.store.folder, local_config.store, log=metrics.log),
        policy_runner.dispatcher,
        timers,
        metrics,
        local_config.books.interval_s,
        local_config.books.max_age_s,
    )
    keeper.restore()
    keeper.schedule_write()
    return keeper


def run(environment: Mapping[str, str]) -> int:
    """Serve until a signal ends it; the exit status. BEACONHINGE_CONFIG names our own TOML, where there is
    one.
    """

    # libuv's io_uring starts a kernel thread that polls. It took nine tenths of the CPU within half a core,
    # and the work here ran late. libuv reads this when the loop is made.
    os.environ["UV_USE_IO_URING"] = "0"
    # A new configuration may come while this starts: SIGHUP would end a process that has no handler yet.
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)
    local_config: LocalConfig | None = None
    reread: Callable[[], LocalConfig] | None = None
    try:
        if environment.get("BEACONHINGE_CONFIG"):
            from .config.local import read

            path = environment["BEACONHINGE_CONFIG"]
            reread = lambda: read(path)  # noqa: E731
            local_config = reread()
            if local_config.platform.config:
                environment = {**environment, "RELAY_CONFIG": local_config.platform.config}
        shared = Path(environment["TMPDIR"]) if environment.get("TMPDIR") else None
        uvloop.run(serve(lambda: load(environment), local_config, shared, reread))
    except ConfigError as error:
        print(f"beaconhinge: {error}", file=sys.stderr)
        return 2
    except Error as error:
        print(f"beaconhinge: cannot start: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"beaconhinge: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(os.environ))
