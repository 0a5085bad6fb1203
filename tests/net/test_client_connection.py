"""Races at the end of a connection, made deterministic: each test fixes which of two events comes first."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from harness import (
    SETTINGS,
    Harness,
    ReceivedMessage,
    free_port,
    job_bytes,
    next_event,
    read_message,
    reply,
    run_scenario,
    use_scripted_policy,
)

from beaconhinge.membership.inventory import worker_number
from beaconhinge.net.client_table import ClientTable
from beaconhinge.net.http1 import Connection
from beaconhinge.net.listener import Listener
from beaconhinge.net.sockets import connect
from beaconhinge.policy import interface
from beaconhinge.policy.interface import AttemptOutcome

ROOT = Path(__file__).resolve().parents[2]
FIRST, SECOND = worker_number("s-0"), worker_number("s-1")


def connect_client(harness: Harness) -> socket.socket:
    """Return a blocking client socket, which acts at once, without a turn of the event loop."""
    return socket.create_connection(("127.0.0.1", harness.port))


async def read_to_end(client: socket.socket) -> bytes:
    """Return all bytes up to the end of the connection."""
    client.setblocking(False)
    loop, response = asyncio.get_running_loop(), b""
    while part := await loop.sock_recv(client, 65536):
        response += part
    return response


def run_before(monkeypatch: pytest.MonkeyPatch, owner: type, name: str, action: Callable[[], object]) -> None:
    """Run `action` right before the first call of a method, in the same turn of the event loop."""
    original, actions = getattr(owner, name), [action]

    def patched(self: Any, *args: Any, **kwargs: Any) -> Any:
        if actions:
            actions.pop()()
        return original(self, *args, **kwargs)

    monkeypatch.setattr(owner, name, patched)


def run_after(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, action: Callable[[Any], object]
) -> None:
    """Run `action` with the method's object right after the first call of a method, in the same turn."""
    original, actions = getattr(owner, name), [action]

    def patched(self: Any, *args: Any, **kwargs: Any) -> Any:
        result = original(self, *args, **kwargs)
        if actions:
            actions.pop()(self)
        return result

    monkeypatch.setattr(owner, name, patched)


