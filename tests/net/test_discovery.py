"""The endpoint list in a running dispatcher: configured, watched, malformed or refused by discovery."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket

import pytest
import uvloop
from harness import (
    SETTINGS,
    Harness,
    ReceivedMessage,
    accept_job,
    next_event,
    reply,
    run_scenario,
    running_harness,
    use_scripted_policy,
)

from beaconhinge.membership.freshness import ListFreshness
from beaconhinge.membership.inventory import WorkerListError, WorkerListParser, worker_number
from beaconhinge.net.discovery import Discovery
from beaconhinge.net.sockets import connect
from beaconhinge.policy import interface
from beaconhinge.policy.interface import AttemptOutcome, UpdateKind, WorkerState


def test_version_0_is_watched_and_not_polled_in_a_loop() -> None:
    async def scenario(harness: Harness) -> None:
        watch = await harness.discovery.seen.get()
        assert watch.start_line == "GET /discovery/hosts?index=0&wait=4000 HTTP/1.1"
        await asyncio.sleep(0.3)
        assert harness.discovery.seen.empty()

    run_scenario(scenario)


def test_watches_answered_at_once_are_repeated_at_a_bounded_rate() -> None:
    async def scenario(harness: Harness) -> None:
        harness.lists = [{"version": 1, "full": True, "servers": []}] * 1000
        await asyncio.sleep(0.5)
        assert 2 <= harness.discovery.seen.qsize() <= 12

    run_scenario(scenario)


async def next_worker_with_a_job(harness: Harness) -> int:
    """Return the number of the worker that gets the next job."""
    waits = [asyncio.create_task(worker.seen.get()) for worker in harness.workers]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    number = next(n for n, wait in enumerate(waits) if wait.done())
    for wait in waits:
        wait.cancel()
    return number


def test_draining_worker_gets_no_jobs_beside_malformed_entries() -> None:
    async def scenario(harness: Harness) -> None:
        malformed, leaving, unreadable = (
            {"id": 5},
            harness.host(0, state="Terminating"),
            {"id": "s-2", "state": "Odd"},
        )
        harness.lists = [
            {"version": 7, "full": False, "servers": [malformed, leaving]},
            {"version": 7, "full": True, "servers": [leaving, harness.host(1), unreadable]},
        ]
        while "wait" in (await harness.discovery.seen.get()).start_line:
            pass  # because of the malformed entry, the snapshot is requested, but only once
        watch = (await harness.discovery.seen.get()).start_line
        assert "index=7&wait=" in watch
        assert watch_wait_ms(watch) >= 1500  # until the malformed entry is read again
        workers_used = set()
        for number in range(8):
            request = asyncio.create_task(harness.post(X_Request_ID=f"r{number}"))
            workers_used.add(worker := await next_worker_with_a_job(harness))
            await harness.callback(worker, id=f"r{number}", state="done", result="x")
            assert (await request).status == 200
        assert harness.discovery.seen.empty()
        assert workers_used == {1, 2}  # worker 2's entry is malformed too, so that it stays as it was

    run_scenario(scenario, workers=3)


def watch_wait_ms(start_line: str) -> int:
    """Return how long a watch waits, in milliseconds, from the start line of its call."""
    return int(start_line.split("wait=")[1].split()[0])


HOST = {
    "id": "s-1",
    "addr": "127.0.0.1:9",
    "zone": "b",
    "kind": "k",
    "cell": 3,
    "state": "Ready",
    "weight": 1.0,
    "started_ms": 1500,
}


def test_entry_becomes_a_member_with_a_32_bit_number() -> None:
    [host] = (
        WorkerListParser(["a", "b"], ["k"]).parse({"version": 4, "full": True, "servers": [HOST]}).endpoints
    )
    assert host.address == ("127.0.0.1", 9)
    assert host.member == interface.MemberEntry(worker_number("s-1"), WorkerState.READY, 0, 3, 1, 1.0, 1.5)
    assert 0 <= host.member.worker < 2**32


@pytest.mark.parametrize(
    "change",
    [
        {"id": ""},
        {"id": 4},
        {"addr": "nowhere"},
        {"addr": "h:0"},
        {"addr": None},
        {"state": "Odd"},
        {"cell": "x"},
        {"weight": "nan"},
        {"started_ms": "x"},
        {"kind": []},
    ],
)
def test_malformed_entry_is_dropped_and_reported(change: dict[str, object]) -> None:
    dropped: list[str] = []
    parsed = WorkerListParser([], [], dropped.append).parse(
        {"version": 1, "servers": [{**HOST, **change}, HOST, 7]}
    )
    assert [host.id for host in parsed.endpoints] == ["s-1"]
    assert len(dropped) == 2


@pytest.mark.parametrize(
    "content",
    [
        None,
        [],
        {},
        {"version": 1},
        {"version": "x", "servers": []},
        {"version": True, "servers": []},
        {"version": 1, "servers": {}},
    ],
)
def test_content_that_is_not_a_worker_list_raises_an_error(content: object) -> None:
    with pytest.raises(WorkerListError):
        WorkerListParser([], []).parse(content)


@pytest.mark.parametrize(
    "answer", [reply(503), None, reply(200, b"[]"), reply(200, b"{"), b"nonsense\r\n\r\n"]
)
def test_failed_watch_keeps_the_applied_list_and_is_retried(
    answer: bytes | None,
) -> None:
    async def script(_message: ReceivedMessage) -> bytes | None:
        return answer

    async def scenario(harness: Harness) -> None:
        harness.discovery.script = script
        assert "wait=0" not in (await harness.discovery.seen.get()).start_line  # the failing watch
        retry = (await harness.discovery.seen.get()).start_line  # after a backoff
        assert ("wait=0" in retry) is (answer != reply(503))  # a watch refused with 503 is retried as a watch
        request = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="from the old list")
        assert (await request).status == 200

    run_scenario(scenario)


def test_silent_discovery_delays_no_job_and_is_not_called_in_a_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("beaconhinge.membership.call_retries.POLL_FIRST_BYTE_TIMEOUT_S", 0.1)
    calls = 0

    async def script(_message: ReceivedMessage) -> bytes | None:
        nonlocal calls
        calls += 1
        await asyncio.Event().wait()
        return None

    async def scenario(harness: Harness) -> None:
        harness.discovery.script = script
        harness.lists = [{"version": 1, "full": False, "servers": []}]
        for number in range(3):
            request = asyncio.create_task(harness.post(X_Request_ID=f"r{number}"))
            await harness.workers[0].seen.get()
            await harness.callback(id=f"r{number}", state="done", result="from the remembered list")
            assert (await request).status == 200
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200
        assert calls <= 2  # one call in flight, and no retries in a loop

    run_scenario(scenario)


# ---- changes that count as notified -----------------------------------------------------------------------


async def next_call(harness: Harness, text: str) -> str:
    """Wait for a call whose start line contains a text, and return that line."""
    while text not in (start_line := (await harness.discovery.seen.get()).start_line):
        pass
    return start_line


async def expect_jobs_on(harness: Harness, worker: int) -> None:
    """Post 4 jobs one after the other, and wait until this worker gets each of them."""
    for number in range(4):
        request = asyncio.create_task(harness.post(X_Request_ID=f"r{number}"))
        await harness.workers[worker].seen.get()
        await harness.callback(worker, id=f"r{number}", state="done", result="x")
        assert (await request).status == 200


def list_reply(version: int, *servers: dict[str, object], full: bool = False) -> bytes:
    """Return an answer of discovery with these entries; a snapshot if `full`, else changes."""
    return reply(200, json.dumps({"version": version, "full": full, "servers": servers}).encode())


@pytest.mark.parametrize("pushed", [True, False])
def test_silent_watch_is_reopened_before_missed_changes_count_as_notified(
    pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a silent watch that is abandoned too late and then reopened after a random time.

    It was abandoned 2 s after its wait, just when missed changes begin to count as notified.
    """
    # Only the wait is shortened here; the time allowed beyond it stays the same.
    monkeypatch.setattr("beaconhinge.membership.discovery_watch.LONG_POLL_WAIT_S", 0.5)

    async def scenario(harness: Harness) -> None:
        loop = asyncio.get_running_loop()
        opened = 0.0

        async def script(message: ReceivedMessage) -> bytes | None:
            nonlocal opened
            if "wait=500" in message.start_line and not opened:
                opened = loop.time()
                await asyncio.Event().wait()  # silent, while worker 0 begins to drain
            return list_reply(1, harness.host(0, state="Terminating")) if opened else list_reply(0)

        harness.discovery.script = script
        await next_call(harness, "wait=500")
        start_line = await next_call(harness, "index=0&wait=0")
        assert 0.5 <= loop.time() - opened < 0.5 + 2.0 - 0.5  # with time for a second try
        assert start_line
        await asyncio.sleep(0.1)
        await expect_jobs_on(harness, 1)
        assert harness.workers[0].seen.empty()

    settings = {**SETTINGS, "membershipMode": "pushed" if pushed else "on_request"}
    run_scenario(scenario, workers=2, settings=settings)


