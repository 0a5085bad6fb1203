"""Stories of operators: calls on sockets, figures against what the stand-ins saw, workers out by hand, drains."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from harness import (
    Harness,
    ReceivedMessage,
    ScriptedPolicy,
    free_port,
    job_bytes,
    read_message,
    reply,
    run_scenario,
)

from beaconhinge.__main__ import run
from beaconhinge.membership.inventory import worker_number
from beaconhinge.net import management
from beaconhinge.net.sockets import AddressUnavailable, tcp_listener
from beaconhinge.policy import interface
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind, WorkerState

FIRST = worker_number("s-0")
Story = Callable[[Harness, "Operator"], Awaitable[None]]


class Operator:
    def __init__(self, port: int) -> None:
        self.port = port

    async def raw(self, *parts: bytes, end: bool = False) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0)
        if end:
            writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    async def call(self, line: str) -> str:
        return (await self.raw(line.encode() + b"\n")).decode()

    async def ready(self) -> None:
        """Wait for its yes; a process that has just been started does not listen yet."""
        while True:
            with contextlib.suppress(OSError):
                if await self.call("ready") == "SUCCESS ready\n":
                    return
            await asyncio.sleep(0.02)

    async def figures(self) -> dict[str, Any]:
        shown, last, rest = (await self.call("show-stat")).split("\n")
        assert (last, rest) == ("EOT", "")
        return json.loads(shown)  # type: ignore[no-any-return]


def operate(
    scenario: Story, *script: Callable[[ReceivedMessage], Awaitable[bytes | None]], **more: Any
) -> None:
    port = free_port()

    async def told(harness: Harness) -> None:
        await scenario(harness, Operator(port))

    run_scenario(told, *script, mgmt=f"127.0.0.1:{port}", **more)


def test_lines_in_pieces_with_any_end_are_answered_and_faults_are_named() -> None:
    async def scenario(harness: Harness, operator: Operator) -> None:
        assert await operator.raw(*(bytes([byte]) for byte in b"ready\r\n")) == b"SUCCESS ready\n"
        assert await operator.raw(b"ready", end=True) == b"SUCCESS ready\n"
        assert await operator.raw(b"ready\ndrain\n") == b"SUCCESS ready\n"  # a connection carries one line
        assert (await operator.raw(b"rea", b"dy now\n")).startswith(b"FAILURE ready: now is one word")
        assert (await operator.raw(b"x" * 5000)).startswith(b"FAILURE the line is over")
        assert (await operator.raw(b"\x80\n")) == b"FAILURE the line is no printable text\n"
        assert await operator.raw(b"", end=True) == b""
        assert (await operator.call("disable-server s-9")).startswith("FAILURE s-9: no such worker")
        assert (await operator.call("enable-server s-9")).startswith("FAILURE s-9: no such worker")
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200

    operate(scenario)


def test_callers_that_say_nothing_delay_nobody_and_crowds_of_clients_take_no_descriptor_of_theirs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("beaconhinge.net.sockets.RESERVED_DESCRIPTORS", 40)

    async def scenario(harness: Harness, operator: Operator) -> None:
        clients = [await harness.open() for _ in range(64)]
        mute = [
            await asyncio.open_connection("127.0.0.1", operator.port)
            for _ in range(2 * management.MAX_CALLERS)
        ]
        assert await operator.call("ready") == "SUCCESS ready\n"
        assert (await mute[0][0].read()).startswith(b"FAILURE too many callers")
        for _, writer in (*clients, *mute):
            writer.close()

    operate(scenario, limits={"memory_mb": 192, "sockets": 64})


def test_figures_are_what_the_stand_ins_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Served, refused, failed, retried after a reset, turned away, never connected, abandoned, and in work."""
    sent: list[str] = []
    ends = {
        "served": "done",
        "failed": "failed",
        "reset": None,
        "away": "away",
        "held": "held",
        "gone": "held",
    }

    async def script(message: ReceivedMessage) -> bytes | None:
        if not message.start_line.startswith("POST"):
            return reply(200)
        name = message.headers["x-request-id"]
        sent.append(name)
        what = ends[name.split("-")[0]]
        if what is None:
            return None
        if what == "away":
            return reply(503, X_Not_Processed="1")
        if what != "held":
            asyncio.get_running_loop().call_later(0.02, lambda: asyncio.ensure_future(post(name, what)))
        return reply(202)

    async def post(name: str, state: str) -> None:
        for worker in (0, 1):  # one of them has the job; the other's word is for nobody
            assert (await scenes[0].callback(worker, id=name, state=state, result=name)).status == 204

    scenes: list[Harness] = []

    async def scenario(harness: Harness, operator: Operator) -> None:
        scenes.append(harness)
        empty = {"success": 0, "busy": 0, "failure": 0}
        shown = await operator.figures()
        assert (shown["calls"], shown["backend_calls"]) == ({"render": empty, "publish": empty}, 0)
        key = {"Idempotency_Key": "k"}
        for n in range(3):
            assert (await harness.post(X_Request_ID=f"served-{n}")).status == 200
        assert (await harness.post("/publish", X_Request_ID="served-p", **key)).status == 200
        assert (await harness.post("/publish", X_Request_ID="failed-p", **key)).status == 502
        assert (await harness.post(X_Request_ID="reset-1", X_Timeout_Ms="600")).status == 503
        assert (await harness.post(X_Request_ID="away-1", X_Timeout_Ms="600")).status == 503
        assert (await harness.post("/render", X_Timeout_Ms="none")).status == 400  # no job
        held = asyncio.create_task(harness.post(X_Request_ID="held-1"))
        _, writer = await harness.open()
        writer.write(job_bytes(X_Request_ID="gone-1"))
        while not {"held-1", "gone-1"} <= set(sent):
            await asyncio.sleep(0.01)
        assert (await operator.figures())["inflight"] == 2
        writer.close()
        while (shown := await operator.figures())["inflight"] != 1:
            await asyncio.sleep(0.01)
        assert shown["calls"] == {
            "publish": {"success": 1, "busy": 0, "failure": 1},
            "render": {"success": 3, "busy": 2, "failure": 0},
        }
        assert shown["backend_calls"] == len(sent)
        assert shown["hosts_listed"] == 2
        await post("held-1", "done")
        assert (await held).status == 200

    operate(scenario, script, workers=2)


