"""Upgrades: the old and the new process, each against a scripted peer, and real processes under load."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import uvloop
from harness import Harness, ReceivedMessage, ScriptedPolicy, free_port, job_bytes, read_message, run_scenario
from test_management import FIRST_WORKER, Operator

from beaconhinge.management import handover
from beaconhinge.management.frames import FrameKind, FrameReader, encode_frame
from beaconhinge.net.sockets import tcp_listener
from beaconhinge.policy import interface
from beaconhinge.standin.harness import DemoFleet

UP = b"GET /up HTTP/1.1\r\n\r\n"
LIST = {"version": 3, "full": True, "servers": [{"id": "s-0", "addr": "127.0.0.1:9", "state": "Ready"}]}


class Successor:
    """Stands in for the new process towards the old one; its test scripts the frames that it sends."""

    def __init__(self) -> None:
        self.frame_reader, self.received, self.received_bytes = (
            FrameReader(),
            asyncio.Queue[tuple[int, bytes]](),
            b"",
        )

    async def take_over(self, rendezvous_file: Path, token: str = "") -> None:
        while not rendezvous_file.exists():
            await asyncio.sleep(0.01)
        rendezvous = json.loads(rendezvous_file.read_text())
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", int(rendezvous["mgmt"].split(":")[1])
        )
        self.writer.write(f"take-over {token or rendezvous['token']}\n".encode())
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while data := await self.reader.read(65536):
            self.received_bytes += data
            if not self.received_bytes.startswith(b"FAILURE"):
                for frame in self.frame_reader.feed(data):
                    self.received.put_nowait(frame)

    async def expect(self, kind: int) -> bytes:
        """Skip frames until one of this kind arrives, and return its payload."""
        while (frame := await self.received.get())[0] != kind:
            pass
        return frame[1]

    def send(self, kind: int, payload: bytes = b"") -> None:
        self.writer.write(encode_frame(kind, payload))

    def die(self) -> None:
        self.reading.cancel()
        self.writer.transport.abort()


def run_upgrade_scenario(scenario: Any, tmp_path: Path, **options: Any) -> None:
    port = free_port()

    async def with_operator(harness: Harness) -> None:
        await scenario(harness, Operator(port), tmp_path / f"beaconhinge-127.0.0.1-{harness.port}.json")

    run_scenario(with_operator, mgmt=f"127.0.0.1:{port}", shared=tmp_path, **options)


def test_the_old_process_serves_on_if_the_new_one_dies_at_any_step(tmp_path: Path) -> None:
    """The new process presents a wrong token, then dies after each step of a take-over in turn.

    The steps: connected, state received ("has the form"), listening, addresses released ("has the door").
    """

    async def scenario(harness: Harness, operator: Operator, rendezvous_file: Path) -> None:
        new = Successor()
        await new.take_over(rendezvous_file, "0" * 32)
        await new.reading
        assert new.received_bytes == b"FAILURE take-over: not the word that this process has left\n"
        for step in ("called", "has the form", "serves", "has the door"):
            new = Successor()
            await new.take_over(rendezvous_file)
            if step != "called":
                assert "module" in handover.unseal(await new.expect(FrameKind.STATE))
            listener = None
            if step in ("serves", "has the door"):
                listener = tcp_listener(("127.0.0.1", harness.port), "listen", shared=True)
                new.send(FrameKind.SERVING)
            if step == "has the door":
                await new.expect(FrameKind.ADDRESSES_RELEASED)
                assert await operator.call("ready") == "FAILURE another process has taken over\n"
                await new.expect(FrameKind.ALL_ANSWERED)
            if listener is not None:
                listener.close()
            new.die()
            while await operator.call("ready") != "SUCCESS ready\n":
                await asyncio.sleep(0.01)
            assert (await harness.request(UP)).status == 200
            reader, writer = await harness.open()
            for _ in range(2):  # connections are kept open again
                writer.write(UP)
                assert "connection" not in (await read_message(reader)).headers
            writer.close()

    run_upgrade_scenario(scenario, tmp_path)


def test_the_old_process_finishes_its_jobs_and_call_backs_are_forwarded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call-back that reaches the process without the job must be forwarded to the other one."""
    policy = ScriptedPolicy([interface.SendAttempt(1, FIRST_WORKER)])
    policy.take = lambda: {}  # type: ignore[attr-defined]
    monkeypatch.setattr("beaconhinge.application.Dispatcher", lambda settings, seed: policy)
    monkeypatch.setattr("beaconhinge.management.handover.export_state", lambda dispatcher: {})
    policy.workers = {}  # type: ignore[attr-defined]

    async def scenario(harness: Harness, operator: Operator, rendezvous_file: Path) -> None:
        idle, idle_writer = await harness.open()
        idle_writer.write(UP)
        await read_message(idle)
        reader, writer = await harness.open()
        writer.write(job_bytes())
        await harness.workers[0].seen.get()
        new = Successor()
        await new.take_over(rendezvous_file)
        await new.expect(FrameKind.STATE)
        await harness.callback(state="done", id="r9", result="not known here")
        assert json.loads(await new.expect(FrameKind.CALLBACK))["id"] == "r9"
        listener = tcp_listener(("127.0.0.1", harness.port), "listen", shared=True)
        new.send(FrameKind.SERVING)
        await new.expect(FrameKind.ADDRESSES_RELEASED)
        assert await idle.read() == b""  # an idle client is closed, and reconnects to the new process
        new.send(FrameKind.CALLBACK, b'{"id": "r1", "from": "s-0", "state": "done", "result": "one"}')
        answer = await read_message(reader)
        assert (answer.status, answer.body, answer.headers["connection"]) == (200, b"one", "close")
        await new.expect(FrameKind.ALL_ANSWERED)
        _, late = await harness.open()
        accepted, _ = await asyncio.get_running_loop().sock_accept(listener)  # directed to the new process
        accepted.close()
        late.close()
        listener.close()
        await harness.stop()
        await harness.running
        new.die()

    run_upgrade_scenario(scenario, tmp_path)


