"""Serializes access to the policy: feeds it one event at a time and has its actions carried out in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from ..policy import interface
from ..policy.dispatcher import Dispatcher
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .invariants import InvariantRule, SendMonitor

FAILED_TIMER_RETRY_S = 1.0  # delay after which a timer fires again if the policy raised an exception on it

ActionHandler = Callable[[Any], object]


class PolicyRunner:
    """Feeds events to the policy and carries out its actions.

    Attributes:
        request_handlers: Handlers of the actions for one request, by the request's number.
        action_handlers: Handlers of all other actions, by the action's type.
        on_event_failed: Called with each event on which the policy raised an exception; the policy may not
            have applied it.
        check_for_stall: Called before each event; checks whether the process was paused.
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
        self._event_at = 0.0  # time of the event being handled, as passed to the policy
        self.on_event_failed: Callable[[interface.Event], object] = lambda _event: None
        self.check_for_stall: Callable[[], object] = lambda: None

    def _report_violation(self, rule: InvariantRule, request: str, worker: str, why: str) -> None:
        """Count and log a violated invariant.

        Raises:
            AssertionError: Always, except under `python -O`, which `run` uses.
        """
        self.metrics.count(f"invariant_violations_{rule.value}")
        self.metrics.count_and_log(
            "invariant_violations", rule=rule.value, request=request, worker=worker, why=why
        )
        if __debug__:
            raise AssertionError(f"{rule.value}: request {request}, worker {worker}: {why}")

    def feed(self, event: interface.Event) -> None:
        """Have the policy handle an event, and carry out the actions that it returns.

        A handler may call `feed` while it carries out an action: the new event is queued and handled after
        the current one.
        """
        if self._feeding:
            self._events.append(event)
            return
        self.check_for_stall()  # it may feed events of its own, which come before this one
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
        except Exception as error:  # noqa: BLE001  # the event's request must still get an answer
            self.metrics.log_exception(f"policy handling {type(event).__name__}", error)
            self.on_event_failed(event)
            if isinstance(event, (interface.JobArrived, interface.AttemptEnded)):
                self._route_to_request(interface.Fail(event.request))
            elif isinstance(event, interface.TimerFired):  # the policy re-arms its timers only when they fire
                self._set_timer(interface.SetTimer(event.token, FAILED_TIMER_RETRY_S))
            return
        for action in actions:
            handler = self.action_handlers.get(type(action))
            try:
                if handler is not None:
                    handler(action)
                else:
                    self.metrics.count_and_log("action_without_handler", action=type(action).__name__)
            except Exception as error:  # noqa: BLE001  # the remaining actions must still be carried out
                self.metrics.log_exception(f"handler of {type(action).__name__}", error)

    def _route_to_request(
        self, action: interface.SendAttempt | interface.Reject | interface.Fail | interface.CancelAttempt
    ) -> None:
        handler = self.request_handlers.get(action.request)
        # A request leaves the table once it is answered and all its attempts have ended; the policy sends no
        # action for it after that.
        if self.metrics.check(handler is not None, "instruction_for_open_request") and handler is not None:
            handler(action)

    def _set_timer(self, action: interface.SetTimer) -> None:
        # The delay counts from the event's time: the process may have been paused between the event and now.
        self.timers.at(self._event_at + action.after, lambda: self.feed(interface.TimerFired(action.token)))
