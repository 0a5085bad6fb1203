"""Crossings at a connection's end, forced at a named point: which of two things comes first is decided here."""

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


def client(harness: Harness) -> socket.socket:
    """A client that acts in the very moment, without a turn of the loop."""
    return socket.create_connection(("127.0.0.1", harness.port))


async def answer_to(sock: socket.socket) -> bytes:
    """All that comes up to the end of the connection."""
    sock.setblocking(False)
    loop, got = asyncio.get_running_loop(), b""
    while part := await loop.sock_recv(sock, 65536):
        got += part
    return got


def before(monkeypatch: pytest.MonkeyPatch, owner: type, name: str, act: Callable[[], object]) -> None:
    """The act comes right before the first such call, in the same turn."""
    original, acts = getattr(owner, name), [act]

    def crossed(self: Any, *given: Any, **named: Any) -> Any:
        if acts:
            acts.pop()()
        return original(self, *given, **named)

    monkeypatch.setattr(owner, name, crossed)


def after(monkeypatch: pytest.MonkeyPatch, owner: type, name: str, act: Callable[[Any], object]) -> None:
    original, acts = getattr(owner, name), [act]

    def crossed(self: Any, *given: Any, **named: Any) -> Any:
        done = original(self, *given, **named)
        if acts:
            acts.pop()(self)
        return done

    monkeypatch.setattr(owner, name, crossed)


