"""Discovery: the list of workers, asked for when the module says so, and then watched."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from ospreyroute import api

from ..config import Address, Config
from ..core import Core
from ..inventory import Hosts, Inventory, InventoryError
from ..stats import Stats
from ..wheel import Wheel
from . import http1
from .http1 import BadMessage, Closed, Connection
from .sockets import connect
from .workers import Workers

WATCH = 10.0  # seconds a watch may wait for news
PAUSE = 0.05  # seconds from an answer to the next watch, of 0.2 allowed: bounds calls answered at once
ANSWER = 2.0  # seconds beyond its wait after which a call has failed: what is told later counts as told then
MAX_LIST = 16 * 1024 * 1024


class _Line:
    """A kept connection to discovery."""

    connection: Connection | None = None

    def drop(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Discovery:
    def __init__(self, config: Config, core: Core, workers: Workers, wheel: Wheel, stats: Stats) -> None:
        self.config = config
        self.core = core
        self.workers = workers
        self.wheel = wheel
        self.stats = stats
        # None: no list is known. 0 is a version like any other: taken for none, it once made each call ask
        # for the whole list, one call right after the other, until discovery refused.
        self.version: int | None = config.known.version if config.known else None
        self.inventory = Inventory(config.zones, config.kinds,
                                   lambda why: stats.complain("list_entry_malformed", why=why))
        self.address = config.discovery
        self.known = config.known or Hosts()
        self._wanted = False  # the module has subscribed
        self._watch: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        self.told: Callable[[str], None] = lambda how: None  # hears of each list
        core.owners[api.Subscribe] = self._subscribe
        core.owners[api.Fetch] = lambda action: self._ask()

    def remembered(self) -> None:
        """The module's first list is the one in the configuration, however old, or what was inherited."""
        self._tell(api.REMEMBERED, self.known)

    def inherit(self, hosts: Hosts, here: bool) -> None:
        """The list that this dispatcher's other process has. Versions count for one discovery alone: `here`
        tells whether it was had from this one.
        """
        if not here:
            self.version = None
        elif self.version is not None and self.version > hosts.version:
            return
        else:
            self.version = hosts.version
        self.known = hosts

    def move(self, address: Address) -> None:
        """Ask elsewhere from now on. Versions count there by themselves, so that the whole list is asked for;
        calls to the old place are ended, lest their answers be taken for news of the new one.
        """
        if address == self.address:
            return
        self.address, self.version = address, None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if self._wanted:  # at once: the module would ask again only when the old watch had failed
            self._subscribe(api.Subscribe())
        for fetch in list(self._fetches):
            fetch.cancel()
            self._ask()

    def _subscribe(self, action: api.Subscribe) -> None:
        self._wanted = action.on
        if not action.on:
            if self._watch is not None:
                self._watch.cancel()
        elif self._watch is None or self._watch.done():
            self._watch = self.stats.spawn(self._follow(), "watch")

    def _ask(self) -> None:
        fetch = self.stats.spawn(self._fetch(), "fetch")
        self._fetches.add(fetch)
        fetch.add_done_callback(self._fetches.discard)

    async def _follow(self) -> None:
        """One call for what was missed, which answers at once, then one watch after the other."""
        wait, line = 0.0, _Line()
        try:
            while True:
                hosts = await self._since(line, wait)
                if hosts.hosts or hosts.full or wait == 0.0:  # an empty answer is news only to one who asked
                    self._tell(api.SNAPSHOT if hosts.full else api.CHANGES, hosts)
                self.version, wait = hosts.version, WATCH
                await asyncio.sleep(PAUSE)
        except (OSError, Closed, BadMessage, InventoryError) as error:
            self._failed(error)
        finally:
            line.drop()

    async def refresh(self) -> None:
        """Have what has changed at once, beside the watch. Returns when it is there, or cannot be had."""
        line = _Line()
        try:
            hosts = await self._since(line, 0.0)
            # The watch may have told more meanwhile, and its answers are older to it.
            if self.version is None or hosts.version >= self.version:
                self._tell(api.SNAPSHOT if hosts.full else api.CHANGES, hosts)
        except (OSError, Closed, BadMessage, InventoryError) as error:
            self.stats.complain("discovery_failed", why=f"{type(error).__name__}: {error}")
        finally:
            line.drop()

    async def _fetch(self) -> None:
        line = _Line()  # of its own: a watch may hold the other
        try:
            self._tell(api.SNAPSHOT, await self._call(line, "", 0.0))
        except (OSError, Closed, BadMessage, InventoryError) as error:
            self._failed(error)
        finally:
            line.drop()

    def _failed(self, error: Exception) -> None:
        self.stats.complain("discovery_failed", why=f"{type(error).__name__}: {error}")
        self.core.feed(api.Membership(api.REFUSED))

    async def _since(self, line: _Line, wait: float) -> Hosts:
        """What has changed, or the whole list where none is known."""
        query = "" if self.version is None else f"?index={self.version}&wait={wait * 1000:.0f}"
        return await self._call(line, query, wait)

    async def _call(self, line: _Line, query: str, wait: float) -> Hosts:
        self.stats.count("discovery_calls")
        try:
            async with self.wheel.limit(wait + ANSWER):
                if line.connection is None:
                    sock = await connect(self.address)
                    line.connection = Connection(sock, False, lambda: None, MAX_LIST)
                await line.connection.send(
                    http1.request("GET", f"/discovery/hosts{query}".encode(), {"Host": "discovery"}))
                message = await line.connection.next()
        except BaseException:
            line.drop()
            raise
        if not message.keep_alive or message.status != 200:
            line.drop()
        if message.status != 200:
            raise BadMessage(message.status, f"status {message.status}")
        try:
            return self.inventory.read(json.loads(message.body))
        except (ValueError, RecursionError) as error:
            raise InventoryError(str(error)) from None

    def _tell(self, how: str, hosts: Hosts) -> None:
        self.stats.count("lists_" + how)
        self.workers.update(hosts)
        self.core.feed(api.Membership(how, hosts.version, [host.member for host in hosts.hosts]))
        self.told(how)
