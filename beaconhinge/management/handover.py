"""What one process of a dispatcher hands to the one that replaces it: a versioned form with a checksum. Pure.

Beside the quota snapshots, which outlast a restart, it holds what only a process that goes on at
once can use: what each worker has out and has taught, what peers were told last, and the list. Nothing
of a torn, foreign or older form is used.
"""

from __future__ import annotations

import hashlib
import json
import struct
from collections import Counter, deque
from collections.abc import Iterator
from typing import Any

from ..gossip import aggregation, codec
from ..policy.admission import TenantBucket
from ..policy.dispatcher import Dispatcher
from ..policy.interface import Semantics, Settings
from ..policy.workers import Worker

VERSION = 1
AHEAD = 16  # numbers that the old process may have used up after it took the form
MAX_FRAME = 8 * 1024 * 1024
_HEAD = struct.Struct(">IB")
_MAGIC = b"beaconhinge handover %d " % VERSION

# Kinds of frames between the two processes.
STATE, SERVING, PARTED, DONE, CALL_BACK, SLOTS, OUT, BACK, DRAIN, RESUME = range(1, 11)

# Keys of the stored form and the attributes behind them. Keys never change: another version may read them.
# Of a worker: what it has taught and how it is judged. Times are Unix time, which both processes have.
_WORKER = {
    "kind": "kind",
    "cell": "cell",
    "zone": "zone",
    "started_at": "started_at",
    "slow_start_from": "slow_start_from",
    "up": "ready",
    "connect_after": "connect_after",
    "out": "in_flight",
    "low": "min_in_flight",
    "low_before": "previous_min_in_flight",
    "limit": "learned_limit",
    "pace": "seconds_per_work",
    "fail": "failure_rate",
    "benched_until": "ejected_until",
    "bench_for": "ejection_s",
    "bench_over": "ejection_ends_at",
    "trial": "on_probation",
    "last_sign": "last_heard_at",
    "speed": "relative_speed",
    "speed_at": "speed_measured_at",
}
# Of the parts of the policy: the part, and its attribute.
_BOOKS = {
    "rate": ("admission", "fleet_rate"),
    "part": ("admission", "demand_share"),
    "mean_work": ("estimates", "mean_work"),
    "pace": ("estimates", "seconds_per_work"),
    "job_time": ("estimates", "mean_latency_s"),
    "fleet_speed": ("stalls", "fleet_speed"),
    "report_after": ("reports", "interval_s"),
    "reported": ("reports", "reported_at"),
    "refilled": ("admission", "refilled_at"),
    "controlled": ("admission", "adjusted_at"),
    "sends": ("admission", "sends"),
    "fulls": ("admission", "rejections"),
    "send_rate": ("admission", "send_rate"),
    "started": ("slow_start", "dispatcher_started_at"),
}
_BUCKET = {
    "allowed": "allowed",
    "denied": "denied",
    "demand": "demand",
    "admitted": "admitted",
    "tokens": "tokens",
    "rate": "rate",
}
_PEER = ("incarnation", "sequence", "heard", "known", "span", "admitted")


class Unusable(Exception):
    """A form, or a frame, that must not be used; the text says why."""


def seal(content: dict[str, Any]) -> bytes:
    body = json.dumps(content, separators=(",", ":")).encode()
    return _MAGIC + hashlib.blake2s(body, digest_size=16).hexdigest().encode() + b"\n" + body


def unseal(form: bytes) -> dict[str, Any]:
    """Raises Unusable."""
    head, _, body = form.partition(b"\n")
    if not head.startswith(_MAGIC):
        raise Unusable("foreign, or of another version")
    if head[len(_MAGIC) :] != hashlib.blake2s(body, digest_size=16).hexdigest().encode():
        raise Unusable("torn: its checksum is wrong")
    content = json.loads(body)
    if not isinstance(content, dict):
        raise Unusable("not an object")
    return content


def frame(kind: int, payload: bytes = b"") -> bytes:
    return _HEAD.pack(len(payload), kind) + payload


