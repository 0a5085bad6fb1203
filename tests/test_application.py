"""Reload of the configuration by SIGHUP while requests are in progress, and the end of the process."""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any

import pytest
from harness import Harness, ReceivedMessage, ScriptedServer, reply, run_scenario


def list_of(version: int, *hosts: dict[str, Any]) -> bytes:
    return reply(200, json.dumps({"version": version, "full": True, "servers": list(hosts)}).encode())


async def serve_one_job(harness: Harness, worker: int, name: str) -> None:
    request = asyncio.create_task(harness.post(X_Request_ID=name))
    assert (await harness.workers[worker].seen.get()).headers["x-request-id"] == name
    await harness.callback(worker, id=name, state="done", result="made")
    assert (await request).status == 200


def test_reload_switches_to_the_new_discovery_at_once() -> None:
    """A late answer of the old discovery must not change the list, and no call may go to it any more."""
    late_answer = asyncio.Event()

    async def scenario(harness: Harness) -> None:
        async def old(message: ReceivedMessage) -> bytes | None:
            await late_answer.wait()
            return list_of(90)  # an empty list, which must change nothing

        async def new(message: ReceivedMessage) -> bytes | None:
            if "wait" in message.start_line:
                await asyncio.Event().wait()
            return list_of(3, harness.host(1))

        harness.discovery.script, new_discovery = old, ScriptedServer(new)
        await new_discovery.start()
        harness.lists = []
        while "wait=4000" not in (await harness.discovery.seen.get()).start_line:
            pass
        request = asyncio.create_task(harness.post())  # in progress during the whole reload
        worker = await asyncio.wait_for(worker_with_job(harness), 5)
        harness.reload(discovery=f"127.0.0.1:{new_discovery.port}")
        # The old discovery's versions mean nothing to the new one: the whole list is read, then watched.
        assert (await new_discovery.seen.get()).start_line == "GET /discovery/hosts HTTP/1.1"
        watch = (await new_discovery.seen.get()).start_line
        assert watch.startswith("GET /discovery/hosts?index=3&wait=")
        assert "wait=0" not in watch
        late_answer.set()
        assert await harness.discovery.ended.get()
        for number in range(5):
            await serve_one_job(harness, 1, f"s{number}")
        await harness.callback(worker, state="done", result="kept")
        assert (await request).body == b"kept"
        assert new_discovery.seen.empty()
        assert harness.discovery.seen.empty()
        new_discovery.server.close()

    async def worker_with_job(harness: Harness) -> int:
        waits = [asyncio.create_task(worker.seen.get()) for worker in harness.workers]
        done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in pending:
            wait.cancel()
        return waits.index(done.pop())

    run_scenario(scenario, workers=2)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"discovery": "nowhere"}, "discovery"),
        ({"discovery": "127.0.0.1:9", "limits": []}, "limits"),
        ({"discovery": "127.0.0.1:9", "settings": {}}, "requestClasses"),
        ({"peers": 5}, "peers"),
    ],
)
def test_reload_of_an_invalid_configuration_changes_nothing(
    changes: dict[str, Any], key: str, capfd: pytest.CaptureFixture[str]
) -> None:
    """One invalid key must refuse the whole configuration, valid keys included, and be named in the log."""

    async def scenario(harness: Harness) -> None:
        while "wait=4000" not in (await harness.discovery.seen.get()).start_line:
            pass
        harness.reload(**changes)
        await serve_one_job(harness, 0, "r1")
        assert harness.discovery.ended.empty()  # the old watch continues
        await harness.stop()
        await harness.running

    run_scenario(scenario)
    log = capfd.readouterr().err
    refused = re.findall(r" reload_refused total=1 why=(.+)", log)
    assert len(refused) == 1
    assert key in refused[0]
    assert " reloaded " not in log


def test_reload_names_keys_that_need_a_restart_and_applies_new_peers(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def scenario(harness: Harness) -> None:
        harness.reload(limits={"sockets": 512}, name="n7", peers_all=None)
        await serve_one_job(harness, 0, "r1")
        await harness.stop()
        await harness.running

    run_scenario(scenario)
    log = capfd.readouterr().err
    assert "wait_for_restart=name,limits" in log
    assert "datagrams_undeliverable=" in log.split(" counters ")[1]


def test_reload_during_shutdown_does_not_lose_a_request() -> None:
    async def scenario(harness: Harness) -> None:
        request = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.stop()
        harness.reload(discovery="127.0.0.1:9")
        await asyncio.sleep(0.7)
        await harness.callback(state="done", result="kept")
        assert (await request).body == b"kept"
        await harness.running

    run_scenario(scenario)


def test_no_task_starts_after_shutdown_when_timers_are_overdue() -> None:
    """A process that ended under load printed that a pending task, a watch of discovery, was destroyed.

    A timer that was due while the event loop closed could start a task after all others had been cancelled;
    the watch was started since the process had been held up.
    """

    async def scenario(harness: Harness) -> None:
        await harness.stop()
        await harness.running
        before = asyncio.all_tasks()
        time.sleep(1.1)  # noqa: ASYNC251  # the process is held up, which invalidates its watch
        for _ in range(10):
            await asyncio.sleep(0)
        assert {task.get_name() for task in asyncio.all_tasks() - before} == set()

    run_scenario(scenario)
