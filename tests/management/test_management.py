"""Operators' calls on sockets: framing of calls, figures, maintenance mode of workers, drain and resume."""

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

FIRST_WORKER = worker_number("s-0")
OperatorScenario = Callable[[Harness, "Operator"], Awaitable[None]]


class Operator:
    """Sends operators' calls to a port, each on a connection of its own."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def send_bytes(self, *parts: bytes, end: bool = False) -> bytes:
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
        return (await self.send_bytes(line.encode() + b"\n")).decode()

    async def wait_until_ready(self) -> None:
        """Call `ready` until the answer is SUCCESS; a process that has just started may not listen yet."""
        while True:
            with contextlib.suppress(OSError):
                if await self.call("ready") == "SUCCESS ready\n":
                    return
            await asyncio.sleep(0.02)

    async def figures(self) -> dict[str, Any]:
        stat, end, rest = (await self.call("show-stat")).split("\n")
        assert (end, rest) == ("EOT", "")
        return json.loads(stat)  # type: ignore[no-any-return]


def run_operator_scenario(
    scenario: OperatorScenario, *script: Callable[[ReceivedMessage], Awaitable[bytes | None]], **options: Any
) -> None:
    port = free_port()

    async def with_operator(harness: Harness) -> None:
        await scenario(harness, Operator(port))

    run_scenario(with_operator, *script, mgmt=f"127.0.0.1:{port}", **options)


def test_split_lines_are_answered_and_invalid_ones_refused() -> None:
    async def scenario(harness: Harness, operator: Operator) -> None:
        assert await operator.send_bytes(*(bytes([byte]) for byte in b"ready\r\n")) == b"SUCCESS ready\n"
        assert await operator.send_bytes(b"ready", end=True) == b"SUCCESS ready\n"
        assert await operator.send_bytes(b"ready\ndrain\n") == b"SUCCESS ready\n"  # one line each
        assert (await operator.send_bytes(b"rea", b"dy now\n")).startswith(b"FAILURE ready: now is one word")
        assert (await operator.send_bytes(b"x" * 5000)).startswith(b"FAILURE the line is over")
        assert (await operator.send_bytes(b"\x80\n")) == b"FAILURE the line is no printable text\n"
        assert await operator.send_bytes(b"", end=True) == b""
        assert (await operator.call("disable-server s-9")).startswith("FAILURE s-9: no such worker")
        assert (await operator.call("enable-server s-9")).startswith("FAILURE s-9: no such worker")
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200

    run_operator_scenario(scenario)


def test_silent_callers_and_many_clients_do_not_delay_a_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clients must not use up the descriptors reserved for operators, nor silent callers block a new one."""
    monkeypatch.setattr("beaconhinge.net.sockets.RESERVED_DESCRIPTORS", 40)

    async def scenario(harness: Harness, operator: Operator) -> None:
        clients = [await harness.open() for _ in range(64)]
        silent_callers = [
            await asyncio.open_connection("127.0.0.1", operator.port)
            for _ in range(2 * management.MAX_CALLERS)
        ]
        assert await operator.call("ready") == "SUCCESS ready\n"
        assert (await silent_callers[0][0].read()).startswith(b"FAILURE too many callers")
        for _, writer in (*clients, *silent_callers):
            writer.close()

    run_operator_scenario(scenario, limits={"memory_mb": 192, "sockets": 64})


