"""Answers requests with streams of server-sent events that report on them while they are processed.

`progress.feed` determines the events and `progress.codec` encodes them; this module waits for them and writes
them. A slow reader delays no other one, since each stream waits for its own connection only.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qs

from ..config import Config
from ..config.local import ProgressOptions
from ..dispatch.job import Answer, Job, RequestEnd
from ..dispatch.request import Request
from ..dispatch.request_table import RequestTable
from ..progress import codec
from ..progress.feed import ACCEPTED, FeedReader, ProgressFeed
from ..progress.registry import StreamEntry, StreamRegistry
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Closed, Connection, Message

KEPT_OUTCOMES_SHARE = 0.25  # share of limits.max_body_bytes for outcomes kept for returning readers
EXPIRY_INTERVAL_S = 0.25  # interval of the checks for detached jobs and kept outcomes that have expired
TOKEN_BYTES = 16  # bytes of randomness


class StreamedRequest:
    """Feeds a request's events into its stream, and wakes the tasks that write the stream.

    Attributes:
        token: secret that a client must present to return to the stream.
        request: the request; set once it has been taken.
    """

    def __init__(self, job: Job, class_name: str) -> None:
        self.feed = ProgressFeed()
        self.job = job
        self.class_name = class_name
        self.token = secrets.token_urlsafe(TOKEN_BYTES)
        self.request: Request
        self._waiters: set[asyncio.Future[None]] = set()

    def next_change(self) -> asyncio.Future[None]:
        """Return a future that is done at the next event.

        Two readers may wait at once, while one replaces the other.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(future)
        return future

    def forget_waiter(self, change: asyncio.Future[None]) -> None:
        """Drop a future of `next_change` that is no longer awaited."""
        self._waiters.discard(change)

    def wake(self) -> None:
        """Complete all futures of `next_change`."""
        for future in self._waiters:
            if not future.done():
                future.set_result(None)
        self._waiters.clear()

    def accepted(self) -> None:
        """See RequestObserver."""
        self.feed.accepted({"id": self.job.id, "class": self.class_name, "token": self.token})
        self.wake()

    def started(self, attempt: int) -> None:
        """See RequestObserver."""
        self.feed.started(attempt)
        self.wake()

    def progress(self, attempt: int, share: float) -> None:
        """See RequestObserver."""
        self.feed.progress(attempt, share)
        self.wake()

    def lost(self, attempt: int) -> None:
        """See RequestObserver."""
        self.feed.attempt_lost(attempt)


