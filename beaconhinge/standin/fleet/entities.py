"""What the simulated fleet keeps of its dispatchers, and of jobs and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...policy.dispatcher import Dispatcher
from ...policy.interface import Semantics
from .plan import JobClass
from .workers import Attempt


@dataclass(eq=False)
class ClientJob:
    """What a client wants, over all its attempts.

    `sent_at` is when it first asks; `outcome` is served, refused or failed once it is known.
    """

    sent_at: float
    class_index: int
    job_class: JobClass
    tenant: int
    zone: int
    work: float
    slots: int = 1
    attempts: int = 0
    outcome: str = ""
    in_time: bool = False

    @property
    def safe_to_repeat(self) -> bool:
        """Whether it may run twice, wherever that is."""
        job_class = self.job_class
        return (
            job_class.semantics == Semantics.RETRYABLE
            or job_class.semantics == Semantics.DEDUPLICATED
            and job_class.group == "all"
        )


@dataclass(eq=False)
class Node:
    """A dispatcher's machine.

    Attributes:
        number: Of the dispatcher.
        zone: Where it stands.
        dispatcher: The decisions of its present incarnation.
        incarnation: How often it was started.
        up: Whether it runs.
        admitted: Whether the front sends clients to it; the front notices late.
        list_version: Of its list of workers.
        last_request_number: Given to a request.
        requests: Those in work, by number.
        draining_since: By worker that it knows to drain or to be gone: since when.
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
    """One attempt of a client, as one incarnation of one dispatcher has it."""

    job: ClientJob
    node: Node
    incarnation: int
    number: int
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False

    @property
    def live(self) -> bool:
        """Whether the incarnation that took it still runs."""
        return self.node.up and self.node.incarnation == self.incarnation

    @property
    def may_have_run(self) -> bool:
        """Whether any of its attempts was started, or may be now."""
        return any(attempt.started or attempt.open for attempt in self.attempts)


def owner_of(attempt: Attempt) -> Request:
    """Return the request that an attempt is of."""
    assert isinstance(attempt.owner, Request)
    return attempt.owner