# ---- a client that disconnects ----------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["end", "reset", "more bytes, then the end"])
def test_attempt_without_a_connection_ends_when_its_client_leaves(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Guards against sending a job whose client left before the connection to the worker was established."""
    policy, connecting, connect_cancelled = (
        use_scripted_policy(monkeypatch, interface.SendAttempt(1, FIRST)),
        asyncio.Event(),
        asyncio.Event(),
    )

    async def hang(address: tuple[str, int]) -> socket.socket:
        connecting.set()
        try:
            await asyncio.Event().wait()
        finally:
            connect_cancelled.set()
        raise AssertionError

    monkeypatch.setattr("beaconhinge.net.worker_pool.connect", hang)

    async def scenario(harness: Harness) -> None:
        client = connect_client(harness)
        client.sendall(job_bytes())
        await connecting.wait()
        if how == "reset":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        elif how != "end":
            client.sendall(b"POST /render HT")
        client.close()
        async with asyncio.timeout(0.1):
            ended = await next_event(policy, interface.AttemptEnded)
            await connect_cancelled.wait()
        assert (ended.outcome, ended.settled) == (AttemptOutcome.NOT_SENT, True)
        assert harness.workers[0].connections == 0

    limits = {"connectTimeout": 5.0, "cancel": True, "idleClose": 5.0, "peers": True}
    run_scenario(scenario, settings={**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], **limits}})


@pytest.mark.parametrize("client_leaves", [True, False])
def test_connection_made_as_the_client_leaves_is_kept_unused(
    monkeypatch: pytest.MonkeyPatch, client_leaves: bool
) -> None:
    """Guards against sending a job while the end of its client's stream is still unread.

    The first byte would be written before the task that reads the client's connection has run.
    """
    policy, clients = use_scripted_policy(monkeypatch, interface.SendAttempt(1, FIRST)), list[socket.socket]()

    async def connect_and_close_client(address: tuple[str, int]) -> socket.socket:
        client = await connect(address)
        if client_leaves:
            clients[0].close()
        return client

    monkeypatch.setattr("beaconhinge.net.worker_pool.connect", connect_and_close_client)

    async def scenario(harness: Harness) -> None:
        clients.append(connect_client(harness))
        clients[0].sendall(job_bytes())
        if client_leaves:
            assert (await next_event(policy, interface.AttemptEnded)).outcome == AttemptOutcome.NOT_SENT
            assert harness.workers[0].seen.empty()
            policy.on[interface.JobArrived] = [interface.SendAttempt(2, FIRST)]
            answer_task = asyncio.create_task(harness.post(X_Request_ID="r2"))
            assert (await harness.workers[0].seen.get()).headers["x-request-id"] == "r2"
            answer_task.cancel()
        else:
            await harness.workers[0].seen.get()
            clients[0].close()  # after its first byte: the attempt keeps its outcome
            await next_event(policy, interface.ClientDisconnected)
            await harness.callback(state="done", result="unread")
            assert (await next_event(policy, interface.AttemptEnded)).outcome == AttemptOutcome.SERVED
        assert harness.workers[0].connections == 1

    run_scenario(scenario)


def test_answer_ends_attempts_that_still_wait_for_a_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    policy, connecting = (
        use_scripted_policy(monkeypatch, interface.SendAttempt(1, FIRST), interface.SendAttempt(1, SECOND)),
        asyncio.Event(),
    )

    async def scenario(harness: Harness) -> None:
        async def connect_to_first_only(address: tuple[str, int]) -> socket.socket:
            if address[1] == harness.workers[1].port:
                connecting.set()
                await asyncio.Event().wait()
            return await connect(address)

        monkeypatch.setattr("beaconhinge.net.worker_pool.connect", connect_to_first_only)
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await connecting.wait()
        await harness.callback(state="done", result="first")
        assert (await answer_task).body == b"first"
        ended = {
            (found := await next_event(policy, interface.AttemptEnded)).worker: found.outcome
            for _ in range(2)
        }
        assert ended == {FIRST: AttemptOutcome.SERVED, SECOND: AttemptOutcome.NOT_SENT}
        assert harness.workers[1].connections == 0

    run_scenario(scenario, workers=2)


# ---- bytes that arrive as a connection is shut down or closed ---------------------------------------------


def test_connection_with_bytes_read_but_not_parsed_is_never_idle() -> None:
    """Guards against closing a connection as idle while it has a received request.

    The event loop's own receive call read the bytes in one turn and returned them in the next: in between,
    neither the socket nor the parser showed them.
    """

    async def run() -> None:
        loop, (near, far) = asyncio.get_running_loop(), socket.socketpair()
        near.setblocking(False)
        connection = Connection(near, True, lambda: None)
        reading = asyncio.create_task(connection.next())
        await asyncio.sleep(0.01)  # until it waits for bytes
        looked_idle: list[bool] = []

        def check_idle() -> None:
            looked_idle.append(connection.silent() and not connection.partial and not reading.done())
            if not reading.done():
                loop.call_soon(check_idle)

        loop.call_soon(check_idle)
        await asyncio.sleep(0)
        looked_idle.clear()
        far.sendall(job_bytes())
        await reading
        assert looked_idle
        assert not any(looked_idle)
        connection.close()
        far.close()

    import uvloop

    uvloop.run(run())


@pytest.mark.parametrize("first", ["request", "shutdown"])
def test_request_crossing_a_shutdown_is_answered_or_gets_a_clean_end(
    monkeypatch: pytest.MonkeyPatch, first: str
) -> None:
    """An idle client sends a request at the moment at which the dispatcher shuts its connection down.

    If the request comes first, it is answered. If the shutdown comes first, the client reads the end of the
    stream, without a reset, and can send the request again elsewhere.
    """

    async def scenario(harness: Harness) -> None:
        client = connect_client(harness)
        client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.05)
        assert client.recv(4096).startswith(b"HTTP/1.1 200")
        if first == "request":
            run_before(monkeypatch, ClientTable, "end_idle", lambda: client.sendall(job_bytes()))
        else:
            run_after(monkeypatch, Connection, "shut_down_writing", lambda _: client.sendall(job_bytes()))
        await harness.stop()
        if first == "request":
            await harness.workers[0].seen.get()
            await harness.callback(state="done", result="taken")
            response = await read_to_end(client)
            assert response.startswith(b"HTTP/1.1 200")
            assert response.endswith(b"taken")
        else:
            assert await read_to_end(client) == b""  # no reset: the client sends the request again elsewhere
            assert harness.workers[0].seen.empty()
        client.close()
        await harness.running
        assert harness.workers[0].seen.empty()

    run_scenario(scenario)


def test_request_of_an_idle_client_at_the_process_end_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that arrives after the last check for idle clients.

    It was read and sent to a worker, and then lost as the process ended.
    """

    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.stop()
        await asyncio.sleep(0.7)  # new jobs are rejected by now
        client = connect_client(harness)
        await asyncio.sleep(0.05)
        run_after(monkeypatch, ClientTable, "end", lambda _: client.sendall(job_bytes(X_Request_ID="r2")))
        await harness.callback(state="done", result="kept")
        assert (await answer_task).body == b"kept"
        assert await read_to_end(client) == b""
        client.close()
        await harness.running
        assert harness.workers[0].seen.empty()

    run_scenario(scenario)


def test_client_that_connects_as_the_listener_closes_gets_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against ending the process over a connection from the backlog that had sent no request yet."""

    async def scenario(harness: Harness) -> None:
        late_clients = list[socket.socket]()
        run_before(
            monkeypatch, Listener, "stop_listening", lambda: late_clients.append(connect_client(harness))
        )
        await harness.stop()
        while not late_clients:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)  # its request may still be in transit
        assert not harness.running.done()  # the end of the process would close the connection unanswered
        late_clients[0].sendall(job_bytes())
        assert (await read_to_end(late_clients[0])).startswith(b"HTTP/1.1 503")
        late_clients[0].close()
        await harness.running

    run_scenario(scenario)


def test_shutdown_waits_a_bounded_time_for_clients_that_never_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("beaconhinge.net.client_table.LINGER_S", 0.2)

    async def scenario(harness: Harness) -> None:
        client = connect_client(harness)
        await asyncio.sleep(0.05)
        await harness.stop()
        os.kill(os.getpid(), signal.SIGTERM)  # a second SIGTERM has no effect
        async with asyncio.timeout(0.45 + 0.15 + 0.2 + 0.5):
            await harness.running
        client.close()

    run_scenario(scenario)


def test_connection_with_an_unread_request_is_not_closed_for_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against closing a connection that had sent no complete message, as far as was read.

    Its request had arrived, but was not read yet.
    """

    async def scenario(harness: Harness) -> None:
        idle_clients = [connect_client(harness) for _ in range(29)]  # 64 descriptors leave 30 to clients
        await asyncio.sleep(0.2)  # all of them count as idle by now
        run_before(
            monkeypatch,
            ClientTable,
            "close_one",
            lambda: idle_clients[0].sendall(job_bytes(X_Timeout_Ms="300")),
        )
        new_client = asyncio.create_task(harness.post("/render", X_Request_ID="r2", X_Timeout_Ms="300"))
        response = await read_to_end(idle_clients[1])  # the next idle one was closed instead
        assert response == b""
        assert (await new_client).status == 503
        idle_clients[0].setblocking(False)
        part = await asyncio.get_running_loop().sock_recv(idle_clients[0], 4096)
        assert part.startswith(b"HTTP/1.1 503")
        for client in idle_clients:
            client.close()

    run_scenario(scenario, limits={"sockets": 64})


def test_first_message_that_arrived_in_time_is_read_after_a_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing a connection over an unread request if the event loop was late.

    The time-out of the first message was handled before the read.
    """
    monkeypatch.setattr("beaconhinge.net.client_connection.FIRST_MESSAGE_TIMEOUT_S", 0.1)

    async def scenario(harness: Harness) -> None:
        client = connect_client(harness)
        await asyncio.sleep(0.05)
        client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        time.sleep(0.2)  # blocks the event loop
        client.setblocking(False)
        part = await asyncio.get_running_loop().sock_recv(client, 4096)
        assert part.startswith(b"HTTP/1.1 200")
        client.close()

    run_scenario(scenario)


def test_idle_connection_with_unexpected_bytes_gets_no_job() -> None:
    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="one")
        assert (await answer_task).body == b"one"
        for writer in harness.workers[0].open:
            writer.write(b"HTTP/1.1 20")
        answer_task = asyncio.create_task(harness.post(X_Request_ID="r2"))
        await harness.workers[0].seen.get()
        assert harness.workers[0].connections == 2
        await harness.callback(id="r2", state="done", result="two")
        assert (await answer_task).body == b"two"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "incomplete",
    [
        b"HTTP/1.1 202 X\r\nX-",
        b"HTTP/1.1 202 X\r\nContent-Length: 400\r\n\r\nhalf",
        b"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf",
    ],
)
def test_incomplete_worker_answer_affects_no_result_and_no_next_job(incomplete: bytes) -> None:
    async def incomplete_first_answer(message: ReceivedMessage) -> bytes | None:
        return incomplete if message.headers["x-request-id"] == "r1" else reply(202)

    async def scenario(harness: Harness) -> None:
        for number, name in enumerate(("r1", "r2")):
            answer_task = asyncio.create_task(harness.post(X_Request_ID=name))
            assert (await harness.workers[0].seen.get()).headers["x-request-id"] == name
            assert harness.workers[0].connections == number + 1  # the second comes on a connection of its own
            await harness.callback(id=name, state="done", result=name)
            assert (await answer_task).body == name.encode()

    run_scenario(scenario, incomplete_first_answer)


@pytest.mark.parametrize("first", ["the result", "the withdrawal"])
@pytest.mark.parametrize(
    "callback", [{"state": "done", "result": "late"}, {"state": "returned"}, {"state": "lost"}]
)
def test_withdrawal_that_crosses_a_callback_ends_the_attempt_once(
    monkeypatch: pytest.MonkeyPatch, first: str, callback: dict[str, str]
) -> None:
    """The withdrawal and the call-back are in transit at once; the second finds the attempt ended.

    Both are answered, and the attempt has the outcome of the first.
    """
    gate = asyncio.Event()

    async def worker(message: ReceivedMessage) -> bytes | None:
        if message.start_line.startswith("DELETE"):
            await gate.wait()
            return reply(404)
        return reply(202)

    policy = use_scripted_policy(
        monkeypatch, interface.SendAttempt(1, FIRST), ClientDisconnected=[interface.CancelAttempt(1, 0)]
    )

    async def scenario(harness: Harness) -> None:
        client = connect_client(harness)
        client.sendall(job_bytes())
        seen = harness.workers[0].seen
        assert (await seen.get()).start_line.startswith("POST")
        await harness.callback(state="started")
        await next_event(policy, interface.ProgressNotice)
        if first == "the result":
            assert (await harness.callback(**callback)).status == 204
            client.close()
        else:
            client.close()
            assert (await seen.get()).start_line == "DELETE /jobs/r1 HTTP/1.1"
            assert (await harness.callback(**callback)).status == 204
            gate.set()
        outcome = await next_event(policy, interface.AttemptEnded)
        callback_outcome = {
            "done": AttemptOutcome.SERVED,
            "returned": AttemptOutcome.REJECTED,
            "lost": AttemptOutcome.CONNECTION_LOST,
        }[callback["state"]]
        assert outcome.outcome == (callback_outcome if first == "the result" else AttemptOutcome.CANCELLED)
        # The next job with that id is not affected by the first.
        policy.on[interface.JobArrived] = [interface.SendAttempt(2, FIRST)]
        second_answer_task = asyncio.create_task(harness.post())
        assert (await seen.get()).start_line.startswith("POST")
        await harness.callback(state="done", result="new")
        assert (await second_answer_task).body == b"new"
        remaining_events = [policy.events.get_nowait() for _ in range(policy.events.qsize())]
        assert [e.request for e in remaining_events if isinstance(e, interface.AttemptEnded)] == [2]

    run_scenario(scenario, worker)


def test_connection_reset_after_the_202_does_not_affect_the_job() -> None:
    async def scenario(harness: Harness) -> None:
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.callback(state="started")
        await asyncio.sleep(0.05)  # until the 202 has been read
        harness.workers[0].cut()
        await asyncio.sleep(0.05)
        await harness.callback(state="done", result="kept")
        assert (await answer_task).body == b"kept"
        assert harness.workers[0].seen.empty()  # no second attempt

    run_scenario(scenario)


def test_callback_on_an_idle_connection_during_shutdown_is_answered() -> None:
    """A worker's call-back arrives during the shutdown, on a connection that was opened before SIGTERM."""

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.open()
        body = b'{"id": "nobody", "from": "s-0", "state": "started"}'
        call = b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        writer.write(call)
        assert (await read_message(reader)).status == 204
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.stop()
        await asyncio.sleep(0.7)
        body = body.replace(b"nobody", b"r1").replace(b'"started"', b'"done", "result": "kept"')
        writer.write(b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        assert (await read_message(reader)).status == 204
        assert (await answer_task).body == b"kept"
        writer.close()
        await harness.running

    run_scenario(scenario)


# ---- descriptors ------------------------------------------------------------------------------------------


def test_idle_clients_do_not_block_the_list_after_a_discovery_outage() -> None:
    async def scenario(harness: Harness) -> None:
        discovery_is_back = asyncio.Event()

        async def script(message: ReceivedMessage) -> bytes | None:
            if not discovery_is_back.is_set():
                return None
            if "wait=0" not in message.start_line:
                await asyncio.Event().wait()
            changes = {"version": 1, "full": False, "servers": [harness.host(0, state="Terminating")]}
            return reply(200, json.dumps(changes).encode())

        harness.discovery.script = script
        harness.discovery.cut()
        idle_clients = [connect_client(harness) for _ in range(60)]  # of 64 descriptors
        await asyncio.sleep(0.3)
        discovery_is_back.set()
        while "index=1" not in (await harness.discovery.seen.get()).start_line:
            pass
        for number in range(4):
            answer_task = asyncio.create_task(harness.post(X_Request_ID=f"r{number}"))
            await harness.workers[1].seen.get()
            await harness.callback(1, id=f"r{number}", state="done", result="x")
            assert (await answer_task).status == 200
        assert harness.workers[0].seen.empty()
        for client in idle_clients:
            client.close()

    run_scenario(scenario, workers=2, limits={"sockets": 64})


class FailingListener(socket.socket):
    """A listening socket whose next calls of `accept` fail with the errors in `failures`, as Linux documents."""

    failures: list[int]

    def accept(self) -> tuple[socket.socket, Any]:
        if self.failures:
            raise OSError(code := self.failures.pop(0), os.strerror(code))
        return super().accept()


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EMFILE, errno.ENOBUFS]
)
def test_failed_accept_at_closing_drops_no_client_in_the_backlog(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against resetting the clients in the backlog when the listener closes.

    The first failure of `accept` was taken for the end of the backlog.
    """
    listeners, created_listeners = list[FailingListener](), list[Listener]()

    def failing_listener(address: tuple[str, int], *_more: object) -> socket.socket:
        listener = FailingListener(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(16)
        listener.failures = []
        listeners.append(listener)
        return listener

    monkeypatch.setattr("beaconhinge.net.listener.tcp_listener", failing_listener)
    run_after(monkeypatch, Listener, "listen", created_listeners.append)

    async def scenario(harness: Harness) -> None:
        waiting = [connect_client(harness), connect_client(harness)]
        for number, client in enumerate(waiting):
            client.sendall(job_bytes(X_Request_ID=f"r{number}", Connection="close"))
        listeners[0].failures = [code, code]
        created_listeners[0].stop_listening()
        async with asyncio.timeout(2.0):
            received = [await harness.workers[0].seen.get() for _ in waiting]
        assert {message.headers["x-request-id"] for message in received} == {"r0", "r1"}
        for client in waiting:
            client.close()

    run_scenario(scenario)


def test_descriptor_shortage_causes_no_busy_loop_and_is_recovered_from(tmp_path: Path) -> None:
    """Accepting fails if the platform allows fewer descriptors than the configuration says."""
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "settings": SETTINGS,
        "known": {"version": 1, "servers": []},
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    limit_descriptors = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))  # noqa: E731
    program = subprocess.Popen(
        [sys.executable, "-O", "-m", "beaconhinge"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={"RELAY_CONFIG": str(tmp_path / "config.json")},
        preexec_fn=limit_descriptors,
    )
    assert program.stderr is not None
    try:
        while b" started " not in program.stderr.readline():
            pass
        idle_clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        while b" accept_failed " not in program.stderr.readline():
            pass

        def cpu_seconds() -> float:
            fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

        cpu_before_s = cpu_seconds()
        time.sleep(1.0)
        assert cpu_seconds() - cpu_before_s < 0.4  # seconds of CPU time in 1 s
        for client in idle_clients:
            client.close()
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.settimeout(5)
            client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
            assert client.recv(100).startswith(b"HTTP/1.1 503")  # no worker is listed
    finally:
        program.terminate()
        program.wait(10)
        program.stderr.close()
