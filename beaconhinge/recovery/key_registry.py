"""Which idempotency keys this dispatcher has, or had within the window; times are of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

from .key_messages import MAX_PART_BYTES, MAX_PARTS, KeyState


@dataclass(slots=True)
class _KeyEntry:
    request: str
    expires_at: float  # unless its request is in progress
    in_progress: bool = True
    result: bytes | None = None


class KeyRegistry:
    """The keys of this dispatcher, with results that are cached for clients that come again.

    Until `uncertain_until` it may lack keys of earlier incarnations: what is not in it is unknown then.

    Args:
        window: Seconds for which a key counts after its request has ended.
        uncertain_until: See above.
        max_keys: Keys entry at most; beyond it the oldest is forgotten.
        max_bytes: Bytes of cached results at most.
    """

    def __init__(self, window_s: float, uncertain_until: float, max_keys: int, max_bytes: int) -> None:
        self.window = window_s
        self.max_keys = max_keys
        self.max_bytes = max_bytes
        self.uncertain_until = uncertain_until
        # Both since `take_limit_counts` was last called.
        self.results_dropped = 0
        self.overflows = 0
        self._keys: dict[int, _KeyEntry] = {}
        self._names: dict[str, int] = {}  # by request
        self._claims: dict[int, float] = {}  # another was about to start it; until when that counts
        self._bytes = 0

    def restore(self, now: float, key: int, taken_at: float, request: str) -> bool:
        """Take in a key of an earlier incarnation, which may have run.

        One that seems to come from the future is as old as now: the clock has stepped back.

        Returns:
            False if it is too old to matter.
        """
        until = min(taken_at, now) + self.window
        if until <= now:
            return False
        self._keys[key] = _KeyEntry(request, until, in_progress=False)
        self._names[request] = key
        return True

    def state(self, now: float, key: int) -> KeyState:
        """What this dispatcher knows of a key."""
        if self._known(now, key) is not None:
            return KeyState.PRESENT
        return KeyState.UNKNOWN if now < self.uncertain_until else KeyState.ABSENT

    def claim_for_peer(self, now: float, key: int) -> KeyState:
        """Record that another dispatcher is about to start a key; what to answer it."""
        self._claims[key] = now + self.window
        result = self.result(now, key)
        fits = result is not None and len(result) <= MAX_PARTS * MAX_PART_BYTES
        return KeyState.RESULT_CACHED if fits else self.state(now, key)

    def is_claimed(self, now: float, key: int) -> bool:
        """Whether another dispatcher was about to start the key within the window."""
        return self._claims.get(key, now) > now

    def result(self, now: float, key: int) -> bytes | None:
        """The cached result of a key, if there is one."""
        found = self._known(now, key)
        return found.result if found else None

    def begin(self, now: float, key: int, request: str) -> None:
        """A request with this key begins; the key was absent, or has expired and is not removed yet."""
        if key in self._keys:
            self._drop(key)
        if len(self._keys) >= self.max_keys:
            self.expire(now)
        if len(self._keys) >= self.max_keys:
            # What is forgotten early is not known any more, and said to be so.
            self.overflows += 1
            self.uncertain_until = now + self.window
            first = next(iter(self._keys))
            self._drop(next((k for k, entry in self._keys.items() if not entry.in_progress), first))
        self._keys[key] = _KeyEntry(request, now + self.window)
        self._names[request] = key

    def end(self, now: float, key: int, may_have_run: bool, result: bytes | None) -> None:
        """The request with this key has ended."""
        entry = self._keys.get(key)
        if entry is None:
            return
        entry.in_progress, entry.expires_at = False, now + self.window
        if result is not None:
            self._cache_result(entry, result)
        elif not may_have_run:
            self._drop(key)

    def record_late_result(self, now: float, request: str, result: bytes) -> bool:
        """Cache the result of a job that no attempt is open for; whether a client may still want it."""
        key = self._names.get(request)
        entry = None if key is None else self._known(now, key)
        if entry is None or entry.result is not None:
            return False
        self._cache_result(entry, result)
        return entry.result is not None

    def take_limit_counts(self) -> tuple[int, int]:
        """Keys forgotten early, and results that found no room, since the last call."""
        hit = self.overflows, self.results_dropped
        self.overflows = self.results_dropped = 0
        return hit

    def expire(self, now: float) -> list[int]:
        """Forget the keys that are too old to matter, and return their names."""
        old = [key for key, entry in self._keys.items() if not entry.in_progress and entry.expires_at <= now]
        for key in old:
            self._drop(key)
        for key in [key for key, until in self._claims.items() if until <= now]:
            del self._claims[key]
        return old

    def __len__(self) -> int:
        return len(self._keys)

    def has_request(self, request: str) -> bool:
        """Whether the request has a key here."""
        return request in self._names

    def __contains__(self, key: int) -> bool:
        return key in self._keys

    def _known(self, now: float, key: int) -> _KeyEntry | None:
        entry = self._keys.get(key)
        return entry if entry is not None and (entry.in_progress or now < entry.expires_at) else None

    def _cache_result(self, entry: _KeyEntry, result: bytes) -> None:
        if entry.result is not None:  # a worker reported it while another attempt was out: the first stands
            return
        if self._bytes + len(result) > self.max_bytes:
            self.results_dropped += 1  # it has run, and that stays known
            return
        entry.result = result
        self._bytes += len(result)

    def _drop(self, key: int) -> None:
        entry = self._keys.pop(key)
        self._bytes -= len(entry.result or b"")
        if self._names.get(entry.request) == key:
            del self._names[entry.request]
