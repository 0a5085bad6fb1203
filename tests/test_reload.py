"""Stories of a configuration that is replaced while requests are in work, told by SIGHUP."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

import pytest
from stage import Peer, Seen, Stage, play, reply


def list_of(version: int, *hosts: dict[str, Any]) -> bytes:
    return reply(200, json.dumps({"version": version, "full": True, "servers": list(hosts)}).encode())


async def serves(scene: Stage, worker: int, name: str) -> None:
    asked = asyncio.create_task(scene.post(X_Request_ID=name))
    assert (await scene.workers[worker].seen.get()).headers["x-request-id"] == name
    await scene.news(worker, id=name, state="done", result="made")
    assert (await asked).status == 200


def test_discovery_moves_at_once_and_the_old_one_is_not_heard_again() -> None:
    late = asyncio.Event()

    async def story(scene: Stage) -> None:
        async def old(message: Seen) -> bytes | None:
            await late.wait()
            return list_of(90)  # an empty list, which must change nothing

        async def new(message: Seen) -> bytes | None:
            if "wait" in message.start:
                await asyncio.Event().wait()
            return list_of(3, scene.host(1))

        scene.discovery.script, moved = old, Peer(new)
        await moved.start()
        scene.lists = []
        while "wait=4000" not in (await scene.discovery.seen.get()).start:
            pass
        asked = asyncio.create_task(scene.post())  # in work while all this happens
        taker = await asyncio.wait_for(next_of(scene), 5)
        scene.reload(discovery=f"127.0.0.1:{moved.port}")
        # Versions of the old discovery mean nothing to the new one: the whole list is asked for, then watched.
        assert (await moved.seen.get()).start == "GET /discovery/hosts HTTP/1.1"
        watch = (await moved.seen.get()).start
        assert watch.startswith("GET /discovery/hosts?index=3&wait=") and "wait=0" not in watch
        late.set()
        assert await scene.discovery.ended.get()
        for number in range(5):
            await serves(scene, 1, f"s{number}")
        await scene.news(taker, state="done", result="kept")
        assert (await asked).body == b"kept"
        assert moved.seen.empty() and scene.discovery.seen.empty()
        moved.server.close()

    async def next_of(scene: Stage) -> int:
        waits = [asyncio.create_task(worker.seen.get()) for worker in scene.workers]
        done, rest = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in rest:
            wait.cancel()
        return waits.index(done.pop())

    play(story, workers=2)


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
    async def story(scene: Stage) -> None:
        while "wait=4000" not in (await scene.discovery.seen.get()).start:
            pass
        scene.reload(**changes)
        await serves(scene, 0, "r1")
        assert scene.discovery.ended.empty()  # the old watch goes on
        await scene.stop()
        await scene.running

    play(story)
    log = capfd.readouterr().err
    refused = re.findall(r" reload_refused total=1 why=(.+)", log)
    assert len(refused) == 1 and key in refused[0]
    assert " reloaded " not in log


def test_keys_that_wait_for_a_restart_are_named_and_reports_go_to_the_new_peers(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def story(scene: Stage) -> None:
        scene.reload(limits={"sockets": 512}, name="n7", peers_all=None)
        await serves(scene, 0, "r1")
        await scene.stop()
        await scene.running

    play(story)
    log = capfd.readouterr().err
    assert "wait_for_restart=name,limits" in log
    assert "datagrams_without_way=" in log.split(" counters ")[1]


def test_a_new_configuration_may_come_while_the_program_stops() -> None:
    async def story(scene: Stage) -> None:
        asked = asyncio.create_task(scene.post())
        await scene.workers[0].seen.get()
        await scene.stop()
        scene.reload(discovery="127.0.0.1:9")
        await asyncio.sleep(0.7)
        await scene.news(state="done", result="kept")
        assert (await asked).body == b"kept"
        await scene.running

    play(story)