def test_agent_is_polled_from_the_start_and_when_it_returns() -> None:
    """Guards against a remembered list that is never replaced, as the policy doesn't subscribe in pushed mode."""

    async def scenario(harness: Harness) -> None:
        await next_call(harness, "wait=4000")
        agent_back, served = asyncio.Event(), asyncio.Event()

        async def script(message: ReceivedMessage) -> bytes | None:
            if not agent_back.is_set():
                return None  # the agent is down
            if served.is_set():
                await asyncio.Event().wait()
            served.set()
            return list_reply(1, harness.host(0, state="Terminating"))

        harness.discovery.script = script
        harness.discovery.cut()
        for _ in range(3):  # calls are repeated at short intervals
            async with asyncio.timeout(0.4):
                await harness.discovery.seen.get()
        agent_back.set()
        async with asyncio.timeout(0.4):
            await served.wait()
        await next_call(harness, "index=1")
        await expect_jobs_on(harness, 1)
        assert harness.workers[0].seen.empty()

    run_scenario(scenario, workers=2, settings={**SETTINGS, "membershipMode": "pushed"})


def test_answer_without_the_requested_list_leaves_the_list_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against taking such an answer as proof of a current list.

    /up answered 200, and jobs were sent by the configured list.
    """
    snapshot_available = asyncio.Event()

    async def script(harness: Harness, message: ReceivedMessage) -> bytes | None:
        if "wait=4000" in message.start_line:
            await asyncio.Event().wait()
        if snapshot_available.is_set():
            return list_reply(9, harness.host(0), full=True)
        return list_reply(8)  # a newer version without entries, also in reply to a request for the snapshot

    async def scenario(harness: Harness) -> None:
        for _ in range(3):
            await harness.discovery.seen.get()
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 503
        snapshot_available.set()
        await next_call(harness, "wait=4000")
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200

    monkeypatch.setattr(Harness, "list", script)
    run_scenario(scenario)


@pytest.mark.parametrize(
    "change", [{"state": "Gone"}, {"state": "Terminating"}, {"addr": "127.0.0.1:9"}, {"started_ms": 5}]
)
def test_job_that_waited_for_the_list_is_not_sent_to_a_departed_worker(
    change: dict[str, object], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection to the worker's address in the configured list.

    If the connection failed, that counted as a failure of the worker.
    """
    list_ready, module = (
        asyncio.Event(),
        use_scripted_policy(monkeypatch, interface.SendAttempt(1, worker_number("s-0"))),
    )

    async def script(harness: Harness, message: ReceivedMessage) -> bytes | None:
        await list_ready.wait()
        if "wait=4000" in message.start_line:
            await asyncio.Event().wait()
        return list_reply(
            1, harness.host(0, **change), harness.host(1), full="index" not in message.start_line
        )

    async def scenario(harness: Harness) -> None:
        request = asyncio.create_task(harness.post())
        await next_event(module, interface.JobArrived)
        list_ready.set()
        outcome = await next_event(module, interface.AttemptEnded)
        assert outcome.outcome == AttemptOutcome.NOT_SENT
        assert harness.workers[0].connections == 0
        request.cancel()

    monkeypatch.setattr(Harness, "list", script)
    run_scenario(scenario, workers=2)


