"""Wires recovery: the stall watch, of which every part is told before anything else is done, and the keys."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ospreyroute import api

from ..config import Config
from ..config.ours import Recovery as Settings
from ..core import Core
from ..recovery.stall import Stall, StallWatch
from ..request import Attempt, Requests
from ..stats import Stats
from ..store import Store
from ..wheel import Wheel
from .discovery import Discovery
from .keys import Keys
from .peers import Peers
from .workers import Workers

SOCKETS_FIRST = 0.1  # seconds that timers wait after a stall, while what came meanwhile is read
LIST_WITHIN = 0.5  # seconds that new jobs wait at most for a list asked for anew
SPREAD = 0.002  # seconds for each dispatcher, over which they ask where all may have stood still together


def recover(ours: Settings, config: Config, store: Store | None, core: Core, wheel: Wheel, requests: Requests,
            workers: Workers, discovery: Discovery, peers: Peers, stats: Stats) -> None:
    """Before the door opens: from then on jobs and datagrams come."""
    Recovery(ours.stall_s, core, wheel, requests, discovery, peers, stats)
    if any(config.keyed(cls) for cls in range(len(config.settings.classes))):
        keys = Keys(config, store, ours.max_keys, ours.max_result_bytes, peers, wheel, stats)
        requests.keys, workers.result_late = keys, keys.told


class Recovery:
    def __init__(self, after: float, core: Core, wheel: Wheel, requests: Requests, discovery: Discovery,
                 peers: Peers, stats: Stats, rng: Callable[[], float] = random.random) -> None:
        self.watch = StallWatch(after)
        self.core = core
        self.wheel = wheel
        self.requests = requests
        self.discovery = discovery
        self.peers = peers
        self.stats = stats
        self.random = rng
        self._settled = asyncio.Event()  # clear while a list is asked for after a stall
        self._settled.set()
        self._held_until = 0.0  # for timers
        wheel.held_for = self._held_for
        core.woken = peers.woken = self.look
        requests.excuse = self._excuse
        requests.own_seconds = self.watch.own_seconds

    def look(self) -> bool:
        """Whether the process has just gone on after a stall; all parts know it then."""
        stall = self.watch.feed(self.wheel.now())
        if stall is not None:
            self._woke(stall)
        return stall is not None

    def _woke(self, stall: Stall) -> None:
        self._held_until = stall.ended + SOCKETS_FIRST
        dropped = self.peers.forget_waiting()
        self.stats.count("stalls")
        self.stats.count("datagrams_stale", dropped)
        self.stats.log("stalled", seconds=stall.seconds, datagrams_dropped=dropped)
        self.core.feed(api.Stalled(stall.seconds))
        if self._settled.is_set():
            self._settled.clear()
            self.requests.before = self._list_first
            # Datagrams that waited show that others ran meanwhile; else all may wake at this moment.
            alone = dropped > 0 or self.peers.config.settings.group_size <= 1
            wait = 0.0 if alone else SPREAD * self.peers.config.settings.group_size * self.random()
            self.stats.spawn(self._ask_anew(wait), "list after a stall")

    async def _ask_anew(self, wait: float) -> None:
        try:
            await asyncio.sleep(wait)
            await self.discovery.refresh()
        finally:
            self.requests.before = None
            self._settled.set()

    async def _list_first(self) -> None:
        try:
            async with self.wheel.limit(LIST_WITHIN):
                await self._settled.wait()
        except TimeoutError:
            self.stats.count("stall_list_late")

    def _held_for(self) -> float:
        self.look()
        return self._held_until - self.wheel.now()

    def _excuse(self, attempt: Attempt, outcome: str) -> str:
        told = self.watch.outcome(attempt.sent_at, outcome)
        if told != outcome:
            self.stats.count("outcomes_excused")
        return told
