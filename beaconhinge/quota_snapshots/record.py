"""Converts the policy's demand, quotas and fleet rate to a versioned record and back.

Pure: times are arguments.

A dispatcher of N that starts without a record takes one Nth of each share, while its peers still count what
it used before, and it admits requests without a limit until it has seen a full fleet itself. With a record,
it continues from the recorded state, aged by the time that has passed: tokens accrue as they would have, a
reduced fleet rate recovers at its usual rate of increase, and peers that have been silent for too long are
not counted.
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
MAX_CLOCK_SKEW_S = 1.0  # a record may be this far ahead of the clock, since clocks are adjusted now and then


class StaleRecordError(Exception):
    """A record must not be used; the message says why."""


class BucketRecord(msgspec.Struct, array_like=True, frozen=True):
    """The token bucket of a tenant and request class.

    Attributes:
        cls: index of the request class.
        demand: work requested a second.
        admitted: work admitted a second.
        tokens: work that may be admitted at once.
        rate: work a second that the bucket gains; infinite while there is no limit.
    """

    tenant: int
    cls: int
    demand: float
    admitted: float
    tokens: float
    rate: float


class PeerRecord(msgspec.Struct, array_like=True, frozen=True):
    """The state of a peer from its reports.

    Attributes:
        sequence: number of its last message.
        silent_s: time since its last message.
        covered_s: time that its reports cover, up to the time over which demand is smoothed.
        report_interval_s: time between its reports.
        demand: entries of tenant, request class and work requested a second.
        admitted: work that it admits a second.
    """

    number: int
    incarnation: int
    sequence: int
    silent_s: float
    covered_s: float
    report_interval_s: float
    demand: list[tuple[int, int, float]]
    admitted: float


class Record(msgspec.Struct, frozen=True):
    """State of the policy as it is stored. `name=` gives the stored key where the field has another name.

    Attributes:
        taken_at: Unix time in seconds.
        fleet_rate: work that the fleet admits a second; infinite while there is no limit.
        demand_share: this dispatcher's share of the fleet's demand.
        quota_tokens: tokens of each tenant's quota.
    """

    version: int
    taken_at: float
    settings_fingerprint: str = msgspec.field(name="settings")
    fleet_rate: float = msgspec.field(name="rate")
    demand_share: float = msgspec.field(name="part")
    mean_work: float
    seconds_per_work: float = msgspec.field(name="pace")
    mean_latency_s: float = msgspec.field(name="job_time")
    quota_tokens: list[float] = msgspec.field(name="quota")
    buckets: list[BucketRecord]
    peers: list[PeerRecord]


def take(dispatcher: Dispatcher, now: float) -> Record:
    """Return a record of a dispatcher's current state at Unix time `now`. Changes nothing."""
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
            BucketRecord(tenant, cls, bucket.demand, bucket.admitted, bucket.tokens, bucket.rate)
            for (tenant, cls), bucket in dispatcher.admission.buckets.items()
        ],
        [
            PeerRecord(
                number,
                peer.incarnation,
                peer.sequence,
                now - peer.heard_at,
                peer.covered_s,
                peer.report_interval_s,
                [(*key, rate) for key, rate in peer.demand.items()],
                peer.admitted,
            )
            for number, peer in dispatcher.gossip.peers.items()
        ],
    )


def encode(record: Record) -> bytes:
    """Return the stored form of a record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Return the record in its stored form.

    Raises:
        StaleRecordError: The data is not a record, or a record of another version.
    """
    try:
        version = msgspec.msgpack.decode(data, type=dict[str, msgspec.Raw]).get("version")
        if version is None or msgspec.msgpack.decode(version, type=int) != RECORD_VERSION:
            raise StaleRecordError("it has another version of the record format")
        return msgspec.msgpack.decode(data, type=Record)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StaleRecordError(f"unreadable: {error}") from None


def check(record: Record, settings: Settings, now: float, max_age: float) -> float:
    """Return the age of a record in seconds, 0 for a record that is slightly ahead of the clock.

    Raises:
        StaleRecordError: The record is older than `max_age` seconds, more than MAX_CLOCK_SKEW_S ahead of the
            clock, or was taken under other settings.
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
    # The dispatcher's reports continue from the smoothed figures instead of restarting the smoothing.
    reports.smoothing_since = now - REPORTS_SMOOTHED * reports.interval_s
    admission.fleet_rate = record.fleet_rate * (1 + RATE_INCREASE_SHARE) ** (age / CONTROL_INTERVAL_S)
    for peer in record.peers:
        restored = PeerState(
            peer.incarnation, peer.sequence, now - peer.silent_s - age, peer.covered_s, peer.report_interval_s
        )
        if peer.silent_s + age <= MAX_MISSED_REPORTS * peer.report_interval_s:
            restored.demand = {(tenant, cls): rate for tenant, cls, rate in peer.demand}
            restored.admitted = peer.admitted
        if peer.number in dispatcher.gossip.group_peers:
            dispatcher.gossip.peers[peer.number] = restored
    for bucket in record.buckets:
        capacity = admission.max_tokens(bucket.rate)
        tokens = 0.0 if bucket.rate == INF else min(bucket.tokens + age * bucket.rate, capacity)
        admission.buckets[bucket.tenant, bucket.cls] = TenantBucket(
            0.0, 0.0, bucket.demand, bucket.admitted, tokens, bucket.rate
        )
    own_share = admission.own_demand_share(admission.total_demand())
    admission.demand_share = record.demand_share if dispatcher.context.large_group else own_share
    dispatcher.quotas.restore(record.quota_tokens, age, admission.demand_share)
