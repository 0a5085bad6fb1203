"""Several dispatcher processes with injected faults, judged by what clients, workers and logs recorded."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest

from beaconhinge.cli import main
from beaconhinge.standin.rig import Fault, Scenario, ScenarioError, Verdict, read_scenario, run_scenario
from beaconhinge.standin.rig.faults import FaultInjector
from beaconhinge.standin.rig.process import Process
from beaconhinge.standin.rig.runner import ScenarioRun
from beaconhinge.standin.rig.verdict import (
    ClientAttempt,
    ejections_logged,
    keys_run_twice,
    missing_without_excuse,
    served_share_of_jobs,
)

SMALL = {
    "processes": 4,
    "workers": 6,
    "slots": 8,
    "rate": 50.0,
    "render_s": 0.15,
    "publish_s": 0.4,
    "client_timeout_s": 0.8,
    "seconds": 6.0,
}


def run_scenarios(*scenarios: Scenario) -> list[Verdict]:
    """Run scenarios, at most three at a time, and return their verdicts in the same order."""

    async def run_all() -> list[Verdict]:
        limit = asyncio.Semaphore(3)  # more would starve the stand-ins, which share one event loop

        async def run_one(scenario: Scenario) -> Verdict:
            async with limit:
                return await run_scenario(scenario)

        return list(await asyncio.gather(*(run_one(scenario) for scenario in scenarios)))

    return asyncio.run(run_all())


def test_paused_processes_cause_no_ejections_here_or_at_the_others() -> None:
    """Guards against ejections by a dispatcher that was paused itself.

    Without the stall watch no stall is reported, and the jobs that timed out meanwhile eject workers at the
    paused dispatcher and at the others.
    """
    stopped = [Fault(1.0, "stop", 2.0, [1])]
    scenarios = [
        Scenario("one", seed=1, faults=stopped, **SMALL),
        Scenario(
            "again and again", seed=2, faults=[Fault(at, "stop", 1.2, [2]) for at in (0.5, 2.0, 3.5)], **SMALL
        ),
        Scenario("all at once", seed=3, faults=[Fault(1.0, "stop", 2.0)], **SMALL),
        Scenario(
            "with half of the datagrams lost",
            seed=4,
            faults=[*stopped, Fault(0.5, "lossy", 4.0, loss_share=0.5)],
            **SMALL,
        ),
        Scenario(
            "cut off, one direction", seed=5, faults=[*stopped, Fault(0.5, "cut", 4.0, [0], [1])], **SMALL
        ),
        Scenario(
            "discovery out as it wakes", seed=6, faults=[*stopped, Fault(0.5, "discovery", 3.5)], **SMALL
        ),
    ]
    for scenario, verdict in zip(scenarios, run_scenarios(*scenarios), strict=True):
        assert verdict.broken == [], (scenario.name, verdict.last)
        assert verdict.counters["stalls"] >= len([f for f in scenario.faults if f.kind == "stop"])
        assert verdict.counters["datagrams_stale"] > 0 or scenario.name == "all at once"
        assert verdict.served_after > 0.75 and verdict.plain_after > 0.9 and verdict.asked > 150, (
            scenario.name
        )


def test_a_process_that_is_killed_or_ends_by_sigterm_harms_no_other() -> None:
    # Guards against lost answers, ejections or poor service at the other dispatchers while one is killed and
    # restarted with an empty folder, or ended by SIGTERM and restarted.
    scenarios = [
        Scenario("killed", seed=7, keyed=0.0, faults=[Fault(1.0, "kill", 0.5, [1], folder="empty")], **SMALL),
        Scenario("ended", seed=8, keyed=0.0, faults=[Fault(1.0, "term", 0.5, [0])], **SMALL),
    ]
    for verdict in run_scenarios(*scenarios):
        assert verdict.broken == [], verdict.last
        assert verdict.served_after > 0.75
        assert verdict.plain_after > 0.9


def test_no_key_runs_twice_through_faults_of_processes_and_links() -> None:
    """Guards against a job with a key that runs twice because its client retries at another dispatcher.

    Without the journal of keys that dispatcher sends the job to another deduplication group.
    """
    many = {**SMALL, "processes": 3, "rate": 30.0, "keyed": 0.6, "publish_s": 0.8}
    halves = [Fault(0.5, "cut", 4.0, [0], [1, 2]), Fault(0.5, "cut", 4.0, [1, 2], [0])]
    scenarios = [
        Scenario("all lose power", seed=11, faults=[Fault(1.5, "kill", 0.3)], **many),
        Scenario("all lose power, no disk", seed=12, store=False, faults=[Fault(1.5, "kill", 0.3)], **many),
        Scenario(
            "one comes back empty, and once more",
            seed=13,
            **many,
            faults=[Fault(1.0, "kill", 0.2, [1], folder="empty"), Fault(3.5, "kill", 0.2, [1])],
        ),
        Scenario(
            "stopped beyond every patience, and cut in two",
            seed=14,
            **many,
            faults=[Fault(1.0, "stop", 3.5, [2]), *halves],
        ),
    ]
    for scenario, verdict in zip(scenarios, run_scenarios(*scenarios), strict=True):
        assert verdict.broken == [], (scenario.name, verdict.last)
        assert verdict.keys > 40 and verdict.runs > 40, scenario.name
        assert (
            sum(verdict.counters.get(f"keys_{word}", 0) for word in ("here", "elsewhere", "unknown")) > 0
        ), scenario.name


def test_an_old_or_foreign_folder_is_recognised_and_not_trusted() -> None:
    """Guards against a process restored from a backup that reports keys newer than that as never seen.

    Without the count of incarnations it cannot recognise that its store is old or belongs to another process.
    """
    many = {**SMALL, "processes": 3, "rate": 30.0, "keyed": 0.6, "publish_s": 0.8, "seconds": 5.0}
    scenarios = [
        Scenario(folder, seed=seed, faults=[Fault(2.0, "kill", 0.3, [1], folder=folder)], **many)
        for folder, seed in (("old", 26), ("old", 27), ("other", 28))
    ]
    for scenario, verdict in zip(scenarios, run_scenarios(*scenarios), strict=True):
        assert verdict.broken == [], (scenario.name, verdict.last)
        assert verdict.counters["folder_stale"] == 1 and verdict.counters["keys_unknown"] > 0, scenario.name


def test_a_start_completes_its_stages_through_kills_pauses_and_outages() -> None:
    # Guards against a start that hangs in a stage because further faults hit it, and against jobs of killed
    # processes that nobody cancels.
    many = {**SMALL, "processes": 3, "rate": 30.0, "keyed": 0.4, "publish_s": 0.8}
    again = [
        Fault(1.0, "kill", 0.3),
        Fault(1.2, "discovery", 2.5),
        *(Fault(at, "kill", 0.1, [0]) for at in (1.7, 2.1, 2.5)),
        Fault(2.6, "stop", 1.5, [1]),
        Fault(1.2, "cut", 2.5, [0, 1, 2], [2]),
    ]
    long = {
        **SMALL,
        "processes": 3,
        "rate": 8.0,
        "keyed": 0.0,
        "render_s": 3.0,
        "client_timeout_s": 7.0,
        "seconds": 4.0,
    }
    lost, orphans = run_scenarios(
        Scenario("lost again", seed=23, faults=again, **many),
        Scenario("orphans", seed=24, faults=[Fault(2.0, "kill", 0.3)], **long),
    )
    assert lost.broken == [], lost.last
    assert lost.served_after > 0.75
    assert lost.plain_after > 0.9
    assert lost.counters["phase_normal"] >= 3
    assert orphans.broken == [], orphans.last
    assert orphans.counters["orphans_withdrawn"] > 3
    assert orphans.orphans == 0


def test_a_retry_at_any_dispatcher_gets_a_result_of_before_the_restart() -> None:
    # Guards against results that a worker reports to a restarted dispatcher and that are lost to a client
    # that retries its key at another one.
    patient = {
        **SMALL,
        "processes": 3,
        "rate": 30.0,
        "keyed": 0.6,
        "publish_s": 1.5,
        "client_timeout_s": 2.5,
        "seconds": 4.0,
    }
    verdict = run_scenarios(Scenario("power", seed=15, faults=[Fault(1.5, "kill", 0.2)], **patient))[0]
    assert verdict.broken == []
    assert verdict.counters["keys_results_late"] > 0
    assert verdict.counters["keys_answered"] > 0
    assert verdict.counters["keys_fetched"] > 0


def test_the_checks_find_violations_and_excuse_what_a_fault_explains() -> None:
    attempts = [
        ClientAttempt("k", "publish", 0, 1.0, 2.0, "missing"),
        ClientAttempt("k", "publish", 1, 1.0, 2.0, "missing"),
        ClientAttempt("", "render", 0, 9.0, 9.5, "missing"),
        ClientAttempt("", "render", 0, 9.0, 9.5, "503"),
    ]
    assert missing_without_excuse(attempts, [[(1.5, 4.0)], []], 0.5) == [attempts[1], attempts[2]]
    assert keys_run_twice({"a": 1, "b": 2, "c": 0}) == ["b"]
    line = {"event": "policy", "text": "worker 17 ejected, failure rate 0.30"}
    other = {"event": "module", "text": "fleet rate cut to 3.00 after 3 full of 9"}
    assert ejections_logged([line, other, line, {"event": "started"}]) == {"17": 2}


def test_resuming_a_process_that_was_killed_meanwhile_leaves_it_down(tmp_path: Path) -> None:
    """Guards against a killed process that counts as up once its pause is over (soak 720).

    Answers then counted as missing though the process did not run.
    """

    async def scenario() -> Process:
        process = Process(0, 1, tmp_path, {}, "")
        process._process = await asyncio.create_subprocess_exec("sleep", "60")
        assert process.pause()
        await process.end(signal.SIGKILL)
        process.resume()
        return process

    assert asyncio.run(scenario()).down_spans == []


def test_a_process_that_ends_with_an_error_breaks_the_scenario(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def end_with_error(self: FaultInjector, fault: Fault, numbers: list[int]) -> int:
        self.record.exit_statuses.append(7)
        return len(numbers)

    monkeypatch.setattr(FaultInjector, "_restart", end_with_error)
    scenario = Scenario(
        "badly",
        seed=16,
        processes=1,
        workers=1,
        deduplication_groups=1,
        rate=30.0,
        seconds=0.5,
        keyed=0.0,
        faults=[Fault(0.1, "term", 0.1, [0])],
    )
    assert asyncio.run(ScenarioRun(scenario, tmp_path).run()).broken == ["a dispatcher ended with status 7"]


def test_a_fault_without_hits_and_a_scenario_without_service_are_broken() -> None:
    # Guards against a run that passes though it has tested nothing.
    verdict = run_scenarios(
        Scenario(
            "nobody asks",
            seed=9,
            processes=2,
            workers=1,
            rate=0.1,
            seconds=0.2,
            keyed=0.0,
            faults=[Fault(0.1, "cut", 0.01, [0], [0])],
        )
    )[0]
    assert "nothing was served" in verdict.broken
    assert "the fault cut hit nothing" in verdict.broken


def test_a_link_fault_and_the_scenario_last_until_the_fault_has_hit(tmp_path: Path) -> None:
    """Guards against a link fault that hits nothing on a busy machine.

    The processes, which should have sent each other datagrams, were still starting then.
    """
    scenario = Scenario(
        "brief",
        seed=17,
        processes=2,
        workers=1,
        rate=30.0,
        seconds=1.0,
        keyed=0.0,
        faults=[Fault(0.2, "cut", 0.0, [0, 1])],
    )
    run = ScenarioRun(scenario, tmp_path)
    verdict = asyncio.run(run.run())
    assert verdict.broken == []
    assert verdict.faults["cut"] >= 1
    assert run.fault_injector.late_s() > 0.0
    assert (
        max(attempt.sent_at for attempt in run.clients.attempts)
        > run.record.began_at + 0.2 + 0.8 * run.fault_injector.late_s()
    )


def test_a_job_counts_once_in_the_span_of_its_first_attempt() -> None:
    # Guards against a share of served jobs that counts a job with a key once for each attempt.
    attempts = [
        ClientAttempt("k", "publish", 0, 1.0, 2.0, "missing"),
        ClientAttempt("k", "publish", 1, 2.3, 2.5, "200"),
        ClientAttempt("m", "publish", 0, 2.0, 2.1, "503"),
        ClientAttempt("m", "publish", 1, 2.4, 2.5, "503"),
        ClientAttempt("", "render", 0, 2.0, 2.2, "200"),
        ClientAttempt("", "render", 0, 2.1, 2.2, "502"),
    ]
    # The job "k" is served, though its only attempt in this span is lost.
    assert served_share_of_jobs(attempts, 0.0, 1.5) == 1.0
    # The job "k" does not count in this span, though its second attempt was sent in it.
    assert served_share_of_jobs(attempts, 2.0, 3.0) == pytest.approx(1 / 3)
    assert served_share_of_jobs(attempts, 5.0, 6.0) == 0.0


def test_a_scenario_file_is_read_and_an_invalid_one_is_refused_by_its_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "scenario.toml"
    for text, named_key in (
        ('name = "x"\nsecond = 3.0', "second"),
        ('name = "x"\nprocesses = 900', "processes"),
        ('name = "x"\n[[faults]]\nwhat = "stop"\nat_s = 1.0\nfor_s = 1.0\nwho = [9]', "faults[0]"),
        ('name = "x"\n[[faults]]\nwhat = "burn"\nat_s = 1.0\nfor_s = 1.0', "what"),
        ("name", "key"),
    ):
        file.write_text(text)
        with pytest.raises(ScenarioError, match=".") as caught:
            read_scenario(file)
        assert named_key in str(caught.value)
    file.write_text(
        'name = "short"\nseconds = 0.5\nprocesses = 2\nboxes = 2\nracks = 1\nrate = 30.0\nkeyed = 0.0'
    )
    assert main(["rehearse", str(file), "--seed", "3", "--json"]) == 0
    verdict = json.loads(capsys.readouterr().out)
    assert verdict["well"]
    assert verdict["seed"] == 3
    assert verdict["asked"] > 3
    assert all(read_scenario(path).name for path in Path("deploy/rehearsals").glob("*.toml"))
