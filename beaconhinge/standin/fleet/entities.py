"""State of the simulated dispatchers, of the clients' jobs and of the requests for them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...policy.dispatcher import Dispatcher
from ...policy.interface import Semantics
from .plan import JobClass
from .workers import Attempt


@dataclass(eq=False)
class ClientJob:
    """A job of a client, which the client may submit more than once.

    Attributes:
        sent_at: Time in seconds at which the client first submits it.
        class_index: Index of `job_class` in the site's classes.
        zone: Number of the client's zone.
        work: Seconds of a standard core.
        submissions: How often the client has submitted it.
        outcome: `served`, `refused` or `failed`; empty until known.
        in_time: Whether it was served within its latency objective.
    """

    sent_at: float
    class_index: int
    job_class: JobClass
    tenant: int
    zone: int
    work: float
    slots: int = 1
    submissions: int = 0
    outcome: str = ""
    in_time: bool = False

    @property
    def safe_to_repeat(self) -> bool:
        """Whether the job may run twice, on any two workers."""
        job_class = self.job_class
        return (
            job_class.semantics == Semantics.RETRYABLE
            or job_class.semantics == Semantics.DEDUPLICATED
            and job_class.group == "all"
        )


@dataclass(eq=False)
class Node:
    """A machine that runs one dispatcher.

    Attributes:
        number: The dispatcher's number in the fleet.
        zone: Number of the zone that the machine is in.
        dispatcher: The decision module of the current incarnation.
        incarnation: How often the dispatcher was started.
        up: Whether the dispatcher is running.
        admitted: Whether the front (the load balancer before the dispatchers) sends clients to it;
            the front notices a dispatcher's end late.
        list_version: Version of the dispatcher's list of workers.
        last_request_number: The number that the latest request got.
        requests: Requests that are not yet removed, by number.
        draining_since: For each worker that the dispatcher's list shows as draining or gone, by id: the time
            at which it was first listed so.
    """

    number: int
    zone: int
    dispatcher: Dispatcher
    incarnation: int = 0
    up: bool = False
    admitted: bool = True
    list_version: int = 0
    last_request_number: int = 0
    requests: dict[int, Request] = field(default_factory=dict)
    draining_since: dict[int, float] = field(default_factory=dict)


@dataclass(eq=False)
class Request:
    """One submission of a job by its client, held by one incarnation of one dispatcher."""

    job: ClientJob
    node: Node
    incarnation: int
    number: int
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False

    @property
    def live(self) -> bool:
        """Whether the incarnation that received the request is still running."""
        return self.node.up and self.node.incarnation == self.incarnation

    @property
    def may_have_run(self) -> bool:
        """Whether a worker has started any of its attempts, or may yet have done so."""
        return any(attempt.started or attempt.open for attempt in self.attempts)


def request_of(attempt: Attempt) -> Request:
    """Return the request that an attempt belongs to."""
    assert isinstance(attempt.owner, Request)
    return attempt.owner
