"""`beaconhinge soak`: the drawn scenarios, their shrinking, and the shim that makes system calls fail."""

from __future__ import annotations

import re
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from beaconhinge.cli import main
from beaconhinge.standin.discovery import ReadFault, Spoil
from beaconhinge.standin.rig import shim
from beaconhinge.standin.rig.floods import Flood
from beaconhinge.standin.rig.hostile_soak import draw_hostile_soak
from beaconhinge.standin.rig.soak import LAST_FAULT_AT_S, SCENARIO_S, draw_soak, shrink
from beaconhinge.standin.workers import LostMessage, WorkerFault

KINDS = {
    "drain",
    "stop",
    "kill",
    "restart",
    "reload",
    "cut",
    "lossy",
    "discovery",
    "mute",
    "spoil",
    "workers",
    "crowd",
    "reads",
    "drain-at-read",
}


def test_draw_is_deterministic_and_seeds_cover_every_kind_of_fault() -> None:
    scenarios = [draw_soak(seed, 12) for seed in range(120)]
    assert draw_soak(7, 12) == scenarios[7]
    assert len({repr(scenario.faults) for scenario in scenarios}) == 120
    faults = [fault for scenario in scenarios for fault in scenario.faults]
    assert {fault.kind for fault in faults} == KINDS
    assert {fault.spoil for fault in faults if fault.kind == "spoil"} == set(Spoil)
    assert {fault.read_fault for fault in faults if fault.kind == "reads"} == set(ReadFault)
    assert {fault.worker_fault for fault in faults if fault.kind == "workers"} == set(WorkerFault)
    assert all(scenario.problem() is None for scenario in scenarios)
    assert all(fault.at_s <= LAST_FAULT_AT_S < SCENARIO_S - 6.0 for fault in faults)
    overlapping = [
        scenario
        for scenario in scenarios
        if any(
            one.at_s < other.at_s < one.at_s + one.duration_s
            for one in scenario.faults[1:]
            for other in scenario.faults[1:]
        )
    ]
    assert len(overlapping) > 100


def test_hostile_draw_is_deterministic_and_seeds_cover_every_flood() -> None:
    scenarios = [draw_hostile_soak(seed, 6) for seed in range(40)]
    assert draw_hostile_soak(7, 6) == scenarios[7]
    assert all(scenario.problem() is None for scenario in scenarios)
    faults = [fault for scenario in scenarios for fault in scenario.faults]
    assert {fault.flood for fault in faults if fault.kind == "flood"} == set(Flood)
    lost = [fault.lost_message for fault in faults if fault.kind == "lost-messages"]
    assert set(lost) == set(LostMessage)
    assert {fault.kind for fault in faults} == {
        "flood",
        "crowded-discovery",
        "workers",
        "lost-messages",
        "crowd",
    }
    assert all(fault.half_sent for fault in faults if fault.kind == "crowd")


def test_failing_scenario_is_shrunk_to_the_faults_it_needs() -> None:
    scenario = draw_soak(3, 12)
    needed = scenario.faults[2]
    shrunk = shrink(scenario, lambda candidate: needed in candidate.faults)
    assert shrunk.faults == [scenario.faults[0], needed]  # the drain is always kept
    assert msgspec.structs.replace(shrunk, faults=[]) == msgspec.structs.replace(scenario, faults=[])


# Makes the system calls that the shim can make fail; errors are ignored.
PROBE = """
import socket, sys, time
server = socket.create_server(("127.0.0.1", 0))
for _ in range(200):
    try:
        client = socket.socket()
        client.connect(server.getsockname())
        accepted = server.accept()[0]
    except OSError:
        continue
    client.send(b"x" * 100)
    accepted.recv(100)
for _ in range(30):
    time.time()
    time.sleep(0.1)
"""


def test_shim_makes_each_kind_of_call_fail_and_counts_it(tmp_path: Path) -> None:
    library, counts = shim.build_library(tmp_path), tmp_path / "counts"
    environment = shim.environment(
        library, counts, "accept=0.2,connect=0.2,short=0.3,step=3600,socket=0.2", 5
    )
    subprocess.run([sys.executable, "-c", PROBE], env=environment, check=True, timeout=30)
    hits = shim.read_hits(counts)
    assert set(hits) == set(shim.COUNTER_NAMES)
    assert min(hits.values()) > 0
    assert shim.read_hits(tmp_path / "none") == {}


def test_shim_without_a_compiler_raises_a_clear_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PATH", str(tmp_path))
    with pytest.raises(shim.ShimError, match="compiler"):
        shim.build_library(tmp_path)


@pytest.mark.parametrize("seeds", ["x", "5..1", "-3", "1..x"])
def test_bad_seeds_are_refused(seeds: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["soak", "--seeds", seeds]) == 2
    assert "seed" in capsys.readouterr().err


def test_terminated_soak_leaves_no_process_behind() -> None:
    """Guards against dispatchers that outlive a soak: they called ports that others had opened since."""
    command = [
        sys.executable,
        "-c",
        "import sys; from beaconhinge.cli import main; sys.exit(main(sys.argv[1:]))",
        "soak",
        "--seeds",
        "7",
        "--processes",
        "3",
    ]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL) as soak:
        children = Path(f"/proc/{soak.pid}/task/{soak.pid}/children")
        deadline = time.monotonic() + 20.0
        while len(started := children.read_text().split()) < 3 and time.monotonic() < deadline:
            time.sleep(0.05)
        soak.terminate()
        assert soak.wait(20) != 0
    assert len(started) == 3
    assert not [pid for pid in started if Path(f"/proc/{pid}/cmdline").exists()]


def test_fixed_seed_breaks_no_rule(capsys: pytest.CaptureFixture[str]) -> None:
    """A drain with three kinds of spoilt answers, a stop, a kill, a hanging worker, failing system calls."""
    assert main(["soak", "--seeds", "104", "--processes", "10"]) == 0
    out = capsys.readouterr().out
    assert "failed: none" in out
    assert "drain 2" in out
    assert "shim_short_write" in out


def test_fixed_seeds_with_early_kills_and_endless_answers_break_no_rule(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Two deployments with deadlines of 0.8 s.

    Their faults are restarts with a series of signals, crowds of clients, and lists that stop or trickle.
    """
    failed = [seed for seed in (2035, 2285) if main(["soak", "--seeds", str(seed), "--processes", "8"])]
    out = capsys.readouterr().out
    assert not failed, out
    assert out.count("failed: none") == 2
    for kind in ("restart", "crowd", "reload", "stop", "drain-at-read"):
        assert f"{kind} 0" not in out
        assert f" {kind} " in out
    # Only an answer with changes is spoilt. In seed 2285 the time of one read decides whether one falls into the
    # fault, so the hits of both seeds count together.
    assert sum(int(hits) for hits in re.findall(r" spoil (\d+)", out)) >= 2
    # A dispatcher need not read a whole list during a `reads` fault, so only one of the two seeds has to.
    assert sum(int(hits) for hits in re.findall(r" reads (\d+)", out)) > 0


def test_fixed_hostile_seeds_break_no_rule(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against memory that floods take, and against repeats after their window.

    With the code before either mend, dispatchers pass 64 MB in both seeds, and keys run twice in one of them.
    """
    assert main(["soak", "--hostile", "--seeds", "1..2", "--processes", "6", "--no-shrink"]) == 0
    out = capsys.readouterr().out
    assert "failed: none" in out
    for kind in ("crowded-discovery", "flood", "workers"):
        assert f"{kind} 0" not in out
        assert f"{kind} " in out
