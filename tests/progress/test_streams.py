"""Streams on loopback sockets: one final outcome each, whatever the client, the box and the dispatcher do."""

from __future__ import annotations

import asyncio
import io
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from harness import Harness, ReceivedMessage, ScriptedPolicy, job_bytes, read_message, run_scenario
from httpx_sse._decoders import SSEDecoder

from beaconhinge import application as program
from beaconhinge.config import Limits
from beaconhinge.config.local import LocalConfig, ProgressOptions
from beaconhinge.dispatch.job import Answer, Job
from beaconhinge.net.http1 import Closed, Connection
from beaconhinge.net.streams import Streams
from beaconhinge.policy import interface
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel

ON = LocalConfig(progress=ProgressOptions(enabled=True, events_per_s=1000.0))
Event = tuple[str, dict[str, Any], int]


class Stream:
    """A client's side of one stream, read by a client library's decoder."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, chunked: bool = True
    ) -> None:
        self.reader = reader
        self.writer = writer  # one that nobody holds closes its connection
        self.chunked = chunked
        self.decoder = SSEDecoder()
        self.text = ""
        self.ended = False

    async def more(self) -> None:
        if not self.chunked:
            data = await self.reader.read(65536)
            self.ended = not data
            self.text += data.decode()
            return
        size = int(await self.reader.readline(), 16)
        data = await self.reader.readexactly(size + 2)
        self.ended = size == 0
        self.text += data[:-2].decode()

    async def next(self) -> Event | None:
        while True:
            line, end, rest = self.text.partition("\n")
            if end:
                self.text = rest
                event = self.decoder.decode(line)
                if event is not None:
                    return event.event, json.loads(event.data), int(event.id)
            elif self.ended:
                return None
            else:
                await self.more()

    async def rest(self) -> list[Event]:
        found = []
        while (event := await self.next()) is not None:
            found.append(event)
        return found


async def opened(
    harness: Harness, name: str = "r1", http: str = "1.1", **headers: str | None
) -> tuple[ReceivedMessage, Stream, asyncio.StreamWriter]:
    reader, writer = await harness.open()
    data = job_bytes(X_Request_ID=name, Accept="text/event-stream", **headers)
    writer.write(data.replace(b"HTTP/1.1", b"HTTP/" + http.encode(), 1))
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in head[1:-2])}
    return ReceivedMessage(head[0], fields), Stream(reader, writer, "transfer-encoding" in fields), writer


def told(scenario: Callable[[Harness], Awaitable[None]], **more: Any) -> None:
    run_scenario(scenario, local_config=ON, **more)


def test_a_job_is_followed_from_taken_to_its_one_outcome() -> None:
    async def scenario(harness: Harness) -> None:
        head, stream, writer = await opened(harness)
        assert head.status == 200
        assert head.headers["content-type"] == "text/event-stream"
        assert head.headers["cache-control"] == "no-store"
        name, content, number = await stream.next() or ("", {}, 0)
        assert (name, content["id"], content["class"], number) == ("accepted", "r1", "render", 1)
        assert len(content["token"]) >= 22
        await harness.workers[0].seen.get()
        await harness.callback(state="started")
        assert await stream.next() == ("started", {"attempt": 0, "restart": False}, 2)
        for share in (0.25, 0.2, 0.5):  # one that is late says nothing
            await harness.callback(state="running", share=share)
        assert await stream.next() == ("progress", {"attempt": 0, "share": 0.25}, 3)
        assert await stream.next() == ("progress", {"attempt": 0, "share": 0.5}, 4)
        await harness.callback(state="done", result="a\n\nb\x00")
        assert await stream.rest() == [("outcome", {"status": 200, "result": "a\n\nb\x00"}, 5)]
        # The connection goes on: a plain request behind it.
        writer.write(job_bytes(X_Request_ID="r2"))
        await harness.workers[0].seen.get()
        await harness.callback(id="r2", state="done", result="plain")
        assert (await read_message(stream.reader)).body == b"plain"

    told(scenario)


def test_without_the_wish_or_without_the_setting_the_answer_is_the_plain_one() -> None:
    async def plain(harness: Harness, accept: str | None) -> bytes:
        reader, writer = await harness.open()
        writer.write(job_bytes(Accept=accept))
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="it")
        data = await reader.readuntil(b"it")
        writer.close()
        return data

    answers: list[bytes] = []

    async def off(harness: Harness) -> None:
        answers.append(await plain(harness, "text/event-stream"))

    async def on(harness: Harness) -> None:
        for accept in (None, "*/*", "application/json, text/event-stream;q=0.5", "text/event-stream;q=0"):
            answers.append(await plain(harness, accept))

    run_scenario(off)
    told(on)
    assert len(set(answers)) == 1
    assert len(answers) == 5


def test_a_refusal_before_the_job_is_admitted_is_the_plain_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(program, "Dispatcher", lambda *args: ScriptedPolicy([interface.Reject(1, 1.5)]))

    async def scenario(harness: Harness) -> None:
        seen = await harness.request(job_bytes(Accept="text/event-stream"))
        assert seen.status == 503
        assert seen.headers["retry-after"] == "1.500"
        assert (await harness.request(job_bytes(Accept="text/event-stream", X_Timeout_Ms="x"))).status == 400

    told(scenario)


def test_a_refusal_after_the_stream_began_is_its_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    module = ScriptedPolicy(
        [interface.SendAttempt(1, 0)], {interface.AttemptEnded: [interface.Reject(1, 0.75)]}
    )
    monkeypatch.setattr(program, "Dispatcher", lambda *args: module)

    async def scenario(harness: Harness) -> None:
        _, stream, _ = await opened(harness)  # the worker number 0 is not listed: the attempt cannot connect
        events = await stream.rest()
        assert [name for name, _, _ in events] == ["accepted", "outcome"]
        assert events[-1][1] == {"status": 503, "retry_after": 0.75}

    told(scenario)


@pytest.mark.parametrize("after", ["accepted", "started", "progress"])
def test_a_client_that_leaves_is_gone_once_and_its_job_is_withdrawn(after: str) -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, writer = await opened(harness)
        worker = harness.workers[0]
        await worker.seen.get()
        if after != "accepted":
            await harness.callback(state="started")
        if after == "progress":
            await harness.callback(state="running", share=0.5)
        while (await stream.next() or ("",))[0] != after:
            pass
        writer.close()
        assert (await worker.seen.get()).start_line.startswith("DELETE /jobs/r1 ")
        _, second, _ = await opened(harness)  # the id is free again, and nothing is left of the first
        assert (await second.next() or ("",))[0] == "accepted"

    told(scenario)


def test_limits_refuse_with_a_time_to_come_back() -> None:
    limits = LocalConfig(progress=ProgressOptions(enabled=True, max_streams=2, max_streams_tenant=1))

    async def scenario(harness: Harness) -> None:
        _, first, _ = await opened(harness, "r1")
        await first.next()
        held = []
        for tenant, name in (("acme", "r2"), ("umbrella", "r3"), ("umbrella", "r4")):
            seen, stream, _ = await opened(harness, name, X_Tenant_Id=tenant)
            held.append(stream)
            assert seen.status == (200 if name == "r3" else 503)
            assert name == "r3" or float(seen.headers["retry-after"]) > 0

    run_scenario(scenario, local_config=limits)


@pytest.mark.parametrize(("http", "connection"), [("1.0", None), ("1.0", "keep-alive"), ("1.1", "close")])
def test_where_chunks_cannot_be_the_end_of_the_connection_ends_the_stream(
    http: str, connection: str | None
) -> None:
    async def scenario(harness: Harness) -> None:
        head, stream, _ = await opened(harness, http=http, Connection=connection)
        assert not stream.chunked
        assert head.headers["connection"] == "close"
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="it")
        assert [name for name, _, _ in await stream.rest()] == ["accepted", "outcome"]

    told(scenario)


def test_a_request_behind_a_stream_waits_for_its_end() -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, writer = await opened(harness)
        writer.write(job_bytes(X_Request_ID="r2", Accept="text/event-stream"))
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="one")
        assert [name for name, _, _ in await stream.rest()] == ["accepted", "outcome"]
        assert (await harness.workers[0].seen.get()).headers["x-request-id"] == "r2"
        await harness.callback(id="r2", state="done", result="two")
        assert b"200 OK" in await stream.reader.readuntil(b"\r\n\r\n")
        assert (await Stream(stream.reader, writer).rest())[-1][1]["result"] == "two"

    told(scenario)


def test_after_sigterm_a_stream_still_gets_its_outcome() -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, _ = await opened(harness)
        await harness.workers[0].seen.get()
        await harness.stop()
        await harness.callback(state="running", share=0.5)
        await harness.callback(state="done", result="late")
        events = await stream.rest()
        assert [name for name, _, _ in events].count("outcome") == 1
        assert events[-1][1]["result"] == "late"
        await harness.running

    told(scenario)


STAYS = LocalConfig(progress=ProgressOptions(enabled=True, events_per_s=1000.0, detached_s=5.0))


async def back(
    harness: Harness, token: str, seen: int = 0, name: str = "r1", query: bool = False, **headers: str
) -> tuple[ReceivedMessage, Stream, asyncio.StreamWriter]:
    reader, writer = await harness.open()
    given = {"Host": "x", **headers}
    if seen:
        given["Last-Event-ID"] = str(seen)
    if not query:
        given["Authorization"] = f"Bearer {token}"
    lines = "".join(f"{key.replace('_', '-')}: {value}\r\n" for key, value in given.items())
    where = f"/jobs/{name}/events" + (f"?token={token}" if query else "")
    writer.write(f"GET {where} HTTP/1.1\r\n{lines}\r\n".encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in head[1:-2])}
    return ReceivedMessage(head[0], fields), Stream(reader, writer, "transfer-encoding" in fields), writer


async def token_of(stream: Stream) -> str:
    _, content, _ = await stream.next() or ("", {}, 0)
    return str(content["token"])


@pytest.mark.parametrize("query", [False, True])
def test_one_that_comes_back_gets_what_it_missed_and_the_rest(query: bool) -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, writer = await opened(harness)
        token = await token_of(stream)
        await harness.workers[0].seen.get()
        await harness.callback(state="started")
        writer.close()
        await harness.callback(state="running", share=0.25)
        _, second, _ = await back(harness, token, seen=1, query=query)
        assert [(await second.next() or ("",))[0] for _ in range(2)] == ["started", "progress"]
        await harness.callback(state="done", result="it")
        assert [(name, number) for name, _, number in await second.rest()] == [("outcome", 4)]
        assert harness.workers[0].seen.empty()  # one run, nothing withdrawn
        _, third, _ = await back(harness, token, seen=3, query=query)  # the outcome is kept
        assert [(name, content["result"]) for name, content, _ in await third.rest()] == [("outcome", "it")]

    run_scenario(scenario, local_config=STAYS)


def test_a_wrong_token_another_tenant_and_no_job_are_told_apart_by_nothing() -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, _ = await opened(harness)
        token = await token_of(stream)
        wrong = token[:-1] + ("A" if token[-1] != "A" else "B")
        for given, name, headers in (
            (wrong, "r1", {}),
            ("", "r1", {}),
            (token, "r2", {}),
            ("\xe9", "r1", {}),
            (token, "r1", {"X_Tenant_Id": "umbrella"}),
            (token, "r1", {"X_Tenant_Id": "nobody"}),
            (token, "", {}),
        ):
            head, _, _ = await back(harness, given, name=name, **headers)
            assert head.status == 404, (given, name, headers)
        head, _, _ = await back(harness, "&".join(["x=1"] * 50), query=True)
        assert head.status == 404
        head, _, _ = await back(harness, token, X_Tenant_Id="acme")
        assert head.status == 200

    run_scenario(scenario, local_config=STAYS)


def test_the_newer_reader_takes_over_and_the_older_is_told() -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, _ = await opened(harness)
        token = await token_of(stream)
        await harness.workers[0].seen.get()
        _, second, _ = await back(harness, token)
        assert (await second.next() or ("",))[0] == "accepted"
        while not stream.ended:
            await stream.more()
        assert ": another reader has taken this stream over\n" in stream.text
        await harness.callback(state="done", result="it")
        assert [name for name, _, _ in await second.rest()] == ["outcome"]

    run_scenario(scenario, local_config=STAYS)


def test_a_job_that_nobody_comes_back_for_is_given_up_once() -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, writer = await opened(harness)
        token = await token_of(stream)
        await harness.workers[0].seen.get()
        writer.close()
        assert (await harness.workers[0].seen.get()).start_line.startswith("DELETE /jobs/r1 ")
        _, late, _ = await back(harness, token, seen=1)
        assert [content["status"] for _, content, _ in await late.rest()] == [502]

    run_scenario(scenario, local_config=LocalConfig(progress=ProgressOptions(enabled=True, detached_s=0.05)))


def test_after_sigterm_a_detached_job_can_still_be_come_back_to() -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, writer = await opened(harness)
        token = await token_of(stream)
        await harness.workers[0].seen.get()
        writer.close()
        await harness.stop()
        _, second, _ = await back(harness, token, seen=1)
        await harness.callback(state="done", result="late")
        assert [name for name, _, _ in await second.rest()] == ["outcome"]
        await harness.running

    run_scenario(scenario, local_config=STAYS)


def test_a_reader_that_takes_nothing_is_parted_with_and_its_request_told_gone() -> None:
    async def scenario() -> None:
        here, there = socket.socketpair()
        here.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        here.setblocking(False)
        log = io.StringIO()
        metrics = Metrics(lambda: 1.0, log)
        loop = asyncio.get_running_loop()
        left: list[bool] = []

        class Taken:
            def __init__(self, given: Job, watch: Any) -> None:
                self.job = given
                self.answer: asyncio.Future[Answer] = loop.create_future()
                watch.accepted()
                watch.progress(0, 0.5)
                watch.class_name = "render"

            def client_left(self) -> None:
                left.append(True)
                self.answer.set_result(Answer("gone"))

        class All:
            def take(self, given: Job, watch: Any) -> Taken:
                watch.class_name = "x" * 500_000
                return Taken(given, watch)

        class Sites:
            class_names = ("render",)
            limits = Limits()

        streams = Streams(
            ProgressOptions(enabled=True, stalled_s=0.05),
            Sites(),
            All(),  # type: ignore[arg-type]
            TimerWheel(loop.time, metrics.log_exception),
            metrics,
        )
        connection = Connection(here, True, lambda: None)
        with pytest.raises(Closed):
            await streams.answer(connection, Job("r1", 0, 0, 5.0, 0.0, b"/render", b""), False)
        assert left == [True]
        assert metrics.counters["stream_stalled"] == 1
        assert "stream_stalled" in log.getvalue()
        assert streams.open_by_tenant.total() == 0
        connection.close()
        there.close()

    asyncio.run(scenario())