# ---- a client that has gone -------------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["end", "reset", "more bytes, then the end"])
def test_an_attempt_that_waits_for_its_connection_ends_with_its_client(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Its dial came up after the client had gone, and brought the whole job."""
    module, dialled, dropped = (
        use_scripted_policy(monkeypatch, interface.SendAttempt(1, FIRST)),
        asyncio.Event(),
        asyncio.Event(),
    )

    async def never(address: tuple[str, int]) -> socket.socket:
        dialled.set()
        try:
            await asyncio.Event().wait()
        finally:
            dropped.set()
        raise AssertionError

    monkeypatch.setattr("beaconhinge.net.worker_pool.connect", never)

    async def scenario(harness: Harness) -> None:
        sock = client(harness)
        sock.sendall(job_bytes())
        await dialled.wait()
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        elif how != "end":
            sock.sendall(b"POST /render HT")
        sock.close()
        async with asyncio.timeout(0.1):
            ended = await next_event(module, interface.AttemptEnded)
            await dropped.wait()
        assert (ended.outcome, ended.settled) == (AttemptOutcome.NOT_SENT, True)
        assert harness.workers[0].connections == 0

    limits = {"connectTimeout": 5.0, "cancel": True, "idleClose": 5.0, "peers": True}
    run_scenario(scenario, settings={**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], **limits}})


@pytest.mark.parametrize("gone", [True, False])
def test_a_dial_that_comes_up_as_the_client_goes_brings_nothing_and_is_kept(
    monkeypatch: pytest.MonkeyPatch, gone: bool
) -> None:
    """The client's end lies unread: the first byte would be written before the task that reads it has run."""
    module, clients = use_scripted_policy(monkeypatch, interface.SendAttempt(1, FIRST)), list[socket.socket]()

    async def up(address: tuple[str, int]) -> socket.socket:
        sock = await connect(address)
        if gone:
            clients[0].close()
        return sock

    monkeypatch.setattr("beaconhinge.net.worker_pool.connect", up)

    async def scenario(harness: Harness) -> None:
        clients.append(client(harness))
        clients[0].sendall(job_bytes())
        if gone:
            assert (await next_event(module, interface.AttemptEnded)).outcome == AttemptOutcome.NOT_SENT
            assert harness.workers[0].seen.empty()
            module.on[interface.JobArrived] = [interface.SendAttempt(2, FIRST)]
            asked = asyncio.create_task(harness.post(X_Request_ID="r2"))
            assert (await harness.workers[0].seen.get()).headers["x-request-id"] == "r2"
            asked.cancel()
        else:
            await harness.workers[0].seen.get()
            clients[0].close()  # after its first byte: the attempt keeps its outcome
            await next_event(module, interface.ClientDisconnected)
            await harness.callback(state="done", result="unread")
            assert (await next_event(module, interface.AttemptEnded)).outcome == AttemptOutcome.SERVED
        assert harness.workers[0].connections == 1

    run_scenario(scenario)


def test_an_answer_ends_the_attempts_that_still_wait_for_their_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    module, dialled = (
        use_scripted_policy(monkeypatch, interface.SendAttempt(1, FIRST), interface.SendAttempt(1, SECOND)),
        asyncio.Event(),
    )

    async def scenario(harness: Harness) -> None:
        async def one_only(address: tuple[str, int]) -> socket.socket:
            if address[1] == harness.workers[1].port:
                dialled.set()
                await asyncio.Event().wait()
            return await connect(address)

        monkeypatch.setattr("beaconhinge.net.worker_pool.connect", one_only)
        asked = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await dialled.wait()
        await harness.callback(state="done", result="first")
        assert (await asked).body == b"first"
        ended = {
            (found := await next_event(module, interface.AttemptEnded)).worker: found.outcome
            for _ in range(2)
        }
        assert ended == {FIRST: AttemptOutcome.SERVED, SECOND: AttemptOutcome.NOT_SENT}
        assert harness.workers[1].connections == 0

    run_scenario(scenario, workers=2)


# ---- bytes that come as a connection is shut or closed ----------------------------------------------------


def test_no_turn_sees_a_connection_at_rest_whose_bytes_have_been_read() -> None:
    """The loop's own call read them in one turn and returned in the next: in between neither the socket nor the
    parser showed them, and the connection was closed over a request that had been taken.
    """

    async def run() -> None:
        loop, (local_config, theirs) = asyncio.get_running_loop(), socket.socketpair()
        local_config.setblocking(False)
        connection = Connection(local_config, True, lambda: None)
        reading = asyncio.create_task(connection.next())
        await asyncio.sleep(0.01)  # it waits
        looks: list[bool] = []

        def look() -> None:
            looks.append(connection.silent() and not connection.partial and not reading.done())
            if not reading.done():
                loop.call_soon(look)

        loop.call_soon(look)
        await asyncio.sleep(0)
        looks.clear()
        theirs.sendall(job_bytes())
        await reading
        assert looks
        assert not any(looks)
        connection.close()
        theirs.close()

    import uvloop

    uvloop.run(run())


@pytest.mark.parametrize("first", ["request", "shutdown"])
def test_a_request_that_crosses_the_parting_is_answered_or_comes_again(
    monkeypatch: pytest.MonkeyPatch, first: str
) -> None:
    """A client rests until the dispatcher parts with it, and sends in that very moment."""

    async def scenario(harness: Harness) -> None:
        sock = client(harness)
        sock.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.05)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        if first == "request":
            before(monkeypatch, ClientTable, "end_idle", lambda: sock.sendall(job_bytes()))
        else:
            after(monkeypatch, Connection, "shut_down_writing", lambda _: sock.sendall(job_bytes()))
        await harness.stop()
        if first == "request":
            await harness.workers[0].seen.get()
            await harness.callback(state="done", result="taken")
            got = await answer_to(sock)
            assert got.startswith(b"HTTP/1.1 200")
            assert got.endswith(b"taken")
        else:
            assert await answer_to(sock) == b""  # an end, no reset: it sends that once more elsewhere
            assert harness.workers[0].seen.empty()
        sock.close()
        await harness.running
        assert harness.workers[0].seen.empty()

    run_scenario(scenario)


def test_what_a_resting_client_sends_at_the_very_end_is_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """It came after the last look, and was read, sent on and lost with the process."""

    async def scenario(harness: Harness) -> None:
        asked = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.stop()
        await asyncio.sleep(0.7)  # clients are refused by now
        sock = client(harness)
        await asyncio.sleep(0.05)
        after(monkeypatch, ClientTable, "end", lambda _: sock.sendall(job_bytes(X_Request_ID="r2")))
        await harness.callback(state="done", result="kept")
        assert (await asked).body == b"kept"
        assert await answer_to(sock) == b""
        sock.close()
        await harness.running
        assert harness.workers[0].seen.empty()

    run_scenario(scenario)


