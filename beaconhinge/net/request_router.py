"""Routes received messages: health checks, call-backs, streams and jobs; answers all others with an error."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..dispatch.job import Answer, Job, RequestEnd
from ..dispatch.request import Request
from ..dispatch.request_table import RequestTable
from ..policy.interface import Semantics
from ..runtime.metrics import Metrics
from .client_table import Client
from .http1 import BadMessage, Closed, Message, response
from .job_parsing import JobParser, id_in_use
from .request_ids import Claim, RequestIds
from .shutdown import ServingState

if TYPE_CHECKING:
    from .streams import Streams

HEALTH_PATH = "/up"
CALLBACK_PATH = "/_jobs/news"
STREAM_PREFIX = "/jobs/"


@dataclass(slots=True, frozen=True)
class Reply:
    """The bytes of an answer that are still to be written.

    Attributes:
        data: The bytes.
        close: Whether the connection ends after them.
        frees_place: Whether the connection no longer counts against the limit once they are written.
    """

    data: bytes
    close: bool
    frees_place: bool = False


class RequestRouter:
    """Determines what a message requests, and has it processed.

    Attributes:
        streams: Progress streams, if they are configured, else None.
        open_jobs: Number of connections whose job has no answer yet.
    """

    def __init__(
        self,
        requests: RequestTable,
        parser: JobParser,
        ids: RequestIds,
        on_callback: Callable[[bytes], None],
        is_serving: Callable[[], bool],
        max_jobs: Callable[[], int],
        state: ServingState,
        metrics: Metrics,
    ) -> None:
        """Create a router without streams.

        Args:
            requests: Table that runs the jobs.
            parser: Parses messages into jobs.
            ids: The ids of open requests.
            on_callback: Called with the body of each call-back.
            is_serving: Returns the result of the health check.
            max_jobs: Returns how many connections may wait for a job's answer at a time. Workers' call-backs
                arrive at the same listener: if jobs took all connections, call-backs would wait until these
                jobs time out.
            state: How far this process has got in draining, handing over or ending.
            metrics: Counts refused messages.
        """
        self.requests = requests
        self.parser = parser
        self.ids = ids
        self.on_callback = on_callback
        self.is_serving = is_serving
        self.max_jobs = max_jobs
        self.state = state
        self.metrics = metrics
        self.streams: Streams | None = None
        self.open_jobs = 0

    async def respond(self, client: Client, message: Message) -> Reply:
        """Process a message and return the reply to it.

        Raises:
            Closed: The client has disconnected meanwhile.
        """
        client.answering = True
        path = message.target.split(b"?", 1)[0].decode("latin-1")
        if path == CALLBACK_PATH:
            client.sends_callbacks = True
            if message.method == "POST":
                self.on_callback(message.body)
                return Reply(response(204, close=not message.keep_alive), not message.keep_alive)
        # An answer to HEAD must have no body, but ours have one: the connection ends after it, so that the
        # body is not read as the next answer.
        close = self.state.closing_connections or not message.keep_alive or message.method == "HEAD"
        if path == HEALTH_PATH and message.method == "GET":
            up = self.is_serving()
            return Reply(response(200 if up else 503, b"up\n" if up else b"not ready\n", close=close), close)
        if self.streams is not None and message.method == "GET" and path.startswith(STREAM_PREFIX):
            return await self._attach(self.streams, client, message, path, close)
        if message.method != ("GET" if path == HEALTH_PATH else "POST"):
            return self._refuse_method(path, close)
        try:
            job = self.parser.parse(path, message, self.ids, self.state.answer_by)
            return await self._serve_job(client, message, job, close)
        except BadMessage as error:
            self.metrics.count_and_log("client_request_refused", status=error.status, why=error)
            return Reply(error_response(error.status, str(error), close), close)

    async def _attach(
        self, streams: Streams, client: Client, message: Message, path: str, close: bool
    ) -> Reply:
        """Attach the client to the stream of a job that was submitted before."""
        close = close or client.connection.version != "1.1"
        name = message.headers.get("x-tenant-id")  # a browser's EventSource cannot send it
        tenant = None if name is None else self.parser.tenants.get(name, -1)
        if await streams.attach(client.connection, message, tenant, close):
            return Reply(b"", close or self.state.closing_connections)
        return Reply(error_response(404, f"{path}: no such stream", close), close)

    def _refuse_method(self, path: str, close: bool) -> Reply:
        if path in (HEALTH_PATH, CALLBACK_PATH) or self.parser.class_of(path) is not None:
            allowed = "GET" if path == HEALTH_PATH else "POST"
            return Reply(error_response(405, f"{path}: send {allowed}", close, {"Allow": allowed}), close)
        return Reply(error_response(404, f"{path}: no such path", close), close)

    async def _serve_job(self, client: Client, message: Message, job: Job, close: bool) -> Reply:
        if self.state.rejecting or job.remaining_s <= 0:
            return Reply(answer_bytes(self.requests.reject(job), True), True)
        if self.requests.full:
            self.metrics.count_and_log("requests_over_limit", held=len(self.requests.requests))
            return Reply(answer_bytes(self.requests.reject(job), close), close)
        if self.open_jobs >= self.max_jobs():
            self.metrics.count_and_log("jobs_over_connections", in_work=self.open_jobs)
            return Reply(answer_bytes(self.requests.reject(job), True), True, frees_place=True)
        self.open_jobs += 1
        try:
            claim = await self.ids.claim(job.id)
            if claim is Claim.IN_USE:
                raise id_in_use()
            if claim is Claim.UNKNOWN and self._must_not_run_twice(job):
                return Reply(answer_bytes(self.requests.reject(job), close), close)
            return await self._answer_job(client, message, job, close)
        finally:
            self.open_jobs -= 1
            self.ids.release(job.id)

    def _must_not_run_twice(self, job: Job) -> bool:
        return self.requests.settings.classes[job.class_index].semantics == Semantics.UNSAFE

    async def _answer_job(self, client: Client, message: Message, job: Job, close: bool) -> Reply:
        """Run a job and return the reply; for a stream, its answer is already written to the connection."""
        if self.streams is not None and self.streams.wants_stream(message):
            close = close or client.connection.version != "1.1"  # HTTP/1.0 has no chunked encoding
            outcome = await self.streams.answer(client.connection, job, close)
            close = close or self.state.closing_connections
            return Reply(b"" if outcome is None else answer_bytes(outcome, close), close)
        request = self.requests.take(job, has_client_left=client.connection.is_closed)
        answer = await _wait_for_answer(client, request)
        close = self.state.closing_connections or not message.keep_alive
        return Reply(answer_bytes(answer, close), close)


async def _wait_for_answer(client: Client, request: Request) -> Answer:
    """Wait for the answer, and notify the request if the client disconnects meanwhile.

    Raises:
        Closed: The client has disconnected.
    """
    while not request.answer.done():
        reading = client.connection.reading()
        await asyncio.wait((request.answer, reading), return_when=asyncio.FIRST_COMPLETED)
        if not request.answer.done() and not reading.result():
            request.client_left()
            await request.answer
    answer = request.answer.result()
    if answer.end is RequestEnd.CLIENT_GONE:
        raise Closed
    return answer


def error_response(status: int, why: str, close: bool, headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of an error answer with `why` as its body."""
    return response(status, why.encode("ascii", "backslashreplace") + b"\n", headers, close)


def answer_bytes(answer: Answer, close: bool) -> bytes:
    """Return the bytes of a job's answer: status 200, 502 or 503."""
    if answer.end is RequestEnd.SERVED:
        return response(200, answer.body, close=close)
    if answer.end is RequestEnd.REJECTED:
        after = {"Retry-After": f"{answer.retry_after:.3f}"} if answer.retry_after > 0 else {}
        return response(503, b"refused: try again later\n", after, close)
    return response(502, b"failed: the job may have run\n", close=close)
