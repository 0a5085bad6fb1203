"""Answers one message of a client: health check, call-backs, streams, jobs, and whatever is none of these."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..dispatch.job import Answer, Job, RequestEnd
from ..dispatch.request import Request, RequestTable
from ..runtime.metrics import Metrics
from .client_table import Client
from .http1 import BadMessage, Closed, Message, response
from .job_parsing import JobParser
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
        data: the bytes.
        close: whether the connection ends with them.
        leaves_room: whether its place is another's as soon as they are written.
    """

    data: bytes
    close: bool
    leaves_room: bool = False


class RequestRouter:
    """Finds out what a message asks for, and has it done.

    Attributes:
        streams: answers as streams, where they are configured.
        jobs_in_work: connections whose job has no answer yet.
    """

    def __init__(
        self,
        requests: RequestTable,
        parser: JobParser,
        on_callback: Callable[[bytes], None],
        is_serving: Callable[[], bool],
        max_jobs: Callable[[], int],
        state: ServingState,
        metrics: Metrics,
    ) -> None:
        """Answer nothing yet.

        Args:
            requests: takes the jobs.
            parser: makes them of messages.
            on_callback: takes what workers report of jobs.
            is_serving: what the health check says.
            max_jobs: connections that may wait for a job's answer at a time. Workers' call-backs come by the
                same listener: behind jobs that fill it they would wait until these are given up.
            state: how far this process is on a way out.
            metrics: counts what is refused.
        """
        self.requests = requests
        self.parser = parser
        self.on_callback = on_callback
        self.is_serving = is_serving
        self.max_jobs = max_jobs
        self.state = state
        self.metrics = metrics
        self.streams: Streams | None = None
        self.jobs_in_work = 0

    async def respond(self, client: Client, message: Message) -> Reply:
        """Have a message answered.

        Raises:
            Closed: the client has gone meanwhile.
        """
        client.answering = True
        path = message.target.split(b"?", 1)[0].decode("latin-1")
        if path == CALLBACK_PATH:
            client.sends_callbacks = True
            if message.method == "POST":
                self.on_callback(message.body)
                return Reply(response(204, close=not message.keep_alive), not message.keep_alive)
        # An answer to HEAD has no body; ours have one, so the connection ends with it lest it be misread.
        close = self.state.closing_connections or not message.keep_alive or message.method == "HEAD"
        if path == HEALTH_PATH and message.method == "GET":
            up = self.is_serving()
            return Reply(response(200 if up else 503, b"up\n" if up else b"not ready\n", close=close), close)
        if self.streams is not None and message.method == "GET" and path.startswith(STREAM_PREFIX):
            return await self._attach(self.streams, client, message, path, close)
        if message.method != ("GET" if path == HEALTH_PATH else "POST"):
            return self._refuse_method(path, close)
        try:
            job = self.parser.parse(path, message, self.requests.requests, self.state.answer_by)
        except BadMessage as error:
            self.metrics.count_and_log("client_request_refused", status=error.status, why=error)
            return Reply(problem(error.status, str(error), close), close)
        return await self._serve_job(client, message, job, close)

    async def _attach(
        self, streams: Streams, client: Client, message: Message, path: str, close: bool
    ) -> Reply:
        """Go on with the stream of a job that was handed in before."""
        close = close or client.connection.version != "1.1"
        name = message.headers.get("x-tenant-id")  # a browser's EventSource cannot say it
        tenant = None if name is None else self.parser.tenants.get(name, -1)
        if await streams.attach(client.connection, message, tenant, close):
            return Reply(b"", close or self.state.closing_connections)
        return Reply(problem(404, f"{path}: no such stream", close), close)

    def _refuse_method(self, path: str, close: bool) -> Reply:
        if path in (HEALTH_PATH, CALLBACK_PATH) or self.parser.class_of(path) is not None:
            allowed = "GET" if path == HEALTH_PATH else "POST"
            return Reply(problem(405, f"{path}: send {allowed}", close, {"Allow": allowed}), close)
        return Reply(problem(404, f"{path}: no such path", close), close)

    async def _serve_job(self, client: Client, message: Message, job: Job, close: bool) -> Reply:
        if self.state.rejecting or job.remaining_s <= 0:
            return Reply(answer_bytes(self.requests.reject(job), True), True)
        if self.requests.full:
            self.metrics.count_and_log("requests_over_limit", held=len(self.requests.requests))
            return Reply(answer_bytes(self.requests.reject(job), close), close)
        if self.jobs_in_work >= self.max_jobs():
            self.metrics.count_and_log("jobs_over_connections", in_work=self.jobs_in_work)
            return Reply(answer_bytes(self.requests.reject(job), True), True, leaves_room=True)
        self.jobs_in_work += 1
        try:
            return await self._answer_job(client, message, job, close)
        finally:
            self.jobs_in_work -= 1

    async def _answer_job(self, client: Client, message: Message, job: Job, close: bool) -> Reply:
        """Have a job done, and its answer written as far as it is a stream."""
        if self.streams is not None and self.streams.wants_stream(message):
            close = close or client.connection.version != "1.1"  # which knows no chunks
            outcome = await self.streams.answer(client.connection, job, close)
            close = close or self.state.closing_connections
            return Reply(b"" if outcome is None else answer_bytes(outcome, close), close)
        request = self.requests.take(job, has_client_left=client.connection.ended)
        answer = await _wait_for_answer(client, request)
        close = self.state.closing_connections or not message.keep_alive
        return Reply(answer_bytes(answer, close), close)


async def _wait_for_answer(client: Client, request: Request) -> Answer:
    """Wait for the answer, with an eye on the client: it may close its connection and be gone."""
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


def problem(status: int, why: str, close: bool, headers: dict[str, str] | None = None) -> bytes:
    """The bytes of an answer that says what is wrong with a message."""
    return response(status, why.encode("ascii", "backslashreplace") + b"\n", headers, close)


def answer_bytes(answer: Answer, close: bool) -> bytes:
    """The bytes of a job's answer."""
    if answer.end is RequestEnd.SERVED:
        return response(200, answer.body, close=close)
    if answer.end is RequestEnd.REJECTED:
        after = {"Retry-After": f"{answer.retry_after:.3f}"} if answer.retry_after > 0 else {}
        return response(503, b"refused: try again later\n", after, close)
    return response(502, b"failed: the job may have run\n", close=close)