def test_who_comes_as_the_listener_closes_gets_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Taken from the backlog, it had sent nothing yet, and the process ended over it."""

    async def scenario(harness: Harness) -> None:
        late = list[socket.socket]()
        before(monkeypatch, Listener, "stop_listening", lambda: late.append(client(harness)))
        await harness.stop()
        while not late:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)  # on its way
        assert not harness.running.done()  # the end would close it unheard
        late[0].sendall(job_bytes())
        assert (await answer_to(late[0])).startswith(b"HTTP/1.1 503")
        late[0].close()
        await harness.running

    run_scenario(scenario)


def test_the_end_waits_for_clients_that_never_close_no_longer_than_its_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("beaconhinge.net.client_table.LINGER_S", 0.2)

    async def scenario(harness: Harness) -> None:
        sock = client(harness)
        await asyncio.sleep(0.05)
        await harness.stop()
        os.kill(os.getpid(), signal.SIGTERM)  # a second one changes nothing
        async with asyncio.timeout(0.45 + 0.15 + 0.2 + 0.5):
            await harness.running
        sock.close()

    run_scenario(scenario)


def test_for_room_nobody_is_closed_whose_request_lies_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who had sent no whole message yet, as far as was read, was closed over one that had come."""

    async def scenario(harness: Harness) -> None:
        crowd = [client(harness) for _ in range(29)]  # 64 descriptors leave 30 to clients
        await asyncio.sleep(0.2)  # none of them is fresh any more
        before(monkeypatch, ClientTable, "close_one", lambda: crowd[0].sendall(job_bytes(X_Timeout_Ms="300")))
        newcomer = asyncio.create_task(harness.post("/render", X_Request_ID="r2", X_Timeout_Ms="300"))
        got = await answer_to(crowd[1])  # the next one had to go
        assert got == b""
        assert (await newcomer).status == 503
        crowd[0].setblocking(False)
        part = await asyncio.get_running_loop().sock_recv(crowd[0], 4096)
        assert part.startswith(b"HTTP/1.1 503")
        for sock in crowd:
            sock.close()

    run_scenario(scenario, limits={"sockets": 64})