class Streams:
    """All requests that are answered with streams.

    Attributes:
        open_by_tenant: number of streams being written, by tenant.
        streamed: requests by job id, as long as the job is in the registry.
    """

    def __init__(
        self,
        settings: ProgressOptions,
        config: Config,
        requests: RequestTable,
        timers: TimerWheel,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.config = config
        self.requests = requests
        self.timers = timers
        self.metrics = metrics
        self.open_by_tenant: Counter[int] = Counter()
        self.streamed: dict[str, StreamedRequest] = {}
        self.registry = StreamRegistry(
            settings.detached_s,
            settings.keep_outcome_s,
            settings.max_detached,
            int(KEPT_OUTCOMES_SHARE * config.limits.max_body_bytes),
        )
        timers.after(EXPIRY_INTERVAL_S, self._expire)

    def wants_stream(self, message: Message) -> bool:
        """Return whether a message asks for a stream as its answer."""
        accept = message.headers.get("accept", "")
        return codec.MEDIA_TYPE in accept.lower() and codec.accepts_event_stream(accept)

    async def answer(self, connection: Connection, job: Job, close: bool) -> Answer | None:
        """Answer a job with a stream. `close`: the connection ends with the stream.

        Returns None after a stream, or an answer to be written as a plain response: one given before the job
        was admitted, such as a refusal. Raises Closed when the client has disconnected or does not read.
        """
        if self._over_limit(job.tenant):
            return Answer(RequestEnd.REJECTED, retry_after=self.config.settings.max_retry_after_s)
        self.open_by_tenant[job.tenant] += 1
        try:
            streamed = StreamedRequest(job, self.config.class_names[job.class_index])
            request = streamed.request = self.requests.take(job, streamed)
            while not streamed.feed.milestones:
                if request.answer.done():
                    return request.answer.result()
                reading = await self._wait_for_change(connection, streamed, None)
                if reading.done() and not reading.result():
                    await self._client_left(request)
                    raise Closed
            self.metrics.count("streams")
            entry = self.registry.add(job.id, job.tenant, streamed.token, streamed.feed)
            self.streamed[job.id] = streamed
            request.answer.add_done_callback(lambda answer: self._answered(entry, streamed, answer.result()))
            await self._stream_to(connection, entry, streamed, 0, close)
            return None
        finally:
            self.open_by_tenant[job.tenant] -= 1

    async def attach(self, connection: Connection, message: Message, tenant: int | None, close: bool) -> bool:
        """Continue a stream at `GET /jobs/ID/events`.

        Returns False when the client may not read a stream there: no such job, a wrong token or tenant, or
        too many streams. Raises Closed as `answer` does.
        """
        path, _, query = message.target.decode("latin-1").partition("?")
        parts = path.split("/")
        token = (
            _token_from_query(query)
            or message.headers.get("authorization", "").removeprefix("Bearer ").strip()
        )
        entry = self.registry.find(parts[2], token, tenant) if parts[3:] == ["events"] else None
        if entry is None or self._over_limit(entry.tenant):
            self.metrics.count("streams_not_found")
            return False
        last_seen = codec.parse_last_event_id(message.headers.get("last-event-id", "")) or 0
        self.metrics.count("streams_attached")
        self.open_by_tenant[entry.tenant] += 1
        try:
            await self._stream_to(connection, entry, self.streamed[entry.id], last_seen, close)
        finally:
            self.open_by_tenant[entry.tenant] -= 1
        return True

    def _answered(self, entry: StreamEntry, streamed: StreamedRequest, answer: Answer) -> None:
        streamed.feed.outcome(_outcome_content(answer))
        streamed.wake()
        self.registry.job_ended(entry, len(answer.body), self.timers.now())

    def _expire(self) -> None:
        self.timers.after(EXPIRY_INTERVAL_S, self._expire)
        for entry in self.registry.expire(self.timers.now()):
            self.metrics.count("streams_given_up")
            self.streamed[entry.id].request.client_left()
        for job in [job for job in self.streamed if job not in self.registry.entries]:
            del self.streamed[job]

    @property
    def detached(self) -> int:
        """Number of jobs in progress whose readers may return; a shutdown keeps listening for them."""
        return self.registry.detached

    def _over_limit(self, tenant: int) -> bool:
        """Return whether another stream would exceed a limit on open streams; log it if so."""
        if self.open_by_tenant.total() >= self.settings.max_streams:
            self.metrics.count_and_log("streams_over_limit", limit="max_streams")
            return True
        if self.open_by_tenant[tenant] >= self.settings.max_streams_tenant:
            self.metrics.count_and_log("streams_over_limit", limit="max_streams_tenant", tenant=tenant)
            return True
        return False

    async def _stream_to(
        self,
        connection: Connection,
        entry: StreamEntry,
        streamed: StreamedRequest,
        last_seen: int,
        close: bool,
    ) -> None:
        """Write a stream to one reader, until its outcome or until a newer reader takes the stream over."""
        number = self.registry.attach(entry)
        streamed.wake()  # the reader before notices that it has been replaced
        try:
            await self._write_events(connection, entry, streamed, number, last_seen, close)
        except (Closed, OSError):
            self.metrics.count("streams_left")
            if self.registry.reader_left(entry, number, self.timers.now()):
                await self._client_left(streamed.request)
            raise Closed from None
        except BaseException:  # a bug or the program's end: the job must not stay marked as read
            if self.registry.reader_left(entry, number, self.timers.now()):
                streamed.request.client_left()
            raise
        self.registry.reader_left(entry, number, self.timers.now())

    async def _write_events(
        self,
        connection: Connection,
        entry: StreamEntry,
        streamed: StreamedRequest,
        number: int,
        last_seen: int,
        close: bool,
    ) -> None:
        """Write the response's head and the events after `last_seen`, for the reader with this number.

        Raises Closed, or an OSError (TimeoutError included) of the connection.
        """
        chunked = not close  # a connection that ends with its stream needs no chunks
        reader = FeedReader(
            streamed.feed,
            self.timers.now(),
            last_seen,
            self.settings.events_per_s,
            self.settings.keep_alive_s,
        )
        data = _response_head(close)
        while True:
            now = self.timers.now()
            taken_over = entry.reader != number
            events = [] if taken_over else reader.next_events(now)
            payload = b"".join(
                codec.encode_json_event(
                    event.name,
                    event.number,
                    event.content,
                    self.settings.retry_ms if event.name == ACCEPTED else None,
                )
                for event in events
            )
            if taken_over:
                payload = codec.encode_comment("another reader has taken this stream over")
            elif not payload and reader.keep_alive_due(now):
                payload = codec.encode_comment("alive")
            if payload:
                data += b"%x\r\n%b\r\n" % (len(payload), payload) if chunked else payload
            last = taken_over or reader.done
            if last and chunked:
                data += b"0\r\n\r\n"
            if data:
                await self._send(connection, data, streamed.job.id)
                data = b""
            if last:
                return
            if entry.reader != number:  # replaced during the last write
                continue
            reading = await self._wait_for_change(
                connection, streamed, reader.seconds_to_wait(self.timers.now())
            )
            if reading.done() and not reading.result():
                raise Closed

    async def _send(self, connection: Connection, data: bytes, job: str) -> None:
        """Send data. Raises TimeoutError when the client does not read it within `stalled_s`."""
        try:
            async with self.timers.timeout(self.settings.stalled_s):
                await connection.send(data)
        except TimeoutError:
            self.metrics.count_and_log("stream_stalled", request=job)
            raise

    async def _wait_for_change(
        self, connection: Connection, streamed: StreamedRequest, timeout_s: float | None
    ) -> asyncio.Task[bool]:
        """Wait up to `timeout_s` seconds for an event, the answer, or bytes or the end of the connection.

        Returns the task that reads from the connection; its result is False at the connection's end.
        """
        reading, change = connection.reading(), streamed.next_change()
        awaited: set[asyncio.Future[Any]] = {change, reading}
        if not streamed.feed.milestones:
            awaited.add(streamed.request.answer)  # after the first event, the answer is an event as well
        await asyncio.wait(awaited, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        streamed.forget_waiter(change)
        return reading

    async def _client_left(self, request: Request) -> None:
        """Notify the policy that the client has left and wait for the answer, unless there is one already."""
        if not request.answer.done():
            request.client_left()
            await request.answer


def _token_from_query(query: str) -> str:
    """Return the `token` of a URL's query, or an empty string."""
    try:
        return parse_qs(query, max_num_fields=8).get("token", [""])[-1]
    except ValueError:  # more than 8 fields
        return ""


def _response_head(close: bool) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Type: {codec.MEDIA_TYPE}",
        "Cache-Control: no-store",
        "Connection: close" if close else "Transfer-Encoding: chunked",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _outcome_content(answer: Answer) -> Mapping[str, Any]:
    """Return the content of the outcome event for an answer."""
    if answer.end == RequestEnd.SERVED:
        return {"status": 200, "result": answer.body.decode("utf-8", "replace")}
    if answer.end == RequestEnd.REJECTED:
        return {"status": 503, "retry_after": round(answer.retry_after, 3)}
    return {"status": 502}
