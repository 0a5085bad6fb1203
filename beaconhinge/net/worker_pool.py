"""Workers: their connections, the attempts sent to them, what they tell of these, and probes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

from ..config import Config
from ..dispatch.attempt import Attempt
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.send_guard import Refusal, SendState, refusal
from ..management.figures import BACKEND_CALLS
from ..membership.inventory import Host, Hosts, worker_number
from ..policy import interface
from ..policy.interface import PROVEN_UNRUN, AttemptOutcome, NoticeKind, Semantics, WorkerState
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from . import http1
from .http1 import BadMessage, Closed, Connection, Message
from .sockets import DescriptorBudget, connect

SWEEP = 0.25  # seconds between looks for connections idle for too long
NEAR_CLOSE = 0.8  # part of the told idle time after which a connection is not used again
DISTRUST, TRUST = 0.7, 1.02  # a kept connection that breaks cuts that time below its own, a good one adds
LATE_REPLY = 1.0  # seconds that an answer may take whose attempt is over already
SERVICE = "service.internal"
ASIDE = 0.5  # seconds for a probe or a withdrawal


class _Worker:
    def __init__(self, host: Host) -> None:
        self.host = host
        self.idle: list[Connection] = []


class _Carried:
    """An attempt on its way: its task, and whether the worker has taken the job with a 202."""

    def __init__(self, attempt: Attempt, host: Host) -> None:
        self.attempt = attempt
        self.host = host
        self.taken = False
        self.body = attempt.job.body  # which an answered request lets go of while this may still connect
        self.task: asyncio.Task[None] | None = None


class WorkerPool:
    def __init__(
        self,
        config: Config,
        policy_runner: PolicyRunner,
        timers: TimerWheel,
        budget: DescriptorBudget,
        metrics: Metrics,
    ) -> None:
        self.config = config
        self.policy_runner = policy_runner
        self.timers = timers
        self.budget = budget
        self.metrics = metrics
        self.reuse_told = self.reuse_within = NEAR_CLOSE * config.settings.idle_timeout_s
        self.workers: dict[int, _Worker] = {}
        self.carried: dict[tuple[str, str], _Carried] = {}  # open attempts by request id and worker id
        # Who else may have the attempt that a call-back is for, given the worker's number.
        self.elsewhere: Callable[[bytes, int], None] = lambda body, worker: None
        # Who may want the result of a job that no attempt is open for, by the request's id.
        self.result_late: Callable[[str, str], None] = lambda request, result: None
        # Who hears of a job that is under way though no attempt is open for it, by request and worker.
        self.orphan: Callable[[str, int], None] = lambda request, worker: None
        # Whether the list may be acted on, and a wait until it may; who is out by hand, by id.
        self.list_usable: Callable[[], bool] = lambda: True
        self.list_usable_again: Callable[[], Awaitable[object]] = lambda: asyncio.sleep(0)
        self.out_by_hand: Callable[[str], bool] = lambda host_id: False
        budget.reclaimers.append(self.close_one_idle)
        policy_runner.action_handlers[interface.ProbeWorker] = lambda action: metrics.spawn(
            self._probe(action.worker), "probe"
        )
        policy_runner.action_handlers[interface.CloseIdleConnections] = lambda action: self.disconnect(
            action.worker
        )
        timers.after(SWEEP, self._sweep)

    # ---- the list ------------------------------------------------------------------------------------------

    def update(self, hosts: Hosts) -> None:
        """Before the module hears of it, so that it never sends to a worker unknown here."""
        named = {host.member.worker for host in hosts.hosts if host.member.state != WorkerState.GONE}
        for number in [n for n in self.workers if n not in named] if hosts.full else []:
            self._forget(number)
        for host in hosts.hosts:
            if host.member.state == WorkerState.GONE:
                self._forget(host.member.worker)
                continue
            worker = self.workers.setdefault(host.member.worker, _Worker(host))
            if worker.host.address != host.address:
                self.disconnect(host.member.worker)
            worker.host = host

    def differs(self, hosts: Hosts) -> bool:
        """Whether the workers that are known are others with this list than without it; weights don't
        count."""
        named = set()
        for host in hosts.hosts:
            number, known = host.member.worker, self.workers.get(host.member.worker)
            if host.member.state != WorkerState.GONE:
                named.add(number)
                if known is None or not known.host.same(host):
                    return True
            elif known is not None:
                return True
        return hosts.full and named != self.workers.keys()

    def lists(self, host_id: str) -> bool:
        """Whether the list names that worker."""
        worker = self.workers.get(worker_number(host_id))
        return worker is not None and worker.host.id == host_id

    def named(self, host_ids: Iterable[str]) -> list[Host]:
        """Those of them that are known."""
        known = {worker.host.id: worker.host for worker in self.workers.values()}
        return [known[host_id] for host_id in host_ids if host_id in known]

    def hosts(self) -> list[Host]:
        return [worker.host for worker in self.workers.values()]

    def _forget(self, number: int) -> None:
        self.disconnect(number)
        self.workers.pop(number, None)

    # ---- connections ---------------------------------------------------------------------------------------

    def disconnect(self, number: int) -> None:
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
        self.timers.after(SWEEP, self._sweep)
        oldest = self.timers.now() - self.reuse_within
        for worker in self.workers.values():
            while worker.idle and worker.idle[0].used_at < oldest:
                worker.idle.pop(0).close()

    def _idle(self, host: Host) -> Connection | None:
        """A connection safe to use: near the worker's own idle limit it would end in a reset."""
        worker = self.workers.get(host.member.worker)
        while worker is not None and worker.idle:
            connection = worker.idle.pop()
            if self.timers.now() - connection.used_at < self.reuse_within and connection.silent():
                return connection
            connection.close()
        return None

    async def _connection(self, host: Host) -> Connection:
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
        return Connection(sock, requests=False, closed=self.budget.release)

    def _kept_well(self, idle_for: float, well: bool) -> None:
        """Guards against workers, or what stands before them, that drop idle connections long before the told
        time and do not say so: each request on such a one is lost. A new connection costs little beside that.
        """
        if well:
            self.reuse_within = min(self.reuse_within * TRUST, self.reuse_told)
        else:
            self.reuse_within = DISTRUST * min(self.reuse_within, idle_for)
            self.metrics.count_and_log("kept_connection_stale", idle=idle_for, reuse_within=self.reuse_within)

    def _keep(self, host: Host, connection: Connection, message: Message) -> None:
        if message.keep_alive:
            self._rest(host, connection)
        else:
            connection.close()

    def _rest(self, host: Host, connection: Connection) -> None:
        worker = self.workers.get(host.member.worker)
        if worker is not None and worker.host.address == host.address:
            connection.used_at = self.timers.now()
            worker.idle.append(connection)
        else:
            connection.close()

    # ---- attempts ------------------------------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        worker = self.workers.get(attempt.worker)
        if worker is None:  # it left the list before the instruction was carried out
            attempt.end(AttemptOutcome.NO_CONNECTION)
            return
        carried = _Carried(attempt, worker.host)
        self.carried[attempt.job.id, worker.host.id] = carried
        attempt.on_end = lambda outcome: self._release(carried, outcome)
        carried.task = self.metrics.spawn(self._carry(carried), "attempt")

    def _release(self, carried: _Carried, outcome: AttemptOutcome) -> None:
        """Given up before the 202, the connection closes, up or not; after it, the job is withdrawn."""
        self.carried.pop((carried.attempt.job.id, carried.host.id), None)
        unrun = outcome in PROVEN_UNRUN
        self.policy_runner.monitor.ended(carried.attempt.job.id, carried.host.id, unrun)
        task = carried.task
        given_up = outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.TIMEOUT)
        if task is not None and not carried.taken:
            # A result may come before its 202, for which the connection waits a little.
            if given_up or not carried.attempt.may_be_written:
                task.cancel()
            else:
                self.timers.after(LATE_REPLY, task.cancel)
        elif given_up:
            self.metrics.spawn(self._withdraw(carried), "withdrawal")

    async def _carry(self, carried: _Carried) -> None:
        """Send the job and read the answer to that; its result comes later, by a call-back."""
        attempt, job, written = carried.attempt, carried.attempt.job, False
        connection: Connection | None = None
        idle_for = 0.0
        try:
            # A connection to a worker that has left meanwhile would fail, and be held against it.
            if (why := await self._settled_refusal(carried)) is not None:
                self._refuse(carried, why)
                return
            connection = await self._connection(carried.host)
            if (why := await self._settled_refusal(carried)) is not None:
                self._refuse(carried, why)
                self._rest(carried.host, connection)
                return
            attempt.may_be_written = True
            idle_for = self.timers.now() - connection.used_at if connection.used_at else 0.0
            left = max(int((attempt.until - self.timers.now()) * 1000), 1)
            headers = {
                "Host": SERVICE,
                "X-Request-ID": job.id,
                "X-Timeout-Ms": str(left),
                "Content-Length": str(len(carried.body)),
            }
            if job.dedup_key:
                headers["Idempotency-Key"] = job.dedup_key
            self.policy_runner.monitor.written(job.id, carried.host.id, self.timers.now(), left)
            await connection.send(http1.request("POST", job.target, headers, carried.body))
            written = True
            self.metrics.count(BACKEND_CALLS)
            message = await connection.next()
        except (OSError, TimeoutError, Closed, BadMessage) as error:
            # Whether the last byte was written decides whether the job may have run. It is not sent again
            # from here, on a stale connection either: that is the module's choice.
            if isinstance(error, BadMessage):
                self.metrics.count_and_log("worker_answer_malformed", worker=carried.host.id, why=error)
            attempt.end(AttemptOutcome.CONNECTION_LOST if written else AttemptOutcome.NO_CONNECTION)
            if connection is not None:
                connection.close()
            if idle_for:
                self._kept_well(idle_for, False)
            return
        except asyncio.CancelledError:  # given up
            if connection is not None:
                connection.close()
            raise
        carried.taken = message.status == 202
        if idle_for:
            self._kept_well(idle_for, True)
        self._keep(carried.host, connection, message)
        if not carried.taken:
            self._answered(attempt, message)

    async def _settled_refusal(self, carried: _Carried) -> Refusal | None:
        """The guard's answer for the moment in which this returns, once the list may be acted on."""
        why = self._refusal(carried)
        if why is Refusal.LIST_UNKNOWN:
            self.metrics.count("sends_waited_for_list")
        while why is Refusal.LIST_UNKNOWN:
            await self.list_usable_again()
            why = self._refusal(carried)
        return why

    def _refusal(self, carried: _Carried) -> Refusal | None:
        """The guard's answer for this moment: what is written next is written in this turn of the loop."""
        attempt, others = carried.attempt, carried.attempt.siblings()
        worker = self.workers.get(attempt.worker)
        return refusal(
            SendState(
                list_usable=self.list_usable(),
                chosen=carried.host.member,
                listed=None if worker is None else worker.host.member,
                same_address=worker is not None and worker.host.address == carried.host.address,
                out_by_hand=self.out_by_hand(carried.host.id),
                open=attempt.open,
                wanted=attempt.client_is_waiting(),
                time_left=attempt.until - self.timers.now(),
                others_at_worker=others.at_worker,
                others_out=others.in_flight,
                may_have_run=others.may_have_run,
                unsafe=self.config.settings.classes[attempt.job.cls].semantics == Semantics.UNSAFE,
            )
        )

    def _refuse(self, carried: _Carried, why: Refusal) -> None:
        self.metrics.count(f"send_refused_{why.value}")
        self.metrics.trace(
            "attempts", "send_refused", request=carried.attempt.job.id, worker=carried.host.id, why=why.value
        )
        carried.attempt.end(AttemptOutcome.NOT_SENT)

    def _answered(self, attempt: Attempt, message: Message) -> None:
        status = message.status
        unrun = status in (503, 504) and message.headers.get("x-not-processed") == "1"
        # Blamed on the worker, a faulty request went to three of them and had each of these left out.
        unusable = 400 <= status < 500 and status not in (408, 429)  # those two speak of the moment
        if not unrun and status != 500:
            self.metrics.count_and_log(
                "worker_answer_unexpected",
                worker=attempt.worker,
                status=status,
                request=attempt.job.id,
                target=attempt.job.target,
                why=message.body,
            )
        outcome = (
            AttemptOutcome.REJECTED
            if unrun
            else AttemptOutcome.INVALID_REQUEST
            if unusable
            else AttemptOutcome.SERVER_ERROR
        )
        attempt.end(outcome, load=self._load(message.headers.get("x-server-load")))

    async def _withdraw(self, carried: _Carried) -> None:
        await self._aside(carried.host, "DELETE", f"/jobs/{carried.attempt.job.id}".encode("latin-1"))

    async def withdraw(self, request: str, number: int) -> None:
        """Give up a job that an earlier life sent."""
        worker = self.workers.get(number)
        if worker is not None and request.isascii() and request.isprintable() and " " not in request:
            await self._aside(worker.host, "DELETE", f"/jobs/{request}".encode())

    async def _aside(self, host: Host, method: str, target: bytes) -> Message | AttemptOutcome:
        """A short exchange beside the attempts: the answer, or why there is none."""
        connection, why = None, AttemptOutcome.NO_CONNECTION
        try:
            async with self.timers.timeout(ASIDE):
                connection = await self._connection(host)
                await connection.send(http1.request(method, target, {"Host": SERVICE}))
                why = AttemptOutcome.CONNECTION_LOST
                message = await connection.next()
            self._keep(host, connection, message)
            return message
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

    # ---- call-backs ----------------------------------------------------------------------------------------

    def news(self, body: bytes, elsewhere: Callable[[bytes, int], None] | None = None) -> None:
        """What a worker tells of a job; it may come early, late, twice or for an earlier life of ours."""
        self.metrics.count("callbacks")
        try:
            content = json.loads(body)
            key, state = (content["id"], content["from"]), content["state"]
            carried = self.carried.get(key)
            if carried is None:
                self.metrics.count("callbacks_unmatched")
                if state == "done":
                    self.result_late(str(key[0]), str(content["result"]))
                elif state in ("started", "running"):
                    self.orphan(str(key[0]), worker_number(key[1]))
                (elsewhere or self.elsewhere)(body, worker_number(key[1]))
                return
            self._told(carried.attempt, state, content)
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
            self.metrics.count_and_log("callback_malformed", why=f"{type(error).__name__}: {error}")

    def _told(self, attempt: Attempt, state: str, content: Mapping[str, Any]) -> None:
        load = self._load(content.get("load"))
        if state == "started":
            attempt.report_progress(NoticeKind.STARTED)
        elif state == "running":
            attempt.report_progress(NoticeKind.PROGRESS, float(content["share"]))
        elif state == "done":
            # The client gets what the worker made and nothing else: a result that is no text is not served.
            attempt.end(AttemptOutcome.SERVED, content["result"].encode(), load)
        elif state == "failed":
            attempt.end(AttemptOutcome.SERVER_ERROR, load=load)
        elif state == "returned":
            attempt.end(AttemptOutcome.REJECTED, load=load)
        elif state == "lost":
            attempt.end(AttemptOutcome.CONNECTION_LOST, load=load)
        else:
            raise ValueError(f"state {state!r} is not known")

    def _load(self, given: Any) -> dict[str, float] | None:
        """A load report, from a header or an object; a broken one is as good as none."""
        if given is None or not self.config.report_names:
            return None
        try:
            pairs = given.items() if isinstance(given, Mapping) else [p.split("=") for p in given.split(",")]
            load = {name.strip(): float(value) for name, value in pairs}
            if any(value - value != 0.0 for value in load.values()):
                raise ValueError("a figure is not finite")
            self.metrics.count("load_reports")
            return load
        except (ValueError, TypeError, AttributeError, OverflowError) as error:
            self.metrics.count_and_log("load_malformed", why=error)
            return None

    # ---- probes --------------------------------------------------------------------------------------------

    async def _probe(self, number: int) -> None:
        worker, sent_at = self.workers.get(number), self.timers.now()
        outcome, load = AttemptOutcome.NO_CONNECTION, None
        if worker is not None:
            target = b"/metrics/load" if self.config.report_names else b"/alive"
            answer = await self._aside(worker.host, "GET", target)
            if isinstance(answer, str):
                outcome = answer
            else:
                outcome = AttemptOutcome.SERVED if answer.status == 200 else AttemptOutcome.SERVER_ERROR
                load = self._load(answer.body.decode("latin-1") or None)
        self.metrics.count("probes")
        self.policy_runner.feed(interface.ProbeResult(number, outcome, self.timers.now() - sent_at, load))
