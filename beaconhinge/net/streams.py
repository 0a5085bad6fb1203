"""Answers as streams of server-sent events: the same request, reported on while it goes on.

What a stream says is `progress.feed`'s, its text `progress.codec`'s. Here are the waits and the writes: a
reader that is slow holds up nobody but itself, since only its own connection is waited for.
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
from ..dispatch.request import Request, RequestTable
from ..progress import codec
from ..progress.feed import ACCEPTED, FeedReader, ProgressFeed
from ..progress.registry import StreamEntry, StreamRegistry
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .http1 import Closed, Connection, Message

KEPT_OUTCOMES_PART = 0.25  # of the room for bodies: outcomes kept for those who come back
EXPIRY_INTERVAL_S = 0.25  # between looks for what has been detached or kept for long enough
TOKEN_BYTES = 16  # bytes of randomness


class StreamedRequest:
    """Observes a request for its stream, and wakes who writes that."""

    def __init__(self, job: Job, class_name: str) -> None:
        self.feed = ProgressFeed()
        self.job = job
        self.class_name = class_name
        self.token = secrets.token_urlsafe(TOKEN_BYTES)
        self.request: Request
        self._waiters: set[asyncio.Future[None]] = set()

    def next_change(self) -> asyncio.Future[None]:
        """Done once there is another event. Two readers may wait at once, while one takes over."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(future)
        return future

    def forget_waiter(self, change: asyncio.Future[None]) -> None:
        """Drop a future of `next_change` that nobody waits for."""
        self._waiters.discard(change)

    def wake(self) -> None:
        """Wake all who wait for a change."""
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
    """All requests that are answered as streams.

    Attributes:
        open_by_tenant: number of streams that are being written.
        streamed: by job id, as long as the registry knows it.
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
        self.open_by_tenant: Counter[int] = Counter()  # streams by tenant
        self.streamed: dict[str, StreamedRequest] = {}  # by job, as long as the registry knows it
        self.registry = StreamRegistry(
            settings.detached_s,
            settings.keep_outcome_s,
            settings.max_detached,
            int(KEPT_OUTCOMES_PART * config.limits.max_body_bytes),
        )
        timers.after(EXPIRY_INTERVAL_S, self._expire)

    def wants_stream(self, message: Message) -> bool:
        """Whether a message asks for its answer as a stream."""
        accept = message.headers.get("accept", "")
        return codec.MEDIA_TYPE in accept.lower() and codec.accepts_event_stream(accept)

    async def answer(self, connection: Connection, job: Job, close: bool) -> Answer | None:
        """Answer a job as a stream. `close`: the connection ends with it.

        An answer that comes before the job is admitted is returned, to be written plainly: a refusal stays a
        refusal. Raises Closed when the client has gone, or takes nothing.
        """
        if self._is_full(job.tenant):
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
        """Go on with a stream at `GET /jobs/ID/events`; False when nothing there is for who asks.

        Raises Closed as `answer` does.
        """
        path, _, query = message.target.decode("latin-1").partition("?")
        parts = path.split("/")
        given = _token(query) or message.headers.get("authorization", "").removeprefix("Bearer ").strip()
        entry = self.registry.find(parts[2], given, tenant) if parts[3:] == ["events"] else None
        if entry is None or self._is_full(entry.tenant):
            self.metrics.count("streams_not_found")
            return False
        seen = codec.parse_last_event_id(message.headers.get("last-event-id", "")) or 0
        self.metrics.count("streams_attached")
        self.open_by_tenant[entry.tenant] += 1
        try:
            await self._stream_to(connection, entry, self.streamed[entry.id], seen, close)
        finally:
            self.open_by_tenant[entry.tenant] -= 1
        return True

    def _answered(self, entry: StreamEntry, streamed: StreamedRequest, answer: Answer) -> None:
        streamed.feed.outcome(_content(answer))
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
        """Jobs in work whose readers may come back: the door stays open for them."""
        return self.registry.detached

    def _is_full(self, tenant: int) -> bool:
        if self.open_by_tenant.total() >= self.settings.max_streams:
            self.metrics.count_and_log("streams_over_limit", limit="max_streams")
            return True
        if self.open_by_tenant[tenant] >= self.settings.max_streams_tenant:
            self.metrics.count_and_log("streams_over_limit", limit="max_streams_tenant", tenant=tenant)
            return True
        return False

    async def _stream_to(
        self, connection: Connection, entry: StreamEntry, streamed: StreamedRequest, seen: int, close: bool
    ) -> None:
        """Write a stream to one reader, to its outcome or until a newer reader takes over."""
        number = self.registry.attach(entry)
        streamed.wake()  # the one before sees that it has been taken over from
        try:
            await self._write_events(connection, entry, streamed, number, seen, close)
        except (Closed, OSError):
            self.metrics.count("streams_left")
            if self.registry.reader_left(entry, number, self.timers.now()):
                await self._client_left(streamed.request)
            raise Closed from None
        except BaseException:  # a defect, or the end of the program: the job must not count as read for ever
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
        seen: int,
        close: bool,
    ) -> None:
        chunked = not close  # a connection that ends with its stream needs no chunks
        reader = FeedReader(
            streamed.feed, self.timers.now(), seen, self.settings.events_per_s, self.settings.keep_alive_s
        )
        data = _head(close)
        while True:
            now = self.timers.now()
            taken_over = entry.reader != number
            said = [] if taken_over else reader.next_events(now)
            text = b"".join(
                codec.encode_json_event(
                    one.name,
                    one.number,
                    one.content,
                    self.settings.retry_ms if one.name == ACCEPTED else None,
                )
                for one in said
            )
            if taken_over:
                text = codec.encode_comment("another reader has taken this stream over")
            elif not text and reader.keep_alive_due(now):
                text = codec.encode_comment("alive")
            if text:
                data += b"%x\r\n%b\r\n" % (len(text), text) if chunked else text
            last = taken_over or reader.done
            if last and chunked:
                data += b"0\r\n\r\n"
            if data:
                await self._send(connection, data, streamed.job.id)
                data = b""
            if last:
                return
            if entry.reader != number:  # taken over from while the last event was being written
                continue
            reading = await self._wait_for_change(
                connection, streamed, reader.seconds_to_wait(self.timers.now())
            )
            if reading.done() and not reading.result():
                raise Closed

    async def _send(self, connection: Connection, data: bytes, job: str) -> None:
        try:
            async with self.timers.timeout(self.settings.stalled_s):
                await connection.send(data)
        except TimeoutError:
            self.metrics.count_and_log("stream_stalled", request=job)
            raise

    async def _wait_for_change(
        self, connection: Connection, streamed: StreamedRequest, most: float | None
    ) -> asyncio.Task[bool]:
        """Wait for an event, the answer, bytes or the end of the client; at most `most` seconds."""
        reading, change = connection.reading(), streamed.next_change()
        waits: set[asyncio.Future[Any]] = {change, reading}
        if not streamed.feed.milestones:
            waits.add(streamed.request.answer)  # from the first event on the answer is an event too
        await asyncio.wait(waits, timeout=most, return_when=asyncio.FIRST_COMPLETED)
        streamed.forget_waiter(change)
        return reading

    async def _client_left(self, request: Request) -> None:
        """Nobody waits for it any more: the policy hears of that once, if it had not answered before."""
        if not request.answer.done():
            request.client_left()
            await request.answer


def _token(query: str) -> str:
    try:
        return parse_qs(query, max_num_fields=8).get("token", [""])[-1]
    except ValueError:  # more fields than anybody needs
        return ""


def _head(close: bool) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Type: {codec.MEDIA_TYPE}",
        "Cache-Control: no-store",
        "Connection: close" if close else "Transfer-Encoding: chunked",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _content(answer: Answer) -> Mapping[str, Any]:
    if answer.end == RequestEnd.SERVED:
        return {"status": 200, "result": answer.body.decode("utf-8", "replace")}
    if answer.end == RequestEnd.REJECTED:
        return {"status": 503, "retry_after": round(answer.retry_after, 3)}
    return {"status": 502}
