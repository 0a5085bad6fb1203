"""Scenarios over loopback sockets: jobs from clients to workers and back, bad input, shutdown and overload."""

from __future__ import annotations

import asyncio
import re
import socket
import time

import pytest
from harness import Harness, ReceivedMessage, accept_job, job_bytes, read_message, reply, run_scenario


def test_job_is_forwarded_unchanged_and_its_result_is_the_answer() -> None:
    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(
            harness.post("/publish/a?b=%20c", b"\x00work", Idempotency_Key="k1")
        )
        sent = await harness.workers[0].seen.get()
        assert sent.start_line == "POST /publish/a?b=%20c HTTP/1.1"
        assert sent.body == b"\x00work"
        assert (sent.headers["x-request-id"], sent.headers["idempotency-key"]) == ("r1", "k1")
        assert 4000 < int(sent.headers["x-timeout-ms"]) <= 5000
        assert (await harness.callback(state="started")).status == 204
        assert (await harness.callback(state="done", result="made \u00e9")).status == 204
        answer = await answer_task
        assert (answer.status, answer.body.decode()) == (200, "made \u00e9")
        assert (await harness.callback(state="done", result="made again")).status == 204

    run_scenario(scenario)


def test_result_that_arrives_before_the_202_is_the_answer() -> None:
    answered = asyncio.Event()

    async def late_202(_message: ReceivedMessage) -> bytes | None:
        await answered.wait()
        return reply(202)

    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="early")
        assert (await answer_task).body == b"early"
        answered.set()

    run_scenario(scenario, late_202)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (reply(500), "server_error"),
        (reply(503), "server_error"),
        (reply(503, X_Not_Processed="1"), "turned_away"),
        (reply(504, X_Not_Processed="1"), "turned_away"),
        (reply(400), "unusable"),
        (reply(429), "server_error"),
        (None, "connection_lost"),
        (b"nonsense\r\n\r\n", "connection_lost"),
    ],
)
def test_worker_answer_is_counted_as_the_expected_outcome(
    answer: bytes | None, outcome: str, capfd: pytest.CaptureFixture[str]
) -> None:
    async def script(_message: ReceivedMessage) -> bytes | None:
        return answer

    async def scenario(harness: Harness) -> None:
        refused = await harness.post("/publish", Idempotency_Key="k", X_Timeout_Ms="300")
        assert refused.status == (503 if outcome == "turned_away" else 502)
        assert ("retry-after" in refused.headers) == (refused.status == 503)
        await harness.stop()
        await harness.running

    run_scenario(scenario, script)
    assert re.search(rf"outcome_{outcome}=\d", capfd.readouterr().err)


@pytest.mark.parametrize(
    ("status", "why", "data"),
    [
        (400, b"X-Request-ID", job_bytes(X_Request_ID=None)),
        (400, b"X-Request-ID", job_bytes(X_Request_ID="a b")),
        (400, b"X-Tenant-Id", job_bytes(X_Tenant_Id="nobody")),
        (400, b"X-Tenant-Id", job_bytes(X_Tenant_Id=None)),
        (400, b"X-Timeout-Ms", job_bytes(X_Timeout_Ms=None)),
        (400, b"X-Timeout-Ms", job_bytes(X_Timeout_Ms="-5")),
        (400, b"X-Timeout-Ms", job_bytes(X_Timeout_Ms="0")),
        (400, b"X-Timeout-Ms", job_bytes(X_Timeout_Ms="9" * 400)),
        (400, b"Idempotency-Key", job_bytes("/publish")),
        (400, b"X-Attrs", job_bytes(X_Attrs="slots=nan")),
        (404, b"class", job_bytes("/unknown")),
        (404, b"no such path", job_bytes("/unknown", method="GET")),
        (405, b"POST", job_bytes(method="GET")),
        (405, b"GET", job_bytes("/up")),
        (405, b"POST", job_bytes("/_jobs/news", method="PUT")),
        (413, b"65536", job_bytes(body=b"x" * 65537)),
        (
            413,
            b"65536",
            b"POST /render HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"8000\r\n"
            + b"x" * 0x8000
            + b"\r\n8001\r\n"
            + b"x" * 0x8001
            + b"\r\n0\r\n\r\n",
        ),
        (431, b"16384", b"POST /render HTTP/1.1\r\nA: " + b"x" * 40000),
        (400, b"malformed", b"what is this\r\n\r\n"),
    ],
)
def test_bad_input_gets_an_error_that_names_the_fault(status: int, why: bytes, data: bytes) -> None:
    async def scenario(harness: Harness) -> None:
        answer = await harness.request(data)
        assert answer.status == status
        assert why in answer.body
        assert harness.workers[0].seen.empty()
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200

    run_scenario(scenario)


