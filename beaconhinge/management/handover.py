"""State that one process of a dispatcher hands to its successor, with a version and a checksum. Pure.

Quota snapshots hold what outlasts a restart. This state also has what only a process that continues at once
can use: the slots in use on each worker, what was learned about the worker, what peers were last sent, and
the list of workers. A state that is truncated, foreign or of another version is discarded as a whole.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from ..gossip import codec
from ..gossip.aggregation import GossipNode
from ..gossip.peers import Peer
from ..policy.admission import TenantBucket
from ..policy.dispatcher import Dispatcher
from ..policy.interface import RequestClass, Semantics, Settings
from ..policy.workers import Worker
from .frames import HandoverError

VERSION = 1
SEQUENCE_ALLOWANCE = 16  # sequence numbers that the old process may use after it exported its state
_MAGIC = b"beaconhinge handover %d " % VERSION

# The tables below map keys of the exported state to attribute names. Keys never change, since another version
# may read them.
# Of a worker: what was learned about it, and its ejection. Times are Unix time, which both processes share.
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
# Of the dispatcher: the name of a component of the policy, and of the component's attribute.
_POLICY_FIELDS = {
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


def seal(content: dict[str, Any]) -> bytes:
    """Return the bytes of a state, with version and checksum."""
    body = json.dumps(content, separators=(",", ":")).encode()
    return _MAGIC + hashlib.blake2s(body, digest_size=16).hexdigest().encode() + b"\n" + body


def unseal(sealed: bytes) -> dict[str, Any]:
    """Return the state in bytes that `seal` has made.

    Raises:
        HandoverError: The bytes are foreign, truncated, corrupted or of another version.
    """
    header, _, body = sealed.partition(b"\n")
    if not header.startswith(_MAGIC):
        raise HandoverError("not a handover state, or one of another version")
    if header[len(_MAGIC) :] != hashlib.blake2s(body, digest_size=16).hexdigest().encode():
        raise HandoverError("handover state truncated or corrupted: its checksum does not match")
    content = json.loads(body)
    if not isinstance(content, dict):
        raise HandoverError("handover state is not a JSON object")
    return content


# The fingerprint of the settings is made from the `repr` that RequestClass and Tenant had in earlier
# versions, since stored folders and processes of those versions have it; these tables keep the attribute
# names of that time.
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


def _enum_value(value: object) -> object:
    return value.value if isinstance(value, Semantics) else value


def _stored_repr(name: str, fields: dict[str, str], value: object) -> str:
    items = ((stored, getattr(value, attribute)) for stored, attribute in fields.items())
    pairs = (f"{stored}={_enum_value(field)!r}" for stored, field in items)
    return f"{name}({', '.join(pairs)})"


def _stored_tuple_repr(items: list[str]) -> str:
    return f"({items[0]},)" if len(items) == 1 else f"({', '.join(items)})"


def fingerprint(settings: Settings) -> str:
    """Return a hexadecimal digest of the settings on which the meaning of the state depends."""
    classes = [_stored_repr("RequestClass", _CLASS_FIELDS, cls) for cls in settings.classes]
    tenants = [_stored_repr("Tenant", _TENANT_FIELDS, tenant) for tenant in settings.tenants]
    group = f"{settings.group_size!r}, {settings.own_number!r}"
    text = f"({_stored_tuple_repr(classes)}, {_stored_tuple_repr(tenants)}, {group})"
    return hashlib.blake2s(text.encode(), digest_size=8).hexdigest()


def export_state(dispatcher: Dispatcher) -> dict[str, Any]:
    """Return the dispatcher's state without its jobs, which stay in this process. Changes nothing."""
    classes = dispatcher.settings.classes
    limits = dispatcher.limits
    return {
        "settings": fingerprint(dispatcher.settings),
        "books": {
            stored: getattr(getattr(dispatcher, part), name)
            for stored, (part, name) in _POLICY_FIELDS.items()
        },
        "quota": dispatcher.quotas.tokens,
        "longest": dispatcher.arrivals.max_client_timeouts,
        "limits": list(limits.by_kind.items()),
        "most_free": list(limits.max_free_slots.items()),
        "by_hand": list(dispatcher.membership.in_maintenance.items()),
        "buckets": [
            [*key, [getattr(bucket, name) for name in _BUCKET_FIELDS.values()]]
            for key, bucket in dispatcher.admission.buckets.items()
        ],
        "workers": [_export_worker(worker, classes) for worker in dispatcher.workers.values()],
        "fleet": _export_group(dispatcher.gossip),
    }


def _export_worker(worker: Worker, classes: Sequence[RequestClass]) -> list[Any]:
    return [
        worker.id,
        {stored: getattr(worker, name) for stored, name in _WORKER_FIELDS.items()},
        list(worker.slow_start_sends),
        [[classes.index(cls), *until] for cls, until in worker.class_ejections.items()],
    ]


