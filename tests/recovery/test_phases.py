"""A start: its stages, incarnations, orphaned jobs of the previous incarnation, and disabled workers."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.net.restart import MAX_CONCURRENT_WITHDRAWALS, OrphanedJobs
from beaconhinge.recovery import incarnations, stages
from beaconhinge.recovery.incarnations import Hello, PeerIncarnations
from beaconhinge.recovery.stages import LISTENING, MOST, NORMAL, QUERYING, READING, RecoveryStages
from beaconhinge.runtime.clock import Clock
from beaconhinge.runtime.metrics import Metrics
from beaconhinge.runtime.timer_wheel import TimerWheel
from beaconhinge.standin.harness import DemoFleet
from beaconhinge.standin.ports import free_port

OTHERS = frozenset(range(1, 4))
EVENTS = st.one_of(
    st.just(stages.ListenerOpened()),
    st.builds(stages.PeersQueried, st.frozensets(st.integers(1, 3))),
    st.just(stages.ListReceived()),
    st.builds(stages.PeerAnswered, st.integers(1, 3), st.integers(READING, NORMAL)),
    st.builds(stages.ProcessResumed, st.just(OTHERS)),
    st.just(stages.TimePassed()),
)


# Whatever events arrive, stages must follow in order, end within their limits, and QUERYING must not end
# early without the list and all answers.
@given(st.lists(st.tuples(st.floats(0.0, 1.0), EVENTS), max_size=40))
def test_phases_come_as_drawn_within_their_bounds_whatever_is_heard(
    events: list[tuple[float, stages.Event]],
) -> None:
    machine, now, entered = RecoveryStages(100.0), 100.0, [READING]
    for passed, event in events:
        now += passed
        before, ends_at = machine.stage, machine.ends_at
        entered += machine.feed(now, event)
        assert machine.stage == entered[-1] >= before
        if before in MOST and now >= ends_at and not isinstance(event, stages.ProcessResumed):
            assert machine.stage > before  # a phase that is over ends with the next turn
        if before == QUERYING and machine.stage == NORMAL and now < ends_at:
            assert machine.list_received
            assert not machine.unanswered
    assert entered == sorted(set(entered))


def test_stages_end_by_their_limits_and_queries_restart_after_a_stall() -> None:
    """A start must not hang on peers, discovery or a slow disk, nor rely on answers from before a stall."""
    machine = RecoveryStages(100.0)
    assert machine.feed(100.0, stages.ListenerOpened()) == [LISTENING]
    assert machine.feed(100.0, stages.PeersQueried(OTHERS)) == [QUERYING]
    assert machine.feed(100.1, stages.ListReceived()) == []
    assert machine.feed(100.1, stages.PeerAnswered(1, NORMAL)) == []
    assert machine.feed(110.2, stages.ProcessResumed(OTHERS)) == []  # the stalled time does not end the stage
    assert (machine.list_received, machine.unanswered, machine.peers_serving) == (False, set(OTHERS), set())
    assert machine.feed(110.6, stages.TimePassed()) == []
    assert machine.feed(110.8, stages.TimePassed()) == [NORMAL]
    alone = RecoveryStages(0.0)
    alone.feed(0.0, stages.ListenerOpened())
    assert alone.feed(0.0, stages.PeersQueried(frozenset())) == [QUERYING]
    assert alone.feed(0.01, stages.ListReceived()) == [NORMAL]
    slow_disk = RecoveryStages(0.0)
    slow_disk.feed(0.0, stages.ListenerOpened())
    assert slow_disk.feed(1.0, stages.TimePassed()) == [QUERYING]
    assert slow_disk.feed(1.1, stages.PeersQueried(OTHERS)) == []
    assert slow_disk.unanswered == OTHERS
    assert slow_disk.feed(1.5, stages.TimePassed()) == [NORMAL]


def test_incarnation_announced_by_two_starts_is_stale() -> None:
    """Two starts with one incarnation share an old folder; one start that repeats its hello does not."""
    peer_incarnations = PeerIncarnations()
    first = Hello(QUERYING, 5, 111)
    assert not peer_incarnations.observe(1, first)
    assert not peer_incarnations.observe(1, first)
    assert not peer_incarnations.observe(1, Hello(QUERYING, 6, 222))
    assert not peer_incarnations.observe(2, Hello(QUERYING, 6, 333))
    assert peer_incarnations.observe(1, Hello(QUERYING, 6, 444))
    assert peer_incarnations.observe(1, Hello(QUERYING, 2, 444))
    assert not peer_incarnations.observe(1, Hello(QUERYING, 0, 555))
    assert not peer_incarnations.observe(1, Hello(QUERYING, 7, 666))


def test_foreign_records_are_ignored_and_hellos_round_trip() -> None:
    """A record of another dispatcher, as in a copied folder, must not set the incarnation."""
    record = incarnations.sign_record("n1", 1, incarnations.incarnation_record(7))
    assert incarnations.next_incarnation(incarnations.read_signed_record(record, "n1", 1)) == 8
    for name, number, data in (
        ("n1", 2, record),
        ("n", 1, record),
        ("n1", 1, None),
        ("n1", 1, record[:-1]),
        ("n1", 1, b""),
    ):
        assert incarnations.next_incarnation(incarnations.read_signed_record(data, name, number)) == 1
    for hello in (Hello(NORMAL, 2**32 - 1, 2**32 - 1, True, True), Hello(0, 0, 0)):
        wire = incarnations.encode(hello)
        assert incarnations.decode(wire) == hello
        assert len(wire) == 11
        assert all(incarnations.decode(wire[:cut]) is None for cut in range(len(wire)))
        assert incarnations.decode(wire + b"x") is None
    assert incarnations.decode(b"\x7c\xff" + bytes(9)) is None
    assert incarnations.decode(bytes(11)) is None


def test_orphans_are_withdrawn_once_and_a_few_at_a_time() -> None:
    """Only until the longest deadline is over, and never a job whose key a client may retry."""

    async def scenario() -> tuple[list[tuple[str, int]], int]:
        now, done, most, busy = [0.0], [], 0, 0

        async def withdraw(request: str, worker: int) -> None:
            nonlocal most, busy
            busy += 1
            most = max(most, busy)
            await asyncio.sleep(0)
            busy -= 1
            done.append((request, worker))

        metrics = Metrics(lambda: now[0], writer=lambda event, fields: None)
        workers: Any = SimpleNamespace(withdraw=withdraw)
        orphans = OrphanedJobs(
            workers,
            TimerWheel(lambda: now[0], metrics.log_exception),
            metrics,
            10.0,
            lambda request: request == "keyed",
        )
        for _ in range(2):
            for number in range(9):
                orphans.observe(f"r{number}", 7)
            orphans.observe("keyed", 7)
        while metrics.tasks:
            await asyncio.wait(metrics.tasks)
        now[0] = 10.0
        orphans.observe("late", 7)
        assert not metrics.tasks
        assert metrics.counters["orphans_withdrawn"] == 9
        return done, most

    done, most = asyncio.run(scenario())
    assert sorted(done) == [(f"r{n}", 7) for n in range(9)]
    assert most == MAX_CONCURRENT_WITHDRAWALS


class RestartedFleet(DemoFleet):
    """A demo fleet with operators' calls and recovery, whose dispatcher is killed and restarted."""

    def __init__(self, folder: Path) -> None:
        super().__init__(3, 20.0, 5, folder)
        self.mgmt = free_port()

    def platform(self, **more: object) -> dict[str, object]:
        return super().platform(mgmt=f"127.0.0.1:{self.mgmt}", **more)

    def write_configuration(self) -> Path:
        local_config = super().write_configuration()
        local_config.write_text(local_config.read_text() + "[recovery]\nenabled = true\n")
        return local_config

    async def call(self, line: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt)
        writer.write(line.encode() + b"\n")
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return answer.decode()

    async def disabled_count(self) -> int:
        answer = await self.call("show-stat")
        figures = json.loads(answer.splitlines()[0])
        assert figures["phase"] in stages.NAMES
        return int(figures["hosts_down"])

    async def kill_and_restart(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self.start()


def test_disabled_worker_stays_disabled_after_a_kill_until_enabled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A restart that forgot `disable-server` would send jobs to a worker in maintenance."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def scenario() -> list[int]:
        harness = RestartedFleet(tmp_path)
        try:
            await harness.start()
            name = harness.workers[1].name
            assert await harness.call(f"disable-server {name}") == f"SUCCESS {name} is out\n"
            await harness.kill_and_restart()
            disabled_count = [await harness.disabled_count()]
            await harness.clients.run(1.0)
            ran = [worker.runs.total() for worker in harness.workers]
            assert ran[1] == 0
            assert ran[0] > 0
            assert ran[2] > 0
            assert (await harness.call(f"enable-server {name}")).startswith("SUCCESS")
            await harness.kill_and_restart()
            disabled_count.append(await harness.disabled_count())
            return disabled_count
        finally:
            assert await harness.stop() == 0

    assert asyncio.run(scenario()) == [1, 0]


def test_disable_server_is_not_confirmed_before_it_is_on_the_disk() -> None:
    """An operator who reads SUCCESS relies on the worker staying disabled after a restart."""
    from beaconhinge.net.operator_calls import OperatorCalls
    from beaconhinge.net.restart import MaintenanceStore
    from beaconhinge.store import Put, StoreError

    class Disk:
        full = False
        changes: list[object] = []

        async def commit(self, changes: list[object]) -> None:
            if self.full:
                raise StoreError("no space left")
            self.changes += changes

        def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
            return [
                (b"hand/s-1", incarnations.sign_record("n0", 0, b"")),
                (b"hand/s-2", incarnations.sign_record("n1", 1, b"")),
            ]

    async def scenario() -> None:
        clock, logged = Clock(), []
        metrics = Metrics(clock.now, writer=lambda event, fields: logged.append(event))
        policy_runner: Any = SimpleNamespace(metrics=metrics, feed=lambda event: None)
        config: Any = SimpleNamespace(name="n0", settings=SimpleNamespace(own_number=0))
        workers: Any = SimpleNamespace(is_listed=lambda host: True)
        disk: Any = Disk()
        maintenance_store = MaintenanceStore(
            config, disk, TimerWheel(clock.now, metrics.log_exception), metrics
        )
        operators = OperatorCalls(config, policy_runner, workers, SimpleNamespace(), SimpleNamespace())  # type: ignore[arg-type]
        maintenance_store.restore(operators.set_maintenance)
        assert operators.in_maintenance == {"s-1"}
        assert "maintenance_records_foreign" in logged
        operators.persist_maintenance = maintenance_store.write
        call: Any = SimpleNamespace(name="disable-server", argument="s-3")
        assert await operators.handlers["disable-server"](call) == b"SUCCESS s-3 is out\n"  # type: ignore[misc]
        assert disk.changes == [Put(b"hand/s-3", incarnations.sign_record("n0", 0, b""))]
        disk.full, call.argument = True, "s-4"
        answer = await operators.handlers["disable-server"](call)  # type: ignore[misc]
        assert answer.startswith(b"FAILURE s-4 is out, but not after a restart: StoreError")
        assert "s-4" in operators.in_maintenance

    asyncio.run(scenario())