HIDDEN = job_bytes(X_Request_ID="hidden")
CHUNKED = b"%x\r\n%s\r\n0\r\n\r\n" % (len(HIDDEN), HIDDEN)


@pytest.mark.parametrize(
    "data",
    [
        job_bytes(body=b"0\r\n\r\n" + HIDDEN, Transfer_Encoding="chunked"),
        job_bytes(body=HIDDEN, Transfer_Encoding="chunked, identity"),
        job_bytes(body=CHUNKED, Transfer_Encoding="xchunked", Content_Length=None),
        job_bytes(body=CHUNKED, Transfer_Encoding=" chunked", Content_Length="0"),
        job_bytes(body=HIDDEN, Content_Length=f"0\r\nContent-Length: {len(HIDDEN)}"),
        job_bytes(body=HIDDEN, Content_Length="4, 4"),
        *(
            job_bytes(body=HIDDEN, Content_Length=length)
            for length in ("-1", "+4", "4x", "0x4", "", "9" * 30, "18446744073709551620")
        ),
        *(
            job_bytes(body=chunk + HIDDEN, Transfer_Encoding="chunked", Content_Length=None)
            for chunk in (
                b"-1\r\n",
                b"+1\r\nx\r\n",
                b"zz\r\n",
                b"ffffffffffffffffff\r\n",
                b"4\r\nlonger than that",
                b"\n4\r\n",
            )
        ),
        job_bytes(body=HIDDEN, Bad_Header="a\x00b"),
        job_bytes(body=HIDDEN, method="PO ST"),
        job_bytes().replace(b"\r\n\r\n", b"\r\nno colon\r\n\r\n", 1),
    ],
)
def test_bad_framing_is_refused_and_no_later_bytes_are_forwarded(data: bytes) -> None:
    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.open()
        writer.write(data + HIDDEN)
        answer = await reader.read()  # to the end of the stream: the connection is closed
        assert re.match(rb"HTTP/1.1 (400|413) ", answer)
        assert answer.count(b"HTTP/1.1 ") == 1
        assert harness.workers[0].seen.empty()

    run_scenario(scenario)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"7",
        b"null",
        b"[" * 60000,
        b'{"id":"r1"}',
        b'{"id":[],"from":"s-0","state":"done"}',
        b'{"id":"r1","from":"s-0","state":"done"}',
        b'{"id":"r1","from":"s-0","state":"done","result":5}',
        b'{"id":"r1","from":"s-0","state":"done","result":"\\ud800"}',
        b'{"id":"r1","from":"s-0","state":"odd"}',
        b'{"id":"r1","from":"s-0","state":"running","share":"much"}',
        b'{"id":"r1","from":"s-9","state":"lost"}',
        b'{"id":"r9","from":"s-0","state":"done","result":"no"}',
        b"\xff\xfe",
    ],
)
def test_malformed_callback_is_dropped_and_answered_204(body: bytes) -> None:
    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        head = b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        assert (await harness.request(head + body)).status == 204
        assert not answer_task.done()
        await harness.callback(state="done", result="good", load={"x0": "much"})
        assert (await answer_task).body == b"good"

    run_scenario(scenario)


def test_id_of_an_open_request_is_refused_with_409() -> None:
    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        assert (await harness.post()).status == 409
        await harness.callback(state="done", result="once")
        assert (await answer_task).body == b"once"

    run_scenario(scenario)


def test_connections_are_reused_but_not_near_the_idle_limit() -> None:
    async def scenario(harness: Harness) -> None:
        worker = harness.workers[0]
        for name, pause in (("r1", 0.0), ("r2", 0.0), ("r3", 0.6)):
            answer_task = asyncio.create_task(harness.post(X_Request_ID=name))
            await worker.seen.get()
            await harness.callback(id=name, state="done", result=name)
            assert (await answer_task).status == 200
            if pause:
                await worker.ended.get()  # closed by the dispatcher within the worker's limit
            assert worker.connections == 1

    run_scenario(scenario)