def test_all_answered_is_sent_only_to_the_current_successor(tmp_path: Path) -> None:
    """A job outlives a first successor that dies; the second one must wait until the job is answered."""

    async def scenario(harness: Harness, operator: Operator, rendezvous_file: Path) -> None:
        reader, writer = await harness.open()
        writer.write(job_bytes())
        await harness.workers[0].seen.get()
        for dies in (True, False):
            new = Successor()
            await new.take_over(rendezvous_file)
            await new.expect(FrameKind.STATE)
            new.send(FrameKind.SERVING)
            await new.expect(FrameKind.ADDRESSES_RELEASED)
            if dies:
                new.die()
                while await operator.call("ready") != "SUCCESS ready\n":
                    await asyncio.sleep(0.01)
        assert await operator.call("resume") == "SUCCESS serves\n"
        await new.expect(FrameKind.RESUME)
        assert new.received.empty()  # the job is still in progress
        new.send(FrameKind.CALLBACK, b'{"id": "r1", "from": "s-0", "state": "done", "result": "one"}')
        assert (await read_message(reader)).body == b"one"
        writer.close()
        await new.expect(FrameKind.ALL_ANSWERED)
        new.die()

    run_upgrade_scenario(scenario, tmp_path)


def test_resume_and_drain_are_refused_after_sigterm(tmp_path: Path) -> None:
    """An operator's `resume` must not undo a shutdown that has begun."""

    async def scenario(harness: Harness, operator: Operator, rendezvous_file: Path) -> None:
        _, writer = await harness.open()
        writer.write(job_bytes())
        await harness.workers[0].seen.get()
        await harness.stop()
        while await operator.call("ready") != "FAILURE drained\n":
            await asyncio.sleep(0.01)
        assert await operator.call("resume") == "FAILURE this process is ending\n"
        assert await operator.call("drain") == "FAILURE this process is ending\n"
        await harness.callback(state="done", result="one")
        await harness.running

    run_upgrade_scenario(scenario, tmp_path)


