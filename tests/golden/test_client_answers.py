"""All answers that clients can get, with head and body, byte for byte."""

from __future__ import annotations

import contextlib
import json
import re
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
from golden_files import check_cases
from golden_process import (
    Discovery,
    Process,
    RecordingServer,
    answer,
    connect,
    host,
    read_message,
    read_to_end,
    request,
    running,
    settings,
    strip_timings,
    wait_for,
)

pytestmark = pytest.mark.xdist_group("processes")

GET_UP = b"GET /up HTTP/1.1\r\n\r\n"
CHUNKED = request(Content_Length=None, Transfer_Encoding="chunked", body=b"")


def accept_job(_message: bytes) -> bytes:
    """Answer as a worker that accepts each job; it sends no call-back."""
    return answer(202)


@pytest.fixture(scope="module")
def worker() -> Iterator[RecordingServer]:
    """The only worker; it accepts each job."""
    server = RecordingServer(accept_job)
    with running(server):
        yield server


@pytest.fixture(scope="module")
def dispatcher(worker: RecordingServer, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Process]:
    """A process with this one worker; it holds two requests at most."""
    discovery = Discovery([host("s-0", worker.port)])
    changes = settings(policyLimits__mostHeld=2)
    process = Process(tmp_path_factory.mktemp("clients"), discovery.port, settings=changes)
    with running(process, discovery):
        process.wait_until_ready()
        yield process


def hold_request(dispatcher: Process, worker: RecordingServer, request_id: str) -> socket.socket:
    """Send a request and wait until the worker has received the job; return the client's connection."""
    client = connect(dispatcher.port)
    client.sendall(request(X_Request_ID=request_id))
    message = worker.next()
    assert f"X-Request-ID: {request_id}\r\n".encode() in message
    return client


def test_answers_to_faulty_requests_are_unchanged(dispatcher: Process) -> None:
    many = "x" * 129
    cases = {
        "400 no request id": request(X_Request_ID=None),
        "400 request id with a blank": request(X_Request_ID="a b"),
        "400 request id too long": request(X_Request_ID=many),
        "400 request id not ASCII": request(X_Request_ID="\u00e9"),
        "400 no tenant": request(X_Tenant_Id=None),
        "400 unknown tenant": request(X_Tenant_Id="nobody"),
        "400 tenant of many letters": request(X_Tenant_Id=many),
        "400 tenant not ASCII": request(X_Tenant_Id="\u00e9"),
        "400 no time": request(X_Timeout_Ms=None),
        "400 time no number": request(X_Timeout_Ms="soon"),
        "400 time negative": request(X_Timeout_Ms="-1"),
        "400 time 0": request(X_Timeout_Ms="0"),
        "400 time of ten digits": request(X_Timeout_Ms="1000000000"),
        "400 time too long": request(X_Timeout_Ms="999999999"),
        "400 no key": request("/publish"),
        "400 slots out of range": request(X_Attrs="slots=1e9"),
        "400 memory negative": request(X_Attrs="memory=-1"),
        "400 malformed start": b"nonsense\r\n\r\n",
        "400 unknown method": b"BREW /render HTTP/1.1\r\n\r\n",
        "400 malformed version": b"GET /up HTTP/x\r\n\r\n",
        "400 malformed header": b"GET /up HTTP/1.1\r\nno colon\r\n\r\n",
        "400 header with a control character": b"GET /up HTTP/1.1\r\na: \x01\r\n\r\n",
        "400 malformed length": request(Content_Length="four"),
        "400 two lengths": b"POST /render HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "400 length and chunks": request(Transfer_Encoding="chunked"),
        "400 malformed chunk": CHUNKED + b"zz\r\n",
        "400 upgrade": b"GET /up HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        "400 CONNECT": b"CONNECT x:1 HTTP/1.1\r\n\r\n",
        "400 HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "400 too many sent ahead": GET_UP * 6,
        "404 GET": b"GET /nothing HTTP/1.1\r\n\r\n",
        "404 POST": request("/nothing"),
        "404 POST root": request("/"),
        "404 not ASCII": b"GET /\xe9?a=b HTTP/1.1\r\n\r\n",
        "404 streams are off": b"GET /jobs/r1 HTTP/1.1\r\n\r\n",
        "404 HEAD": b"HEAD /nothing HTTP/1.1\r\n\r\n",
        "404 closed as asked": b"GET /nothing HTTP/1.1\r\nConnection: close\r\n\r\n",
        "405 POST /up": request("/up"),
        "405 HEAD /up": b"HEAD /up HTTP/1.1\r\n\r\n",
        "405 GET of a class": b"GET /render HTTP/1.1\r\n\r\n",
        "405 GET of a class, longer path": b"GET /render/a?b=c HTTP/1.1\r\n\r\n",
        "405 HEAD of a class": b"HEAD /render HTTP/1.1\r\n\r\n",
        "405 DELETE of a class": b"DELETE /render HTTP/1.1\r\n\r\n",
        "405 GET of call-backs": b"GET /_jobs/news HTTP/1.1\r\n\r\n",
        "413 by its length": request(Content_Length="65537"),
        "413 by its chunks": CHUNKED + b"10001\r\n" + b"x" * 65537,
        "413 by its trailers": CHUNKED + b"0\r\na: " + b"b" * 550_000,
        "431": b"GET /up HTTP/1.1\r\nX: " + b"y" * 20_000,
        "200 up": GET_UP,
        "200 up with a query": b"GET /up?now HTTP/1.1\r\n\r\n",
        "200 up of HTTP/1.0": b"GET /up HTTP/1.0\r\n\r\n",
        "200 up of HTTP/1.0 kept": b"GET /up HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        "200 up closed as asked": b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n",
        "204 call-back that is no JSON": b"POST /_jobs/news HTTP/1.1\r\nContent-Length: 1\r\n\r\n{",
        "204 call-back closed as asked": (
            b"POST /_jobs/news HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
        ),
    }
    found: dict[str, object] = {name: exchange_twice(dispatcher, data) for name, data in cases.items()}
    check_cases("client_faults.json", found)


