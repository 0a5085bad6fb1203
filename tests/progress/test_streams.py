"""Streams on loopback sockets: each has one final outcome, whatever client, worker and dispatcher do."""

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

STREAMS_ENABLED = LocalConfig(progress=ProgressOptions(enabled=True, events_per_s=1000.0))
Event = tuple[str, dict[str, Any], int]


class Stream:
    """A client's side of one stream, read by a client library's decoder."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, chunked: bool = True
    ) -> None:
        self.reader = reader
        self.writer = writer  # kept, since a writer without references closes its connection
        self.chunked = chunked
        self.decoder = SSEDecoder()
        self.text = ""
        self.ended = False

    async def receive(self) -> None:
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
        """Return the next event as (name, content, id), or None at the end of the stream."""
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
                await self.receive()

    async def remaining(self) -> list[Event]:
        found = []
        while (event := await self.next()) is not None:
            found.append(event)
        return found


async def open_stream(
    harness: Harness, name: str = "r1", http: str = "1.1", **headers: str | None
) -> tuple[ReceivedMessage, Stream, asyncio.StreamWriter]:
    """Send a job on a new connection that accepts a stream; return the response's head and its stream."""
    reader, writer = await harness.open()
    data = job_bytes(X_Request_ID=name, Accept="text/event-stream", **headers)
    writer.write(data.replace(b"HTTP/1.1", b"HTTP/" + http.encode(), 1))
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in head[1:-2])}
    return ReceivedMessage(head[0], fields), Stream(reader, writer, "transfer-encoding" in fields), writer


def run_with_streams(scenario: Callable[[Harness], Awaitable[None]], **options: Any) -> None:
    run_scenario(scenario, local_config=STREAMS_ENABLED, **options)


def test_stream_reports_a_job_from_accepted_to_outcome() -> None:
    async def scenario(harness: Harness) -> None:
        head, stream, writer = await open_stream(harness)
        assert head.status == 200
        assert head.headers["content-type"] == "text/event-stream"
        assert head.headers["cache-control"] == "no-store"
        name, content, number = await stream.next() or ("", {}, 0)
        assert (name, content["id"], content["class"], number) == ("accepted", "r1", "render", 1)
        assert len(content["token"]) >= 22
        await harness.workers[0].seen.get()
        await harness.callback(state="started")
        assert await stream.next() == ("started", {"attempt": 0, "restart": False}, 2)
        for share in (0.25, 0.2, 0.5):  # a late report is ignored
            await harness.callback(state="running", share=share)
        assert await stream.next() == ("progress", {"attempt": 0, "share": 0.25}, 3)
        assert await stream.next() == ("progress", {"attempt": 0, "share": 0.5}, 4)
        await harness.callback(state="done", result="a\n\nb\x00")
        assert await stream.remaining() == [("outcome", {"status": 200, "result": "a\n\nb\x00"}, 5)]
        # The connection stays open and serves a plain request after the stream.
        writer.write(job_bytes(X_Request_ID="r2"))
        await harness.workers[0].seen.get()
        await harness.callback(id="r2", state="done", result="plain")
        assert (await read_message(stream.reader)).body == b"plain"

    run_with_streams(scenario)


def test_plain_answer_without_the_accept_header_or_the_setting() -> None:
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
    run_with_streams(on)
    assert len(set(answers)) == 1
    assert len(answers) == 5


def test_rejection_before_admission_is_a_plain_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a 200 and a stream's head, the client could not get the status of the rejection."""
    monkeypatch.setattr(program, "Dispatcher", lambda *args: ScriptedPolicy([interface.Reject(1, 1.5)]))

    async def scenario(harness: Harness) -> None:
        seen = await harness.request(job_bytes(Accept="text/event-stream"))
        assert seen.status == 503
        assert seen.headers["retry-after"] == "1.500"
        assert (await harness.request(job_bytes(Accept="text/event-stream", X_Timeout_Ms="x"))).status == 400

    run_with_streams(scenario)


