"""Settings of a dispatcher, and how to read them from path=value pairs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from .enums import Semantics
from .pair_reader import PairReader

MAX_HOLD_UP_S = 0.15
"""Longest time for which a process may be held up between reading its clock and writing."""


class DeduplicationMember(Protocol):
    """What has a place in the deduplication groups: a worker, its list entry, or an attempt there."""

    @property
    def cell(self) -> int:
        """Number of the cell."""

    @property
    def zone(self) -> int:
        """Number of the zone."""


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One request class.

    The latency objective of a job is `latency_objective_s` + `objective_stretch` x its own run time.
    """

    latency_objective_s: float
    deadline_s: float
    semantics: Semantics = Semantics.RETRYABLE
    dedup_group: str = "all"  # workers that share deduplication: "all", those of a "zone" or of a "cell"
    dedup_window_s: float = 0.0  # time from the first try in which a second run is dropped
    late_value: float = 0.0  # value of an answer after the objective; 0: none
    importance: float = 1.0
    objective_stretch: float = 0.0
    worker_kind: int = -1  # kind of worker that may run it; -1: any
    stream: bool = False
    priority: int = 0

    def shares_deduplication(self, first: DeduplicationMember, other: DeduplicationMember) -> bool:
        """Return whether a job of this class that ran at the first place is not run again at the other."""
        if self.dedup_group == "cell":
            return first.cell == other.cell
        return self.dedup_group == "all" or first.zone == other.zone


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant's share of the fleet rate, and its quota in requests per second (0: no quota)."""

    share: float = 1.0
    quota_rps: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one dispatcher, fixed at its start. Absent keys have the defaults."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = (Tenant(),)
    group_size: int = 1
    own_number: int = 0
    zone: int = 0
    membership_on_request: bool = False
    membership_max_age_s: float = 10.0
    peer_messages: bool = False
    probes_allowed: bool = False
    cancel_allowed: bool = False
    hedging_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_s: float = 1.0
    max_attempts: int = 4
    max_queued: int = 20000
    connect_timeout_s: float = 0.25
    progress_interval_s: float = 0.0  # interval of workers' progress notices; 0: they send none
    reports_start: bool = False
    free_slots_field: str = ""  # field of load reports with the number of free slots; "": none
    queue_field: str = ""  # field of load reports with the number of queued jobs; "": none
    over_quota_value: float = 1.0  # value of an over-quota job relative to one within the quota
    answer_grace_s: float = 0.0
    drain_grace_s: float = 0.0
    # Seconds within which idle connections to a draining worker must be closed; 0: not required.
    drain_close_within_s: float = 0.0
    slow_start_min_share: float = 1.0  # share of its full capacity that a worker has at its start
    slow_start_s: float = 0.0  # time in which a worker warms up to its full capacity
    # A cold worker is overloaded by more than this many times the work that it can do within the window.
    overload_multiple: float = 1.0
    overload_window_s: float = 1.0
    quantum: float = 0.001
    cost_waste: float = 0.0
    cost_cross_zone: float = 0.0
    cost_handshake: float = 0.0
    idle_timeout_s: float = 15.0
    clients_mark_retries: bool = False

    @classmethod
    def from_pairs(cls, pairs: Mapping[str, str]) -> Settings:
        """Read the settings from path=value pairs. Unknown keys are ignored.

        Raises:
            ValueError: A value is invalid; the message names its key.
        """
        read = PairReader(pairs)
        classes = _read_classes(read)
        tenants = _read_tenants(read)
        group_size, own_number = _read_group(read)
        free_slots_field, queue_field = _read_report_fields(pairs)
        return cls(
            classes=classes,
            tenants=tenants,
            group_size=group_size,
            own_number=own_number,
            zone=read.integer("zone", 0),
            membership_on_request=pairs.get("membershipMode", "pushed") == "on_request",
            membership_max_age_s=read.non_negative("rules.mustAskIn", 10.0),
            peer_messages=read.flag("policyLimits.peers"),
            probes_allowed=read.flag("policyLimits.probes"),
            cancel_allowed=read.flag("policyLimits.cancel"),
            hedging_allowed=read.flag("policyLimits.mayDuplicate"),
            retry_after_allowed=read.flag("policyLimits.retryAfter"),
            max_retry_after_s=read.non_negative("policyLimits.maxRetryAfter", 1.0),
            max_attempts=read.integer("policyLimits.maxAttempts", 4),
            max_queued=read.integer("policyLimits.mostHeld", 20000),
            connect_timeout_s=read.non_negative("policyLimits.connectTimeout", 0.25),
            progress_interval_s=read.non_negative("familyInfo.progress", 0.0),
            reports_start=read.flag("familyInfo.tellsStart"),
            free_slots_field=free_slots_field,
            queue_field=queue_field,
            over_quota_value=read.non_negative("overShareWorth", 1.0),
            answer_grace_s=read.non_negative("rules.graceToAnswer", 0.0),
            drain_grace_s=read.non_negative("rules.drainGrace", 0.0),
            drain_close_within_s=read.non_negative("rules.drainRelease", 0.0),
            slow_start_min_share=read.non_negative("rules.coldShare", 1.0),
            slow_start_s=read.non_negative("rules.warmWithin", 0.0),
            overload_multiple=read.non_negative("rules.fallMultiple", 1.0),
            overload_window_s=read.non_negative("rules.tipAfter", 1.0),
            quantum=read.non_negative("quantum", 0.001),
            cost_waste=read.non_negative("costs.waste", 0.0),
            cost_cross_zone=read.non_negative("costs.crossZone", 0.0),
            cost_handshake=read.non_negative("costs.handshake", 0.0),
            idle_timeout_s=read.non_negative("policyLimits.idleClose", 15.0),
            clients_mark_retries=read.flag("clients.marksRetry"),
        )


