"""What the operators' calls do here: each is handed to the part that owns it."""

from __future__ import annotations

from collections.abc import Callable

from ospreyroute import api

from ..config import Config
from ..core import Core
from ..management import calls, figures
from ..management.calls import Call
from ..request import Requests
from .frontend import Frontend
from .workers import Workers


class Operators:
    def __init__(self, config: Config, core: Core, workers: Workers, requests: Requests,
                 frontend: Frontend) -> None:
        self.config = config
        self.core = core
        self.workers = workers
        self.requests = requests
        self.frontend = frontend
        self.out: dict[str, int] = {}  # workers out by hand, by id: they may leave the list meanwhile
        self.acts: dict[str, Callable[[Call], bytes]] = {
            calls.READY: self._ready, calls.SHOW_STAT: self._show_stat, calls.DISABLE: self._disable,
            calls.ENABLE: self._enable, calls.DRAIN: self._drain, calls.RESUME: self._resume,
        }

    def _ready(self, _call: Call) -> bytes:
        if self.frontend.serving:
            return calls.success("ready")
        return calls.failure("drained" if self.frontend.draining else "no list of workers yet")

    def _show_stat(self, _call: Call) -> bytes:
        listed = self.workers.workers
        down = figures.down(self.core.dispatcher, listed, self.core.wheel.now())
        return calls.shown(figures.show(self.core.stats.counters, self.config.class_names, self.requests.owed,
                                        len(listed), down))

    def _disable(self, call: Call) -> bytes:
        number = self.out.get(call.server, self.workers.number_of(call.server))
        if number is None:
            return calls.failure(f"{call.server}: no such worker in the list")
        if call.server not in self.out:
            self.out[call.server] = number
            self.core.stats.log("worker_out", worker=call.server)
            self.core.feed(api.Maintenance(number, True))
        return calls.success(f"{call.server} is out")

    def _enable(self, call: Call) -> bytes:
        number = self.out.pop(call.server, None)
        if number is not None:
            self.core.stats.log("worker_back", worker=call.server)
            self.core.feed(api.Maintenance(number, False))
        elif self.workers.number_of(call.server) is None:
            return calls.failure(f"{call.server}: no such worker in the list")
        return calls.success(f"{call.server} is in")

    def _drain(self, _call: Call) -> bytes:
        self.core.stats.log("drained")
        self.frontend.drain()
        return calls.success("drains")

    def _resume(self, _call: Call) -> bytes:
        self.core.stats.log("resumed")
        self.frontend.resume()
        return calls.success("serves")
