"""The one way into the policy: events go in one at a time, actions go in order to their handlers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from ..policy import interface
from ..policy.dispatcher import Dispatcher
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .invariants import InvariantRule, SendMonitor

FAILED_TIMER_RETRY_S = 1.0  # after it a timer is fed again on which the policy failed

ActionHandler = Callable[[Any], object]


class PolicyRunner:
    """Feeds the policy and carries its actions out.

    Attributes:
        request_handlers: by number, who takes the actions for a request.
        action_handlers: by type, who takes all other actions.
        on_event_failed: hears of events that the policy failed on, and may not have applied.
        check_for_stall: called before each event; looks whether the process stood still.
    """

    def __init__(self, dispatcher: Dispatcher, timers: TimerWheel, metrics: Metrics) -> None:
        self.dispatcher = dispatcher
        self.timers = timers
        self.metrics = metrics
        self.request_handlers: dict[int, ActionHandler] = {}
        self.action_handlers: dict[type, ActionHandler] = {
            interface.SetTimer: self._set_timer,
            interface.LogMessage: lambda action: metrics.log("policy", text=action.text),
        }
        for kind in (interface.SendAttempt, interface.Reject, interface.Fail, interface.CancelAttempt):
            self.action_handlers[kind] = self._route_to_request
        self.monitor = SendMonitor(self._report_violation)
        self._events: deque[interface.Event] = deque()
        self._feeding = False
        self._event_at = 0.0  # time of the event being handled, as the policy has it
        self.on_event_failed: Callable[[interface.Event], object] = lambda _event: None
        self.check_for_stall: Callable[[], object] = lambda: None

    def _report_violation(self, rule: InvariantRule, request: str, worker: str, why: str) -> None:
        """A rule was broken by what was written: fatal in debug, counted under `python -O`, as `run` is."""
        self.metrics.count(f"invariant_violations_{rule.value}")
        self.metrics.count_and_log(
            "invariant_violations", rule=rule.value, request=request, worker=worker, why=why
        )
        if __debug__:
            raise AssertionError(f"{rule.value}: request {request}, worker {worker}: {why}")

    def feed(self, event: interface.Event) -> None:
        """Let the policy handle an event, and its actions be carried out.

        A handler may feed while its action is carried out; that event waits its turn in the queue.
        """
        if self._feeding:
            self._events.append(event)
            return
        self.check_for_stall()  # which may feed first
        self._events.append(event)
        self._feeding = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._feeding = False

    def _handle(self, event: interface.Event) -> None:
        self._event_at = self.timers.now()
        try:
            actions = self.dispatcher.handle(self._event_at, event)
        except Exception as error:  # noqa: BLE001  # the request of that event still gets its answer
            self.metrics.log_exception(f"module on {type(event).__name__}", error)
            self.on_event_failed(event)
            if isinstance(event, (interface.JobArrived, interface.AttemptEnded)):
                self._route_to_request(interface.Fail(event.request))
            elif isinstance(event, interface.TimerFired):  # the policy sets its timers anew when they fire
                self._set_timer(interface.SetTimer(event.token, FAILED_TIMER_RETRY_S))
            return
        for action in actions:
            owner = self.action_handlers.get(type(action))
            try:
                if owner is not None:
                    owner(action)
                else:
                    self.metrics.count_and_log("action_without_handler", action=type(action).__name__)
            except Exception as error:  # noqa: BLE001  # a failure must not cost the others their actions
                self.metrics.log_exception(f"owner of {type(action).__name__}", error)

    def _route_to_request(
        self, action: interface.SendAttempt | interface.Reject | interface.Fail | interface.CancelAttempt
    ) -> None:
        owner = self.request_handlers.get(action.request)
        # A request leaves the table once it is answered and every attempt has ended: nothing is due then.
        if self.metrics.check(owner is not None, "instruction_for_open_request") and owner is not None:
            owner(action)

    def _set_timer(self, action: interface.SetTimer) -> None:
        # Counted from the event: between that and now the process may have stood still.
        self.timers.at(self._event_at + action.after, lambda: self.feed(interface.TimerFired(action.token)))
