"""The listed workers and the connections to them: opened, kept idle, reused and closed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from ..config import Config
from ..dispatch.attempt import Attempt
from ..dispatch.policy_runner import PolicyRunner
from ..membership.inventory import WorkerEndpoint, WorkerList, worker_number
from ..policy import interface
from ..policy.interface import AttemptOutcome, WorkerState
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from . import http1
from .attempts import WORKER_SERVICE, AttemptSender
from .callbacks import CallbackReceiver
from .http1 import BadMessage, Closed, Connection, Message
from .load_reports import LoadReportParser
from .probes import Prober
from .sockets import DescriptorBudget, connect
from .withdrawals import Withdrawal

IDLE_SWEEP_INTERVAL_S = 0.25  # between two sweeps that close connections idle for too long
REUSE_SHARE = 0.8  # maximum idle time before reuse, as a share of the workers' idle time-out
REUSE_REDUCTION = 0.7  # a reused connection that breaks reduces the limit to this share of its idle time
REUSE_GROWTH = 1.02  # a reused connection that works raises the limit by this factor
EXCHANGE_TIMEOUT_S = 0.5  # for a probe or a withdrawal
UNOWNED_WITHDRAWAL_S = 2.0  # how long the withdrawal of a job of an earlier process is retried
MAX_KEPT_ANSWER_BYTES = 8 * 1024  # of a worker's answer: a load report, or the text of an error


class _Worker:
    def __init__(self, host: WorkerEndpoint) -> None:
        self.host = host
        self.idle: list[Connection] = []  # least recently used first


class WorkerPool:
    """All listed workers, with the idle connections to each.

    Attributes:
        workers: The listed workers by number.
        list_version: Version of the snapshot or changes applied last; None before the first.
        attempts: Sends attempts to the workers.
        max_reuse_s: Upper bound of `reuse_within_s`.
        reuse_within_s: Seconds for which an idle connection may be reused.
        on_unmatched_callback: Called with the body and the worker's number of each call-back for which no
            attempt is open here.
        on_late_result: Called with the request's id and the result if no attempt is open for a result.
        on_unowned_job: Called with the request's id and the worker's number if a worker reports a job in
            progress for which no attempt is open.
        list_usable: Returns whether the list is current enough to act on.
        wait_until_list_usable: Waits until the list is current enough to act on.
        is_in_maintenance: Returns whether an operator has taken the worker with that id out of service.
    """

    def __init__(
        self,
        config: Config,
        policy_runner: PolicyRunner,
        timers: TimerWheel,
        budget: DescriptorBudget,
        metrics: Metrics,
    ) -> None:
        """Create a pool without workers, with the sender, the call-back receiver and the prober."""
        self.config = config
        self.policy_runner = policy_runner
        self.timers = timers
        self.budget = budget
        self.metrics = metrics
        self.max_reuse_s = self.reuse_within_s = REUSE_SHARE * config.settings.idle_timeout_s
        self.workers: dict[int, _Worker] = {}
        self.list_version: int | None = None
        self.on_unmatched_callback: Callable[[bytes, int], None] = lambda _body, _worker: None
        self.on_late_result: Callable[[str, str], None] = lambda _request, _result: None
        self.on_unowned_job: Callable[[str, int], None] = lambda _request, _worker: None
        self.list_usable: Callable[[], bool] = lambda: True
        self.wait_until_list_usable: Callable[[], Awaitable[object]] = lambda: asyncio.sleep(0)
        self.is_in_maintenance: Callable[[str], bool] = lambda _host_id: False
        load_reports = LoadReportParser(bool(config.report_names), metrics)
        self.attempts = AttemptSender(config, self, load_reports, policy_runner, timers, metrics)
        self.callbacks = CallbackReceiver(self.attempts.find, self, load_reports, metrics)
        budget.reclaimers.append(self.close_one_idle)
        self.prober = Prober(self.host_of, self.exchange, load_reports, policy_runner, timers, metrics)
        policy_runner.action_handlers[interface.CloseIdleConnections] = lambda action: self.disconnect(
            action.worker
        )
        timers.after(IDLE_SWEEP_INTERVAL_S, self._sweep)

    # ---- attempts and call-backs ---------------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        """Send an attempt."""
        self.attempts.start(attempt)

    def receive_callback(self, body: bytes, on_unmatched: Callable[[bytes, int], None] | None = None) -> None:
        """Process a worker's call-back.

        Args:
            body: The body of the call-back, JSON.
            on_unmatched: Called in place of `on_unmatched_callback` if no attempt is open for it here.
        """
        self.callbacks.receive(body, on_unmatched)

    async def withdraw(self, request: str, number: int) -> None:
        """Withdraw a job that an earlier process of this dispatcher sent, by the worker's number.

        Does nothing if the worker is not listed or the request's id cannot stand in a path.
        """
        host = self.host_of(number)
        if host is not None and request.isascii() and request.isprintable() and " " not in request:
            until = self.timers.now() + UNOWNED_WITHDRAWAL_S
            await self.attempts.withdrawals.run(Withdrawal(request, host, until))

    # ---- the list ------------------------------------------------------------------------------------------

    def apply_list(self, worker_list: WorkerList) -> None:
        """Apply a snapshot or changes.

        Must be called before the policy receives the list, so that it never chooses a worker unknown here.
        """
        self.list_version = worker_list.version
        listed = {
            host.member.worker for host in worker_list.endpoints if host.member.state != WorkerState.GONE
        }
        for number in [n for n in self.workers if n not in listed] if worker_list.is_snapshot else []:
            self._remove(number)
        for host in worker_list.endpoints:
            if host.member.state == WorkerState.GONE:
                self._remove(host.member.worker)
                continue
            worker = self.workers.setdefault(host.member.worker, _Worker(host))
            if worker.host.address != host.address:
                self.disconnect(host.member.worker)
            worker.host = host

    def would_change(self, worker_list: WorkerList) -> bool:
        """Return whether applying this list would change any worker or its entry, except for weights."""
        listed = set()
        for host in worker_list.endpoints:
            number, current = host.member.worker, self.workers.get(host.member.worker)
            if host.member.state != WorkerState.GONE:
                listed.add(number)
                if current is None or not current.host.same_except_weight(host):
                    return True
            elif current is not None:
                return True
        return worker_list.is_snapshot and listed != self.workers.keys()

    def host_of(self, number: int) -> WorkerEndpoint | None:
        """Return the listed worker with that number; None if there is none."""
        worker = self.workers.get(number)
        return None if worker is None else worker.host

    def is_listed(self, host_id: str) -> bool:
        """Return whether the worker with that id is listed."""
        worker = self.workers.get(worker_number(host_id))
        return worker is not None and worker.host.id == host_id

    def known_endpoints(self, host_ids: Sequence[str]) -> list[WorkerEndpoint]:
        """Return the endpoints of the listed workers among these ids."""
        found = (self.workers.get(worker_number(host_id)) for host_id in host_ids)
        return [
            worker.host
            for host_id, worker in zip(host_ids, found, strict=True)
            if worker is not None and worker.host.id == host_id
        ]

    def endpoints(self) -> list[WorkerEndpoint]:
        """Return the endpoints of all listed workers."""
        return [worker.host for worker in self.workers.values()]

    def _remove(self, number: int) -> None:
        self.disconnect(number)
        self.workers.pop(number, None)

    # ---- connections ---------------------------------------------------------------------------------------

    def disconnect(self, number: int) -> None:
        """Close the idle connections to a worker."""
        worker = self.workers.get(number)
        while worker is not None and worker.idle:
            worker.idle.pop().close()

    def close_one_idle(self) -> bool:
        """Close the connection that has been idle longest; returns False if none is idle."""
        idle = [worker for worker in self.workers.values() if worker.idle]
        if not idle:
            return False
        min(idle, key=lambda worker: worker.idle[0].used_at).idle.pop(0).close()
        return True

    def _sweep(self) -> None:
        self.timers.after(IDLE_SWEEP_INTERVAL_S, self._sweep)
        idle_since = self.timers.now() - self.reuse_within_s
        for worker in self.workers.values():
            while worker.idle and worker.idle[0].used_at < idle_since:
                worker.idle.pop(0).close()

    def _take_idle(self, host: WorkerEndpoint) -> Connection | None:
        """Remove and return the idle connection used last; None if there is no reusable one.

        Connections idle for `reuse_within_s` or longer are closed: near the worker's own idle time-out, a
        request on one would end in a reset.
        """
        worker = self.workers.get(host.member.worker)
        while worker is not None and worker.idle:
            connection = worker.idle.pop()
            if self.timers.now() - connection.used_at < self.reuse_within_s and connection.silent():
                return connection
            connection.close()
        return None

    async def connection(self, host: WorkerEndpoint) -> Connection:
        """Return an idle connection to a worker, or else a new one.

        Raises:
            OSError: The connection failed or timed out, or no descriptor is available for it.
        """
        connection = self._take_idle(host)
        if connection is not None:
            return connection
        if not self.budget.acquire():
            self.metrics.count_and_log("sockets_short", worker=host.id)
            raise OSError("no socket is left for a connection to a worker")
        try:
            async with self.timers.timeout(self.config.settings.connect_timeout_s):
                sock = await connect(host.address)
        except BaseException:
            self.budget.release()
            raise
        self.metrics.count("worker_connections")
        return Connection(
            sock,
            requests=False,
            on_close=self.budget.release,
            max_kept_body_bytes=MAX_KEPT_ANSWER_BYTES,
        )

    def record_reuse(self, idle_for_s: float, usable: bool) -> None:
        """Adapt `reuse_within_s` to whether a connection was still usable after `idle_for_s` seconds idle.

        Guards against workers, or proxies in front of them, that drop idle connections long before their
        time-out without notice: each request on such a connection is lost. A new connection costs little in
        comparison.
        """
        if usable:
            self.reuse_within_s = min(self.reuse_within_s * REUSE_GROWTH, self.max_reuse_s)
        else:
            self.reuse_within_s = REUSE_REDUCTION * min(self.reuse_within_s, idle_for_s)
            self.metrics.count_and_log(
                "kept_connection_stale", idle=idle_for_s, reuse_within=self.reuse_within_s
            )

    def keep(self, host: WorkerEndpoint, connection: Connection, message: Message) -> None:
        """Put a connection back after its answer, or close it if the worker does not keep it alive."""
        if message.keep_alive:
            self.put_back(host, connection)
        else:
            connection.close()

    def put_back(self, host: WorkerEndpoint, connection: Connection) -> None:
        """Keep a connection for reuse if the worker is still listed at that address; close it otherwise."""
        worker = self.workers.get(host.member.worker)
        if worker is not None and worker.host.address == host.address:
            connection.used_at = self.timers.now()
            worker.idle.append(connection)
        else:
            connection.close()

    async def exchange(self, host: WorkerEndpoint, method: str, target: bytes) -> Message | AttemptOutcome:
        """Send a short request that is not an attempt, within EXCHANGE_TIMEOUT_S.

        Returns:
            The answer; or, without one, TIMEOUT, NO_CONNECTION or CONNECTION_LOST.
        """
        connection, failure = None, AttemptOutcome.NO_CONNECTION
        try:
            async with self.timers.timeout(EXCHANGE_TIMEOUT_S):
                connection = await self.connection(host)
                await connection.send(http1.request(method, target, {"Host": WORKER_SERVICE}))
                failure = AttemptOutcome.CONNECTION_LOST
                message = await connection.next()
        except (OSError, Closed, BadMessage) as error:
            if connection is not None:
                connection.close()
            return (
                AttemptOutcome.TIMEOUT
                if isinstance(error, TimeoutError) and connection is not None
                else failure
            )
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self.keep(host, connection, message)
        return message
