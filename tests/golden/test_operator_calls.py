"""All answers to operators' calls, byte for byte."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from golden_files import check_cases
from golden_process import (
    Discovery,
    Process,
    RecordingServer,
    answer,
    connect,
    host,
    read_message,
    read_to_end,
    request,
    running,
    settings,
    wait_for,
)

pytestmark = pytest.mark.xdist_group("processes")


def strip_hosts_down(data: bytes) -> bytes:
    """Replace the only figure of `show-stat` that depends on time: how many workers are silent or ejected."""
    return re.sub(rb'"hosts_down":\d+', b'"hosts_down":(depends on time)', data)


def test_answers_to_operators_calls_are_unchanged(tmp_path: Path) -> None:
    worker = RecordingServer(lambda message: answer(202))
    discovery = Discovery()
    process = Process(tmp_path, discovery.port)
    found: dict[str, object] = {}

    def call(name: str, line: bytes) -> None:
        found[name] = strip_hosts_down(process.call(line))

    with running(process, discovery, worker):
        process.wait_until_listening()
        call("ready without a list", b"ready\n")
        call("show-stat without a list", b"show-stat\n")
        discovery.publish([host("s-0", worker.port), host("s-1", worker.port), host("s-2", 9)])
        process.wait_until_ready()
        call("ready", b"ready\n")
        call("ready with CR", b"ready\r\n")
        call("ready among blanks", b"  ready  \n")
        call("a second line is not read", b"ready\ndrain\n")
        call("an empty line", b"\n")
        call("unknown call", b"reboot\n")
        call("unknown call with quotes", b'it\'s "x" \\ y\n')
        call("a long unknown call", b"y" * 300 + b"\n")
        call("a word too many", b"ready now\n")
        call("a word is missing, disable-server", b"disable-server\n")
        call("a word is missing, enable-server", b"enable-server\n")
        call("a word is missing, lease-take", b"lease-take\n")
        call("a word is missing, take-over", b"take-over\n")
        call("two words", b"disable-server s-0 s-1\n")
        call("no printable text", b"\x80\n")
        call("a control character", b"ready\x07\n")
        call("a line that is too long", b"x" * 514)
        for name in (b"lease-list", b"lease-take a", b"lease-give a", b"lease-hand-over a"):
            call(f"{name.decode()}, switched off", name + b"\n")
        call("take-over with a wrong word", b"take-over 0123\n")
        call("disable-server of an unknown worker", b"disable-server s-9\n")
        call("enable-server of an unknown worker", b"enable-server s-9\n")
        call("disable-server", b"disable-server s-0\n")
        call("disable-server twice", b"disable-server s-0\n")
        found["show-stat with one out"] = process.call(b"show-stat\n")
        call("enable-server", b"enable-server s-0\n")
        call("enable-server twice", b"enable-server s-0\n")
        found["show-stat with none out"] = process.call(b"show-stat\n")
        send_requests(process, worker)
        call("show-stat after some requests", b"show-stat\n")
        with connect(process.port) as client:
            client.sendall(request(X_Request_ID="in-work"))
            worker.next()
            call("show-stat with one in work", b"show-stat\n")
            call("drain", b"drain\n")
            call("drain twice", b"drain\n")
            call("ready when drained", b"ready\n")
            call("resume", b"resume\n")
            call("resume twice", b"resume\n")
            call("ready when resumed", b"ready\n")
            process.process.terminate()
            ending = (b"resume\n", b"drain\n")
            wait_for(lambda: b"ending" in process.call(ending[0]), "a process that is ending")
            call("resume when ending", ending[0])
            call("drain when ending", ending[1])
            call("ready when ending", b"ready\n")
            call("take-over when ending, wrong word", b"take-over 0123\n")
            for name in ("s-0", "s-1", "s-2"):
                process.send_callback("in-work", name, state="done", result="done")
            assert read_message(client).startswith(b"HTTP/1.1 200 OK\r\n")
    check_cases("operator_calls.json", found)


def send_requests(process: Process, worker: RecordingServer) -> None:
    """Send one request that is served, one that fails and one that is refused."""
    process.call(b"disable-server s-1\n")
    process.call(b"disable-server s-2\n")
    with connect(process.port) as client:
        client.sendall(request(X_Request_ID="served"))
        worker.next()
        process.send_callback("served", "s-0", state="done", result="done")
        read_message(client)
        client.sendall(request("/publish", X_Request_ID="failed", X_Timeout_Ms="500", Idempotency_Key="k"))
        worker.next()
        process.send_callback("failed", "s-0", state="failed")
        read_message(client)
        process.call(b"disable-server s-0\n")
        client.sendall(request(X_Request_ID="refused", X_Timeout_Ms="50"))
        read_message(client)
    for name in (b"s-0", b"s-1", b"s-2"):
        process.call(b"enable-server " + name + b"\n")


# With a span of 60 s, no member votes while the test runs.
LEASES_TOML = "[leases]\nenabled = true\nspan_s = 60.0\n[recovery]\nenabled = true\n"


def test_answers_to_too_many_callers_are_unchanged(tmp_path: Path) -> None:
    discovery = Discovery()
    process = Process(tmp_path, discovery.port, toml=LEASES_TOML)
    found: dict[str, object] = {}
    with running(process, discovery):
        process.wait_until_listening()
        callers = [connect(process.management_port) for _ in range(9)]
        found["the ninth caller has the first one parted with"] = read_to_end(callers[0])
        for caller in callers:
            caller.close()
        found["ready while it asks others"] = process.call(b"ready\n")
        for line in (
            b"lease-take A.b",
            b"lease-take a",
            b"lease-list",
            b"lease-give b",
            b"lease-hand-over b",
        ):
            found[line.decode()] = re.sub(rb"\d+\.\d+", b"(seconds)", process.call(line + b"\n"))
        figures = process.call(b"show-stat\n")
        found["show-stat with a phase"] = re.sub(
            rb'"phase":"(listening|asking)"', b'"phase":"(early)"', figures
        )
    check_cases("operator_callers.json", found)


def test_answer_without_a_shared_folder_is_unchanged(tmp_path: Path) -> None:
    discovery = Discovery([host("s-0", 9)])
    process = Process(tmp_path, discovery.port, shared=False, settings=settings(orgs=[]))
    with running(process, discovery):
        process.wait_until_ready()
        found: dict[str, object] = {"take-over": process.call(b"take-over 0123\n")}
    check_cases("operator_no_folder.json", found)