@pytest.mark.parametrize(
    ("codes", "serves"),
    [
        ([errno.ENETUNREACH], False),
        ([errno.EHOSTUNREACH], False),
        ([errno.EADDRNOTAVAIL] * 3, False),
        ([errno.ENOBUFS] * 3, False),
        ([errno.ENFILE] * 3, False),
        ([errno.ECONNABORTED] * 3, False),
        ([errno.ECONNREFUSED], False),
        ([errno.ECONNRESET], False),
        ([errno.ECONNREFUSED] * 2, True),
        ([errno.ECONNREFUSED, errno.ECONNRESET], True),
    ],
)
def test_start_serves_by_the_configured_list_only_after_two_refusals(
    codes: list[int], serves: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking one failed connection, even if this machine caused it, as discovery being down."""
    failures, failed, checked = list(codes), asyncio.Event(), asyncio.Event()

    async def connect_after_failures(address: tuple[str, int]) -> socket.socket:
        if failures:
            raise OSError(code := failures.pop(0), os.strerror(code))
        failed.set()
        await checked.wait()
        return await connect(address)

    async def check_up(port: int) -> bytes:
        """Return the status line of /up once all failures have happened."""
        await failed.wait()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        status = await reader.readline()
        writer.close()
        checked.set()
        return status

    async def run() -> None:
        checks = list[asyncio.Task[bytes]]()
        async with (
            asyncio.timeout(10),
            running_harness(
                accept_job, 1, {}, before=lambda port: checks.append(asyncio.create_task(check_up(port)))
            ),
        ):
            assert (b" 200 " in await checks[0]) is serves

    monkeypatch.setattr("beaconhinge.net.discovery_connection.connect", connect_after_failures)
    uvloop.run(run())


def test_job_waits_without_a_busy_loop_when_the_list_becomes_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an attempt that blocks the event loop by waiting on an event that is still set.

    The event that releases senders stayed set until the next check of the list.
    """
    discoveries = list[Discovery]()
    original = Discovery.start_from_bootstrap
    monkeypatch.setattr(
        Discovery, "start_from_bootstrap", lambda self: (discoveries.append(self), original(self))
    )

    async def scenario(harness: Harness) -> None:
        await next_call(harness, "wait=4000")
        discovery, loop = discoveries[0], asyncio.get_running_loop()
        # The list is unknown from now on.
        discovery.availability.freshness = ListFreshness(False, discovery.timers.now())
        request = asyncio.create_task(harness.post())
        began = loop.time()
        while not harness.running.done() and not discovery.metrics.counters["sends_waited_for_list"]:
            await asyncio.sleep(0)
        for _ in range(50):
            await asyncio.sleep(0)
        assert loop.time() - began < 1.0
        assert harness.workers[0].seen.empty()
        discovery.availability.freshness.handle_answer(discovery.timers.now(), discovery.timers.now())
        discovery.availability.update()
        await harness.workers[0].seen.get()
        await harness.callback(0, id="r1", state="done", result="x")
        assert (await request).status == 200

    run_scenario(scenario)


def test_start_is_ready_with_the_agents_list_and_not_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    agent_up = asyncio.Event()

    async def script(harness: Harness, message: ReceivedMessage) -> bytes | None:
        await agent_up.wait()
        if "wait=4000" in message.start_line:
            await asyncio.Event().wait()
        return list_reply(1, harness.host(1), full=True)

    async def scenario(harness: Harness) -> None:
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 503
        agent_up.set()
        await next_call(harness, "wait=4000")
        assert (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 200
        await expect_jobs_on(harness, 1)
        assert harness.workers[0].seen.empty()

    monkeypatch.setattr(Harness, "list", script)
    run_scenario(scenario, workers=2, settings={**SETTINGS, "membershipMode": "pushed"})


def test_start_without_its_agent_is_ready_later_with_the_configured_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def script(harness: Harness, message: ReceivedMessage) -> bytes | None:
        return None  # the agent stays down for longer than the start waits for it

    async def scenario(harness: Harness) -> None:
        while (await harness.request(b"GET /up HTTP/1.1\r\n\r\n")).status == 503:
            await asyncio.sleep(0.02)
        await expect_jobs_on(harness, 0)

    monkeypatch.setattr(Harness, "list", script)
    monkeypatch.setattr("beaconhinge.membership.freshness.UNKNOWN_MAX_S", 0.3)
    run_scenario(scenario, settings={**SETTINGS, "membershipMode": "pushed"})


def test_late_connection_sends_nothing_to_a_worker_that_now_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Within `connectTimeout` a drain may be announced, and its grace period may end."""
    may_connect = asyncio.Event()
    attempted_ports: asyncio.Queue[int] = asyncio.Queue()

    async def connect_late(address: tuple[str, int]) -> socket.socket:
        attempted_ports.put_nowait(address[1])
        await may_connect.wait()
        return await connect(address)

    async def scenario(harness: Harness) -> None:
        monkeypatch.setattr("beaconhinge.net.worker_pool.connect", connect_late)
        request = asyncio.create_task(harness.post())
        leaving = [worker.port for worker in harness.workers].index(await attempted_ports.get())
        harness.lists = [list_reply(3, harness.host(leaving, state="Terminating"))]
        harness.discovery.cut()
        await next_call(harness, "index=3")
        monkeypatch.setattr("beaconhinge.net.worker_pool.connect", connect)
        may_connect.set()
        await harness.workers[1 - leaving].seen.get()  # the job provably never ran, so it is sent elsewhere
        await harness.callback(1 - leaving, state="done", result="x")
        assert (await request).status == 200
        assert harness.workers[leaving].seen.empty()

    limits = {**SETTINGS["policyLimits"], "connectTimeout": 5.0}
    run_scenario(scenario, workers=2, settings={**SETTINGS, "policyLimits": limits})


@pytest.mark.parametrize("second_answer", ["again", "older"])
def test_second_answer_to_a_call_does_not_return_a_leaving_worker(second_answer: str) -> None:
    """Guards against a second answer on the kept connection that is read as the answer to the next call.

    Each later answer was then read as that of the call after its own.
    """

    async def scenario(harness: Harness) -> None:
        ready, leaving = list_reply(1, harness.host(0)), list_reply(2, harness.host(0, state="Terminating"))
        calls = 0

        async def script(message: ReceivedMessage) -> bytes | None:
            nonlocal calls
            calls += 1
            if calls == 1:
                return leaving + (leaving if second_answer == "again" else ready)
            if "index=2&wait=" in message.start_line:
                await asyncio.Event().wait()
            return list_reply(2, harness.host(0, state="Terminating"), harness.host(1), full=True)

        harness.discovery.script = script
        harness.discovery.cut()
        await next_call(harness, "index=2&wait=")
        await expect_jobs_on(harness, 1)
        assert harness.workers[0].seen.empty()
        assert calls == 2  # the watch came on a new connection, and no other call was needed

    run_scenario(scenario, workers=2)


@pytest.mark.parametrize(
    "partial_answer",
    [
        b'HTTP/1.1 200 X\r\nContent-Length: 400\r\n\r\n{"version": 8, "full": true, "servers": [',
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{    \r\n",
        b"HTTP/1.1 200 X\r\nX-",
    ],
)
def test_answer_that_never_ends_affects_only_its_own_call(
    partial_answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("beaconhinge.net.discovery_connection.BODY_IDLE_TIMEOUT_S", 0.1)

    async def scenario(harness: Harness) -> None:
        calls = 0

        async def script(message: ReceivedMessage) -> bytes | None:
            nonlocal calls
            calls += 1
            if calls == 1:
                return partial_answer
            if "index=8&wait=" in message.start_line:
                await asyncio.Event().wait()
            return list_reply(8, harness.host(0, state="Terminating"))

        harness.discovery.script = script
        harness.discovery.cut()
        # The job is served by the list that is applied meanwhile.
        request = asyncio.create_task(harness.post(X_Request_ID="first"))
        await harness.callback(await next_worker_with_a_job(harness), id="first", state="done", result="x")
        assert (await request).status == 200
        await next_call(harness, "index=8")
        await expect_jobs_on(harness, 1)

    run_scenario(scenario, workers=2)


def test_list_order_is_irrelevant_and_an_older_snapshot_is_applied() -> None:
    from helpers import members, started

    one, other = started(0), started(0)
    one.handle(101.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 7, members(9)))
    other.handle(101.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 7, members(9)[::-1]))
    assert (
        {w.id for w in one.worker_table.listed[-1]}
        == {w.id for w in other.worker_table.listed[-1]}
        == {m.worker for m in members(9)}
    )
    one.handle(102.0, interface.MembershipUpdate(UpdateKind.SNAPSHOT, 3, members(2)))
    assert {w.id for w in one.worker_table.listed[-1]} == {m.worker for m in members(2)}


async def expect_worker_0_out_of_service(harness: Harness) -> None:
    """Check that jobs are sent to worker 1 only, from now on."""
    await expect_jobs_on(harness, 1)
    assert harness.workers[0].seen.empty()


def test_changes_instead_of_a_snapshot_remove_leaving_workers_at_once() -> None:
    """Guards against ignoring both answers: each retry came after a growing pause.

    The leaving worker got jobs for 0.33 s and longer.
    """

    async def scenario(harness: Harness) -> None:
        async def script(message: ReceivedMessage) -> bytes | None:
            if "index=" in message.start_line:  # without entries, so that the next call requests the snapshot
                return list_reply(2)
            return list_reply(3, harness.host(0, state="Terminating"))

        harness.discovery.script = script
        harness.discovery.cut()
        await next_call(harness, "GET /discovery/hosts HTTP")
        await asyncio.sleep(0.05)
        await expect_worker_0_out_of_service(harness)

    run_scenario(scenario, workers=2)


@pytest.mark.parametrize("version", [1, 3])
def test_partial_list_removes_a_worker_only_if_its_version_is_newer(version: int) -> None:
    async def scenario(harness: Harness) -> None:
        async def script(message: ReceivedMessage) -> bytes | None:
            if "index=2" in message.start_line:
                part = list_reply(version, harness.host(0, state="Terminating"))
                return part.replace(b"}]}", b"}]")
            return list_reply(2, harness.host(0), harness.host(1), full=True)

        harness.discovery.script = script
        harness.discovery.cut()
        await next_call(harness, "index=2")
        await asyncio.sleep(0.05)
        request = asyncio.create_task(harness.post(X_Request_ID="r0"))
        other = asyncio.create_task(harness.post(X_Request_ID="r1"))
        await harness.workers[1].seen.get()
        if version == 1:  # both are in service, and a job is sent to a worker with the fewest jobs
            await harness.workers[0].seen.get()
        else:
            await harness.workers[1].seen.get()
            assert harness.workers[0].seen.empty()
        for task in (request, other):
            task.cancel()

    run_scenario(scenario, workers=2)


def test_unread_changes_of_the_old_discovery_apply_on_reconfiguration() -> None:
    """Guards against bytes of the old discovery that stay unread in the socket as SIGHUP cancels the call."""

    async def scenario(harness: Harness) -> None:
        async def script(message: ReceivedMessage) -> bytes | None:
            if "index=2" in message.start_line:
                part = list_reply(3, harness.host(0, state="Terminating"))
                return part.replace(b"}]}", b"}]")  # the list does not end
            return list_reply(2, harness.host(0), harness.host(1), full=True)

        harness.discovery.script = script
        harness.discovery.cut()
        await next_call(harness, "index=2")
        harness.reload(discovery=f"127.0.0.1:{harness.workers[0].port}")  # a worker answers no such call
        await asyncio.sleep(0.05)
        harness.workers[0].seen = asyncio.Queue()
        await expect_jobs_on(harness, 1)
        sent = [harness.workers[0].seen.get_nowait() for _ in range(harness.workers[0].seen.qsize())]
        assert not [message for message in sent if message.start_line.startswith("POST")]

    run_scenario(scenario, workers=2)


def test_complete_list_in_an_unended_answer_is_applied_with_its_version() -> None:
    async def scenario(harness: Harness) -> None:
        async def script(message: ReceivedMessage) -> bytes | None:
            if "index=7&wait=" in message.start_line:
                await asyncio.Event().wait()
            content = json.dumps({"version": 7, "full": True, "servers": [harness.host(1)]}).encode()
            return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(content) + 1, content)

        harness.discovery.script = script
        harness.discovery.cut()
        await next_call(harness, "index=7&wait=")
        await expect_worker_0_out_of_service(harness)

    run_scenario(scenario, workers=2)
