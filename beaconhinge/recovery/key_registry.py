"""The idempotency keys of this dispatcher within the window. Times are seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

from .key_messages import MAX_PART_BYTES, MAX_PARTS, KeyState


@dataclass(slots=True)
class _KeyEntry:
    request: str
    expires_at: float  # has no effect while the request is in progress
    in_progress: bool = True
    result: bytes | None = None


class KeyRegistry:
    """The keys of this dispatcher, with results that are cached for clients that retry.

    Args:
        window_s: Seconds for which a key is kept after its request has ended.
        uncertain_until: Until then keys of earlier incarnations may be missing, so the state of a key that is
            not here is unknown.
        max_keys: Maximum number of keys; beyond it the oldest is forgotten.
        max_bytes: Maximum size of all cached results in bytes.
    """

    def __init__(self, window_s: float, uncertain_until: float, max_keys: int, max_bytes: int) -> None:
        self.window = window_s
        self.max_keys = max_keys
        self.max_bytes = max_bytes
        self.uncertain_until = uncertain_until
        # Counted since the last call of `take_limit_counts`.
        self.results_dropped = 0
        self.overflows = 0
        self._keys: dict[int, _KeyEntry] = {}
        self._keys_by_request: dict[str, int] = {}
        self._claims: dict[int, float] = {}  # expiry of keys that other dispatchers were about to start
        self._bytes = 0

    def restore(self, now: float, key: int, taken_at: float, request: str) -> bool:
        """Add a key of an earlier incarnation, whose job may have run.

        A time in the future, which a clock that was set back can cause, is taken as `now`.

        Returns:
            False if the key has expired, and was not added.
        """
        expires_at = min(taken_at, now) + self.window
        if expires_at <= now:
            return False
        self._keys[key] = _KeyEntry(request, expires_at, in_progress=False)
        self._keys_by_request[request] = key
        return True

    def state(self, now: float, key: int) -> KeyState:
        """Return this dispatcher's state of a key: PRESENT, ABSENT or UNKNOWN."""
        if self._valid_entry(now, key) is not None:
            return KeyState.PRESENT
        return KeyState.UNKNOWN if now < self.uncertain_until else KeyState.ABSENT

    def claim_for_peer(self, now: float, key: int) -> KeyState:
        """Record that another dispatcher is about to start a key; return the state to answer."""
        self._claims[key] = now + self.window
        result = self.result(now, key)
        fits = result is not None and len(result) <= MAX_PARTS * MAX_PART_BYTES
        return KeyState.RESULT_CACHED if fits else self.state(now, key)

    def is_claimed(self, now: float, key: int) -> bool:
        """Whether another dispatcher was about to start the key within the window."""
        return self._claims.get(key, now) > now

    def result(self, now: float, key: int) -> bytes | None:
        """Return the cached result of a key; None if there is none."""
        found = self._valid_entry(now, key)
        return found.result if found else None

    def begin(self, now: float, key: int, request: str) -> None:
        """Add the key of a request that begins; the key must be absent or expired."""
        if key in self._keys:
            self._drop(key)
        if len(self._keys) >= self.max_keys:
            self.expire(now)
        if len(self._keys) >= self.max_keys:
            # A key is forgotten before its time, so keys that are not here are unknown for a window.
            self.overflows += 1
            self.uncertain_until = now + self.window
            oldest = next(iter(self._keys))
            self._drop(next((k for k, entry in self._keys.items() if not entry.in_progress), oldest))
        self._keys[key] = _KeyEntry(request, now + self.window)
        self._keys_by_request[request] = key

    def end(self, now: float, key: int, may_have_run: bool, result: bytes | None) -> None:
        """End the request of a key: cache its result, or remove the key if the job cannot have run."""
        entry = self._keys.get(key)
        if entry is None:
            return
        entry.in_progress, entry.expires_at = False, now + self.window
        if result is not None:
            self._cache_result(entry, result)
        elif not may_have_run:
            self._drop(key)

    def record_late_result(self, now: float, request: str, result: bytes) -> bool:
        """Cache a result that arrived when no attempt of its job was open; return whether it was cached."""
        key = self._keys_by_request.get(request)
        entry = None if key is None else self._valid_entry(now, key)
        if entry is None or entry.result is not None:
            return False
        self._cache_result(entry, result)
        return entry.result is not None

    def take_limit_counts(self) -> tuple[int, int]:
        """Return and reset the numbers of keys forgotten early and of results over the size limit."""
        counts = self.overflows, self.results_dropped
        self.overflows = self.results_dropped = 0
        return counts

    def expire(self, now: float) -> list[int]:
        """Remove the keys that have expired, and return them."""
        old = [key for key, entry in self._keys.items() if not entry.in_progress and entry.expires_at <= now]
        for key in old:
            self._drop(key)
        for key in [key for key, expires_at in self._claims.items() if expires_at <= now]:
            del self._claims[key]
        return old

    def __len__(self) -> int:
        return len(self._keys)

    def has_request(self, request: str) -> bool:
        """Return whether the request's key is here."""
        return request in self._keys_by_request

    def __contains__(self, key: int) -> bool:
        return key in self._keys

    def _valid_entry(self, now: float, key: int) -> _KeyEntry | None:
        entry = self._keys.get(key)
        return entry if entry is not None and (entry.in_progress or now < entry.expires_at) else None

    def _cache_result(self, entry: _KeyEntry, result: bytes) -> None:
        if entry.result is not None:  # another attempt has reported a result before; the first one is kept
            return
        if self._bytes + len(result) > self.max_bytes:
            self.results_dropped += 1  # the key stays, so that the job does not run again
            return
        entry.result = result
        self._bytes += len(result)

    def _drop(self, key: int) -> None:
        entry = self._keys.pop(key)
        self._bytes -= len(entry.result or b"")
        if self._keys_by_request.get(entry.request) == key:
            del self._keys_by_request[entry.request]
