"""The program's start: signals and threads; and whether the on-call page lists every log event."""

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
BASE_CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": SETTINGS,
}


def test_the_on_call_page_lists_every_log_event_and_counter() -> None:
    page = (ROOT / "docs" / "oncall.md").read_text()
    source = "".join(path.read_text() for path in (ROOT / "beaconhinge").rglob("*.py"))
    names = set(re.findall(r'(?:count|complain|log)\(\s*"(\w+)"', source))
    names |= {f"broken_{name}" for name in re.findall(r'metrics\.check\([^"]*"(\w+)"', source)}
    assert len(names) > 25
    assert {name for name in names if not name.endswith("_") and f"`{name}`" not in page} == set()


def open_for_writing(program: subprocess.Popen[bytes], path: Path) -> int:
    """Wait until the program reads from a named pipe, and return a descriptor to write to it."""
    while program.poll() is None:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:  # the program has not opened the pipe yet
            time.sleep(0.005)
    raise AssertionError(f"the program ended with status {program.returncode}")


def test_sighup_during_the_start_reloads_the_configuration(tmp_path: Path) -> None:
    """SIGHUP ended a process without a handler yet, when a restart and a new configuration coincided."""
    path, ports = tmp_path / "config.json", [free_port() for _ in range(3)]
    os.mkfifo(path)  # the program blocks here, in the middle of its start
    program = subprocess.Popen(
        [sys.executable, "-O", "-m", "beaconhinge"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={"RELAY_CONFIG": str(path)},
    )
    assert program.stderr is not None
    try:
        for number, discovery in enumerate(ports[:2]):
            with os.fdopen(open_for_writing(program, path), "w") as pipe:
                if number == 0:
                    program.send_signal(signal.SIGHUP)
                    os.mkfifo(tmp_path / "next")
                    os.replace(tmp_path / "next", path)  # for the reload that the signal causes
                json.dump(
                    {**BASE_CONFIG, "listen": f"127.0.0.1:{ports[2]}", "discovery": f"127.0.0.1:{discovery}"},
                    pipe,
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


def test_the_deploy_file_starts_the_program_with_sighup_ignored() -> None:
    """Until the program has run its first line, only its starter can keep SIGHUP from ending it."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    print_ignored = "import signal; print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)"
    command = run.replace(".venv/bin/python -O -m beaconhinge", f'{sys.executable} -c "{print_ignored}"')
    assert command != run
    assert subprocess.run(["/bin/sh", "-c", command], capture_output=True, text=True).stdout == "True\n"


def test_no_io_uring_thread_runs(tmp_path: Path) -> None:
    """libuv's io_uring thread, named iou-*, polls and takes CPU from the dispatcher."""
    path = tmp_path / "config.json"
    port = free_port()
    path.write_text(json.dumps({**BASE_CONFIG, "listen": f"127.0.0.1:{port}"}))
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