def _read_classes(read: PairReader) -> tuple[RequestClass, ...]:
    count = read.integer("requestClasses.count", 0)
    if count < 1:
        raise ValueError("requestClasses.count: at least one class is needed")
    stretches = read.numbers("familyInfo.classStretch")
    kinds = read.numbers("familyInfo.classKind")
    priorities = read.numbers("familyInfo.classPriority")
    return tuple(
        _read_class(
            read,
            f"requestClasses.{i}.",
            stretches[i] if i < len(stretches) else 0.0,
            int(kinds[i]) if i < len(kinds) else -1,
            int(priorities[i]) if i < len(priorities) else 0,
        )
        for i in range(count)
    )


def _read_class(read: PairReader, path: str, stretch: float, kind: int, priority: int) -> RequestClass:
    semantics = read.pairs.get(path + "semantics", Semantics.RETRYABLE.value)
    if semantics not in frozenset(Semantics):
        raise ValueError(f"{path}semantics: {semantics!r} is not known")
    return RequestClass(
        latency_objective_s=read.non_negative(path + "aim", 1.0),
        deadline_s=read.non_negative(path + "hardLimit", 10.0),
        semantics=Semantics(semantics),
        dedup_group=read.pairs.get(path + "group", "all"),
        dedup_window_s=read.non_negative(path + "dedupWindow", 0.0),
        late_value=read.non_negative(path + "lateWorth", 0.0),
        importance=read.non_negative(path + "importance", 1.0),
        objective_stretch=read.non_negative(path + "aimStretch", stretch),
        worker_kind=kind,
        stream=read.flag(path + "stream"),
        priority=priority,
    )


def _read_tenants(read: PairReader) -> tuple[Tenant, ...]:
    tenants = tuple(
        Tenant(read.non_negative(f"orgs.{i}.share", 1.0), read.non_negative(f"orgs.{i}.quotaRps", 0.0))
        for i in range(read.integer("orgs.count", 0))
    )
    return tenants or (Tenant(),)


def _read_group(read: PairReader) -> tuple[int, int]:
    """Read the size of the group, and this dispatcher's number in it, from 0."""
    group_size = read.integer("groupSize", 1)
    if group_size < 1:
        raise ValueError("groupSize: must be 1 or more")
    own_number = read.integer("myNumber", 0)
    if not 0 <= own_number < group_size:
        raise ValueError("myNumber: must be from 0 to groupSize - 1")
    return group_size, own_number


def _read_report_fields(pairs: Mapping[str, str]) -> tuple[str, str]:
    """Read the names of the load report fields for free slots and queued jobs; empty if there is none."""
    if pairs.get("report.source", "none") != "answers":
        return "", ""
    names = pairs.get("report.names", "").split(",")
    free_slots_field = ""
    for name in ("x0", "x1"):
        if pairs.get(f"familyInfo.reportX{name[1]}", "") == "free_slots" and name in names:
            free_slots_field = name
    return free_slots_field, "depth" if "depth" in names else ""