def test_rejection_after_the_stream_began_is_its_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    policy = ScriptedPolicy(
        [interface.SendAttempt(1, 0)], {interface.AttemptEnded: [interface.Reject(1, 0.75)]}
    )
    monkeypatch.setattr(program, "Dispatcher", lambda *args: policy)

    async def scenario(harness: Harness) -> None:
        # Worker 0 is not in the list, so the attempt cannot connect.
        _, stream, _ = await open_stream(harness)
        events = await stream.remaining()
        assert [name for name, _, _ in events] == ["accepted", "outcome"]
        assert events[-1][1] == {"status": 503, "retry_after": 0.75}

    run_with_streams(scenario)


@pytest.mark.parametrize("last_event", ["accepted", "started", "progress"])
def test_job_of_a_disconnected_client_is_withdrawn(last_event: str) -> None:
    """Without time for detached jobs, a client that disconnects abandons its job, at whatever event."""

    async def scenario(harness: Harness) -> None:
        _, stream, writer = await open_stream(harness)
        worker = harness.workers[0]
        await worker.seen.get()
        if last_event != "accepted":
            await harness.callback(state="started")
        if last_event == "progress":
            await harness.callback(state="running", share=0.5)
        while (await stream.next() or ("",))[0] != last_event:
            pass
        writer.close()
        assert (await worker.seen.get()).start_line.startswith("DELETE /jobs/r1 ")
        _, second, _ = await open_stream(harness)  # the id may be used again
        assert (await second.next() or ("",))[0] == "accepted"

    run_with_streams(scenario)


def test_streams_over_a_limit_are_rejected_with_retry_after() -> None:
    limits = LocalConfig(progress=ProgressOptions(enabled=True, max_streams=2, max_streams_tenant=1))

    async def scenario(harness: Harness) -> None:
        _, first, _ = await open_stream(harness, "r1")
        await first.next()
        held = []
        for tenant, name in (("acme", "r2"), ("umbrella", "r3"), ("umbrella", "r4")):
            seen, stream, _ = await open_stream(harness, name, X_Tenant_Id=tenant)
            held.append(stream)
            assert seen.status == (200 if name == "r3" else 503)
            assert name == "r3" or float(seen.headers["retry-after"]) > 0

    run_scenario(scenario, local_config=limits)


@pytest.mark.parametrize(("http", "connection"), [("1.0", None), ("1.0", "keep-alive"), ("1.1", "close")])
def test_stream_without_chunks_ends_with_the_connection(http: str, connection: str | None) -> None:
    """HTTP/1.0 has no chunks, so the connection's end must mark the stream's end."""

    async def scenario(harness: Harness) -> None:
        head, stream, _ = await open_stream(harness, http=http, Connection=connection)
        assert not stream.chunked
        assert head.headers["connection"] == "close"
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="it")
        assert [name for name, _, _ in await stream.remaining()] == ["accepted", "outcome"]

    run_with_streams(scenario)


def test_next_request_on_a_connection_waits_for_the_stream() -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, writer = await open_stream(harness)
        writer.write(job_bytes(X_Request_ID="r2", Accept="text/event-stream"))
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="one")
        assert [name for name, _, _ in await stream.remaining()] == ["accepted", "outcome"]
        assert (await harness.workers[0].seen.get()).headers["x-request-id"] == "r2"
        await harness.callback(id="r2", state="done", result="two")
        assert b"200 OK" in await stream.reader.readuntil(b"\r\n\r\n")
        assert (await Stream(stream.reader, writer).remaining())[-1][1]["result"] == "two"

    run_with_streams(scenario)


