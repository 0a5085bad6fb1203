"""Stories of the list of workers: known, watched, malformed, refused."""

from __future__ import annotations

import asyncio

import pytest
from stage import Seen, Stage, play, reply

from beaconhinge.inventory import Inventory, InventoryError, worker_number
from ospreyroute import api


def test_a_list_of_version_0_is_watched_and_not_asked_for_again_and_again() -> None:
    async def story(scene: Stage) -> None:
        watch = await scene.discovery.seen.get()
        assert watch.start == "GET /discovery/hosts?index=0&wait=10000 HTTP/1.1"
        await asyncio.sleep(0.3)
        assert scene.discovery.seen.empty()

    play(story)


def test_a_watch_that_answers_at_once_each_time_is_asked_at_a_bounded_rate() -> None:
    async def story(scene: Stage) -> None:
        scene.lists = [{"version": 1, "full": True, "servers": []}] * 1000
        await asyncio.sleep(0.5)
        assert 2 <= scene.discovery.seen.qsize() <= 12

    play(story)


def test_a_worker_that_drains_gets_nothing_new_and_a_bad_entry_costs_itself_alone() -> None:
    async def story(scene: Stage) -> None:
        scene.lists = [{"version": 7, "full": False, "servers": [{"id": 5}, scene.host(0, state="Terminating")]}]
        while "index=7" not in (await scene.discovery.seen.get()).start:
            pass
        for number in range(8):
            asked = asyncio.create_task(scene.post(X_Request_ID=f"r{number}"))
            await scene.workers[1].seen.get()
            await scene.news(1, id=f"r{number}", state="done", result="x")
            assert (await asked).status == 200
        assert scene.workers[0].seen.empty()

    play(story, workers=2)


HOST = {"id": "s-1", "addr": "127.0.0.1:9", "zone": "b", "kind": "k", "cell": 3, "state": "Ready", "weight": 1.0,
        "started_ms": 1500}


def test_an_entry_turns_into_a_member_with_a_number_of_32_bits() -> None:
    [host] = Inventory(["a", "b"], ["k"]).read({"version": 4, "full": True, "servers": [HOST]}).hosts
    assert host.address == ("127.0.0.1", 9)
    assert host.member == api.Member(worker_number("s-1"), api.UP, 0, 3, 1, 1.0, 1.5)
    assert 0 <= host.member.worker < 2**32


@pytest.mark.parametrize("change", [
    {"id": ""}, {"id": 4}, {"addr": "nowhere"}, {"addr": "h:0"}, {"addr": None}, {"state": "Odd"}, {"cell": "x"},
    {"weight": "nan"}, {"started_ms": "x"}, {"kind": []},
])
def test_a_bad_entry_is_dropped_and_told(change: dict[str, object]) -> None:
    dropped: list[str] = []
    read = Inventory([], [], dropped.append).read({"version": 1, "servers": [{**HOST, **change}, HOST, 7]})
    assert [host.id for host in read.hosts] == ["s-1"]
    assert len(dropped) == 2


@pytest.mark.parametrize("content", [None, [], {}, {"version": 1}, {"version": "x", "servers": []},
                                     {"version": True, "servers": []}, {"version": 1, "servers": {}}])
def test_a_list_that_is_none_is_an_error(content: object) -> None:
    with pytest.raises(InventoryError):
        Inventory([], []).read(content)


@pytest.mark.parametrize("answer", [reply(503), None, reply(200, b"[]"), reply(200, b"{"), b"nonsense\r\n\r\n"])
def test_a_failed_watch_keeps_the_old_list_and_is_made_again_when_the_module_says(answer: bytes | None) -> None:
    async def script(_message: Seen) -> bytes | None:
        return answer

    async def story(scene: Stage) -> None:
        scene.discovery.script = script
        assert "wait=0" not in (await scene.discovery.seen.get()).start  # the watch, which fails
        assert "wait=0" in (await scene.discovery.seen.get()).start  # asked anew, after a while
        asked = asyncio.create_task(scene.post())
        await scene.workers[0].seen.get()
        await scene.news(state="done", result="from the old list")
        assert (await asked).status == 200

    play(story)


def test_a_discovery_that_says_nothing_or_little_at_a_time_holds_up_no_job(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("beaconhinge.net.discovery.ANSWER", 0.1)
    calls = 0

    async def script(_message: Seen) -> bytes | None:
        nonlocal calls
        calls += 1
        await asyncio.Event().wait()
        return None

    async def story(scene: Stage) -> None:
        scene.discovery.script = script
        scene.lists = [{"version": 1, "full": False, "servers": []}]
        for number in range(3):
            asked = asyncio.create_task(scene.post(X_Request_ID=f"r{number}"))
            await scene.workers[0].seen.get()
            await scene.news(id=f"r{number}", state="done", result="from the remembered list")
            assert (await asked).status == 200
        assert (await scene.ask(b"GET /up HTTP/1.1\r\n\r\n")).status == 200
        assert calls <= 2  # a call is out, and nobody hammers

    play(story)


def test_the_order_of_a_list_means_nothing_and_an_older_whole_list_is_what_discovery_says() -> None:
    from helpers import members, started

    one, other = started(0), started(0)
    one.handle(101.0, api.Membership(api.SNAPSHOT, 7, members(9)))
    other.handle(101.0, api.Membership(api.SNAPSHOT, 7, members(9)[::-1]))
    assert {w.id for w in one.pool[-1]} == {w.id for w in other.pool[-1]} == {m.worker for m in members(9)}
    one.handle(102.0, api.Membership(api.SNAPSHOT, 3, members(2)))
    assert {w.id for w in one.pool[-1]} == {m.worker for m in members(2)}
