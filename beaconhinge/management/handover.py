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
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from ..gossip import codec
from ..gossip.aggregation import GossipNode
from ..gossip.peers import Peer
from ..policy.admission import TenantBucket
from ..policy.dispatcher import Dispatcher
from ..policy.interface import RequestClass, Semantics, Settings
from ..policy.workers import Worker

VERSION = 1
SEQUENCE_ALLOWANCE = 16  # numbers that the old process may have used up after it took the form
MAX_FRAME_BYTES = 8 * 1024 * 1024
_HEAD = struct.Struct(">IB")
_MAGIC = b"beaconhinge handover %d " % VERSION

# Kinds of frames between the two processes.
STATE, SERVING, PARTED, DONE, CALL_BACK, SLOTS, OUT, BACK, DRAIN, RESUME = range(1, 11)

# Keys of the stored form and the attributes behind them. Keys never change: another version may read them.
# Of a worker: what it has taught and how it is judged. Times are Unix time, which both processes have.
_WORKER_FIELDS = {
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
_FIGURES = {
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
_BUCKET_FIELDS = {
    "allowed": "allowed",
    "denied": "denied",
    "demand": "demand",
    "admitted": "admitted",
    "tokens": "tokens",
    "rate": "rate",
}
_PEER_FIELDS = {
    "incarnation": "incarnation",
    "sequence": "sequence",
    "heard": "heard_at",
    "known": "covered_s",
    "span": "report_interval_s",
    "admitted": "admitted",
}


class HandoverError(Exception):
    """A state, or a frame, that must not be used; the text says why."""


def seal(content: dict[str, Any]) -> bytes:
    """Bytes of a state, with version and checksum."""
    body = json.dumps(content, separators=(",", ":")).encode()
    return _MAGIC + hashlib.blake2s(body, digest_size=16).hexdigest().encode() + b"\n" + body


def unseal(form: bytes) -> dict[str, Any]:
    """The state in these bytes.

    Raises:
        HandoverError: The bytes are foreign, torn or of another version.
    """
    head, _, body = form.partition(b"\n")
    if not head.startswith(_MAGIC):
        raise HandoverError("foreign, or of another version")
    if head[len(_MAGIC) :] != hashlib.blake2s(body, digest_size=16).hexdigest().encode():
        raise HandoverError("torn: its checksum is wrong")
    content = json.loads(body)
    if not isinstance(content, dict):
        raise HandoverError("not an object")
    return content


def encode_frame(kind: int, payload: bytes = b"") -> bytes:
    """Bytes of one frame between the two processes."""
    return _HEAD.pack(len(payload), kind) + payload


class FrameReader:
    """Turns bytes in pieces of any size into frames."""

    def __init__(self) -> None:
        self._waiting = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Take in bytes, and yield each frame that is complete.

        Raises:
            HandoverError: A frame is too long.
        """
        self._waiting += data
        while len(self._waiting) >= _HEAD.size:
            length, kind = _HEAD.unpack_from(self._waiting)
            if length > MAX_FRAME_BYTES:
                raise HandoverError(f"a frame of {length} bytes")
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


def take(dispatcher: Dispatcher) -> dict[str, Any]:
    """What the dispatcher knows, without its jobs: these stay where they are. Changes nothing."""
    classes = dispatcher.settings.classes
    limits = dispatcher.limits
    return {
        "settings": fingerprint(dispatcher.settings),
        "books": {
            stored: getattr(getattr(dispatcher, part), name) for stored, (part, name) in _FIGURES.items()
        },
        "quota": dispatcher.quotas.tokens,
        "longest": dispatcher.arrivals.max_client_timeouts,
        "limits": list(limits.by_kind.items()),
        "most_free": list(limits.max_free_slots.items()),
        "by_hand": list(dispatcher.membership.in_maintenance.items()),
        "buckets": [
            [*key, [getattr(b, name) for name in _BUCKET_FIELDS.values()]]
            for key, b in dispatcher.admission.buckets.items()
        ],
        "workers": [_take_worker(worker, classes) for worker in dispatcher.workers.values()],
        "fleet": _take_fleet(dispatcher.gossip),
    }


def _take_worker(worker: Worker, classes: Sequence[RequestClass]) -> list[Any]:
    return [
        worker.id,
        {stored: getattr(worker, name) for stored, name in _WORKER_FIELDS.items()},
        list(worker.slow_start_sends),
        [[classes.index(cls), *until] for cls, until in worker.class_ejections.items()],
    ]


def _take_fleet(group: GossipNode) -> dict[str, Any]:
    return {
        "incarnation": group.incarnation,
        "sequence": group._sequence,
        "hub": group.aggregator,
        "board": list(group.in_flight_table.slots.items()),
        "seen": list(group.aggregated_in_flight.items()),
        "hub_heard": group._aggregator_heard_at,
        "peers": [
            [
                number,
                {stored: getattr(p, name) for stored, name in _PEER_FIELDS.items()},
                [[*key, rate] for key, rate in p.demand.items()],
                list(p.in_flight.items()),
            ]
            for number, p in group.peers.items()
        ],
    }


def restore(dispatcher: Dispatcher, content: dict[str, Any]) -> None:
    """Fill a dispatcher that has just been started.

    Raises:
        HandoverError: The state is torn or of other settings; nothing has been changed then.
    """
    try:
        restored = _read_state(dispatcher, content)
        group = _read_group(dispatcher.gossip, content["fleet"])
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise HandoverError(f"{type(error).__name__}: {error}") from None
    _put_state(dispatcher, restored)
    _put_group(dispatcher.gossip, group)


@dataclass(slots=True)
class _State:
    """State of the parts of a dispatcher, read and checked, before any of it is put in place."""

    figures: dict[str, float]
    quota_tokens: list[float]
    max_client_timeouts: list[float]
    buckets: dict[tuple[int, int], TenantBucket]
    workers: dict[int, Worker]
    limits: dict[int, float]
    max_free_slots: dict[int, float]
    in_maintenance: dict[int, float]


@dataclass(slots=True)
class _Group:
    """The same of what is known of the group."""

    peers: dict[int, Peer]
    board: Counter[int]
    seen: Counter[int]
    hub: int | None
    incarnation: int
    sequence: int
    hub_heard: float


def _read_state(dispatcher: Dispatcher, content: dict[str, Any]) -> _State:
    settings = dispatcher.settings
    figures = {
        stored: _figure_type(dispatcher, stored)(float(content["books"][stored])) for stored in _FIGURES
    }
    if content["settings"] != fingerprint(settings):
        raise ValueError("taken under other settings or in another group")
    quota_tokens = [float(tokens) for tokens in content["quota"]]
    max_client_timeouts = [float(seconds) for seconds in content["longest"]]
    expected = len(settings.tenants), len(settings.classes)
    if (len(quota_tokens), len(max_client_timeouts)) != expected:
        raise ValueError("not a figure for each tenant and class")
    return _State(
        figures=figures,
        quota_tokens=quota_tokens,
        max_client_timeouts=max_client_timeouts,
        buckets={
            (int(tenant), int(cls)): TenantBucket(*(float(v) for v in values))
            for tenant, cls, values in content["buckets"]
        },
        workers={int(entry[0]): _read_worker(settings.classes, *entry) for entry in content["workers"]},
        limits={int(kind): float(limit) for kind, limit in content["limits"]},
        max_free_slots={int(kind): float(free) for kind, free in content["most_free"]},
        in_maintenance={int(number): float(since) for number, since in content["by_hand"]},
    )


def _figure_type(dispatcher: Dispatcher, stored: str) -> type[float]:
    """The type of a figure in its part: counts are whole numbers."""
    part, name = _FIGURES[stored]
    return type(getattr(getattr(dispatcher, part), name))


def _read_worker(
    classes: Sequence[RequestClass],
    number: int,
    fields: dict[str, Any],
    sends: list[list[float]],
    ejections: list[list[Any]],
) -> Worker:
    worker = Worker(int(number), codec.worker_key(int(number)))
    fields = {"slow_start_from": fields["started_at"], **fields}  # which older forms do not have
    for stored, name in _WORKER_FIELDS.items():
        setattr(worker, name, type(getattr(worker, name))(fields[stored]))
    worker.slow_start_sends = deque((float(at), float(load)) for at, load in sends)
    worker.class_ejections = {classes[cls]: (float(until), float(length)) for cls, until, length in ejections}
    return worker


def _read_peer(fields: dict[str, Any], demand: list[list[Any]], in_flight: list[list[int]]) -> Peer:
    peer = Peer(
        int(fields["incarnation"]),
        int(fields["sequence"]),
        float(fields["heard"]),
        float(fields["known"]),
        float(fields["span"]),
    )
    peer.admitted = float(fields["admitted"])
    peer.demand = {(int(tenant), int(cls)): float(rate) for tenant, cls, rate in demand}
    peer.in_flight = _read_slots(in_flight)
    return peer


def _read_slots(entries: list[list[int]]) -> Counter[int]:
    return Counter({int(key): int(slots) for key, slots in entries})


def _read_group(group: GossipNode, stored: dict[str, Any]) -> _Group:
    peers = {int(entry[0]): _read_peer(*entry[1:]) for entry in stored["peers"]}
    return _Group(
        peers={number: peer for number, peer in peers.items() if number in group.group_peers},
        board=_read_slots(stored["board"]),
        seen=_read_slots(stored["seen"]),
        hub=None if stored["hub"] is None else int(stored["hub"]),
        incarnation=int(stored["incarnation"]),
        sequence=int(stored["sequence"]),
        hub_heard=float(stored["hub_heard"]),
    )


def _put_state(dispatcher: Dispatcher, state: _State) -> None:
    for stored, value in state.figures.items():
        part, name = _FIGURES[stored]
        setattr(getattr(dispatcher, part), name, value)
    dispatcher.quotas.tokens = state.quota_tokens
    dispatcher.arrivals.max_client_timeouts = state.max_client_timeouts
    dispatcher.admission.buckets = state.buckets
    dispatcher.worker_table.by_id = state.workers
    dispatcher.limits.by_kind = state.limits
    dispatcher.limits.max_free_slots = state.max_free_slots
    dispatcher.membership.in_maintenance = state.in_maintenance


def _put_group(group: GossipNode, restored: _Group) -> None:
    group.peers, group.aggregated_in_flight, group.aggregator = restored.peers, restored.seen, restored.hub
    group.in_flight_table.slots = restored.board
    group.in_flight_table.sent_keys = dict.fromkeys(restored.board)  # all of it is told again in turn
    group.incarnation, group._aggregator_heard_at = restored.incarnation, restored.hub_heard
    group._sequence = (restored.sequence + SEQUENCE_ALLOWANCE) & 0xFFFF
