"""The list of workers, and connections to them: dialled, kept, used again, closed."""

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

IDLE_SWEEP_INTERVAL_S = 0.25  # between two searches for connections idle for too long
REUSE_PART = 0.8  # of the workers' idle time-out, after which a connection is not used again
REUSE_CUT = 0.7  # a kept connection that breaks cuts that time to this part of its own idle time
REUSE_GROWTH = 1.02  # one that does not break lets it grow again
EXCHANGE_TIMEOUT_S = 0.5  # for a probe or a withdrawal


class _Worker:
    def __init__(self, host: WorkerEndpoint) -> None:
        self.host = host
        self.idle: list[Connection] = []  # in the order of their last use


class WorkerPool:
    """All workers that the list names, with the idle connections to each.

    Attributes:
        workers: by number.
        list_version: of the list that was applied last, whole or in part.
        attempts: sends attempts to them.
        reuse_within: seconds for which an idle connection may be used again.
        elsewhere: hears of call-backs for which no attempt is open here: body, worker's number.
        result_late: hears of a result for which no attempt is open: the request's id, the result.
        orphan: hears of a job under way for which no attempt is open: the request's id, worker's number.
        list_usable: whether the list may be acted on.
        list_usable_again: a wait until it may.
        is_in_maintenance: whether an operator has taken out the worker with that id.
    """

    def __init__(
        self,
        config: Config,
        policy_runner: PolicyRunner,
        timers: TimerWheel,
        budget: DescriptorBudget,
        metrics: Metrics,
    ) -> None:
        """Begin without a list, and with the parts that talk to workers."""
        self.config = config
        self.policy_runner = policy_runner
        self.timers = timers
        self.budget = budget
        self.metrics = metrics
        self.max_reuse_s = self.reuse_within_s = REUSE_PART * config.settings.idle_timeout_s
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

    # ---- what others ask for -------------------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        """Send an attempt."""
        self.attempts.start(attempt)

    def receive_callback(self, body: bytes, elsewhere: Callable[[bytes, int], None] | None = None) -> None:
        """Take a call-back of a worker; `elsewhere` hears of it if no attempt is open for it here."""
        self.callbacks.receive(body, elsewhere)

    async def withdraw(self, request: str, number: int) -> None:
        """Withdraw a job that an earlier process of this dispatcher sent."""
        host = self.host_of(number)
        if host is not None and request.isascii() and request.isprintable() and " " not in request:
            await self.attempts.withdraw(host, request)

    # ---- the list ------------------------------------------------------------------------------------------

    def apply_list(self, hosts: WorkerList) -> None:
        """Take a list or changes, before the policy knows of it: it never sends to a worker unknown here."""
        self.list_version = hosts.version
        listed = {host.member.worker for host in hosts.endpoints if host.member.state != WorkerState.GONE}
        for number in [n for n in self.workers if n not in listed] if hosts.is_snapshot else []:
            self._forget(number)
        for host in hosts.endpoints:
            if host.member.state == WorkerState.GONE:
                self._forget(host.member.worker)
                continue
            worker = self.workers.setdefault(host.member.worker, _Worker(host))
            if worker.host.address != host.address:
                self.disconnect(host.member.worker)
            worker.host = host

    def would_change(self, hosts: WorkerList) -> bool:
        """Whether this list names others than the workers that are known; weights don't count."""
        named = set()
        for host in hosts.endpoints:
            number, known = host.member.worker, self.workers.get(host.member.worker)
            if host.member.state != WorkerState.GONE:
                named.add(number)
                if known is None or not known.host.same_except_weight(host):
                    return True
            elif known is not None:
                return True
        return hosts.is_snapshot and named != self.workers.keys()

    def host_of(self, number: int) -> WorkerEndpoint | None:
        """The worker with that number, if the list names it."""
        worker = self.workers.get(number)
        return None if worker is None else worker.host

    def is_listed(self, host_id: str) -> bool:
        """Whether the list names the worker with that id."""
        worker = self.workers.get(worker_number(host_id))
        return worker is not None and worker.host.id == host_id

    def known_endpoints(self, host_ids: Sequence[str]) -> list[WorkerEndpoint]:
        """Those of the workers with these ids that are known."""
        known = (self.workers.get(worker_number(host_id)) for host_id in host_ids)
        return [
            worker.host
            for host_id, worker in zip(host_ids, known, strict=True)
            if worker is not None and worker.host.id == host_id
        ]

    def endpoints(self) -> list[WorkerEndpoint]:
        """All workers that the list names."""
        return [worker.host for worker in self.workers.values()]

    def _forget(self, number: int) -> None:
        self.disconnect(number)
        self.workers.pop(number, None)

    # ---- connections ---------------------------------------------------------------------------------------

    def disconnect(self, number: int) -> None:
        """Close the idle connections to a worker."""
        worker = self.workers.get(number)
        while worker is not None and worker.idle:
            worker.idle.pop().close()

    def close_one_idle(self) -> bool:
        """Close the connection that has been idle longest."""
        idle = [worker for worker in self.workers.values() if worker.idle]
        if not idle:
            return False
        min(idle, key=lambda worker: worker.idle[0].used_at).idle.pop(0).close()
        return True

    def _sweep(self) -> None:
        self.timers.after(IDLE_SWEEP_INTERVAL_S, self._sweep)
        oldest = self.timers.now() - self.reuse_within_s
        for worker in self.workers.values():
            while worker.idle and worker.idle[0].used_at < oldest:
                worker.idle.pop(0).close()

    def _idle(self, host: WorkerEndpoint) -> Connection | None:
        """A connection safe to use: near the worker's own idle limit it would end in a reset."""
        worker = self.workers.get(host.member.worker)
        while worker is not None and worker.idle:
            connection = worker.idle.pop()
            if self.timers.now() - connection.used_at < self.reuse_within_s and connection.silent():
                return connection
            connection.close()
        return None

    async def connection(self, host: WorkerEndpoint) -> Connection:
        """An idle connection to a worker, or a new one.

        Raises:
            OSError: there is none in time, or no descriptor for it.
        """
        connection = self._idle(host)
        if connection is not None:
            return connection
        if not self.budget.acquire():
            self.metrics.count_and_log("sockets_short", worker=host.id)
            raise OSError("no socket is left")
        try:
            async with self.timers.timeout(self.config.settings.connect_timeout_s):
                sock = await connect(host.address)
        except BaseException:
            self.budget.release()
            raise
        self.metrics.count("worker_connections")
        return Connection(sock, requests=False, on_close=self.budget.release)

    def record_reuse(self, idle_for_s: float, well: bool) -> None:
        """Take note whether a connection was still good after it had been idle.

        Guards against workers, or what stands before them, that drop idle connections long before their
        time-out and do not say so: each request on such a one is lost. A new connection costs little beside.
        """
        if well:
            self.reuse_within_s = min(self.reuse_within_s * REUSE_GROWTH, self.max_reuse_s)
        else:
            self.reuse_within_s = REUSE_CUT * min(self.reuse_within_s, idle_for_s)
            self.metrics.count_and_log(
                "kept_connection_stale", idle=idle_for_s, reuse_within=self.reuse_within_s
            )

    def keep(self, host: WorkerEndpoint, connection: Connection, message: Message) -> None:
        """Put a connection back after its answer, or close it if the worker won't keep it."""
        if message.keep_alive:
            self.put_back(host, connection)
        else:
            connection.close()

    def put_back(self, host: WorkerEndpoint, connection: Connection) -> None:
        """Keep a connection for the next attempt, if the worker is still listed at that address."""
        worker = self.workers.get(host.member.worker)
        if worker is not None and worker.host.address == host.address:
            connection.used_at = self.timers.now()
            worker.idle.append(connection)
        else:
            connection.close()

    async def exchange(self, host: WorkerEndpoint, method: str, target: bytes) -> Message | AttemptOutcome:
        """Send a short request beside the attempts; returns the answer, or why there is none."""
        connection, why = None, AttemptOutcome.NO_CONNECTION
        try:
            async with self.timers.timeout(EXCHANGE_TIMEOUT_S):
                connection = await self.connection(host)
                await connection.send(http1.request(method, target, {"Host": WORKER_SERVICE}))
                why = AttemptOutcome.CONNECTION_LOST
                message = await connection.next()
        except (OSError, Closed, BadMessage) as error:
            if connection is not None:
                connection.close()
            return (
                AttemptOutcome.TIMEOUT if isinstance(error, TimeoutError) and connection is not None else why
            )
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self.keep(host, connection, message)
        return message