def test_a_first_message_that_came_while_this_process_was_late_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timer for it was due first, and the connection was closed over the unread request."""
    monkeypatch.setattr("beaconhinge.net.client_connection.FIRST_MESSAGE_TIMEOUT_S", 0.1)

    async def scenario(harness: Harness) -> None:
        sock = client(harness)
        await asyncio.sleep(0.05)
        sock.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        time.sleep(0.2)  # holds up the loop
        sock.setblocking(False)
        part = await asyncio.get_running_loop().sock_recv(sock, 4096)
        assert part.startswith(b"HTTP/1.1 200")
        sock.close()

    run_scenario(scenario)


def test_a_worker_that_sends_half_a_line_on_a_resting_connection_gets_no_job_there() -> None:
    async def scenario(harness: Harness) -> None:
        asked = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="one")
        assert (await asked).body == b"one"
        for writer in harness.workers[0].open:
            writer.write(b"HTTP/1.1 20")
        asked = asyncio.create_task(harness.post(X_Request_ID="r2"))
        await harness.workers[0].seen.get()
        assert harness.workers[0].connections == 2
        await harness.callback(id="r2", state="done", result="two")
        assert (await asked).body == b"two"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "endless",
    [
        b"HTTP/1.1 202 X\r\nX-",
        b"HTTP/1.1 202 X\r\nContent-Length: 400\r\n\r\nhalf",
        b"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf",
    ],
)
def test_a_workers_answer_without_end_costs_neither_its_result_nor_the_next_job(endless: bytes) -> None:
    async def spoilt(message: ReceivedMessage) -> bytes | None:
        return endless if message.headers["x-request-id"] == "r1" else reply(202)

    async def scenario(harness: Harness) -> None:
        for number, name in enumerate(("r1", "r2")):
            asked = asyncio.create_task(harness.post(X_Request_ID=name))
            assert (await harness.workers[0].seen.get()).headers["x-request-id"] == name
            assert harness.workers[0].connections == number + 1  # the second comes on a connection of its own
            await harness.callback(id=name, state="done", result=name)
            assert (await asked).body == name.encode()

    run_scenario(scenario, spoilt)


@pytest.mark.parametrize("first", ["the result", "the withdrawal"])
@pytest.mark.parametrize(
    "told", [{"state": "done", "result": "late"}, {"state": "returned"}, {"state": "lost"}]
)
def test_a_withdrawal_that_crosses_the_workers_word_ends_the_attempt_once(
    monkeypatch: pytest.MonkeyPatch, first: str, told: dict[str, str]
) -> None:
    """Both are under way at once; the second comes to an attempt that has ended, and each is answered."""
    gate = asyncio.Event()

    async def worker(message: ReceivedMessage) -> bytes | None:
        if message.start_line.startswith("DELETE"):
            await gate.wait()
            return reply(404)
        return reply(202)

    module = use_scripted_policy(
        monkeypatch, interface.SendAttempt(1, FIRST), ClientDisconnected=[interface.CancelAttempt(1, 0)]
    )

    async def scenario(harness: Harness) -> None:
        sock = client(harness)
        sock.sendall(job_bytes())
        seen = harness.workers[0].seen
        assert (await seen.get()).start_line.startswith("POST")
        await harness.callback(state="started")
        await next_event(module, interface.ProgressNotice)
        if first == "the result":
            assert (await harness.callback(**told)).status == 204
            sock.close()
        else:
            sock.close()
            assert (await seen.get()).start_line == "DELETE /jobs/r1 HTTP/1.1"
            assert (await harness.callback(**told)).status == 204
            gate.set()
        outcome = await next_event(module, interface.AttemptEnded)
        given = {
            "done": AttemptOutcome.SERVED,
            "returned": AttemptOutcome.REJECTED,
            "lost": AttemptOutcome.CONNECTION_LOST,
        }[told["state"]]
        assert outcome.outcome == (given if first == "the result" else AttemptOutcome.CANCELLED)
        module.on[interface.JobArrived] = [
            interface.SendAttempt(2, FIRST)
        ]  # the next job of that name has nothing of the first
        again = asyncio.create_task(harness.post())
        assert (await seen.get()).start_line.startswith("POST")
        await harness.callback(state="done", result="new")
        assert (await again).body == b"new"
        left = [module.events.get_nowait() for _ in range(module.events.qsize())]
        assert [e.request for e in left if isinstance(e, interface.AttemptEnded)] == [2]

    run_scenario(scenario, worker)


def test_a_reset_long_after_the_202_costs_the_job_nothing() -> None:
    async def scenario(harness: Harness) -> None:
        asked = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.callback(state="started")
        await asyncio.sleep(0.05)  # the 202 is read
        harness.workers[0].cut()
        await asyncio.sleep(0.05)
        await harness.callback(state="done", result="kept")
        assert (await asked).body == b"kept"
        assert harness.workers[0].seen.empty()  # no second attempt

    run_scenario(scenario)


def test_news_on_a_connection_that_rests_past_the_end_are_answered() -> None:
    """A worker's call-back comes on a connection that was there before SIGTERM."""

    async def scenario(harness: Harness) -> None:
        reader, writer = await harness.open()
        body = b'{"id": "nobody", "from": "s-0", "state": "started"}'
        call = b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        writer.write(call)
        assert (await read_message(reader)).status == 204
        asked = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.stop()
        await asyncio.sleep(0.7)
        body = body.replace(b"nobody", b"r1").replace(b'"started"', b'"done", "result": "kept"')
        writer.write(b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        assert (await read_message(reader)).status == 204
        assert (await asked).body == b"kept"
        writer.close()
        await harness.running

    run_scenario(scenario)


# ---- descriptors ------------------------------------------------------------------------------------------


def test_idle_clients_that_take_all_descriptors_while_discovery_is_away_do_not_keep_its_news_out() -> None:
    async def scenario(harness: Harness) -> None:
        away = asyncio.Event()

        async def script(message: ReceivedMessage) -> bytes | None:
            if not away.is_set():
                return None
            if "wait=0" not in message.start_line:
                await asyncio.Event().wait()
            told = {"version": 1, "full": False, "servers": [harness.host(0, state="Terminating")]}
            return reply(200, json.dumps(told).encode())

        harness.discovery.script = script
        harness.discovery.cut()
        crowd = [client(harness) for _ in range(60)]  # of 64 descriptors
        await asyncio.sleep(0.3)
        away.set()
        while "index=1" not in (await harness.discovery.seen.get()).start_line:
            pass
        for number in range(4):
            asked = asyncio.create_task(harness.post(X_Request_ID=f"r{number}"))
            await harness.workers[1].seen.get()
            await harness.callback(1, id=f"r{number}", state="done", result="x")
            assert (await asked).status == 200
        assert harness.workers[0].seen.empty()
        for sock in crowd:
            sock.close()

    run_scenario(scenario, workers=2, limits={"sockets": 64})


class FailingListener(socket.socket):
    """Its first calls of accept fail, once it is armed, as Linux documents."""

    failures: list[int]

    def accept(self) -> tuple[socket.socket, Any]:
        if self.failures:
            raise OSError(code := self.failures.pop(0), os.strerror(code))
        return super().accept()


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EMFILE, errno.ENOBUFS]
)
def test_a_failed_accept_as_the_listener_closes_costs_nobody_who_waits_in_its_queue(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first failure counted as the end of the queue, and closing the listener reset all who waited there."""
    listeners, frontends = list[FailingListener](), list[Listener]()

    def listening(address: tuple[str, int], *_more: object) -> socket.socket:
        listener = FailingListener(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(16)
        listener.failures = []
        listeners.append(listener)
        return listener

    monkeypatch.setattr("beaconhinge.net.listener.tcp_listener", listening)
    after(monkeypatch, Listener, "listen", frontends.append)

    async def scenario(harness: Harness) -> None:
        waiting = [client(harness), client(harness)]
        for number, sock in enumerate(waiting):
            sock.sendall(job_bytes(X_Request_ID=f"r{number}", Connection="close"))
        listeners[0].failures = [code, code]
        frontends[0].stop_listening()
        async with asyncio.timeout(2.0):
            taken = [await harness.workers[0].seen.get() for _ in waiting]
        assert {message.headers["x-request-id"] for message in taken} == {"r0", "r1"}
        for sock in waiting:
            sock.close()

    run_scenario(scenario)


def test_descriptors_that_are_short_after_all_do_not_spin_and_come_back(tmp_path: Path) -> None:
    """The platform may allow fewer than the configuration says: then accepting fails."""
    port = free_port()
    given = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "settings": SETTINGS,
        "known": {"version": 1, "servers": []},
    }
    (tmp_path / "config.json").write_text(json.dumps(given))
    few = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))  # noqa: E731
    program = subprocess.Popen(
        [sys.executable, "-O", "-m", "beaconhinge"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={"RELAY_CONFIG": str(tmp_path / "config.json")},
        preexec_fn=few,
    )
    assert program.stderr is not None
    try:
        while b" started " not in program.stderr.readline():
            pass
        crowd = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        while b" accept_failed " not in program.stderr.readline():
            pass

        def used() -> float:
            fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

        before_it = used()
        time.sleep(1.0)
        assert used() - before_it < 0.4  # of a core
        for sock in crowd:
            sock.close()
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.settimeout(5)
            sock.sendall(b"GET /up HTTP/1.1\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 503")  # no worker is known
    finally:
        program.terminate()
        program.wait(10)
        program.stderr.close()