def test_a_worker_out_by_hand_gets_nothing_whatever_the_list_says_until_one_call_back() -> None:
    async def script(message: ReceivedMessage) -> bytes | None:
        return reply(202) if message.start_line.startswith("POST") else reply(200)

    async def scenario(harness: Harness, operator: Operator) -> None:
        assert (await operator.call("disable-server s-0")).startswith("SUCCESS")
        assert (await operator.call("disable-server s-0")).startswith("SUCCESS")
        asked = [
            asyncio.create_task(harness.post(X_Request_ID=f"r{n}", X_Timeout_Ms="400")) for n in range(6)
        ]
        await asyncio.gather(*asked)
        assert harness.workers[0].seen.empty()
        assert not harness.workers[1].seen.empty()
        shown = await operator.figures()
        assert (shown["hosts_listed"], shown["hosts_down"] >= 1) == (2, True)
        assert (await operator.call("enable-server s-0")).startswith("SUCCESS")
        assert (await operator.call("enable-server s-0")).startswith("SUCCESS")  # it is in the list, and in
        for n in range(20):
            if not harness.workers[0].seen.empty():
                return
            await harness.post(X_Request_ID=f"b{n}", X_Timeout_Ms="400")
        raise AssertionError("put back, it got no job")

    operate(scenario, script, workers=2)


def test_the_module_keeps_a_worker_out_through_lists_and_takes_it_for_cold_when_it_is_back() -> None:
    from helpers import job as work
    from helpers import members, sends, started

    dispatcher = started(2)
    out = dispatcher.handle(101.0, interface.MaintenanceMode(100, True))
    assert not sends(out)
    dispatcher.handle(101.0, interface.MaintenanceMode(100, True))
    for how, changed in (
        (UpdateKind.SNAPSHOT, members(2)),
        (UpdateKind.CHANGES, [interface.MemberEntry(100, WorkerState.GONE)]),
        (UpdateKind.CHANGES, [interface.MemberEntry(100, started_at=102.0)]),
        (UpdateKind.BOOTSTRAP, members(2)),
    ):
        dispatcher.handle(103.0, interface.MembershipUpdate(how, 2, changed))
        assert {s.worker for n in range(20) for s in sends(dispatcher.handle(103.0, work(n)))} <= {101}
        for n in range(20):
            dispatcher.handle(103.0, interface.ClientDisconnected(n))
            dispatcher.handle(103.0, interface.AttemptEnded(n, 101, 0, AttemptOutcome.CANCELLED, True))
    dispatcher.handle(104.0, interface.MaintenanceMode(100, False))
    back = dispatcher.workers[100]
    assert back.listed
    assert back.started_at == 102.0
    assert dispatcher.slow_start.is_cold(back)
    dispatcher.handle(105.0, interface.MaintenanceMode(101, True))
    dispatcher.handle(106.0, interface.MaintenanceMode(101, False))
    assert dispatcher.workers[101].slow_start_from == 106.0  # no list has told of a restart
    assert dispatcher.slow_start.is_cold(dispatcher.workers[101])