class Frames:
    """Bytes in pieces of any size become frames."""

    def __init__(self) -> None:
        self._waiting = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Raises Unusable for one that is too long."""
        self._waiting += data
        while len(self._waiting) >= _HEAD.size:
            length, kind = _HEAD.unpack_from(self._waiting)
            if length > MAX_FRAME:
                raise Unusable(f"a frame of {length} bytes")
            if len(self._waiting) < _HEAD.size + length:
                return
            payload = bytes(self._waiting[_HEAD.size : _HEAD.size + length])
            del self._waiting[: _HEAD.size + length]
            yield kind, payload


# Stored folders and processes of earlier versions name the settings by the text that these classes once had.
_CLASS_FIELDS = {
    "aim": "latency_objective_s",
    "deadline": "deadline_s",
    "semantics": "semantics",
    "dedup_group": "dedup_group",
    "dedup_window": "dedup_window_s",
    "late_worth": "late_value",
    "importance": "importance",
    "stretch": "objective_stretch",
    "kind": "worker_kind",
    "stream": "stream",
    "priority": "priority",
}
_TENANT_FIELDS = {"share": "share", "quota_rps": "quota_rps"}


def _plain(value: object) -> object:
    return value.value if isinstance(value, Semantics) else value


def _stored_text(name: str, fields: dict[str, str], value: object) -> str:
    shown = ((stored, getattr(value, attribute)) for stored, attribute in fields.items())
    pairs = (f"{stored}={_plain(field)!r}" for stored, field in shown)
    return f"{name}({', '.join(pairs)})"


def _stored_tuple(items: list[str]) -> str:
    return f"({items[0]},)" if len(items) == 1 else f"({', '.join(items)})"


def fingerprint(settings: Settings) -> str:
    """A digest of the settings without which the figures mean something else."""
    classes = [_stored_text("RequestClass", _CLASS_FIELDS, cls) for cls in settings.classes]
    tenants = [_stored_text("Tenant", _TENANT_FIELDS, tenant) for tenant in settings.tenants]
    group = f"{settings.group_size!r}, {settings.own_number!r}"
    named = f"({_stored_tuple(classes)}, {_stored_tuple(tenants)}, {group})"
    return hashlib.blake2s(named.encode(), digest_size=8).hexdigest()


def take(module: Dispatcher) -> dict[str, Any]:
    """What the module knows, without its jobs: these stay where they are. Changes nothing."""
    classes = module.settings.classes
    group = module.fleet
    return {
        "settings": fingerprint(module.settings),
        "books": {stored: getattr(getattr(module, part), name) for stored, (part, name) in _BOOKS.items()},
        "quota": module.quotas.tokens,
        "longest": module.arrivals.max_client_timeouts,
        "limits": list(module.limits.by_kind.items()),
        "most_free": list(module.limits.max_free_slots.items()),
        "by_hand": list(module.membership.in_maintenance.items()),
        "buckets": [
            [*key, [getattr(b, name) for name in _BUCKET.values()]]
            for key, b in module.admission.buckets.items()
        ],
        "workers": [
            [
                w.id,
                {stored: getattr(w, name) for stored, name in _WORKER.items()},
                list(w.slow_start_sends),
                [[classes.index(cls), *until] for cls, until in w.class_ejections.items()],
            ]
            for w in module.workers.values()
        ],
        "fleet": {
            "incarnation": group.incarnation,
            "sequence": group._sequence,
            "hub": group.hub,
            "board": list(group.board.out.items()),
            "seen": list(group.seen.items()),
            "hub_heard": group._hub_heard,
            "peers": [
                [
                    number,
                    {name: getattr(p, name) for name in _PEER},
                    [[*key, rate] for key, rate in p.demand.items()],
                    list(p.out.items()),
                ]
                for number, p in group.peers.items()
            ],
        },
    }


def restore(module: Dispatcher, content: dict[str, Any]) -> None:
    """Into a module that has just been started. Raises Unusable, and has changed nothing then."""
    try:
        _restore(module, content)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise Unusable(f"{type(error).__name__}: {error}") from None


def _restore(module: Dispatcher, content: dict[str, Any]) -> None:
    """Everything is made before anything is put in place."""
    classes, group = module.settings.classes, module.fleet
    books = {stored: float(content["books"][stored]) for stored in _BOOKS}
    if content["settings"] != fingerprint(module.settings):
        raise ValueError("taken under other settings or in another group")
    quota, longest = [float(q) for q in content["quota"]], [float(s) for s in content["longest"]]
    if len(quota) != len(module.quotas.tokens) or len(longest) != len(classes):
        raise ValueError("not a figure for each tenant and class")
    buckets = {
        (int(t), int(c)): TenantBucket(*(float(v) for v in values)) for t, c, values in content["buckets"]
    }
    workers = {}
    for number, fields, sent, barred in content["workers"]:
        worker = Worker(int(number), codec.key(int(number)))
        fields = {"slow_start_from": fields["started_at"], **fields}  # which older forms do not have
        for stored, name in _WORKER.items():
            setattr(worker, name, type(getattr(worker, name))(fields[stored]))
        worker.slow_start_sends = deque((float(at), float(load)) for at, load in sent)
        worker.class_ejections = {
            classes[cls]: (float(until), float(length)) for cls, until, length in barred
        }
        workers[worker.id] = worker
    told = content["fleet"]
    peers = {}
    for number, fields, demand, out in told["peers"]:
        peer = aggregation.Peer(
            int(fields["incarnation"]),
            int(fields["sequence"]),
            float(fields["heard"]),
            float(fields["known"]),
            float(fields["span"]),
        )
        peer.admitted = float(fields["admitted"])
        peer.demand = {(int(t), int(c)): float(rate) for t, c, rate in demand}
        peer.out = Counter({int(key): int(slots) for key, slots in out})
        if number in group.mates:
            peers[int(number)] = peer
    board = Counter({int(key): int(slots) for key, slots in told["board"]})
    seen = Counter({int(key): int(slots) for key, slots in told["seen"]})
    hub = None if told["hub"] is None else int(told["hub"])
    incarnation, sequence, heard = int(told["incarnation"]), int(told["sequence"]), float(told["hub_heard"])
    limits = {int(kind): float(limit) for kind, limit in content["limits"]}
    most_free = {int(kind): float(free) for kind, free in content["most_free"]}
    by_hand = {int(number): float(since) for number, since in content["by_hand"]}

    for stored, value in books.items():
        part, name = _BOOKS[stored]
        owner = getattr(module, part)
        setattr(owner, name, type(getattr(owner, name))(value))
    module.quotas.tokens, module.arrivals.max_client_timeouts = quota, longest
    module.admission.buckets, module.worker_table.by_id = buckets, workers
    module.limits.by_kind, module.limits.max_free_slots = limits, most_free
    module.membership.in_maintenance = by_hand
    group.peers, group.board.out, group.seen, group.hub = peers, board, seen, hub
    group.board.told = dict.fromkeys(board)  # all of it is told again in turn
    group.incarnation, group._sequence, group._hub_heard = incarnation, (sequence + AHEAD) & 0xFFFF, heard
