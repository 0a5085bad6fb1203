"""Scenarios of a configuration that is replaced while requests are in work, told by SIGHUP."""

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


async def serves(harness: Harness, worker: int, name: str) -> None:
    asked = asyncio.create_task(harness.post(X_Request_ID=name))
    assert (await harness.workers[worker].seen.get()).headers["x-request-id"] == name
    await harness.callback(worker, id=name, state="done", result="made")
    assert (await asked).status == 200


def test_discovery_moves_at_once_and_the_old_one_is_not_heard_again() -> None:
    late = asyncio.Event()

    async def scenario(harness: Harness) -> None:
        async def old(message: ReceivedMessage) -> bytes | None:
            await late.wait()
            return list_of(90)  # an empty list, which must change nothing

        async def new(message: ReceivedMessage) -> bytes | None:
            if "wait" in message.start_line:
                await asyncio.Event().wait()
            return list_of(3, harness.host(1))

        harness.discovery.script, moved = old, ScriptedServer(new)
        await moved.start()
        harness.lists = []
        while "wait=4000" not in (await harness.discovery.seen.get()).start_line:
            pass
        asked = asyncio.create_task(harness.post())  # in work while all this happens
        taker = await asyncio.wait_for(next_of(harness), 5)
        harness.reload(discovery=f"127.0.0.1:{moved.port}")
        # Versions of the old discovery mean nothing to the new one: the whole list is asked for, then watched.
        assert (await moved.seen.get()).start_line == "GET /discovery/hosts HTTP/1.1"
        watch = (await moved.seen.get()).start_line
        assert watch.startswith("GET /discovery/hosts?index=3&wait=")
        assert "wait=0" not in watch
        late.set()
        assert await harness.discovery.ended.get()
        for number in range(5):
            await serves(harness, 1, f"s{number}")
        await harness.callback(taker, state="done", result="kept")
        assert (await asked).body == b"kept"
        assert moved.seen.empty()
        assert harness.discovery.seen.empty()
        moved.server.close()

    async def next_of(harness: Harness) -> int:
        waits = [asyncio.create_task(worker.seen.get()) for worker in harness.workers]
        done, rest = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in rest:
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
def test_nothing_of_a_faulty_configuration_counts(
    changes: dict[str, Any], key: str, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(harness: Harness) -> None:
        while "wait=4000" not in (await harness.discovery.seen.get()).start_line:
            pass
        harness.reload(**changes)
        await serves(harness, 0, "r1")
        assert harness.discovery.ended.empty()  # the old watch goes on
        await harness.stop()
        await harness.running

    run_scenario(scenario)
    log = capfd.readouterr().err
    refused = re.findall(r" reload_refused total=1 why=(.+)", log)
    assert len(refused) == 1
    assert key in refused[0]
    assert " reloaded " not in log


def test_keys_that_wait_for_a_restart_are_named_and_reports_go_to_the_new_peers(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def scenario(harness: Harness) -> None:
        harness.reload(limits={"sockets": 512}, name="n7", peers_all=None)
        await serves(harness, 0, "r1")
        await harness.stop()
        await harness.running

    run_scenario(scenario)
    log = capfd.readouterr().err
    assert "wait_for_restart=name,limits" in log
    assert "datagrams_undeliverable=" in log.split(" counters ")[1]


def test_a_new_configuration_may_come_while_the_program_stops() -> None:
    async def scenario(harness: Harness) -> None:
        asked = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.stop()
        harness.reload(discovery="127.0.0.1:9")
        await asyncio.sleep(0.7)
        await harness.callback(state="done", result="kept")
        assert (await asked).body == b"kept"
        await harness.running

    run_scenario(scenario)


def test_nothing_is_begun_after_the_last_answer_though_the_process_is_held_up_then() -> None:
    """A process that ended beside load printed that a watch was destroyed while it was pending.

    Each timer that came due while the loop closed could begin a task after all others had been cancelled; a watch
    of discovery was begun since the process had been held up.
    """

    async def scenario(harness: Harness) -> None:
        await harness.stop()
        await harness.running
        before = asyncio.all_tasks()
        time.sleep(1.1)  # noqa: ASYNC251  # the process is held up, and its watch is void
        for _ in range(10):
            await asyncio.sleep(0)
        assert {task.get_name() for task in asyncio.all_tasks() - before} == set()

    run_scenario(scenario)
