"""Demand, quotas and the fleet rate of the policy as a versioned record, and back. Pure: times are arguments.

A dispatcher that starts without them takes one Nth of each share, while the others still count what it
used before, and admits without a limit until it has seen a full fleet by itself. With a record it goes on
where it was, aged by the time that has passed: allowances grow as they would have, a cut of the fleet rate
fades at the pace at which the rate rises, and others that have been silent for too long are not counted.
"""

from __future__ import annotations

import msgspec

from ..gossip.aggregation import MAX_MISSED_REPORTS
from ..gossip.peers import REPORTS_SMOOTHED
from ..gossip.peers import Peer as PeerState
from ..management.handover import fingerprint
from ..policy.admission import CONTROL_INTERVAL_S, RATE_INCREASE_SHARE, TenantBucket
from ..policy.context import INF
from ..policy.dispatcher import Dispatcher
from ..policy.interface import Settings

RECORD_VERSION = 1
MAX_CLOCK_SKEW_S = 1.0  # seconds by which a record may lie ahead of the clock: clocks are set now and then


class StaleRecordError(Exception):
    """A record that must not be used; the text says why."""


class BucketRecord(msgspec.Struct, array_like=True, frozen=True):
    """The bucket of a tenant and class."""

    tenant: int
    cls: int
    demand: float  # work a second
    admitted: float
    tokens: float
    rate: float


class PeerRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a peer last reported."""

    number: int
    incarnation: int
    sequence: int
    silent: float  # seconds since its last message
    known: float
    span: float
    demand: list[tuple[int, int, float]]
    admitted: float


class Record(msgspec.Struct, frozen=True):
    """State of the policy as it is stored. `name=` gives the stored key where the field has another name."""

    version: int
    taken_at: float  # Unix time, seconds
    settings_fingerprint: str = msgspec.field(name="settings")
    # Work a second that the fleet admits; infinite while there is no cut.
    fleet_rate: float = msgspec.field(name="rate")
    demand_share: float = msgspec.field(name="part")
    mean_work: float
    seconds_per_work: float = msgspec.field(name="pace")
    mean_latency_s: float = msgspec.field(name="job_time")
    quota_tokens: list[float] = msgspec.field(name="quota")
    buckets: list[BucketRecord]
    peers: list[PeerRecord]


def take(dispatcher: Dispatcher, now: float) -> Record:
    """The record of a dispatcher as it stands. Changes nothing."""
    return Record(
        RECORD_VERSION,
        now,
        fingerprint(dispatcher.settings),
        dispatcher.admission.fleet_rate,
        dispatcher.admission.demand_share,
        dispatcher.estimates.mean_work,
        dispatcher.estimates.seconds_per_work,
        dispatcher.estimates.mean_latency_s,
        list(dispatcher.quotas.tokens),
        [
            BucketRecord(tenant, cls, b.demand, b.admitted, b.tokens, b.rate)
            for (tenant, cls), b in dispatcher.admission.buckets.items()
        ],
        [
            PeerRecord(
                number,
                p.incarnation,
                p.sequence,
                now - p.heard_at,
                p.covered_s,
                p.report_interval_s,
                [(*key, rate) for key, rate in p.demand.items()],
                p.admitted,
            )
            for number, p in dispatcher.gossip.peers.items()
        ],
    )


def encode(record: Record) -> bytes:
    """The stored form."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Read the stored form.

    Raises:
        StaleRecordError: It is no record, or one of another version.
    """
    try:
        version = msgspec.msgpack.decode(data, type=dict[str, msgspec.Raw]).get("version")
        if version is None or msgspec.msgpack.decode(version, type=int) != RECORD_VERSION:
            raise StaleRecordError("written in another version of the record")
        return msgspec.msgpack.decode(data, type=Record)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StaleRecordError(f"unreadable: {error}") from None


def check(record: Record, settings: Settings, now: float, max_age: float) -> float:
    """Seconds that the record is old.

    Raises:
        StaleRecordError: It is too old, ahead of the clock, or of other settings.
    """
    age = now - record.taken_at
    if age < -MAX_CLOCK_SKEW_S:
        raise StaleRecordError(f"taken {-age:.1f} s in the future")
    if not age <= max_age:
        raise StaleRecordError(f"{age:.1f} s old, more than {max_age:g}")
    if record.settings_fingerprint != fingerprint(settings):
        raise StaleRecordError("taken under other settings or in another group")
    return max(age, 0.0)


def restore(dispatcher: Dispatcher, record: Record, now: float, age: float) -> None:
    """Fill a dispatcher that has just been started at `now` from a record that is `age` seconds old."""
    admission, estimates, reports = dispatcher.admission, dispatcher.estimates, dispatcher.reports
    estimates.mean_work, estimates.seconds_per_work = record.mean_work, record.seconds_per_work
    estimates.mean_latency_s = record.mean_latency_s
    # Its reports carry on the smoothed figures instead of starting them anew.
    reports.smoothing_since = now - REPORTS_SMOOTHED * reports.interval_s
    admission.fleet_rate = record.fleet_rate * (1 + RATE_INCREASE_SHARE) ** (age / CONTROL_INTERVAL_S)
    for peer in record.peers:
        restored = PeerState(peer.incarnation, peer.sequence, now - peer.silent - age, peer.known, peer.span)
        if peer.silent + age <= MAX_MISSED_REPORTS * peer.span:
            restored.demand = {(tenant, cls): rate for tenant, cls, rate in peer.demand}
            restored.admitted = peer.admitted
        if peer.number in dispatcher.gossip.group_peers:
            dispatcher.gossip.peers[peer.number] = restored
    for bucket in record.buckets:
        most = admission.max_tokens(bucket.rate)
        tokens = 0.0 if bucket.rate == INF else min(bucket.tokens + age * bucket.rate, most)
        admission.buckets[bucket.tenant, bucket.cls] = TenantBucket(
            0.0, 0.0, bucket.demand, bucket.admitted, tokens, bucket.rate
        )
    own_share = admission.own_demand_share(admission.total_demand())
    admission.demand_share = record.demand_share if dispatcher.context.large_group else own_share
    dispatcher.quotas.restore(record.quota_tokens, age, admission.demand_share)