def test_connection_that_breaks_on_reuse_shortens_the_reuse_time() -> None:
    async def script(message: ReceivedMessage) -> bytes | None:
        if message.headers["x-request-id"] == "r2":
            return None
        return reply(202)

    async def run_job(harness: Harness, name: str) -> None:
        answer_task = asyncio.create_task(harness.post(X_Request_ID=name))
        await harness.workers[0].seen.get()
        await harness.callback(id=name, state="done", result=name)
        assert (await answer_task).status == 200

    async def scenario(harness: Harness) -> None:
        worker = harness.workers[0]
        await run_job(harness, "r1")
        await asyncio.sleep(0.1)  # well within the 0.4 s of the settings
        assert (await harness.post(X_Request_ID="r2")).status == 503
        assert (await worker.seen.get()).headers["x-request-id"] == "r2"
        await run_job(harness, "r4")
        connections_before = worker.connections
        await asyncio.sleep(0.1)
        await run_job(harness, "r5")
        assert worker.connections == connections_before + 1  # not reused after 0.1 s

    run_scenario(scenario, script)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.open()
        writer.write(job_bytes(X_Request_ID="r1") + job_bytes(X_Request_ID="r2"))
        for name in ("r1", "r2"):
            assert (await harness.workers[0].seen.get()).headers["x-request-id"] == name
            await harness.callback(id=name, state="done", result=name)
            assert (await read_message(reader)).body == name.encode()
        writer.close()

    run_scenario(scenario)


def test_after_sigterm_open_jobs_get_results_and_new_ones_are_rejected() -> None:
    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.open()  # an idle client
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.stop()
        assert await reader.read() == b""  # the idle connection is closed
        await asyncio.sleep(0.3)  # from 0.45 to beyond 0.6 s after the signal
        late_answer = await harness.post(X_Request_ID="r2")
        assert (late_answer.status, late_answer.headers["connection"]) == (503, "close")
        await harness.callback(state="done", result="kept")  # each call-back uses a connection of its own
        answer = await answer_task
        assert (answer.body, answer.headers["connection"]) == (b"kept", "close")
        await harness.running
        with pytest.raises(OSError):
            await harness.open()

    run_scenario(scenario, accept_job)


@pytest.mark.parametrize("job_before", [False, True])
def test_last_dispatcher_serves_clients_after_sigterm(
    monkeypatch: pytest.MonkeyPatch, job_before: bool
) -> None:
    """A dispatcher serves on after SIGTERM for a limited time, until it receives a datagram from another one.

    Guards against rejecting jobs in the shutdown: once a job had arrived with its full time limit, one whose limit
    was cut by the shutdown was taken for a repeat, and rejected.
    """
    monkeypatch.setattr("beaconhinge.net.shutdown.MAX_DEADLINE_S", 1.5)

    async def scenario(harness: Harness) -> None:
        (reader, writer), (slow_reader, slow_writer) = await harness.open(), await harness.open()
        if job_before:
            writer.write(job_bytes(X_Request_ID="r0"))
            await harness.workers[0].seen.get()
            await harness.callback(id="r0", state="done", result="r0")
            assert (await read_message(reader)).body == b"r0"
        await harness.stop(alone=True)
        await asyncio.sleep(0.7)  # with other dispatchers, both connections would be closed by now
        for name in ("r1", "r2"):
            writer.write(job_bytes(X_Request_ID=name))
            assert (await harness.workers[0].seen.get()).headers["x-request-id"] == name
            await harness.callback(id=name, state="done", result=name)
            answer = await read_message(reader)
            assert (answer.body, answer.headers.get("connection")) == (name.encode(), None)
        slow_writer.write(job_bytes(X_Request_ID="r3"))
        # The shutdown has reduced the requested time limit of 5000 ms.
        assert int((await harness.workers[0].seen.get()).headers["x-timeout-ms"]) < 1400
        harness.send_peer_datagram()
        assert await reader.read() == b""  # closed, since the client can use another dispatcher
        answer = await read_message(slow_reader)  # answered before the process may be killed
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        await harness.running

    run_scenario(scenario)


@pytest.mark.parametrize(("sent", "answer"), [(job_bytes()[:-2], 408), (job_bytes()[:30], 408), (b"", None)])
def test_incomplete_or_missing_first_message_times_out(
    monkeypatch: pytest.MonkeyPatch, sent: bytes, answer: int | None
) -> None:
    monkeypatch.setattr("beaconhinge.net.client_connection.FIRST_MESSAGE_TIMEOUT_S", 0.1)

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.open()
        writer.write(sent)
        if answer is not None:
            assert (await read_message(reader)).status == answer
        assert await reader.read() == b""

    run_scenario(scenario)