def test_operators_calls_are_forwarded_to_the_other_process(tmp_path: Path) -> None:
    async def scenario(harness: Harness, operator: Operator, rendezvous_file: Path) -> None:
        new = Successor()
        await new.take_over(rendezvous_file)
        await new.expect(FrameKind.STATE)
        await operator.call("disable-server s-0")
        assert await new.expect(FrameKind.DISABLE_WORKER) == b"s-0"
        assert (await operator.figures())["hosts_down"] == 1
        new.send(FrameKind.ENABLE_WORKER, b"s-0")
        while (await operator.figures())["hosts_down"]:
            await asyncio.sleep(0.01)
        await operator.call("drain")
        await new.expect(FrameKind.DRAIN)
        new.die()

    run_upgrade_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "fault", ["torn", "foreign", "older", "other frame", "silence", "no process", "no word", "other settings"]
)
def test_a_new_process_starts_without_state_if_the_old_one_sends_none(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The old process sends an unusable state or none, or the rendezvous file is unusable ("no word").

    The new process must then serve all the same, and log `handover_unusable` once.
    """
    monkeypatch.setattr("beaconhinge.net.upgrade.ANSWER_TIMEOUT_S", 0.2)
    monkeypatch.setattr("beaconhinge.net.upgrade.READY_WITHIN_S", 0.3)
    sealed = handover.seal({"module": {}})
    states = {
        "torn": sealed[:-1],
        "foreign": b"{}",
        "older": sealed.replace(b" 1 ", b" 0 ", 1),
        "other settings": handover.seal(
            {"module": {"settings": "others"}, "out": ["s-0"], "discovery": ["127.0.0.1", 1], "list": LIST}
        ),
    }

    async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        if fault in states:
            writer.write(encode_frame(FrameKind.STATE, states[fault]))
        elif fault == "other frame":
            writer.write(encode_frame(FrameKind.ADDRESSES_RELEASED))
        await reader.read()
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(old, "127.0.0.1", 0)
        port, mgmt = server.sockets[0].getsockname()[1], free_port()
        if fault == "no process":
            server.close()
        content = (
            b"{}" if fault == "no word" else json.dumps({"mgmt": f"127.0.0.1:{port}", "token": "t"}).encode()
        )
        from harness import running_harness

        async def accept(_message: ReceivedMessage) -> bytes | None:
            return None

        async with (
            asyncio.timeout(10),
            running_harness(
                accept,
                1,
                {"mgmt": f"127.0.0.1:{mgmt}"},
                shared=tmp_path,
                before=lambda listen: (tmp_path / f"beaconhinge-127.0.0.1-{listen}.json").write_bytes(
                    content
                ),
            ) as harness,
        ):
            while (await harness.request(UP)).status == 503:  # until discovery has answered
                await asyncio.sleep(0.01)
            await Operator(mgmt).wait_until_ready()
            # Maintenance modes do not depend on settings: they are taken over even if the settings differ.
            assert (await Operator(mgmt).figures())["hosts_down"] == (fault == "other settings")
        server.close()

    uvloop.run(run())
    assert capsys.readouterr().err.count(" handover_unusable ") == 1


def test_two_upgrades_under_load_lose_and_repeat_nothing(tmp_path: Path) -> None:
    """Real processes: each job gets one answer and runs once, and the counters of all three add up."""

    async def upgrade_twice() -> None:
        harness = DemoFleet(6, 60.0, 5, tmp_path)
        for server in (harness.discovery.server, *(worker.server for worker in harness.workers)):
            server.start()
        processes: list[subprocess.Popen[bytes]] = []
        operators: list[Operator] = []

        async def start() -> None:
            operators.append(Operator(free_port()))
            config = tmp_path / f"{len(processes)}.json"
            config.write_text(json.dumps(harness.platform(mgmt=f"127.0.0.1:{operators[-1].port}")))
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-O", "-m", "beaconhinge"],
                    stderr=subprocess.PIPE,
                    env={**os.environ, "RELAY_CONFIG": str(config), "TMPDIR": str(tmp_path)},
                )
            )
            await operators[-1].wait_until_ready()

        await start()
        clients_running = asyncio.create_task(harness.clients.run(4.0))
        await asyncio.sleep(0.5)
        assert (await operators[0].call(f"disable-server {harness.workers[0].name}")).startswith("SUCCESS")
        for old in (0, 1):
            await start()
            processes[old].send_signal(signal.SIGTERM)
            while processes[old].poll() is None:
                await asyncio.sleep(0.02)
        await clients_running
        stat = await operators[2].figures()
        processes[2].send_signal(signal.SIGTERM)
        while processes[2].poll() is None:
            await asyncio.sleep(0.02)
        logs = []
        for process in processes:
            assert process.stderr is not None
            logs.append(process.stderr.read().decode())
            process.stderr.close()
        for server in (harness.discovery.server, *(worker.server for worker in harness.workers)):
            await server.stop()

        assert [process.returncode for process in processes] == [0, 0, 0]
        assert harness.clients.answers["200"] == harness.clients.asked > 100
        assert max(max(worker.runs.values(), default=0) for worker in harness.workers) == 1
        assert sum(worker.runs.total() for worker in harness.workers) == harness.clients.asked
        served = re.findall(r" success_\w+=(\d+)", "".join(logs))
        assert sum(map(int, served)) == harness.clients.asked
        assert stat["hosts_down"] == 1  # its maintenance mode outlasts two upgrades
        assert all(" taken_over " in log for log in logs[1:])
        assert all(" handed_over " in log for log in logs[:2])
        assert all(" other_process_ended" in log for log in logs[1:])

    async def bounded() -> None:
        async with asyncio.timeout(40):
            await upgrade_twice()

    uvloop.run(bounded())


@pytest.mark.parametrize("reached", ["old", "new"])
def test_an_open_id_of_the_other_process_is_refused_with_409(tmp_path: Path, reached: str) -> None:
    """Guards against a job that must not run twice: its id was open in one process and taken by the other."""

    async def scenario(harness: Harness, _operator: Operator, rendezvous_file: Path) -> None:
        new = Successor()
        await new.take_over(rendezvous_file)
        state = handover.unseal(await new.expect(FrameKind.STATE))
        assert state["features"] == ["request_ids"]
        if reached == "old":
            new.send(FrameKind.CLAIM_ID, b"r1")
            assert await new.expect(FrameKind.ID_GRANTED) == b"r1"
            assert (await harness.post()).status == 409
            new.send(FrameKind.RELEASE_ID, b"r1")
            new.send(FrameKind.CLAIM_ID, b"r2")
            assert await new.expect(FrameKind.ID_GRANTED) == b"r2"
            assert harness.workers[0].seen.empty()
        answer_task = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        new.send(FrameKind.CLAIM_ID, b"r1")
        assert await new.expect(FrameKind.ID_IN_USE) == b"r1"
        await harness.callback(state="done", result="served")
        assert (await answer_task).status == 200
        new.send(FrameKind.CLAIM_ID, b"r1")
        assert await new.expect(FrameKind.ID_GRANTED) == b"r1"
        new.die()

    run_upgrade_scenario(scenario, tmp_path)


def test_a_frame_of_a_later_version_is_skipped(tmp_path: Path) -> None:
    """Guards against an unknown frame that is taken for an operator's `resume`."""

    async def scenario(harness: Harness, operator: Operator, rendezvous_file: Path) -> None:
        new = Successor()
        await new.take_over(rendezvous_file)
        await new.expect(FrameKind.STATE)
        assert await operator.call("drain") == "SUCCESS drains\n"
        new.send(99, b"of a later version")
        new.send(FrameKind.CLAIM_ID, b"r1")
        await new.expect(FrameKind.ID_GRANTED)
        assert (await harness.request(UP)).status == 503
        new.die()

    run_upgrade_scenario(scenario, tmp_path)
