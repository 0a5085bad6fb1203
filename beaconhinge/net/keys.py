"""Connects the registry of idempotency keys to other dispatchers' registries and to the store."""

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

# How often dispatchers that have not answered are queried, and the seconds between two queries or fetches.
MAX_QUERIES, QUERY_INTERVAL_S = 3, 0.04
MAX_FETCHES = 6  # times that the missing parts of a result are requested
DISK_TIMEOUT_S = 1.0  # seconds after which a record that is not on the disk counts as not written
EXPIRY_INTERVAL_S = 1.0  # seconds between removals of expired keys
OWNER_KEY, RECORD_PREFIX = b"keys/owner", b"key/"
# The counter for each verdict of a query to the other dispatchers.
COUNTER_BY_STATE = {
    KeyState.ABSENT: "keys_free",
    KeyState.PRESENT: "keys_elsewhere",
    KeyState.RESULT_CACHED: "keys_elsewhere",
    KeyState.UNKNOWN: "keys_unknown",
}


class IdempotencyKeyService:
    """Registers the idempotency keys of this dispatcher, stores them, and queries other dispatchers for them.

    Attributes:
        own_state_known: Returns whether other dispatchers have been queried for a later incarnation of this
            one, which shows that the stored keys are stale.
    """

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
        classes = [cls for index, cls in enumerate(config.settings.classes) if config.needs_key(index)]
        window = max((cls.dedup_window_s + cls.deadline_s for cls in classes), default=0.0)
        self.registry = KeyRegistry(window, self._uncertain_until(window), max_keys, max_bytes)
        self._inquiries: dict[int, tuple[KeyInquiry, asyncio.Event]] = {}
        self._fetches: dict[int, tuple[int, ResultAssembly, asyncio.Event]] = {}
        self.own_state_known: Callable[[], bool] = lambda: True
        peers.handlers |= dict.fromkeys(key_messages.MessageType, self._receive)
        if store is not None:
            self._restore(store)
        timers.after(EXPIRY_INTERVAL_S, self._expire)

    # ---- the stored keys -----------------------------------------------------------------------------------

    def _owner(self) -> Put:
        own_number = self.config.settings.own_number
        return Put(
            OWNER_KEY, key_records.encode_owner(self.config.name, own_number, self.registry.uncertain_until)
        )

    def _uncertain_until(self, window: float) -> float:
        owner_record = None
        if self.store is not None:
            with contextlib.suppress(StoreError):  # an unreadable record counts as missing
                owner_record = self.store.get(OWNER_KEY)
        own_number = self.config.settings.own_number
        return key_records.uncertain_until(
            owner_record, self.config.name, own_number, self.timers.now(), window
        )

    def _restore(self, store: Store) -> None:
        now, damaged = self.timers.now(), 0
        try:
            for record_key, data in store.scan(RECORD_PREFIX):
                try:
                    taken_at, request = key_records.decode_record(data)
                    self.registry.restore(
                        now, int.from_bytes(record_key[len(RECORD_PREFIX) :], "big"), taken_at, request
                    )
                except ValueError:
                    damaged += 1
        except StoreError:
            damaged += 1
        if damaged:  # keys may be missing
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

    async def _write_record(self, key: int, job: Job) -> bool:
        """Write a key's record and the owner's; return whether they are stored. True without a store."""
        if self.store is None:
            return True
        put = Put(
            RECORD_PREFIX + key.to_bytes(8, "big"), key_records.encode_record(self.timers.now(), job.id)
        )
        return await self._commit([self._owner(), put])

    async def _delete_records(self, keys: list[int]) -> None:
        """Delete the records of keys that are not registered any more.

        A key that was registered again in the meantime has a newer record, which stays. If the deletion
        fails, the records will have expired by the next start.
        """
        unregistered = [key for key in keys if key not in self.registry]
        await self._commit([Delete(RECORD_PREFIX + key.to_bytes(8, "big")) for key in unregistered])

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
        expired = self.registry.expire(self.timers.now())
        forgotten, dropped = self.registry.take_limit_counts()
        self.metrics.count("keys_forgotten", forgotten)
        self.metrics.count("keys_results_dropped", dropped)
        if expired and self.store is not None:
            self.metrics.spawn(self._delete_records(expired), "keys")

    # ---- a request -----------------------------------------------------------------------------------------

    async def register(self, job: Job) -> KeyStatus:
        """Look up a job's key here and, if it may be a retry, at the other dispatchers; register it if new.

        Runs before the policy gets the job.

        Returns:
            Whether the job may have run, an earlier result if one is cached, and whether the key is
            registered.
        """
        now, key = self.timers.now(), key_messages.key_hash(job.class_index, job.tenant, job.idempotency_key)
        result = self.registry.result(now, key)
        if result is not None:
            self.metrics.count("keys_answered")
            return KeyStatus(result=result)
        if self.registry.state(now, key) == KeyState.PRESENT:
            self.metrics.count("keys_here")
            return KeyStatus(may_run_elsewhere=True)
        query_peers = (
            job.is_retry
            or not self.config.settings.clients_mark_retries
            or self.registry.is_claimed(now, key)
        )
        self.registry.begin(now, key, job.id)
        registered = False
        try:
            verdict = KeyState.ABSENT
            if query_peers:
                inquiry = await self._inquire(key)
                verdict = inquiry.verdict
                if verdict == KeyState.ABSENT and (
                    now < self.registry.uncertain_until or not self.own_state_known()
                ):
                    verdict = KeyState.UNKNOWN
                self.metrics.count(COUNTER_BY_STATE[verdict])
                if verdict == KeyState.RESULT_CACHED:
                    return KeyStatus(
                        may_run_elsewhere=True, result=await self._fetch(inquiry.result_holder, key)
                    )
            registered = verdict == KeyState.ABSENT and await self._write_record(key, job)
        finally:  # also if the request is cancelled at its time limit
            if not registered:
                self.registry.end(self.timers.now(), key, False, None)
        return KeyStatus(may_run_elsewhere=not registered, registered=registered)

    def release(self, job: Job, may_have_run: bool, result: bytes | None) -> None:
        """End the request whose key `register` has registered; delete the key if the job cannot have run."""
        key = key_messages.key_hash(job.class_index, job.tenant, job.idempotency_key)
        self.registry.end(self.timers.now(), key, may_have_run, result)
        if not may_have_run and self.store is not None:
            self.metrics.spawn(self._delete_records([key]), "keys")

    def may_have(self, request: str) -> bool:
        """Return whether a request of an earlier incarnation may have a key; its client may retry it then."""
        return self.timers.now() < self.registry.uncertain_until or self.registry.has_request(request)

    def mark_journal_stale(self) -> None:
        """Treat keys that are not here as unknown for a window: the store lacks later incarnations' keys."""
        self.registry.uncertain_until = self.timers.now() + self.registry.window
        self.metrics.spawn(self._write_owner(), "keys")

    def record_late_result(self, request: str, result: str) -> None:
        """Cache a worker's result for which no attempt is open."""
        if self.registry.record_late_result(self.timers.now(), request, result.encode()):
            self.metrics.count("keys_results_late")

    # ---- other dispatchers ---------------------------------------------------------------------------------

    async def _inquire(self, key: int) -> KeyInquiry:
        own = self.config.settings.own_number
        inquiry = KeyInquiry(frozenset(n for n in range(self.config.settings.group_size) if n != own))
        decided, query_id = asyncio.Event(), random.getrandbits(32)
        self._inquiries[query_id] = inquiry, decided
        try:
            for _ in range(MAX_QUERIES):
                if inquiry.decided:
                    break
                for other in inquiry.unanswered:
                    self.peers.send(other, key_messages.encode(KeyQuery(query_id, key)))
                with contextlib.suppress(TimeoutError):
                    async with self.timers.timeout(QUERY_INTERVAL_S):
                        await decided.wait()
        finally:
            del self._inquiries[query_id]
        return inquiry

    async def _fetch(self, holder: int, key: int) -> bytes | None:
        """Fetch a result from the dispatcher that has cached it.

        Returns None if it does not arrive whole; the client is rejected then.
        """
        assembly, part_arrived, query_id = ResultAssembly(), asyncio.Event(), random.getrandbits(32)
        self._fetches[query_id] = holder, assembly, part_arrived
        try:
            for _ in range(MAX_FETCHES):
                part_arrived.clear()
                for part in assembly.missing:
                    self.peers.send(holder, key_messages.encode(FetchResultPart(query_id, key, part)))
                with contextlib.suppress(TimeoutError):
                    async with self.timers.timeout(QUERY_INTERVAL_S):
                        await part_arrived.wait()
                if not assembly.missing:
                    break
        finally:
            del self._fetches[query_id]
        self.metrics.count("keys_fetched", assembly.result is not None)
        return assembly.result

    def _receive(self, sender: int, payload: bytes) -> None:
        message = key_messages.decode(payload)
        if isinstance(message, KeyQuery):
            if not self.own_state_known():
                return  # other dispatchers may be about to report that the stored keys are stale
            state = self.registry.claim_for_peer(self.timers.now(), message.key)
            self.peers.send(sender, key_messages.encode(KeyAnswer(message.query_id, state)))
        elif isinstance(message, KeyAnswer):
            inquiry, decided = self._inquiries.get(message.query_id, (None, None))
            if inquiry is not None and decided is not None:
                inquiry.record(sender, message.state)
                if inquiry.decided:
                    decided.set()
        elif isinstance(message, FetchResultPart):
            result = self.registry.result(self.timers.now(), message.key)
            part = None if result is None else key_messages.result_part(result, message)
            if part is not None:
                self.peers.send(sender, key_messages.encode(part))
        elif isinstance(message, ResultPart):
            holder, assembly, part_arrived = self._fetches.get(message.query_id, (None, None, None))
            if holder == sender and assembly is not None and part_arrived is not None:
                first = not assembly.parts  # the first part reports the number of parts
                assembly.add(message)
                if first or not assembly.missing:
                    part_arrived.set()
        else:
            self.metrics.count_and_log("datagram_malformed", sender=sender, bytes=len(payload))
