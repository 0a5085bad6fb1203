"""Discovery: the list of workers, fetched and watched as `beaconhinge/membership.py` decides."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from ..config import Address, Config
from ..dispatch.policy_runner import PolicyRunner
from ..membership.discovery_watch import BODY_IDLE_TIMEOUT_S, DiscoveryCall, DiscoveryWatch
from ..membership.freshness import ListFreshness, ListState
from ..membership.inventory import WorkerList, WorkerListError, WorkerListParser
from ..membership.start_times import StartTimes
from ..policy import interface
from ..policy.interface import UpdateKind, WorkerState
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from . import http1
from .http1 import BadMessage, Closed, Connection, Message
from .sockets import connect
from .worker_pool import WorkerPool

MAX_LIST = 2 * 1024 * 1024  # bytes: 1,024 workers take some 400 KiB, indented
TRACED_LISTS = 8  # lists taken last, told with each quiet watch that is traced
# Seconds for each member of a group, over which the first calls of those that start at once are spread, and
# the most. None of them serves before it has its list.
START_SPREAD = 0.01
START_SPREAD_MOST = 3.0
RUN_CHECK = 0.15  # seconds between signs that this process runs


def _whole_version(hosts: WorkerList | None) -> int | None:
    """The version of a list that is at hand whole; None if entries of it could not be read."""
    return hosts.version if hosts is not None and not hosts.unparsed_ids else None


class _Line:
    """A kept connection to discovery."""

    connection: Connection | None = None

    def drop(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Discovery:
    def __init__(
        self,
        config: Config,
        policy_runner: PolicyRunner,
        workers: WorkerPool,
        timers: TimerWheel,
        metrics: Metrics,
        wall_clock: Callable[[], float],
    ) -> None:
        self.config = config
        self._wall_clock = wall_clock
        self._start_times = StartTimes()
        self.policy_runner = policy_runner
        self.workers = workers
        self.timers = timers
        self.metrics = metrics
        settings = config.settings
        self._random = random.Random(config.seed)  # of its own: the module's draws stay as they are
        self.watch = DiscoveryWatch(
            not settings.membership_on_request,
            settings.group_size,
            settings.membership_max_age_s,
            _whole_version(config.known),
            timers.now(),
            self._random.random(),
        )
        self.list_parser = WorkerListParser(
            config.zones, config.kinds, lambda why: metrics.count_and_log("list_entry_malformed", why=why)
        )
        self.address = config.discovery
        self.known = config.known or WorkerList()
        self.on_list_applied: Callable[[str], None] = lambda how: None  # hears of each list
        self._watch: asyncio.Task[None] | None = None
        self._heard = asyncio.Event()  # a call has been answered, or has failed
        self._listed_at = timers.now()
        self.freshness = ListFreshness(not settings.membership_on_request, timers.now())
        self._content: dict[str, object] = {}  # of the last answer
        self._usable = asyncio.Event()  # the list may be acted on
        self._taken: deque[str] = deque(maxlen=TRACED_LISTS)
        policy_runner.action_handlers[interface.SubscribeMembership] = self._subscribe
        policy_runner.action_handlers[interface.FetchMembership] = lambda action: self._again(whole=True)
        policy_runner.on_event_failed = self._not_applied
        workers.list_usable = lambda: self.list_usable
        workers.list_usable_again = self._usable_again
        timers.after(RUN_CHECK, self._check)

    @property
    def list_usable(self) -> bool:
        """Whether the list may be acted on, as far as is known this moment."""
        now = self.timers.now()
        if self.freshness.mark_running(now):
            self._stood_still()
        return self.freshness.state(now) is not ListState.UNKNOWN

    @property
    def version(self) -> int | None:
        return self.watch.version

    def _check(self) -> None:
        self.timers.after(RUN_CHECK, self._check)
        self._start_times.observe_clocks(self.timers.now(), self._wall_clock())
        self._look()

    def _look(self) -> None:
        """Let go on who waits for a list that may be acted on, or have them wait."""
        if self.list_usable:
            self._usable.set()
        elif self._usable.is_set():
            self._usable.clear()
            self.metrics.count_and_log("list_unknown", list_age=self.timers.now() - self._listed_at)

    async def _usable_again(self) -> None:
        """Wait until the list may be acted on. It may have turned unknown since the last look: the event is
        set then still, and waiting for it would not wait.
        """
        self._look()
        await self._usable.wait()

    def _stood_still(self) -> None:
        """Nobody knows what was told meanwhile: ask at once, whatever call is out."""
        self._usable.clear()
        self.metrics.count("list_asked_after_standing_still")
        if self._watch is not None:
            self._again()

    def start_from_bootstrap(self) -> None:
        """The module's first list is the one in the configuration, however old, or what was inherited.
        Nothing is sent by it before discovery has been asked, which is done here: the module asks later where
        many start.
        """
        self._tell(UpdateKind.BOOTSTRAP, self.known)
        spread = min(START_SPREAD * self.config.settings.group_size, START_SPREAD_MOST)
        self._again(pause=0.0 if self.watch.pushed else spread * self._random.random())

    def take_over_list(self, hosts: WorkerList, here: bool) -> None:
        """The list that this dispatcher's other process has. Versions count for one discovery alone: `here`
        tells whether it was had from this one.
        """
        if here and self.version is not None and self.version > hosts.version:
            return
        self.watch.restart(_whole_version(hosts) if here else None, self.timers.now(), self._random.random())
        self.known = hosts

    def switch_to(self, address: Address) -> None:
        """Ask elsewhere from now on. Versions count there by themselves, so that the whole list is asked for;
        calls to the old place are ended, lest their answers be taken for news of the new one.
        """
        if address == self.address:
            return
        self.address = address
        pause = self.watch.switch_discovery(self.timers.now(), self._random.random())
        if self._watch is not None:  # soon: the module would ask again only when the old watch had failed
            self._again(pause=pause)

    def _subscribe(self, action: interface.SubscribeMembership) -> None:
        if self._watch is not None and not action.enabled:
            self._watch.cancel()
            self._watch = None
        elif action.enabled and (self._watch is None or self._watch.done()):
            self._again()

    def _again(self, whole: bool = False, pause: float = 0.0) -> None:
        """Call now, and follow from there. One call at a time: no answer overtakes another."""
        if self._watch is not None:
            self._watch.cancel()
        self.watch.resync(whole)
        self._watch = self.metrics.spawn(self._follow(pause), "watch")

    async def refresh(self) -> None:
        """Have what has changed at once. Returns when it is there, or could not be had."""
        self._heard.clear()
        self._again()
        await self._heard.wait()

    async def _follow(self, pause: float) -> None:
        """One call after the other: what was missed, which is answered at once, then watches."""
        line = _Line()
        try:
            while True:
                await asyncio.sleep(pause)
                self.watch.entry_count = len(self.workers.workers)
                began = self.timers.now()
                call = self.watch.next_call(began)
                try:
                    hosts = await self._call(line, call)
                except (OSError, Closed, BadMessage, WorkerListError) as error:
                    pause = self._failed(line, call, error, began)
                else:
                    pause = self._answered(line, call, hosts, self.timers.now() - began)
                self._heard.set()
                self._look()
        finally:
            line.drop()

    def _answered(self, line: _Line, call: DiscoveryCall, hosts: WorkerList, after: float) -> float:
        now, known = self.timers.now(), self.version
        if self.watch.failing:
            self.metrics.log("discovery_back", list_age=now - self._listed_at)
        self._complete(hosts)
        differs = self.workers.differs(hosts)
        step = self.watch.handle_answer(hosts, after, now, self._random.random(), differs)
        if step.proves_current:
            self._listed_at = now
            self.freshness.handle_answer(now - after, now)
        else:  # as little as a call that fails
            self.freshness.handle_failure(now - after, now, refused=False, was_watch=False)
        if not step.keep_connection:
            line.drop()
            self.metrics.count_and_log("list_out_of_turn", version=hosts.version, known=self.version)
        if call.wait_s == 0 and step.update_kind and hosts.version == known:
            self.metrics.count("lists_verified")
        if step.contradicts_earlier:
            self.metrics.count_and_log(
                "list_contradicted", version=hosts.version, entries=len(hosts.endpoints)
            )
        if step.update_kind:
            self._taken.append(
                f"{step.update_kind}:{known}-{hosts.version}:{len(hosts.endpoints)}:{len(hosts.unparsed_ids)}"
            )
            if differs or hosts.version != known:
                self.metrics.log(
                    "list_taken",
                    kind=step.update_kind,
                    version=hosts.version,
                    known=known,
                    index=call.index,
                    wait=call.wait_s,
                    entries=len(hosts.endpoints),
                    unread=len(hosts.unparsed_ids),
                    after=after,
                )
            self.policy_runner.monitor.list_received(self._content, now)
            self._tell(step.update_kind, hosts)
        else:
            members = [host.member for host in self.workers.hosts()]
            self.metrics.trace(
                "lists",
                "list_unchanged",
                version=hosts.version,
                workers=len(members),
                ready=sum(member.state == WorkerState.READY for member in members),
                taken=" ".join(self._taken),
            )
        return step.pause_s

    def _complete(self, hosts: WorkerList) -> None:
        """Entries that can't be read, as far as they can: a known worker's readable state counts where it
        takes the worker out of service. Else the worker stays as it is; in a whole list it has not left, at
        least.
        """
        for known in self.workers.named(hosts.unparsed_ids):
            state = hosts.unparsed_states.get(known.id, WorkerState.READY)
            if state != WorkerState.READY:
                hosts.endpoints.append(known.with_state(state))
            elif hosts.is_snapshot:
                hosts.endpoints.append(known)

    def _salvage(self, body: bytes) -> None:
        """An answer has broken off. What it told of workers that leave counts; its version does not."""
        hosts = self.list_parser.parse_partial(body)
        if hosts is None or hosts.version < (self.version or 0):
            return
        self._complete(hosts)
        if self.workers.differs(hosts):
            self.metrics.count_and_log("list_salvaged", version=hosts.version, entries=len(hosts.endpoints))
            self._tell(UpdateKind.CHANGES, hosts)

    def _failed(self, line: _Line, call: DiscoveryCall, error: Exception, began: float) -> float:
        down = isinstance(error, (ConnectionRefusedError, ConnectionResetError, BrokenPipeError, Closed))
        self.freshness.handle_failure(began, self.timers.now(), down, call.wait_s > 0)
        begun = line.connection is not None and line.connection.partial
        if line.connection is not None and begun:
            self._salvage(line.connection.unfinished_body())
        line.drop()
        silent = isinstance(error, TimeoutError) and not begun
        if silent and call.wait_s:
            self.metrics.count_and_log("watch_silent", list_age=self.timers.now() - self._listed_at)
        else:
            self.metrics.count_and_log("discovery_failed", why=f"{type(error).__name__}: {error}")
        return self.watch.handle_failure(silent, self.timers.now(), self._random.random(), begun)

    def _not_applied(self, event: interface.Event) -> None:
        """The module failed on an event: if that was a list, it may hold another one than is believed
        here."""
        if isinstance(event, interface.MembershipUpdate):
            self.watch.handle_apply_failure(self.timers.now())

    async def _call(self, line: _Line, call: DiscoveryCall) -> WorkerList:
        self.metrics.count("discovery_calls")
        query = "" if call.index is None else f"?index={call.index}&wait={call.wait_s * 1000:.0f}"
        if line.connection is not None and not line.connection.silent():
            # A second answer to the call before: every later one would be taken for that of another call.
            line.drop()
            self.metrics.count("discovery_spoke_unasked")
        async with self.timers.timeout(call.first_byte_timeout_s):
            if line.connection is None:
                sock = await connect(self.address)
                line.connection = Connection(sock, False, lambda: None, MAX_LIST)
            await line.connection.send(
                http1.request("GET", f"/discovery/hosts{query}".encode(), {"Host": "discovery"})
            )
            await line.connection.begun()
        message = await self._whole_answer(line.connection, call.body_timeout_s)
        if not message.keep_alive:
            line.drop()
        if message.status != 200:
            raise BadMessage(message.status, f"status {message.status}")
        try:
            self._content = json.loads(message.body)
            hosts = self.list_parser.parse(self._content)
        except (ValueError, RecursionError) as error:
            self._salvage(message.body)
            raise WorkerListError(str(error)) from None
        hosts.size_bytes = len(message.body)
        return hosts

    async def _whole_answer(self, connection: Connection, longest: float) -> Message:
        """The rest of an answer that has begun. It may take so long at most, as long as bytes come."""
        until = self.timers.now() + longest
        while True:
            received, left = connection.received, until - self.timers.now()
            try:
                async with self.timers.timeout(min(BODY_IDLE_TIMEOUT_S, left)):
                    return await connection.next()
            except TimeoutError:
                if connection.received == received or self.timers.now() >= until:
                    raise

    def _tell(self, how: UpdateKind, hosts: WorkerList) -> None:
        self.metrics.count("lists_" + how)
        if hosts.is_snapshot:  # who stands there in bytes that cannot be read has not left
            hosts.endpoints += self.workers.named(hosts.unparsed_ids)
        self.workers.update(hosts)
        self.policy_runner.feed(interface.MembershipUpdate(how, hosts.version, self._members(hosts)))
        self.on_list_applied(how)

    def _members(self, hosts: WorkerList) -> list[interface.MemberEntry]:
        """The list for the module, with each start of a worker on this process's clock."""
        now = self.timers.now()
        self._start_times.observe_clocks(now, self._wall_clock())
        if hosts.is_snapshot:
            self._start_times.retain_only({host.id for host in hosts.endpoints})
        members = []
        for host in hosts.endpoints:
            started = self._start_times.to_monotonic(host.id, host.member.started_at, now)
            members.append(replace(host.member, slow_start_from=started) if started else host.member)
        return members
