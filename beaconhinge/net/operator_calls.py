"""What operators' calls do here: each is passed to the part that owns it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..config import Config
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.request import RequestTable
from ..management import calls, figures
from ..management.calls import OperatorCall
from ..membership.inventory import worker_number
from ..policy import interface
from .listener import Listener
from .worker_pool import WorkerPool


class OperatorCalls:
    """Carries out operators' calls.

    Attributes:
        out: ids of the workers that are out by hand; they may leave the list meanwhile.
        replaces: whether a process before this one may be ended.
        others: hears of each change; tells the other process of an upgrade.
        keep: stores that a worker is out or not; returns why not, if it could not.
        phase: the phase of recovery, where there are phases.
        acts: by name, what each call does.
    """

    def __init__(
        self,
        config: Config,
        policy_runner: PolicyRunner,
        workers: WorkerPool,
        requests: RequestTable,
        listener: Listener,
    ) -> None:
        self.config = config
        self.policy_runner = policy_runner
        self.workers = workers
        self.requests = requests
        self.listener = listener
        self.in_maintenance: set[str] = set()
        workers.is_in_maintenance = self.in_maintenance.__contains__
        self.may_replace: Callable[[], bool] = lambda: True
        self.forward: Callable[[OperatorCall], None] = lambda _call: None
        self.persist_maintenance: Callable[[str, bool], Awaitable[str]] | None = None
        self.phase: Callable[[], str] | None = None
        self.handlers: dict[str, Callable[[OperatorCall], bytes | Awaitable[bytes]]] = {
            calls.READY: self._ready,
            calls.SHOW_STAT: self._show_stat,
            calls.DISABLE: self._take_out_or_put_back,
            calls.ENABLE: self._take_out_or_put_back,
            calls.DRAIN: self._drain_or_resume,
            calls.RESUME: self._drain_or_resume,
        }
        for name in (calls.LEASE_LIST, calls.LEASE_TAKE, calls.LEASE_GIVE, calls.LEASE_HAND_OVER):
            self.handlers[name] = lambda _call: calls.failure("leases are not switched on")

    def _ready(self, _call: OperatorCall) -> bytes:
        if not self.may_replace():
            return calls.failure("the process before still has jobs")
        if self.listener.handed:
            return calls.failure("another process has taken over")
        if self.listener.serving:
            return calls.success("ready")
        return calls.failure("drained" if self.listener.draining else "no list of workers yet")

    def _show_stat(self, _call: OperatorCall) -> bytes:
        listed = self.workers.workers
        down = figures.count_down(self.policy_runner.dispatcher, listed, self.policy_runner.timers.now())
        return calls.multi_line(
            figures.stat_json(
                self.policy_runner.metrics.counters,
                self.config.class_names,
                self.requests.unanswered,
                len(listed),
                down,
                self.phase() if self.phase else "",
            )
        )

    def _take_out_or_put_back(self, call: OperatorCall) -> bytes | Awaitable[bytes]:
        if call.argument not in self.in_maintenance and not self.workers.is_listed(call.argument):
            return calls.failure(f"{call.argument}: no such worker in the list")
        out = call.name == calls.DISABLE
        self.set_maintenance(call.argument, out)
        self.forward(call)
        answer = f"{call.argument} is {'out' if out else 'in'}"
        return (
            calls.success(answer)
            if self.persist_maintenance is None
            else self._answer_when_persisted(self.persist_maintenance(call.argument, out), answer)
        )

    async def _answer_when_persisted(self, keeping: Awaitable[str], answer: str) -> bytes:
        why = await keeping
        return calls.failure(f"{answer}, but not after a restart: {why}") if why else calls.success(answer)

    def set_maintenance(self, host_id: str, out: bool) -> None:
        """Take a worker out or put it back; a second time changes nothing."""
        if out == (host_id in self.in_maintenance):
            return
        self.in_maintenance ^= {host_id}
        self.policy_runner.metrics.log("worker_out" if out else "worker_back", worker=host_id)
        self.policy_runner.feed(interface.MaintenanceMode(worker_number(host_id), out))

    def _drain_or_resume(self, call: OperatorCall) -> bytes:
        if self.listener.ending:
            return calls.failure("this process is ending")
        drain = call.name == calls.DRAIN
        self.policy_runner.metrics.log("drained" if drain else "resumed")
        self.set_drained(drain)
        self.forward(call)
        return calls.success("drains" if drain else "serves")

    def set_drained(self, drain: bool) -> None:
        """Drain or resume; after a hand-over that is for the other process to do."""
        if not self.listener.handed:
            self.listener.drain() if drain else self.listener.resume()
