"""Wires the book of keys: what is asked of other dispatchers, what is on the disk before a job is started."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from ..config import Config
from ..dispatch.job import Job, KeyStatus
from ..recovery import key_messages, key_records
from ..recovery.key_inquiry import KeyInquiry, ResultAssembly
from ..recovery.key_messages import FetchResultPart, KeyAnswer, KeyQuery, KeyState, ResultPart
from ..recovery.key_registry import KeyRegistry
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from ..store import Change, Delete, Put, Store, StoreError
from .peers import PeerSocket

MAX_QUERIES, QUERY_INTERVAL_S = (
    3,
    0.04,
)  # times that the silent ones are asked, and seconds from each to the next
MAX_FETCHES = 6  # times that the missing parts of a result are asked for
DISK_TIMEOUT_S = 1.0  # seconds after which a record that is not on the disk counts as not written
EXPIRY_INTERVAL_S = 1.0  # seconds between looks for keys that are too old to matter
OWNER_KEY, RECORD_PREFIX = b"keys/owner", b"key/"
# What others say of a repeat, as it is counted.
COUNTER_BY_STATE = {
    KeyState.ABSENT: "keys_free",
    KeyState.PRESENT: "keys_elsewhere",
    KeyState.RESULT_CACHED: "keys_elsewhere",
    KeyState.UNKNOWN: "keys_unknown",
}


class IdempotencyKeyService:
    """The idempotency keys of this dispatcher, on the disk and between dispatchers."""

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
        classes = [cls for number, cls in enumerate(config.settings.classes) if config.needs_key(number)]
        window = max((cls.dedup_window_s + cls.deadline_s for cls in classes), default=0.0)
        self.registry = KeyRegistry(window, self._unsure_until(window), max_keys, max_bytes)
        self._inquiries: dict[int, tuple[KeyInquiry, asyncio.Event]] = {}
        self._fetches: dict[int, tuple[int, ResultAssembly, asyncio.Event]] = {}
        self.own_state_known: Callable[[], bool] = lambda: (
            True
        )  # whether the journal's age has been asked about
        peers.handlers |= dict.fromkeys(key_messages.MessageType, self._receive)
        if store is not None:
            self._restore(store)
        timers.after(EXPIRY_INTERVAL_S, self._expire)

    # ---- the journal ---------------------------------------------------------------------------------------

    def _owner(self) -> Put:
        number = self.config.settings.own_number
        return Put(
            OWNER_KEY, key_records.encode_owner(self.config.name, number, self.registry.uncertain_until)
        )

    def _unsure_until(self, window: float) -> float:
        found = None
        if self.store is not None:
            with contextlib.suppress(StoreError):  # as good as none
                found = self.store.get(OWNER_KEY)
        number = self.config.settings.own_number
        return key_records.uncertain_until(found, self.config.name, number, self.timers.now(), window)

    def _restore(self, store: Store) -> None:
        now, damaged = self.timers.now(), 0
        try:
            for place, data in store.scan(RECORD_PREFIX):
                try:
                    taken_at, request = key_records.decode_record(data)
                    self.registry.restore(
                        now, int.from_bytes(place[len(RECORD_PREFIX) :], "big"), taken_at, request
                    )
                except ValueError:
                    damaged += 1
        except StoreError:
            damaged += 1
        if damaged:  # what it does not tell is not known
            self.registry.uncertain_until = now + self.registry.window
        self.metrics.spawn(self._write_owner(), "keys")
        self.metrics.log(
            "keys_restored",
            keys=len(self.registry),
            damaged=damaged,
            unsure_for=max(0.0, self.registry.uncertain_until - now),
        )

    async def _write_owner(self) -> None:
        await self._commit([self._owner()])

    async def _write_record(self, name: int, job: Job) -> bool:
        """Whether it is on the disk that this dispatcher has the key."""
        if self.store is None:
            return True
        put = Put(
            RECORD_PREFIX + name.to_bytes(8, "big"), key_records.encode_record(self.timers.now(), job.id)
        )
        return await self._commit([self._owner(), put])

    async def _delete_records(self, names: list[int]) -> None:
        """Remove records from the disk.

        Where that fails, they are too old at the next start as well. A key that has begun again has a newer
        record, which stays.
        """
        gone = [name for name in names if name not in self.registry]
        await self._commit([Delete(RECORD_PREFIX + name.to_bytes(8, "big")) for name in gone])

    async def _commit(self, changes: list[Change]) -> bool:
        try:
            async with self.timers.timeout(DISK_TIMEOUT_S):
                if self.store is not None:
                    await self.store.commit(changes)
            return True
        except (StoreError, TimeoutError) as error:
            self.metrics.count_and_log("keys_not_written", why=f"{type(error).__name__}: {error}")
            return False

    def _expire(self) -> None:
        self.timers.after(EXPIRY_INTERVAL_S, self._expire)
        old = self.registry.expire(self.timers.now())
        forgotten, dropped = self.registry.take_limit_counts()
        self.metrics.count("keys_forgotten", forgotten)
        self.metrics.count("keys_results_dropped", dropped)
        if old and self.store is not None:
            self.metrics.spawn(self._delete_records(old), "keys")

    # ---- a request -----------------------------------------------------------------------------------------

    async def register(self, job: Job) -> KeyStatus:
        """Find out what is known of a job's key, before the policy hears of it.

        Returns:
            That it may have run elsewhere, or its result, or neither.
        """
        now, name = self.timers.now(), key_messages.key_name(job.class_index, job.tenant, job.idempotency_key)
        result = self.registry.result(now, name)
        if result is not None:
            self.metrics.count("keys_answered")
            return KeyStatus(result=result)
        if self.registry.state(now, name) == KeyState.PRESENT:
            self.metrics.count("keys_here")
            return KeyStatus(may_run_elsewhere=True)
        ask = (
            job.is_retry
            or not self.config.settings.clients_mark_retries
            or self.registry.is_claimed(now, name)
        )
        self.registry.begin(now, name, job.id)
        entered = False
        try:
            verdict = KeyState.ABSENT
            if ask:
                inquiry = await self._inquire(name)
                verdict = inquiry.verdict
                if verdict == KeyState.ABSENT and (
                    now < self.registry.uncertain_until or not self.own_state_known()
                ):
                    verdict = KeyState.UNKNOWN
                self.metrics.count(COUNTER_BY_STATE[verdict])
                if verdict == KeyState.RESULT_CACHED:
                    return KeyStatus(
                        may_run_elsewhere=True, result=await self._fetch(inquiry.result_holder, name)
                    )
            entered = verdict == KeyState.ABSENT and await self._write_record(name, job)
        finally:  # it may be given up for want of time
            if not entered:
                self.registry.end(self.timers.now(), name, False, None)
        return KeyStatus(may_run_elsewhere=not entered, registered=entered)

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        """The request that `enter` let in has ended."""
        name = key_messages.key_name(job.class_index, job.tenant, job.idempotency_key)
        self.registry.end(self.timers.now(), name, may_have_run, result)
        if not may_have_run and self.store is not None:
            self.metrics.spawn(self._delete_records([name]), "keys")

    def may_have(self, request: str) -> bool:
        """Whether a job of an earlier incarnation may have a key, whose client may come again."""
        return self.timers.now() < self.registry.uncertain_until or self.registry.has_request(request)

    def mark_journal_stale(self) -> None:
        """The journal is older than what this dispatcher has done since: what it lacks is unknown."""
        self.registry.uncertain_until = self.timers.now() + self.registry.window
        self.metrics.spawn(self._write_owner(), "keys")

    def record_late_result(self, request: str, result: str) -> None:
        """Take in a worker's result for which no attempt is open."""
        if self.registry.record_late_result(self.timers.now(), request, result.encode()):
            self.metrics.count("keys_results_late")

    # ---- the others ----------------------------------------------------------------------------------------

    async def _inquire(self, name: int) -> KeyInquiry:
        own = self.config.settings.own_number
        inquiry = KeyInquiry(frozenset(n for n in range(self.config.settings.group_size) if n != own))
        decided, number = asyncio.Event(), random.getrandbits(32)
        self._inquiries[number] = inquiry, decided
        try:
            for _ in range(MAX_QUERIES):
                if inquiry.decided:
                    break
                for other in inquiry.unanswered:
                    self.peers.send(other, key_messages.encode(KeyQuery(number, name)))
                with contextlib.suppress(TimeoutError):
                    async with self.timers.timeout(QUERY_INTERVAL_S):
                        await decided.wait()
        finally:
            del self._inquiries[number]
        return inquiry

    async def _fetch(self, holder: int, name: int) -> bytes | None:
        """The result that another dispatcher keeps; None where it does not come: the client is refused."""
        assembly, part_arrived, number = ResultAssembly(), asyncio.Event(), random.getrandbits(32)
        self._fetches[number] = holder, assembly, part_arrived
        try:
            for _ in range(MAX_FETCHES):
                part_arrived.clear()
                for part in assembly.missing:
                    self.peers.send(holder, key_messages.encode(FetchResultPart(number, name, part)))
                with contextlib.suppress(TimeoutError):
                    async with self.timers.timeout(QUERY_INTERVAL_S):
                        await part_arrived.wait()
                if not assembly.missing:
                    break
        finally:
            del self._fetches[number]
        self.metrics.count("keys_fetched", assembly.result is not None)
        return assembly.result

    def _receive(self, number: int, payload: bytes) -> None:
        message = key_messages.decode(payload)
        if isinstance(message, KeyQuery):
            if not self.own_state_known():
                return  # it may be about to learn that it does not know
            state = self.registry.claim_for_peer(self.timers.now(), message.key)
            self.peers.send(number, key_messages.encode(KeyAnswer(message.query_id, state)))
        elif isinstance(message, KeyAnswer):
            inquiry, settled = self._inquiries.get(message.query_id, (None, None))
            if inquiry is not None and settled is not None:
                inquiry.record(number, message.state)
                if inquiry.decided:
                    settled.set()
        elif isinstance(message, FetchResultPart):
            result = self.registry.result(self.timers.now(), message.key)
            part = None if result is None else key_messages.result_part(result, message)
            if part is not None:
                self.peers.send(number, key_messages.encode(part))
        elif isinstance(message, ResultPart):
            holder, assembly, part_arrived = self._fetches.get(message.query_id, (None, None, None))
            if holder == number and assembly is not None and part_arrived is not None:
                few = not assembly.parts  # the first part tells how many there are
                assembly.add(message)
                if few or not assembly.missing:
                    part_arrived.set()
        else:
            self.metrics.count_and_log("datagram_malformed", sender=number, bytes=len(payload))