def _export_group(group: GossipNode) -> dict[str, Any]:
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
                {stored: getattr(peer, name) for stored, name in _PEER_FIELDS.items()},
                [[*key, rate] for key, rate in peer.demand.items()],
                list(peer.in_flight.items()),
            ]
            for number, peer in group.peers.items()
        ],
    }


def restore(dispatcher: Dispatcher, content: dict[str, Any]) -> None:
    """Fill a dispatcher that has just been started with a state from `export_state`.

    Raises:
        HandoverError: The state is malformed or of other settings; the dispatcher is unchanged then.
    """
    try:
        restored = _read_state(dispatcher, content)
        group = _read_group(dispatcher.gossip, content["fleet"])
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise HandoverError(f"{type(error).__name__}: {error}") from None
    _apply_state(dispatcher, restored)
    _apply_group(dispatcher.gossip, group)


@dataclass(slots=True)
class _State:
    """State of the policy's components, read and checked before any of it is applied."""

    policy_values: dict[str, float]
    quota_tokens: list[float]
    max_client_timeouts: list[float]
    buckets: dict[tuple[int, int], TenantBucket]
    workers: dict[int, Worker]
    limits: dict[int, float]
    max_free_slots: dict[int, float]
    in_maintenance: dict[int, float]


@dataclass(slots=True)
class _Group:
    """State of the gossip with the other dispatchers, read and checked before any of it is applied."""

    peers: dict[int, Peer]
    in_flight_slots: Counter[int]
    aggregated_in_flight: Counter[int]
    aggregator: int | None
    incarnation: int
    sequence: int
    aggregator_heard_at: float


def _read_state(dispatcher: Dispatcher, content: dict[str, Any]) -> _State:
    settings = dispatcher.settings
    policy_values = {
        stored: _policy_field_type(dispatcher, stored)(float(content["books"][stored]))
        for stored in _POLICY_FIELDS
    }
    if content["settings"] != fingerprint(settings):
        raise ValueError("taken under other settings or in another group")
    quota_tokens = [float(tokens) for tokens in content["quota"]]
    max_client_timeouts = [float(seconds) for seconds in content["longest"]]
    expected = len(settings.tenants), len(settings.classes)
    if (len(quota_tokens), len(max_client_timeouts)) != expected:
        raise ValueError("expected quota tokens for each tenant and a client time-out for each class")
    return _State(
        policy_values=policy_values,
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


def _policy_field_type(dispatcher: Dispatcher, stored: str) -> type[float]:
    """Return the type of a component's attribute by its stored key: `int` for counts, otherwise `float`."""
    part, name = _POLICY_FIELDS[stored]
    return type(getattr(getattr(dispatcher, part), name))


def _read_worker(
    classes: Sequence[RequestClass],
    number: int,
    fields: dict[str, Any],
    sends: list[list[float]],
    ejections: list[list[Any]],
) -> Worker:
    worker = Worker(int(number), codec.worker_key(int(number)))
    fields = {"slow_start_from": fields["started_at"], **fields}  # missing in states of older processes
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
        in_flight_slots=_read_slots(stored["board"]),
        aggregated_in_flight=_read_slots(stored["seen"]),
        aggregator=None if stored["hub"] is None else int(stored["hub"]),
        incarnation=int(stored["incarnation"]),
        sequence=int(stored["sequence"]),
        aggregator_heard_at=float(stored["hub_heard"]),
    )


def _apply_state(dispatcher: Dispatcher, state: _State) -> None:
    for stored, value in state.policy_values.items():
        part, name = _POLICY_FIELDS[stored]
        setattr(getattr(dispatcher, part), name, value)
    dispatcher.quotas.tokens = state.quota_tokens
    dispatcher.arrivals.max_client_timeouts = state.max_client_timeouts
    dispatcher.admission.buckets = state.buckets
    dispatcher.worker_table.by_id = state.workers
    dispatcher.limits.by_kind = state.limits
    dispatcher.limits.max_free_slots = state.max_free_slots
    dispatcher.membership.in_maintenance = state.in_maintenance


def _apply_group(group: GossipNode, restored: _Group) -> None:
    group.peers, group.aggregated_in_flight, group.aggregator = (
        restored.peers,
        restored.aggregated_in_flight,
        restored.aggregator,
    )
    group.in_flight_table.slots = restored.in_flight_slots
    group.in_flight_table.sent_keys = dict.fromkeys(restored.in_flight_slots)  # all are sent again in turn
    group.incarnation, group._aggregator_heard_at = restored.incarnation, restored.aggregator_heard_at
    group._sequence = (restored.sequence + SEQUENCE_ALLOWANCE) & 0xFFFF
