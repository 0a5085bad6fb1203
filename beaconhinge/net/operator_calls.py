"""Carries out operators' calls by passing each to the component that it concerns."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..config import Config
from ..dispatch.policy_runner import PolicyRunner
from ..dispatch.request_table import RequestTable
from ..management import calls, figures
from ..management.calls import OperatorCall
from ..membership.inventory import worker_number
from ..policy import interface
from .listener import Listener
from .worker_pool import WorkerPool


class OperatorCalls:
    """Carries out operators' calls.

    Attributes:
        in_maintenance: ids of the workers in maintenance mode; they may be missing from the list meanwhile.
        may_replace: returns whether this process can replace its predecessor, which may then be ended.
        forward: called with each call that changes something; sends it to the other process of an upgrade.
        persist_maintenance: stores whether a worker is in maintenance mode; returns why it could not, or an
            empty text. None if nothing is stored.
        phase: returns the name of the recovery stage; None if recovery is not enabled.
        handlers: by call name, the function that carries out the call; it returns the answer, or an awaitable
            of the answer.
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
            calls.DISABLE: self._disable_or_enable,
            calls.ENABLE: self._disable_or_enable,
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

    def _disable_or_enable(self, call: OperatorCall) -> bytes | Awaitable[bytes]:
        if call.argument not in self.in_maintenance and not self.workers.is_listed(call.argument):
            return calls.failure(f"{call.argument}: no such worker in the list")
        disable = call.name == calls.DISABLE
        self.set_maintenance(call.argument, disable)
        self.forward(call)
        answer = f"{call.argument} is {'out' if disable else 'in'}"
        return (
            calls.success(answer)
            if self.persist_maintenance is None
            else self._answer_when_persisted(self.persist_maintenance(call.argument, disable), answer)
        )

    async def _answer_when_persisted(self, persisting: Awaitable[str], answer: str) -> bytes:
        reason = await persisting
        return (
            calls.failure(f"{answer}, but not after a restart: {reason}") if reason else calls.success(answer)
        )

    def set_maintenance(self, host_id: str, enabled: bool) -> None:
        """Switch a worker's maintenance mode on or off; no effect if it is so already."""
        if enabled == (host_id in self.in_maintenance):
            return
        self.in_maintenance ^= {host_id}
        self.policy_runner.metrics.log("worker_out" if enabled else "worker_back", worker=host_id)
        self.policy_runner.feed(interface.MaintenanceMode(worker_number(host_id), enabled))

    def _drain_or_resume(self, call: OperatorCall) -> bytes:
        if self.listener.ending:
            return calls.failure("this process is ending")
        drain = call.name == calls.DRAIN
        self.policy_runner.metrics.log("drained" if drain else "resumed")
        self.set_drained(drain)
        self.forward(call)
        return calls.success("drains" if drain else "serves")

    def set_drained(self, drain: bool) -> None:
        """Drain or resume this process; no effect after a hand-over, which leaves that to the successor."""
        if not self.listener.handed:
            self.listener.drain() if drain else self.listener.resume()
