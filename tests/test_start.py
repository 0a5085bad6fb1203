"""The program's start: signals, threads, and the page that explains its lines."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

from harness import SETTINGS, free_port

ROOT = Path(__file__).resolve().parents[1]
GIVEN: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": SETTINGS,
}


def test_the_page_for_on_call_staff_names_every_line_and_counter() -> None:
    page = (ROOT / "docs" / "oncall.md").read_text()
    source = "".join(path.read_text() for path in (ROOT / "beaconhinge").rglob("*.py"))
    names = set(re.findall(r'(?:count|complain|log)\(\s*"(\w+)"', source))
    names |= {f"broken_{name}" for name in re.findall(r'metrics\.check\([^"]*"(\w+)"', source)}
    assert len(names) > 25
    assert {name for name in names if not name.endswith("_") and f"`{name}`" not in page} == set()


def read_by(program: subprocess.Popen[bytes], path: Path) -> int:
    """The end of a named pipe to write to, once the program reads at the other."""
    while program.poll() is None:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:  # nobody reads there yet
            time.sleep(0.005)
    raise AssertionError(f"the program ended with status {program.returncode}")


def test_a_new_configuration_may_come_before_the_program_can_take_it(tmp_path: Path) -> None:
    """SIGHUP ends a process that has no handler for it yet, as a restart and a new configuration at once had it."""
    path, ports = tmp_path / "config.json", [free_port() for _ in range(3)]
    os.mkfifo(path)  # the program waits here, in the middle of its start
    program = subprocess.Popen(
        [sys.executable, "-O", "-m", "beaconhinge"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={"RELAY_CONFIG": str(path)},
    )
    assert program.stderr is not None
    try:
        for number, discovery in enumerate(ports[:2]):
            with os.fdopen(read_by(program, path), "w") as pipe:
                if number == 0:
                    program.send_signal(signal.SIGHUP)
                    os.mkfifo(tmp_path / "next")
                    os.replace(tmp_path / "next", path)  # for the second reading, which the signal brings
                json.dump(
                    {**GIVEN, "listen": f"127.0.0.1:{ports[2]}", "discovery": f"127.0.0.1:{discovery}"}, pipe
                )
        log = b""
        while b" reloaded " not in log:
            assert (line := program.stderr.readline()), log
            log += line
        assert b"discovery=127.0.0.1:%d" % ports[1] in log
    finally:
        program.terminate()
        program.wait(10)
        program.stderr.close()


def test_the_deploy_file_has_the_program_take_no_harm_from_a_signal_before_its_first_line() -> None:
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    survives = "import signal; print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)"
    shell = run.replace(".venv/bin/python -O -m beaconhinge", f'{sys.executable} -c "{survives}"')
    assert shell != run
    assert subprocess.run(["/bin/sh", "-c", shell], capture_output=True, text=True).stdout == "True\n"


def test_no_thread_polls_beside_the_program(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    port = free_port()
    path.write_text(json.dumps({**GIVEN, "listen": f"127.0.0.1:{port}"}))
    program = subprocess.Popen(
        [sys.executable, "-O", "-m", "beaconhinge"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={"RELAY_CONFIG": str(path)},
    )
    assert program.stderr is not None
    assert b" started " in program.stderr.readline()
    names = [task.read_text().strip() for task in Path(f"/proc/{program.pid}/task").glob("*/comm")]
    program.terminate()
    assert program.wait(10) == 0
    program.stderr.close()
    assert names
    assert not [name for name in names if name.startswith("iou-")]