@pytest.mark.parametrize("sent", [b"", job_bytes()[:-2], b"GET /up HTTP/1.1\r\n\r\n"])
def test_idle_clients_do_not_block_new_clients_or_callbacks(sent: bytes) -> None:
    async def scenario(harness: Harness) -> None:
        idle = []
        for _ in range(70):  # 64 descriptors leave 30 to clients
            idle.append(await harness.open())
            idle[-1][1].write(sent)
        async with asyncio.timeout(2):
            answer_task = asyncio.create_task(harness.post())
            await harness.workers[0].seen.get()
            await harness.callback(state="done", result="in time")
            assert (await answer_task).body == b"in time"
        for _, writer in idle:
            writer.close()

    run_scenario(scenario, limits={"sockets": 64})


def test_memory_for_incomplete_bodies_is_bounded() -> None:
    async def scenario(harness: Harness) -> None:
        incomplete = job_bytes(body=b"x" * 60000)[:-1]
        clients = [await harness.open() for _ in range(45)]  # 32 MB of memory suffice for 41 of the bodies
        for _, writer in clients:
            writer.write(incomplete)
        answers = [asyncio.create_task(read_message(reader)) for reader, _ in clients]
        done, rest = await asyncio.wait(answers, timeout=1, return_when=asyncio.FIRST_COMPLETED)
        assert {answer.result().status for answer in done} == {503}
        for _, writer in clients:
            writer.close()
        await asyncio.wait(rest)  # each ends with its connection, which gives its memory back
        for answer in rest:
            assert isinstance(answer.exception(), asyncio.IncompleteReadError)
        assert (await harness.post(body=b"x" * 60000, X_Timeout_Ms="100")).status == 503

    run_scenario(scenario, limits={"sockets": 256, "memory_mb": 32})


def test_unexpected_exception_is_answered_with_a_500(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.net.job_parsing._attributes", lambda text: 1 / 0)

    async def scenario(harness: Harness) -> None:
        assert (await harness.post()).status == 500

    run_scenario(scenario)


def test_new_connections_wait_for_sockets_and_none_is_closed() -> None:
    """All 50 clients get an answer, though they send their requests late and only 30 fit at a time."""

    async def post_slowly(harness: Harness, name: str) -> int:
        reader, writer = await harness.open()
        await asyncio.sleep(0.05)
        writer.write(job_bytes(X_Request_ID=name, X_Timeout_Ms="200", body=b"x" * 20000))
        status = (await read_message(reader)).status
        writer.close()
        return status

    async def scenario(harness: Harness) -> None:  # 64 descriptors leave 30 to clients
        assert await asyncio.gather(*(post_slowly(harness, f"r{i}") for i in range(50))) == [503] * 50

    run_scenario(scenario, limits={"sockets": 64})


def test_long_idle_clients_are_closed_for_new_ones() -> None:
    async def scenario(harness: Harness) -> None:
        idle = [await harness.open() for _ in range(30)]
        assert (await harness.post(X_Timeout_Ms="200")).status == 503
        assert await idle[0][0].read() == b""
        for _, writer in idle:
            writer.close()

    run_scenario(scenario, limits={"sockets": 64})


def test_request_that_waits_through_a_pause_keeps_only_its_remaining_time() -> None:
    """Guards against giving workers up to 1.8 s more than their clients have left.

    During a pause of 2 s, more idle clients connected than there is room for. The clients behind them in the
    backlog were accepted 0.1 s or more after the pause, and their requests counted as new: the time of arrival was
    estimated from when the process last ran. The kernel's own time of arrival is used now.
    """

    async def scenario(harness: Harness) -> None:
        address = ("127.0.0.1", harness.port)
        idle = [socket.create_connection(address) for _ in range(70)]
        client = socket.create_connection(address)
        client.sendall(job_bytes(X_Timeout_Ms="4000"))
        time.sleep(1.5)  # noqa: ASYNC251  # pauses the process
        attempt = await harness.workers[0].seen.get()
        assert int(attempt.headers["x-timeout-ms"]) <= 4000 - 1500 + 150
        for sock in [*idle, client]:
            sock.close()

    run_scenario(scenario, limits={"memory_mb": 192, "sockets": 64})