def test_open_stream_gets_its_outcome_after_sigterm() -> None:
    """A shutdown must wait for jobs that are answered as streams."""

    async def scenario(harness: Harness) -> None:
        _, stream, _ = await open_stream(harness)
        await harness.workers[0].seen.get()
        await harness.stop()
        await harness.callback(state="running", share=0.5)
        await harness.callback(state="done", result="late")
        events = await stream.remaining()
        assert [name for name, _, _ in events].count("outcome") == 1
        assert events[-1][1]["result"] == "late"
        await harness.running

    run_with_streams(scenario)


DETACHED_JOBS_KEPT = LocalConfig(progress=ProgressOptions(enabled=True, events_per_s=1000.0, detached_s=5.0))


async def return_to_stream(
    harness: Harness, token: str, seen: int = 0, name: str = "r1", query: bool = False, **headers: str
) -> tuple[ReceivedMessage, Stream, asyncio.StreamWriter]:
    """Return to the stream of job `name` on a new connection, after the event with the id `seen`.

    The token is sent in the query if `query` is set, otherwise in the Authorization header.
    """
    reader, writer = await harness.open()
    request_headers = {"Host": "x", **headers}
    if seen:
        request_headers["Last-Event-ID"] = str(seen)
    if not query:
        request_headers["Authorization"] = f"Bearer {token}"
    lines = "".join(f"{key.replace('_', '-')}: {value}\r\n" for key, value in request_headers.items())
    target = f"/jobs/{name}/events" + (f"?token={token}" if query else "")
    writer.write(f"GET {target} HTTP/1.1\r\n{lines}\r\n".encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in head[1:-2])}
    return ReceivedMessage(head[0], fields), Stream(reader, writer, "transfer-encoding" in fields), writer


async def accepted_token(stream: Stream) -> str:
    """Read a stream's first event and return the token in it."""
    _, content, _ = await stream.next() or ("", {}, 0)
    return str(content["token"])


@pytest.mark.parametrize("query", [False, True])
def test_returning_reader_gets_missed_events_and_the_rest(query: bool) -> None:
    async def scenario(harness: Harness) -> None:
        _, stream, writer = await open_stream(harness)
        token = await accepted_token(stream)
        await harness.workers[0].seen.get()
        await harness.callback(state="started")
        writer.close()
        await harness.callback(state="running", share=0.25)
        _, second, _ = await return_to_stream(harness, token, seen=1, query=query)
        assert [(await second.next() or ("",))[0] for _ in range(2)] == ["started", "progress"]
        await harness.callback(state="done", result="it")
        assert [(name, number) for name, _, number in await second.remaining()] == [("outcome", 4)]
        assert harness.workers[0].seen.empty()  # the job was sent once and not withdrawn
        _, third, _ = await return_to_stream(harness, token, seen=3, query=query)  # the outcome is kept
        assert [(name, content["result"]) for name, content, _ in await third.remaining()] == [
            ("outcome", "it")
        ]

    run_scenario(scenario, local_config=DETACHED_JOBS_KEPT)


def test_wrong_token_tenant_and_job_are_all_answered_404() -> None:
    """Different answers would let a client find out which jobs exist."""

    async def scenario(harness: Harness) -> None:
        _, stream, _ = await open_stream(harness)
        token = await accepted_token(stream)
        wrong_token = token[:-1] + ("A" if token[-1] != "A" else "B")
        for credential, name, headers in (
            (wrong_token, "r1", {}),
            ("", "r1", {}),
            (token, "r2", {}),
            ("\xe9", "r1", {}),
            (token, "r1", {"X_Tenant_Id": "umbrella"}),
            (token, "r1", {"X_Tenant_Id": "nobody"}),
            (token, "", {}),
        ):
            head, _, _ = await return_to_stream(harness, credential, name=name, **headers)
            assert head.status == 404, (credential, name, headers)
        head, _, _ = await return_to_stream(harness, "&".join(["x=1"] * 50), query=True)
        assert head.status == 404
        head, _, _ = await return_to_stream(harness, token, X_Tenant_Id="acme")
        assert head.status == 200

    run_scenario(scenario, local_config=DETACHED_JOBS_KEPT)