def test_idle_connections_to_a_worker_out_by_hand_are_closed() -> None:
    from helpers import started

    dispatcher = started(2, rules__drainRelease="1")
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        101.0, interface.MaintenanceMode(100, True)
    )


def test_drain_sends_clients_away_and_resume_takes_them_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.net.shutdown.CLOSE_IDLE_AFTER_S", 0.05)
    module = ScriptedPolicy([interface.SendAttempt(1, FIRST)])
    monkeypatch.setattr("beaconhinge.application.Dispatcher", lambda settings, seed: module)

    async def scenario(harness: Harness, operator: Operator) -> None:
        harness.send_peer_datagram()
        idle, _ = await harness.open()
        used, used_writer = await harness.open()
        used_writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await read_message(used)).status == 200
        reader, writer = await harness.open()
        writer.write(job_bytes())
        await harness.workers[0].seen.get()
        assert await operator.call("drain") == "SUCCESS drains\n"
        assert await operator.call("drain") == "SUCCESS drains\n"
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 503
        assert await operator.call("ready") == "FAILURE drained\n"
        assert await idle.read() == b""
        assert await used.read() == b""
        await harness.callback(state="done", result="one")  # call-backs still come in
        answer = await read_message(reader)
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert await operator.call("resume") == "SUCCESS serves\n"
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200
        reader, writer = await harness.open()
        for _ in range(2):  # and connections are kept again
            writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            assert "connection" not in (await read_message(reader)).headers
        assert await operator.call("resume") == "SUCCESS serves\n"

    operate(scenario)


def test_a_drained_dispatcher_holds_no_client_with_a_new_job(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.net.shutdown.CLOSE_IDLE_AFTER_S", 0.02)
    monkeypatch.setattr("beaconhinge.net.shutdown.DRAINED_REJECT_AFTER_S", 0.0)

    async def scenario(harness: Harness, operator: Operator) -> None:
        harness.send_peer_datagram()
        reader, writer = await harness.open()
        writer.write(job_bytes()[:20])  # being written, so not idle
        await operator.call("drain")
        await asyncio.sleep(0.2)
        writer.write(job_bytes()[20:])
        answer = await read_message(reader)
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        assert float(answer.headers["retry-after"]) > 0
        assert (await operator.figures())["calls"]["render"]["busy"] == 1

    operate(scenario)


def test_sigterm_ends_a_drained_dispatcher(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.net.shutdown.CLOSE_IDLE_AFTER_S", 0.02)

    async def scenario(harness: Harness, operator: Operator) -> None:
        harness.send_peer_datagram()
        await operator.call("drain")
        await harness.stop()
        await harness.running

    operate(scenario)


def test_a_management_address_in_use_or_malformed_ends_the_start_with_its_key(
    tmp_path: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        with pytest.raises(AddressUnavailable, match=r"mgmt: 127.0.0.1:\d+: "):
            tcp_listener(taken.getsockname(), "mgmt")
    path = tmp_path / "config.json"
    content = {**json.loads(json.dumps(_minimal())), "mgmt": "here"}
    path.write_text(json.dumps(content))
    assert run({"RELAY_CONFIG": str(path)}) == 2
    assert capsys.readouterr().err == "beaconhinge: mgmt: 'here' is not an address like 10.0.0.4:9000\n"
    path.write_text(json.dumps(_minimal()))
    assert run({"RELAY_CONFIG": str(path), "RELAY_MGMT": "10.0.0.4:0"}) == 2
    assert capsys.readouterr().err.startswith("beaconhinge: mgmt: ")


def _minimal() -> dict[str, Any]:
    from harness import SETTINGS

    return {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