def exchange_twice(dispatcher: Process, data: bytes) -> bytes:
    """Send bytes and then a second request on one connection, and return all bytes that are received.

    The answer to the second request shows that the connection was kept open; it is replaced by "(kept)".
    """
    last = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nup\n"
    with connect(dispatcher.port) as connection:
        with contextlib.suppress(ConnectionError):  # some requests are refused before all is written
            connection.sendall(data)
        first = read_message(connection)
        with contextlib.suppress(ConnectionError):
            connection.sendall(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        rest = read_to_end(connection)
    return first + (rest.removesuffix(last) + b"(kept)" if rest.endswith(last) else rest)


def test_answers_to_forwarded_requests_are_unchanged(dispatcher: Process, worker: RecordingServer) -> None:
    found: dict[str, object] = {}
    first = hold_request(dispatcher, worker, "held-1")
    found["409"] = dispatcher.exchange(request(X_Request_ID="held-1"))
    second = hold_request(dispatcher, worker, "held-2")
    found["503 as many requests as may be held"] = dispatcher.exchange(request(X_Request_ID="held-3"))
    found["204 call-back"] = dispatcher.send_callback(
        "held-1", "s-0", state="done", result="r\u00e9sult \u2713"
    )
    found["200"] = read_message(first)
    assert dispatcher.send_callback("held-2", "s-0", state="done", result="").startswith(b"HTTP/1.1 204 ")
    found["200 with nothing"] = read_message(second)
    first.sendall(
        request(
            "/publish?a=b",
            X_Request_ID="failed",
            Idempotency_Key="k1",
            X_Timeout_Ms="500",
            Connection="close",
        )
    )
    worker.next()
    dispatcher.send_callback("failed", "s-0", state="failed")
    found["502, closed as asked"] = read_to_end(first)
    worker.script = lambda message: answer(422, b"unusable")
    second.sendall(request(X_Request_ID="unusable"))
    found["502 for a request that a worker cannot use"] = read_message(second)
    worker.next()
    worker.script = accept_job
    for client in (first, second):
        client.close()
    check_cases("client_answers.json", found)


def test_answers_without_a_list_and_when_drained_are_unchanged(
    worker: RecordingServer, tmp_path: Path
) -> None:
    found: dict[str, object] = {}
    discovery = Discovery()
    process = Process(tmp_path, discovery.port, toml="[progress]\nenabled = true\n")
    with running(process, discovery):
        process.wait_until_listening()
        found["503 up without a list"] = process.exchange(GET_UP)
        found["503 without a list"] = strip_timings(process.exchange(request(X_Timeout_Ms="50")))
        found["404 no such stream"] = process.exchange(b"GET /jobs/r1 HTTP/1.1\r\n\r\n")
        found["404 no such stream, tenant"] = process.exchange(
            b"GET /jobs/r1 HTTP/1.1\r\nX-Tenant-Id: acme\r\n\r\n"
        )
        discovery.publish([host("s-0", worker.port)])
        process.wait_until_ready()
        assert process.call(b"drain\n") == b"SUCCESS drains\n"
        found["503 up when drained"] = process.exchange(GET_UP)
        # Requests are refused from 1.9 s after the call on; until then each is accepted and answered.
        refused = wait_for(lambda: refusal(process), "a drained process that refuses")
        found["503 when drained"] = refused
    check_cases("client_not_ready.json", found)


def refusal(process: Process) -> bytes:
    """Return the answer to a request if it is a refusal that closes the connection, or else nothing."""
    message = process.exchange(request(X_Timeout_Ms="50"))
    return message if b"Connection: close" in message and b"Retry-After: 2.000" in message else b""


def test_answers_without_memory_for_a_body_are_unchanged(tmp_path: Path) -> None:
    discovery = Discovery()
    process = Process(tmp_path, discovery.port, limits={"memory_mb": 32, "sockets": 1024})
    with running(process, discovery):
        process.wait_until_listening()
        part = request(Content_Length="65536", body=b"x" * 65000)
        clients, received = [], b""
        for _ in range(60):  # bodies may take 2.5 MB
            client = connect(process.port)
            clients.append(client)
            client.sendall(part)
        for client in reversed(clients):
            client.settimeout(1.0)
            try:
                received = read_to_end(client)
            except TimeoutError:
                continue
            if received.startswith(b"HTTP/1.1 503 "):
                break
        for client in clients:
            client.close()
    check_cases("client_no_room.json", {"503 no room for a body": received})


def test_progress_stream_is_unchanged(tmp_path: Path) -> None:
    worker = RecordingServer(accept_job)
    discovery = Discovery([host("s-0", worker.port)])
    process = Process(tmp_path, discovery.port, toml="[progress]\nenabled = true\n")
    with running(process, discovery, worker):
        process.wait_until_ready()
        with connect(process.port) as client:
            client.sendall(request(Accept="text/event-stream", Connection="close"))
            worker.next()
            for content in (
                {"state": "started"},
                {"state": "running", "share": 0.5},
                {"state": "done", "result": json.dumps({"lines": "a\nb"})},
            ):
                process.send_callback("r1", "s-0", **content)
            stream = read_to_end(client)
    stream = re.sub(rb'"token":"[^"]+"', b'"token":"(random)"', stream)
    check_cases("client_stream.json", {"a stream from its head to its outcome": stream})
