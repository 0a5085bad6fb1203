"""Answers as streams of server-sent events: the same request on the same core, told while it goes on.

What a stream says is `progress.feed`'s, its text `progress.codec`'s. Here are the waits and the writes: a
reader that is slow holds up nobody but itself, since only its own connection is waited for.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Any

from ospreyroute import api

from ..config import Config
from ..config.ours import Progress
from ..progress import codec
from ..progress.feed import ACCEPTED, Feed, Reader
from ..request import REFUSED, Answer, Job, Request, Requests
from ..stats import Stats
from ..wheel import Wheel
from .http1 import Closed, Connection, Message


class _Watch:
    """Feeds what becomes of a request, and wakes who writes its stream."""

    def __init__(self, job: Job, class_name: str) -> None:
        self.feed = Feed()
        self.job = job
        self.class_name = class_name
        self._news: asyncio.Future[None] | None = None

    def news(self) -> asyncio.Future[None]:
        """Done once something has been told since the last call."""
        if self._news is None or self._news.done():
            self._news = asyncio.get_running_loop().create_future()
        return self._news

    def _wake(self) -> None:
        if self._news is not None and not self._news.done():
            self._news.set_result(None)

    def accepted(self) -> None:
        self.feed.accepted({"id": self.job.id, "class": self.class_name})
        self._wake()

    def started(self, attempt: int) -> None:
        self.feed.started(attempt)
        self._wake()

    def progress(self, attempt: int, share: float) -> None:
        self.feed.progress(attempt, share)
        self._wake()

    def lost(self, attempt: int) -> None:
        self.feed.lost(attempt)


class Streams:
    def __init__(self, told: Progress, config: Config, requests: Requests, wheel: Wheel, stats: Stats) -> None:
        self.told = told
        self.config = config
        self.requests = requests
        self.wheel = wheel
        self.stats = stats
        self.open: Counter[int] = Counter()  # streams by tenant

    def asked_for(self, message: Message) -> bool:
        accept = message.headers.get("accept", "")
        return codec.MEDIA_TYPE in accept.lower() and codec.accepts(accept)

    async def answer(self, connection: Connection, job: Job, close: bool) -> Answer | None:
        """Answer a job as a stream. `close`: the connection ends with it.

        An answer that comes before the job is admitted is returned, to be written plainly: a refusal stays a
        refusal. Raises Closed when the client has gone, or takes nothing.
        """
        if self._full(job.tenant):
            return Answer(REFUSED, retry_after=self.config.settings.max_retry_after)
        self.open[job.tenant] += 1
        try:
            watch = _Watch(job, self.config.class_names[job.cls])
            request = self.requests.take(job, watch)
            while not watch.feed.milestones:
                if request.answer.done():
                    return request.answer.result()
                await self._wait(connection, request, watch, None)
            self.stats.count("streams")
            await self._write(connection, request, watch, close)
            return None
        finally:
            self.open[job.tenant] -= 1

    def _full(self, tenant: int) -> bool:
        if self.open.total() >= self.told.max_streams:
            self.stats.complain("streams_over_limit", limit="max_streams")
            return True
        if self.open[tenant] >= self.told.max_streams_tenant:
            self.stats.complain("streams_over_limit", limit="max_streams_tenant", tenant=tenant)
            return True
        return False

    async def _write(self, connection: Connection, request: Request, watch: _Watch, close: bool) -> None:
        chunked = not close  # a connection that ends with its stream needs no chunks
        reader = Reader(watch.feed, self.wheel.now(), 0, self.told.events_per_s, self.told.keep_alive_s)
        data = _head(close)
        while True:
            if request.answer.done() and not watch.feed.over:
                watch.feed.outcome(_content(request.answer.result()))
            now = self.wheel.now()
            text = b"".join(codec.json_event(said.name, said.number, said.content,
                                             self.told.retry_ms if said.name == ACCEPTED else None)
                            for said in reader.take(now))
            if not text and reader.keep_alive(now):
                text = codec.comment("alive")
            if text:
                data += b"%x\r\n%b\r\n" % (len(text), text) if chunked else text
            if reader.done and chunked:
                data += b"0\r\n\r\n"
            if data:
                await self._send(connection, request, data)
                data = b""
            if reader.done:
                return
            await self._wait(connection, request, watch, reader.wait(self.wheel.now()))

    async def _send(self, connection: Connection, request: Request, data: bytes) -> None:
        try:
            async with self.wheel.limit(self.told.stalled_s):
                await connection.send(data)
        except OSError as error:  # a time-out is an OSError too
            if isinstance(error, TimeoutError):
                self.stats.complain("stream_stalled", request=request.job.id)
            await self._leave(request)

    async def _wait(self, connection: Connection, request: Request, watch: _Watch,
                    most: float | None) -> None:
        """Until something is told, the answer is there, or `most` seconds have passed."""
        reading = connection.reading()
        await asyncio.wait((request.answer, watch.news(), reading), timeout=most,
                           return_when=asyncio.FIRST_COMPLETED)
        if reading.done() and not reading.result():
            await self._leave(request)

    async def _leave(self, request: Request) -> None:
        """The client has gone; the module hears of it once, if it had not answered before."""
        if not request.answer.done():
            request.client_left()
            await request.answer
        self.stats.count("streams_left")
        raise Closed


def _head(close: bool) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Content-Type: {codec.MEDIA_TYPE}", "Cache-Control: no-store",
             "Connection: close" if close else "Transfer-Encoding: chunked"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _content(answer: Answer) -> Mapping[str, Any]:
    if answer.end == api.SERVED:
        return {"status": 200, "result": answer.body.decode("utf-8", "replace")}
    if answer.end == REFUSED:
        return {"status": 503, "retry_after": round(answer.retry_after, 3)}
    return {"status": 502}
