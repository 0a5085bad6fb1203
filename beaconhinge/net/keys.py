"""Wires the book of keys: what is asked of other dispatchers, what is on the disk before a job is started."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from ..config import Config
from ..dispatch.job import Job, KeyStatus
from ..recovery import keys
from ..recovery.keys import (
    HERE,
    KEPT,
    NOT_HERE,
    UNKNOWN,
    Assembly,
    Fetch,
    Inquiry,
    KeyBook,
    Part,
    Question,
    Reply,
)
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Change, Delete, Put, Store, StoreError
from .peers import PeerSocket

ASKED, BETWEEN = 3, 0.04  # times that the silent ones are asked, and seconds from each to the next
FETCHED = 6  # times that the missing parts of a result are asked for
DISK_WITHIN = 1.0  # seconds after which a record that is not on the disk counts as not written
SWEEP = 1.0  # seconds between looks for keys that are too old to matter
OWNER, PREFIX = b"keys/owner", b"key/"
# What others say of a repeat, as it is counted.
ASKED_FOR = {NOT_HERE: "keys_free", HERE: "keys_elsewhere", KEPT: "keys_elsewhere", UNKNOWN: "keys_unknown"}


class Keys:
    def __init__(
        self,
        config: Config,
        store: Store | None,
        max_keys: int,
        max_bytes: int,
        peers: PeerSocket,
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        self.config = config
        self.store = store
        self.peers = peers
        self.timers = timers
        self.metrics = metrics
        classes = [cls for number, cls in enumerate(config.settings.classes) if config.keyed(number)]
        window = max((cls.dedup_window_s + cls.deadline_s for cls in classes), default=0.0)
        self.book = KeyBook(window, self._unsure_until(window), max_keys, max_bytes)
        self._inquiries: dict[int, tuple[Inquiry, asyncio.Event]] = {}
        self._fetches: dict[int, tuple[int, Assembly, asyncio.Event]] = {}
        self.settled: Callable[[], bool] = lambda: True  # whether the journal's age has been asked about
        peers.talk |= dict.fromkeys((keys.ASK, keys.ANSWER, keys.FETCH, keys.PART), self._heard)
        if store is not None:
            self._restore(store)
        timers.after(SWEEP, self._sweep)

    # ---- the journal ---------------------------------------------------------------------------------------

    def _owner(self) -> Put:
        number = self.config.settings.own_number
        return Put(OWNER, keys.owner(self.config.name, number, self.book.unsure_until))

    def _unsure_until(self, window: float) -> float:
        found = None
        if self.store is not None:
            try:
                found = self.store.get(OWNER)
            except StoreError:
                pass  # as good as none
        number = self.config.settings.own_number
        return keys.unsure_until(found, self.config.name, number, self.timers.now(), window)

    def _restore(self, store: Store) -> None:
        now, damaged = self.timers.now(), 0
        try:
            for place, data in store.scan(PREFIX):
                try:
                    taken_at, request = keys.read_record(data)
                    self.book.restore(now, int.from_bytes(place[len(PREFIX) :], "big"), taken_at, request)
                except ValueError:
                    damaged += 1
        except StoreError:
            damaged += 1
        if damaged:  # what it does not tell is not known
            self.book.unsure_until = now + self.book.window
        self.metrics.spawn(self._sign(), "keys")
        self.metrics.log(
            "keys_restored",
            keys=len(self.book),
            damaged=damaged,
            unsure_for=max(0.0, self.book.unsure_until - now),
        )

    async def _sign(self) -> None:
        await self._commit([self._owner()])

    async def _write(self, name: int, job: Job) -> bool:
        """Whether it is on the disk that this dispatcher has the key."""
        if self.store is None:
            return True
        put = Put(PREFIX + name.to_bytes(8, "big"), keys.record(self.timers.now(), job.id))
        return await self._commit([self._owner(), put])

    async def _forget(self, names: list[int]) -> None:
        """Where that fails, they are too old at the next start as well. One that has been taken again has a
        newer record, which stays.
        """
        gone = [name for name in names if name not in self.book]
        await self._commit([Delete(PREFIX + name.to_bytes(8, "big")) for name in gone])

    async def _commit(self, changes: list[Change]) -> bool:
        try:
            async with self.timers.timeout(DISK_WITHIN):
                if self.store is not None:
                    await self.store.commit(changes)
            return True
        except (StoreError, TimeoutError) as error:
            self.metrics.count_and_log("keys_not_written", why=f"{type(error).__name__}: {error}")
            return False

    def _sweep(self) -> None:
        self.timers.after(SWEEP, self._sweep)
        old = self.book.sweep(self.timers.now())
        forgotten, dropped = self.book.limits_hit()
        self.metrics.count("keys_forgotten", forgotten)
        self.metrics.count("keys_results_dropped", dropped)
        if old and self.store is not None:
            self.metrics.spawn(self._forget(old), "keys")

    # ---- a request -----------------------------------------------------------------------------------------

    async def enter(self, job: Job) -> KeyStatus:
        """Before the module hears of a job with a key: whether it may have run elsewhere, or its result."""
        now, name = self.timers.now(), keys.name(job.cls, job.tenant, job.dedup_key)
        result = self.book.result(now, name)
        if result is not None:
            self.metrics.count("keys_answered")
            return KeyStatus(result=result)
        if self.book.word(now, name) == HERE:
            self.metrics.count("keys_here")
            return KeyStatus(may_run_elsewhere=True)
        ask = job.is_retry or not self.config.settings.clients_mark_retries or self.book.claimed(now, name)
        self.book.take(now, name, job.id)
        entered = False
        try:
            verdict = NOT_HERE
            if ask:
                inquiry = await self._inquire(name)
                verdict = inquiry.verdict
                if verdict == NOT_HERE and (now < self.book.unsure_until or not self.settled()):
                    verdict = UNKNOWN
                self.metrics.count(ASKED_FOR[verdict])
                if verdict == KEPT:
                    return KeyStatus(may_run_elsewhere=True, result=await self._fetch(inquiry.keeper, name))
            entered = verdict == NOT_HERE and await self._write(name, job)
        finally:  # it may be given up for want of time
            if not entered:
                self.book.leave(self.timers.now(), name, False, None)
        return KeyStatus(may_run_elsewhere=not entered, registered=entered)

    def left(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        """The request that `enter` let in has ended."""
        name = keys.name(job.cls, job.tenant, job.dedup_key)
        self.book.leave(self.timers.now(), name, may_have_run, result)
        if not may_have_run and self.store is not None:
            self.metrics.spawn(self._forget([name]), "keys")

    def may_have(self, request: str) -> bool:
        """Whether a job that this life has not sent may be one with a key, whose client comes again."""
        return self.timers.now() < self.book.unsure_until or self.book.has(request)

    def doubt(self) -> None:
        """The journal is older than what this dispatcher has done since: what it lacks is unknown."""
        self.book.unsure_until = self.timers.now() + self.book.window
        self.metrics.spawn(self._sign(), "keys")

    def told(self, request: str, result: str) -> None:
        """A worker's result for which no attempt is open."""
        if self.book.told(self.timers.now(), request, result.encode()):
            self.metrics.count("keys_results_late")

    # ---- the others ----------------------------------------------------------------------------------------

    async def _inquire(self, name: int) -> Inquiry:
        own = self.config.settings.own_number
        inquiry = Inquiry(frozenset(n for n in range(self.config.settings.group_size) if n != own))
        settled, number = asyncio.Event(), random.getrandbits(32)
        self._inquiries[number] = inquiry, settled
        try:
            for _ in range(ASKED):
                if inquiry.settled:
                    break
                for other in inquiry.silent:
                    self.peers.send(other, keys.encode(Question(number, name)))
                with contextlib.suppress(TimeoutError):
                    async with self.timers.timeout(BETWEEN):
                        await settled.wait()
        finally:
            del self._inquiries[number]
        return inquiry

    async def _fetch(self, keeper: int, name: int) -> bytes | None:
        """The result that another dispatcher keeps; None where it does not come: the client is refused."""
        assembly, news, number = Assembly(), asyncio.Event(), random.getrandbits(32)
        self._fetches[number] = keeper, assembly, news
        try:
            for _ in range(FETCHED):
                news.clear()
                for part in assembly.missing:
                    self.peers.send(keeper, keys.encode(Fetch(number, name, part)))
                with contextlib.suppress(TimeoutError):
                    async with self.timers.timeout(BETWEEN):
                        await news.wait()
                if not assembly.missing:
                    break
        finally:
            del self._fetches[number]
        self.metrics.count("keys_fetched", assembly.result is not None)
        return assembly.result

    def _heard(self, number: int, payload: bytes) -> None:
        message = keys.decode(payload)
        if isinstance(message, Question):
            if not self.settled():
                return  # it may be about to learn that it does not know
            word = self.book.asked(self.timers.now(), message.name)
            self.peers.send(number, keys.encode(Reply(message.number, word)))
        elif isinstance(message, Reply):
            inquiry, settled = self._inquiries.get(message.number, (None, None))
            if inquiry is not None and settled is not None:
                inquiry.hear(number, message.word)
                if inquiry.settled:
                    settled.set()
        elif isinstance(message, Fetch):
            result = self.book.result(self.timers.now(), message.name)
            part = None if result is None else keys.part_of(result, message)
            if part is not None:
                self.peers.send(number, keys.encode(part))
        elif isinstance(message, Part):
            keeper, assembly, news = self._fetches.get(message.number, (None, None, None))
            if keeper == number and assembly is not None and news is not None:
                few = not assembly.parts  # the first part tells how many there are
                assembly.hear(message)
                if few or not assembly.missing:
                    news.set()
        else:
            self.metrics.count_and_log("datagram_malformed", sender=number, bytes=len(payload))