def test_newer_reader_takes_over_and_the_older_gets_a_comment() -> None:
    """Two readers of one stream would otherwise each hold a connection until the outcome."""

    async def scenario(harness: Harness) -> None:
        _, stream, _ = await open_stream(harness)
        token = await accepted_token(stream)
        await harness.workers[0].seen.get()
        _, second, _ = await return_to_stream(harness, token)
        assert (await second.next() or ("",))[0] == "accepted"
        while not stream.ended:
            await stream.receive()
        assert ": another reader has taken this stream over\n" in stream.text
        await harness.callback(state="done", result="it")
        assert [name for name, _, _ in await second.remaining()] == ["outcome"]

    run_scenario(scenario, local_config=DETACHED_JOBS_KEPT)


def test_detached_job_is_given_up_after_its_time() -> None:
    """A job whose client disconnects and does not return would otherwise occupy a worker until it ends."""

    async def scenario(harness: Harness) -> None:
        _, stream, writer = await open_stream(harness)
        token = await accepted_token(stream)
        await harness.workers[0].seen.get()
        writer.close()
        assert (await harness.workers[0].seen.get()).start_line.startswith("DELETE /jobs/r1 ")
        _, returned, _ = await return_to_stream(harness, token, seen=1)
        assert [content["status"] for _, content, _ in await returned.remaining()] == [502]

    run_scenario(scenario, local_config=LocalConfig(progress=ProgressOptions(enabled=True, detached_s=0.05)))


def test_reader_can_return_to_a_detached_job_after_sigterm() -> None:
    """A shutdown must not close the listener while a job waits for its reader to return."""

    async def scenario(harness: Harness) -> None:
        _, stream, writer = await open_stream(harness)
        token = await accepted_token(stream)
        await harness.workers[0].seen.get()
        writer.close()
        await harness.stop()
        _, second, _ = await return_to_stream(harness, token, seen=1)
        await harness.callback(state="done", result="late")
        assert [name for name, _, _ in await second.remaining()] == ["outcome"]
        await harness.running

    run_scenario(scenario, local_config=DETACHED_JOBS_KEPT)


def test_stalled_reader_is_disconnected_and_its_request_abandoned() -> None:
    """A client that does not read fills the socket's buffer; the send must time out and the request must end."""

    async def scenario() -> None:
        server_socket, client_socket = socket.socketpair()
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        server_socket.setblocking(False)
        log = io.StringIO()
        metrics = Metrics(lambda: 1.0, log)
        loop = asyncio.get_running_loop()
        client_left_calls: list[bool] = []

        class StubRequest:
            def __init__(self, job: Job, observer: Any) -> None:
                self.job = job
                self.answer: asyncio.Future[Answer] = loop.create_future()
                observer.accepted()
                observer.progress(0, 0.5)
                observer.class_name = "render"

            def client_left(self) -> None:
                client_left_calls.append(True)
                self.answer.set_result(Answer("gone"))

        class StubRequestTable:
            def take(self, job: Job, observer: Any) -> StubRequest:
                observer.class_name = "x" * 500_000
                return StubRequest(job, observer)

        class StubConfig:
            class_names = ("render",)
            limits = Limits()

        streams = Streams(
            ProgressOptions(enabled=True, stalled_s=0.05),
            StubConfig(),
            StubRequestTable(),  # type: ignore[arg-type]
            TimerWheel(loop.time, metrics.log_exception),
            metrics,
        )
        connection = Connection(server_socket, True, lambda: None)
        with pytest.raises(Closed):
            await streams.answer(connection, Job("r1", 0, 0, 5.0, 0.0, b"/render", b""), False)
        assert client_left_calls == [True]
        assert metrics.counters["stream_stalled"] == 1
        assert "stream_stalled" in log.getvalue()
        assert streams.open_by_tenant.total() == 0
        connection.close()
        client_socket.close()

    asyncio.run(scenario())
