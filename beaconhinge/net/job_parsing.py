"""Parses client messages into jobs: all 4xx checks on a job, and the estimate of its work. No sockets."""

from __future__ import annotations

from collections.abc import Callable, Container
from urllib.parse import unquote

from ..config import Config
from ..dispatch.job import Job
from ..dispatch.work_estimates import WorkEstimator
from ..runtime.metrics import Metrics
from .http1 import BadMessage, Message

MAX_TIMEOUT_S = 3600.0  # the longest X-Timeout-Ms, in seconds
MAX_TIMEOUT_DIGITS = 9  # of X-Timeout-Ms
MAX_REQUEST_ID_CHARS = 128
MAX_COST_CHARS = 32  # of X-Cost
MAX_ATTRIBUTE = 1e6  # exclusive bound of `slots` and of `memory` in X-Attrs
COSTS_PER_S = 1e6  # X-Cost is in microseconds of a standard core


class JobParser:
    """Parses messages into jobs; an invalid message is refused with a status on which no client retries."""

    def __init__(
        self,
        config: Config,
        now: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Create a parser; `now` must be the clock by which messages' times of arrival are given."""
        self.config = config
        self.metrics = metrics
        self.classes = {name: i for i, name in enumerate(config.class_names)}
        self.tenants = {name: i for i, name in enumerate(config.tenant_names)}
        self.work_estimator = WorkEstimator()
        self._now = now

    def class_of(self, path: str) -> int | None:
        """Return the index of the request class in a path's first segment; None if there is no such class."""
        return self.classes.get(unquote(path.split("/", 2)[1]) if path.startswith("/") else "")

    def parse(self, path: str, message: Message, open_request_ids: Container[str], answer_by: float) -> Job:
        """Parse a message into a job.

        Args:
            path: The message's target without its query.
            message: A POST.
            open_request_ids: Ids of the open requests.
            answer_by: Time by which this process must have answered all requests that it accepts.

        Raises:
            BadMessage: The message is not a valid job; the text names the fault.
        """
        headers = message.headers
        class_index = self.class_of(path)
        if class_index is None:
            raise BadMessage(404, f"{path}: no such class of jobs")
        request_id = _request_id(headers.get("x-request-id", ""), open_request_ids)
        tenant = self._tenant(headers.get("x-tenant-id", ""))
        client_timeout_s = _timeout_s(headers.get("x-timeout-ms", ""))
        key = headers.get("idempotency-key", "")
        if self.config.needs_key(class_index) and not key:
            raise BadMessage(400, "Idempotency-Key is missing, which jobs of this class carry")
        attributes = _attributes(headers.get("x-attrs", ""))
        now = self._now()
        waited_s = max(0.0, now - message.arrived_at)
        return Job(
            request_id,
            class_index,
            tenant,
            min(client_timeout_s - waited_s, answer_by - now),
            now,
            message.target,
            message.body,
            key,
            headers.get("x-route-key", ""),
            attributes.get("slots", 1.0),
            attributes.get("memory", 0.0),
            headers.get("x-retried") == "1",
            self._work_s(class_index, headers.get("x-cost", ""), client_timeout_s),
            max(0.0, client_timeout_s - waited_s),
        )

    def _tenant(self, name: str) -> int:
        if not self.tenants:
            return 0
        if name not in self.tenants:
            raise BadMessage(400, f"X-Tenant-Id: {name[:64]!r} is missing or not known")
        return self.tenants[name]

    def _work_s(self, class_index: int, cost: str, client_timeout_s: float) -> float:
        """Return the estimated work in seconds of a standard core; counts and ignores a malformed hint."""
        hint_s = 0.0
        if cost.isascii() and len(cost) <= MAX_COST_CHARS and cost.replace(".", "", 1).isdigit():
            hint_s = float(cost) / COSTS_PER_S
        elif cost:
            self.metrics.count_and_log("work_hint_malformed", cost=cost)
        bounded = self.work_estimator.bounded_count
        work_s = self.work_estimator.estimate_s(class_index, hint_s, client_timeout_s)
        if self.work_estimator.bounded_count > bounded:
            self.metrics.count("work_hints_bounded")
        return work_s


def id_in_use() -> BadMessage:
    """Return the error for a request whose id another open request has."""
    return BadMessage(409, "X-Request-ID: a request with this id is in work")


def _request_id(text: str, open_request_ids: Container[str]) -> str:
    if not text:
        raise BadMessage(400, "X-Request-ID is missing")
    word = text.replace("-", "").replace("_", "")
    if len(text) > MAX_REQUEST_ID_CHARS or not text.isascii() or not word.isalnum():
        raise BadMessage(
            400, f"X-Request-ID: up to {MAX_REQUEST_ID_CHARS} letters, digits, - and _ are taken"
        )
    if text in open_request_ids:
        raise id_in_use()
    return text


def _timeout_s(text: str) -> float:
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS
    if not digits or not 0 < int(text) <= MAX_TIMEOUT_S * 1000:
        raise BadMessage(
            400, f"X-Timeout-Ms: whole milliseconds, 1 to {MAX_TIMEOUT_S * 1000:.0f}, are needed"
        )
    return int(text) / 1000


def _attributes(text: str) -> dict[str, float]:
    """Return the numeric attributes in X-Attrs by name; others are ignored."""
    attributes = {}
    for part in filter(None, text.split(",")):
        name, _, value = part.partition("=")
        try:
            attributes[name.strip()] = float(value)
        except ValueError:
            continue
    for name in ("slots", "memory"):
        if not 0.0 <= attributes.get(name, 0.0) < MAX_ATTRIBUTE:
            raise BadMessage(400, f"X-Attrs: {name} is out of range")
    return attributes