def test_figures_match_what_the_stand_in_workers_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests served, rejected, failed, retried after a reset, rejected by the worker, never connected,
    abandoned, and in progress.
    """
    sent: list[str] = []
    state_by_name = {
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
        state = state_by_name[name.split("-")[0]]
        if state is None:
            return None
        if state == "away":
            return reply(503, X_Not_Processed="1")
        if state != "held":
            asyncio.get_running_loop().call_later(0.02, lambda: asyncio.ensure_future(post(name, state)))
        return reply(202)

    async def post(name: str, state: str) -> None:
        for worker in (0, 1):  # one of them has the job; the call-back of the other matches none
            assert (await harnesses[0].callback(worker, id=name, state=state, result=name)).status == 204

    harnesses: list[Harness] = []

    async def scenario(harness: Harness, operator: Operator) -> None:
        harnesses.append(harness)
        zeros = {"success": 0, "busy": 0, "failure": 0}
        stat = await operator.figures()
        assert (stat["calls"], stat["backend_calls"]) == ({"render": zeros, "publish": zeros}, 0)
        key = {"Idempotency_Key": "k"}
        for n in range(3):
            assert (await harness.post(X_Request_ID=f"served-{n}")).status == 200
        assert (await harness.post("/publish", X_Request_ID="served-p", **key)).status == 200
        assert (await harness.post("/publish", X_Request_ID="failed-p", **key)).status == 502
        assert (await harness.post(X_Request_ID="reset-1", X_Timeout_Ms="600")).status == 503
        assert (await harness.post(X_Request_ID="away-1", X_Timeout_Ms="600")).status == 503
        assert (await harness.post("/render", X_Timeout_Ms="none")).status == 400  # invalid, so not counted
        held = asyncio.create_task(harness.post(X_Request_ID="held-1"))
        _, writer = await harness.open()
        writer.write(job_bytes(X_Request_ID="gone-1"))
        while not {"held-1", "gone-1"} <= set(sent):
            await asyncio.sleep(0.01)
        assert (await operator.figures())["inflight"] == 2
        writer.close()
        while (stat := await operator.figures())["inflight"] != 1:
            await asyncio.sleep(0.01)
        assert stat["calls"] == {
            "publish": {"success": 1, "busy": 0, "failure": 1},
            "render": {"success": 3, "busy": 2, "failure": 0},
        }
        assert stat["backend_calls"] == len(sent)
        assert stat["hosts_listed"] == 2
        await post("held-1", "done")
        assert (await held).status == 200

    run_operator_scenario(scenario, script, workers=2)


def test_a_disabled_worker_gets_no_job_until_it_is_enabled() -> None:
    """A worker stays disabled although the list has it as ready; repeated calls change nothing."""

    async def script(message: ReceivedMessage) -> bytes | None:
        return reply(202) if message.start_line.startswith("POST") else reply(200)

    async def scenario(harness: Harness, operator: Operator) -> None:
        assert (await operator.call("disable-server s-0")).startswith("SUCCESS")
        assert (await operator.call("disable-server s-0")).startswith("SUCCESS")
        requests = [
            asyncio.create_task(harness.post(X_Request_ID=f"r{n}", X_Timeout_Ms="400")) for n in range(6)
        ]
        await asyncio.gather(*requests)
        assert harness.workers[0].seen.empty()
        assert not harness.workers[1].seen.empty()
        stat = await operator.figures()
        assert (stat["hosts_listed"], stat["hosts_down"] >= 1) == (2, True)
        assert (await operator.call("enable-server s-0")).startswith("SUCCESS")
        assert (await operator.call("enable-server s-0")).startswith("SUCCESS")  # already enabled
        for n in range(20):
            if not harness.workers[0].seen.empty():
                return
            await harness.post(X_Request_ID=f"b{n}", X_Timeout_Ms="400")
        raise AssertionError("s-0 got no job after it was enabled")

    run_operator_scenario(scenario, script, workers=2)


def test_maintenance_mode_survives_list_updates_and_ends_in_slow_start() -> None:
    """No kind of list update may enable the worker; once enabled it is cold, whether it restarted or not."""
    from helpers import job as new_job
    from helpers import members, sends, started

    dispatcher = started(2)
    actions = dispatcher.handle(101.0, interface.MaintenanceMode(100, True))
    assert not sends(actions)
    dispatcher.handle(101.0, interface.MaintenanceMode(100, True))
    for kind, entries in (
        (UpdateKind.SNAPSHOT, members(2)),
        (UpdateKind.CHANGES, [interface.MemberEntry(100, WorkerState.GONE)]),
        (UpdateKind.CHANGES, [interface.MemberEntry(100, started_at=102.0)]),
        (UpdateKind.BOOTSTRAP, members(2)),
    ):
        dispatcher.handle(103.0, interface.MembershipUpdate(kind, 2, entries))
        assert {s.worker for n in range(20) for s in sends(dispatcher.handle(103.0, new_job(n)))} <= {101}
        for n in range(20):
            dispatcher.handle(103.0, interface.ClientDisconnected(n))
            dispatcher.handle(103.0, interface.AttemptEnded(n, 101, 0, AttemptOutcome.CANCELLED, True))
    dispatcher.handle(104.0, interface.MaintenanceMode(100, False))
    enabled = dispatcher.workers[100]
    assert enabled.listed
    assert enabled.started_at == 102.0
    assert dispatcher.slow_start.is_cold(enabled)
    dispatcher.handle(105.0, interface.MaintenanceMode(101, True))
    dispatcher.handle(106.0, interface.MaintenanceMode(101, False))
    assert dispatcher.workers[101].slow_start_from == 106.0  # no list has reported a restart
    assert dispatcher.slow_start.is_cold(dispatcher.workers[101])


def test_idle_connections_to_a_disabled_worker_are_closed() -> None:
    from helpers import started

    dispatcher = started(2, rules__drainRelease="1")
    assert interface.CloseIdleConnections(100) in dispatcher.handle(
        101.0, interface.MaintenanceMode(100, True)
    )


def test_drain_closes_connections_and_resume_keeps_them_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.net.shutdown.CLOSE_IDLE_AFTER_S", 0.05)
    policy = ScriptedPolicy([interface.SendAttempt(1, FIRST_WORKER)])
    monkeypatch.setattr("beaconhinge.application.Dispatcher", lambda settings, seed: policy)

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
        await harness.callback(state="done", result="one")  # call-backs are still accepted
        answer = await read_message(reader)
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert await operator.call("resume") == "SUCCESS serves\n"
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200
        reader, writer = await harness.open()
        for _ in range(2):  # connections are kept open again
            writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            assert "connection" not in (await read_message(reader)).headers
        assert await operator.call("resume") == "SUCCESS serves\n"

    run_operator_scenario(scenario)


def test_a_drained_dispatcher_rejects_new_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """A job whose transmission had begun before the drain is rejected, and its connection closed."""
    monkeypatch.setattr("beaconhinge.net.shutdown.CLOSE_IDLE_AFTER_S", 0.02)
    monkeypatch.setattr("beaconhinge.net.shutdown.DRAINED_REJECT_AFTER_S", 0.0)

    async def scenario(harness: Harness, operator: Operator) -> None:
        harness.send_peer_datagram()
        reader, writer = await harness.open()
        writer.write(job_bytes()[:20])  # the request is incomplete, so the connection is not idle
        await operator.call("drain")
        await asyncio.sleep(0.2)
        writer.write(job_bytes()[20:])
        answer = await read_message(reader)
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        assert float(answer.headers["retry-after"]) > 0
        assert (await operator.figures())["calls"]["render"]["busy"] == 1

    run_operator_scenario(scenario)


def test_sigterm_ends_a_drained_dispatcher(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.net.shutdown.CLOSE_IDLE_AFTER_S", 0.02)

    async def scenario(harness: Harness, operator: Operator) -> None:
        harness.send_peer_datagram()
        await operator.call("drain")
        await harness.stop()
        await harness.running

    run_operator_scenario(scenario)


def test_an_unusable_management_address_is_reported_with_its_key(
    tmp_path: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket() as occupant:
        occupant.bind(("127.0.0.1", 0))
        occupant.listen()
        with pytest.raises(AddressUnavailable, match=r"mgmt: 127.0.0.1:\d+: "):
            tcp_listener(occupant.getsockname(), "mgmt")
    path = tmp_path / "config.json"
    content = {**json.loads(json.dumps(_minimal_config())), "mgmt": "here"}
    path.write_text(json.dumps(content))
    assert run({"RELAY_CONFIG": str(path)}) == 2
    assert capsys.readouterr().err == "beaconhinge: mgmt: 'here' is not an address like 10.0.0.4:9000\n"
    path.write_text(json.dumps(_minimal_config()))
    assert run({"RELAY_CONFIG": str(path), "RELAY_MGMT": "10.0.0.4:0"}) == 2
    assert capsys.readouterr().err.startswith("beaconhinge: mgmt: ")


def _minimal_config() -> dict[str, Any]:
    from harness import SETTINGS

    return {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
