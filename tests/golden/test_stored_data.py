"""Data written by an earlier version: a store to start from, and the state handed over in an upgrade.

The golden data contain Unix times. Processes that read them are started with their clock at that time, so
that nothing in the data is too old. Times, and values computed from times, are not compared; names, order,
types and all other values are.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from golden_files import DATA, check_cases, check_text
from golden_process import (
    HOST,
    MAX_WAIT_S,
    ROOT,
    Discovery,
    Process,
    RecordingServer,
    answer,
    connect,
    free_port,
    host,
    read_message,
    request,
    running,
    settings,
    strip_timings,
    wait_for,
)

pytestmark = pytest.mark.xdist_group("processes")

# Log events that report that stored or handed-over data were accepted. If they are renamed, change them here.
QUOTA_SNAPSHOT_RESTORED, KEYS_RESTORED, TAKEN_OVER = "quota_snapshot_restored", "keys_restored", "taken_over"
# Log events that report that there were no data, or that data were refused; none of them may be logged.
STORE_CREATED = "store_created"
REFUSED = ("quota_snapshot_discarded", "quota_snapshot_write_failed", "keys_not_written", "handover_unusable", "task_failed",
           "store_corrupt", "store_tail_cut")  # fmt: skip

STORE = DATA / "store"
HANDED_OVER = DATA / "handed_over_state.bin"
TOML = """
[store]
folder = "store"
[books]
interval_s = 0.05
max_age_s = 3600.0
[recovery]
enabled = true
[leases]
enabled = true
"""
RENDER, PUBLISH = settings()["requestClasses"]
SETTINGS = settings(
    groupSize=2,
    clients={"marksRetry": True},
    policyLimits__peers=True,
    requestClasses=[RENDER, {**PUBLISH, "dedupWindow": 4000.0}],
    orgs=[
        {"name": "acme", "share": 0.7, "quotaRps": 5.0},
        {"name": "umbrella", "share": 0.3, "quotaRps": 2.0},
    ],
)
# Kinds of frames that the two processes of an upgrade send to each other.
STATE, SERVING, PARTED, DONE, CALL_BACK, SLOTS, OUT, BACK, DRAIN, RESUME = range(1, 11)
FIRST_WORKER = 2417871472  # the number of s-0, a hash of that id
FRAME = struct.Struct(">IB")  # length of the content, kind


class Site:
    """One dispatcher with three workers; the test itself has the socket of the other dispatcher."""

    def __init__(self, servers: list[dict[str, Any]] | None = None) -> None:
        self.worker = RecordingServer(lambda message: answer(202 if message.startswith(b"POST") else 200))
        self.servers = servers or [host(f"s-{i}", self.worker.port, cell=i) for i in range(3)]
        self.discovery = Discovery(self.servers, 7)
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.other.bind((HOST, 0))
        self.other.settimeout(MAX_WAIT_S)

    def start(self, folder: Path, **changes: Any) -> Process:
        """Start a process of the dispatcher."""
        other = f"{HOST}:{self.other.getsockname()[1]}"
        peers = [f"{HOST}:{self.peer_port}", other]
        return Process(
            folder,
            self.discovery.port,
            toml=TOML,
            settings=SETTINGS,
            peer_listen=peers[0],
            peers=peers,
            peers_all=other,
            **changes,
        )

    def send_peer_reports(self, first_sequence: int) -> None:
        """Send two reports of the other dispatcher, with work in one bucket and slots in use on a worker."""
        for sequence in (first_sequence, first_sequence + 1):
            report = struct.pack(">BBHHBBB", 0x74, 9, sequence, 500, 1, 1, 1)
            report += (
                struct.pack(">BB", 0, 32) + struct.pack(">BBBB", 0, 0, 30, 10) + struct.pack(">HB", 77, 2)
            )
            self.other.sendto(report, (HOST, self.peer_port))

    @contextlib.contextmanager
    def running(self, *processes: Process) -> Iterator[None]:
        """Kill the processes and close all servers and sockets when the block is left."""
        with running(*processes, self.worker, self.discovery), self.other:
            yield


def run_jobs(site: Site, process: Process) -> None:
    """Run jobs with and without keys, and have an operator disable a worker."""
    process.wait_until_ready()
    site.send_peer_reports(1)
    assert process.call(b"disable-server s-2\n") == b"SUCCESS s-2 is out\n"
    for number in range(4):
        run_job(site, process, request(X_Request_ID=f"plain-{number}"), "done")
    run_job(site, process, request("/publish", X_Request_ID="p-1", Idempotency_Key="served"), "done")
    run_job(
        site,
        process,
        request("/publish", X_Request_ID="p-2", X_Timeout_Ms="500", Idempotency_Key="lost"),
        "lost",
    )
    keyed = request("/publish", X_Request_ID="p-3", X_Tenant_Id="umbrella", Idempotency_Key="served")
    run_job(site, process, keyed, "done")
    # The demand of a peer is dropped after 2 s of silence, so it reports again. These datagrams have been read
    # when the answer of the next job arrives.
    site.send_peer_reports(3)
    run_job(site, process, request(X_Request_ID="plain-last"), "done")


def run_job(site: Site, process: Process, data: bytes, state: str) -> bytes:
    """Run a job for which the worker reports this state; return the client's answer."""
    with connect(process.port) as client:
        client.sendall(data)
        message = site.worker.received.get(timeout=MAX_WAIT_S)
        request_id = message.partition(b"X-Request-ID: ")[2].partition(b"\r\n")[0].decode()
        for server in site.servers:
            process.send_callback(request_id, server["id"], state=state, result="made")
        return read_message(client)


def assert_nothing_refused(process: Process) -> None:
    """Assert that the process refused nothing that was stored or handed over."""
    events = {line.split(" ")[1] for line in process.log().splitlines() if " " in line}
    assert not events & set(REFUSED), process.log()


def command(*arguments: str) -> str:
    """Run a command line; return its status, standard output and standard error as one text."""
    done = subprocess.run(
        [sys.executable, "-c", "import sys; from beaconhinge.cli import main; sys.exit(main())", *arguments],
        env={**os.environ, "PYTHONPATH": str(ROOT), "TERM": "dumb", "COLUMNS": "100"},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return f"$ {arguments[1]}\nstatus {done.returncode}\n{done.stdout}{done.stderr}"


# ---- the store -----------------------------------------------------------------------------------------------


def write_store(folder: Path) -> None:
    """Write the golden store with the present version of the program."""
    site = Site()
    process = site.start(folder)
    with site.running(process):
        run_jobs(site, process)
        with connect(process.port) as client:
            client.sendall(request("/publish", X_Request_ID="open", Idempotency_Key="open"))
            site.worker.received.get(timeout=MAX_WAIT_S)
            for _ in range(2):  # the second of two snapshots has begun after the last job
                size = store_size(folder)
                wait_for(lambda size=size: store_size(folder) > size, "another snapshot")
            process.kill()
    shutil.rmtree(STORE, ignore_errors=True)
    shutil.copytree(folder / "store", STORE, ignore=shutil.ignore_patterns("LOCK"))
    (DATA / "store_written_at.json").write_text(json.dumps(time.time()) + "\n")


def store_size(folder: Path) -> int:
    """Return the size of the store's only segment, in bytes."""
    return (folder / "store" / "000000000001.log").stat().st_size


def test_start_from_an_earlier_store_restores_all_of_it(tmp_path: Path) -> None:
    if os.environ.get("WRITE_GOLDEN") == "1":
        write_store(tmp_path / "writer")
    shutil.copytree(STORE, tmp_path / "store")
    written_at = json.loads((DATA / "store_written_at.json").read_text())
    site = Site()
    process = site.start(tmp_path, wall_clock=written_at + 1.0)
    found: dict[str, object] = {}
    with site.running(process):
        process.wait_until_ready()
        for event in (QUOTA_SNAPSHOT_RESTORED, KEYS_RESTORED):
            found[event] = [
                f for f in process.logged(event).split(" ")[2:] if not f.startswith(("age=", "unsure"))
            ]
        found["hosts_down"] = process.show_stat()["hosts_down"]
        repeats = {
            "a key that was served": request("/publish", X_Request_ID="r-1", Idempotency_Key="served"),
            "a key that was in work": request("/publish", X_Request_ID="r-4", Idempotency_Key="open"),
            "a key that was lost": request("/publish", X_Request_ID="r-2", Idempotency_Key="lost"),
        }
        for name, data in repeats.items():
            found[f"{name} is refused"] = strip_timings(process.exchange(data))
        fresh = request("/publish", X_Request_ID="r-3", Idempotency_Key="fresh")
        found["a fresh key is served"] = run_job(site, process, fresh, "done")
        found["worker out by hand"] = process.call(b"enable-server s-2\n")
        assert site.worker.received.empty()
        assert_nothing_refused(process)
        assert STORE_CREATED not in process.log()
    check_cases("store_taken.json", found)
    assert quota_snapshot(tmp_path / "store") == quota_snapshot_of_copy(STORE, tmp_path / "copy")


def quota_snapshot_of_copy(store: Path, copy: Path) -> dict[str, Any]:
    """Read the quota snapshot from a copy of a store, as opening a store may change it."""
    shutil.copytree(store, copy)
    return quota_snapshot(copy)


def quota_snapshot(folder: Path) -> dict[str, Any]:
    """Return the stored quota snapshot by name, with types in place of values that depend on time."""
    output = command("store", "dump", str(folder), "--prefix", "books", "--values", "--json")
    row = json.loads(next(line for line in output.splitlines() if line.startswith("{")))
    record = msgspec.msgpack.decode(bytes.fromhex(row["hex"]))
    assert isinstance(record, dict)
    kept = {
        name: value if name in ("version", "settings") else shape(value) for name, value in record.items()
    }
    kept["peers"] = [peer[:3] for peer in record["peers"]]  # number, incarnation, sequence
    return {"order of names": list(record), **kept}


def test_verify_and_dump_of_an_earlier_store_are_unchanged(tmp_path: Path) -> None:
    shutil.copytree(STORE, tmp_path / "store")
    folder = str(tmp_path / "store")
    texts = [command("store", "verify", folder), command("store", "dump", folder, "--values")]
    check_text("store_commands.txt", "".join(texts).replace(str(tmp_path), "FOLDER"))


# ---- the state that is handed over -------------------------------------------------------------------------


def read_frame(connection: socket.socket) -> tuple[int, bytes]:
    """Read the next frame; return its kind and content."""
    length, kind = FRAME.unpack(read_exactly(connection, FRAME.size))
    return kind, read_exactly(connection, length)


def read_exactly(connection: socket.socket, size: int) -> bytes:
    """Read exactly `size` bytes."""
    data = b""
    while len(data) < size:
        part = connection.recv(size - len(data))
        assert part, f"the other process closed the connection after {data!r}"
        data += part
    return data


def write_frame(connection: socket.socket, kind: int, content: bytes = b"") -> None:
    """Send a frame to the other process."""
    connection.sendall(FRAME.pack(len(content), kind) + content)


def content_of(state: bytes) -> dict[str, Any]:
    """Return the decoded content of a state, which follows a line with a checksum."""
    head, _, body = state.partition(b"\n")
    assert head.startswith(b"beaconhinge handover 1 ")
    content: dict[str, Any] = json.loads(body)
    return content


def content_without_features(state: bytes) -> dict[str, Any]:
    """Return the content of a state of the current version without the key that earlier versions lack."""
    content = content_of(state)
    assert content.pop("features") == ["request_ids"]
    return content


@contextlib.contextmanager
def successor(process: Process) -> Iterator[socket.socket]:
    """Connect as the new process of an upgrade does; yield the connection on which it is sent the state."""
    handover_file = process.folder / f"beaconhinge-{HOST}-{process.port}.json"
    wait_for(handover_file.exists, "the file that lets a successor take over")
    handover = json.loads(handover_file.read_text())
    assert list(handover) == ["mgmt", "token"]
    assert handover["mgmt"] == f"{HOST}:{process.management_port}"
    with connect(process.management_port) as connection:
        connection.sendall(f"take-over {handover['token']}\n".encode())
        yield connection


def fetch_state(process: Process) -> bytes:
    """Connect as a new process, return the state that is handed over, and disconnect."""
    with successor(process) as connection:
        kind, state = read_frame(connection)
        assert kind == STATE
        return state


def shape(value: Any) -> Any:
    """Return a value with types in place of values; names keep their order, equal list entries count once."""
    if isinstance(value, dict):
        return {name: shape(inner) for name, inner in value.items()}
    if isinstance(value, list):
        shapes = [shape(inner) for inner in value]
        return shapes[:1] if all(other == shapes[0] for other in shapes) else shapes
    return (
        "number" if isinstance(value, int | float) and not isinstance(value, bool) else type(value).__name__
    )


def test_handed_over_state_has_the_same_structure(tmp_path: Path) -> None:
    site = Site()
    process = site.start(tmp_path)
    with site.running(process):
        run_jobs(site, process)
        with connect(process.port) as client:
            client.sendall(request("/publish", X_Request_ID="open", Idempotency_Key="open"))
            site.worker.received.get(timeout=MAX_WAIT_S)
            state = fetch_state(process)
    if os.environ.get("WRITE_GOLDEN") == "1":
        HANDED_OVER.write_bytes(state)
        (DATA / "handed_over_at.json").write_text(json.dumps(time.time()) + "\n")
    content, golden = content_without_features(state), content_of(HANDED_OVER.read_bytes())
    assert json.dumps(shape(content), indent=1) == json.dumps(shape(golden), indent=1)
    assert content["module"]["settings"] == golden["module"]["settings"]
    assert content["out"] == golden["out"]


def test_frames_from_the_old_process_are_unchanged(tmp_path: Path) -> None:
    site = Site()
    process = site.start(tmp_path)
    found: dict[str, object] = {}
    with site.running(process):
        process.wait_until_ready()
        with connect(process.port) as client, successor(process) as new:
            assert read_frame(new)[0] == STATE
            token = json.loads((tmp_path / f"beaconhinge-{HOST}-{process.port}.json").read_text())["token"]
            found["another that would take over"] = process.call(f"take-over {token}\n".encode())

            def call(name: str, line: bytes) -> None:
                found[f"{name}, answer"] = process.call(line)
                found[f"{name}, frame"] = list(read_frame(new))

            call("a worker out", b"disable-server s-1\n")
            call("a worker back", b"enable-server s-1\n")
            process.call(b"disable-server s-1\n")
            process.call(b"disable-server s-2\n")
            found["two more out"] = [list(read_frame(new)) for _ in range(2)]
            client.sendall(request(X_Request_ID="in-work"))
            site.worker.received.get(timeout=MAX_WAIT_S)
            found["slots of a job in work"] = list(read_frame(new))
            process.send_callback("elsewhere", "s-0", state="done", result="made")
            found["a call-back for another process"] = list(read_frame(new))
            process.send_callback("in-work", "s-0", state="done", result="made")
            read_message(client)
            found["slots when it has ended"] = list(read_frame(new))
            call("drain", b"drain\n")
            call("resume", b"resume\n")
            write_frame(new, OUT, b"s-0")
            write_frame(new, BACK, b"s-1")
            wait_for(
                lambda: b"s-0 is in" in process.call(b"enable-server s-0\n"),
                "a worker that the new process disabled",
            )
            found["what the new one tells is not told back"] = list(read_frame(new))
            write_frame(new, SERVING)
            found["when the new one serves"] = [list(read_frame(new)) for _ in range(2)]
            found["ready when another has taken over"] = process.call(b"ready\n")
    check_cases("upgrade_frames.json", found)


class OldProcess:
    """Stands in for the replaced process of an upgrade: hands the golden state to the new process.

    It reports one more slot in use on the first worker. Once the test sets `no_jobs_left`, it reports that it
    has no jobs any more, and once the test sets `disable_worker`, that a worker is disabled.
    """

    def __init__(self, folder: Path, port: int, state: bytes) -> None:
        self.state = state
        self.line = b""
        self.served = threading.Event()
        self.no_jobs_left = threading.Event()
        self.disable_worker = threading.Event()
        self.failure: BaseException | None = None
        self._listener = socket.create_server((HOST, 0))
        handover = {"mgmt": f"{HOST}:{self._listener.getsockname()[1]}", "token": "0123456789abcdef" * 2}
        (folder / f"beaconhinge-{HOST}-{port}.json").write_text(json.dumps(handover))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        try:
            connection, _ = self._listener.accept()
            with connection:
                connection.settimeout(MAX_WAIT_S)
                while not self.line.endswith(b"\n"):
                    self.line += read_exactly(connection, 1)
                connection.sendall(FRAME.pack(len(self.state), STATE) + self.state)
                assert read_frame(connection) == (SERVING, b"")
                write_frame(connection, PARTED)
                write_frame(connection, SLOTS, struct.pack(">Id", FIRST_WORKER, 1.0))
                self.served.set()
                self.no_jobs_left.wait(MAX_WAIT_S)
                write_frame(connection, DONE)
                self.disable_worker.wait(MAX_WAIT_S)
                write_frame(connection, OUT, b"s-0")
                connection.recv(1)  # waits until the new process closes the connection
        except OSError as error:
            self.failure = error

    def close(self) -> None:
        """Close the listener, and wait for the thread; the new process's end closes the connection."""
        self._listener.close()
        self._thread.join(MAX_WAIT_S)


def test_new_process_takes_over_an_earlier_state(tmp_path: Path) -> None:
    golden_state = HANDED_OVER.read_bytes()
    golden = content_of(golden_state)
    site = Site(golden["list"]["servers"])
    port = free_port()
    old = OldProcess(tmp_path, port, golden_state)
    handed_over_at = json.loads((DATA / "handed_over_at.json").read_text())
    process = site.start(tmp_path, listen=f"{HOST}:{port}", wall_clock=handed_over_at)
    try:
        with site.running(process):
            wait_for(lambda: old.served.is_set() or old.failure, "a process that takes over")
            process.wait_until_listening()
            assert process.call(b"ready\n") == b"FAILURE the process before still has jobs\n"
            old.no_jobs_left.set()
            process.wait_until_ready()
            assert old.line == b"take-over " + b"0123456789abcdef" * 2 + b"\n"
            assert process.logged(TAKEN_OVER).split(" ")[2:] == ["workers=3", "out=1"]
            assert process.show_stat()["hosts_listed"] == 3
            assert_nothing_refused(process)
            handed_on = content_without_features(fetch_state(process))
            assert process.show_stat()["hosts_down"] == 1
            old.disable_worker.set()
            wait_for(lambda: process.show_stat()["hosts_down"] == 2, "a worker that the old process disabled")
    finally:
        old.close()
    assert old.failure is None, old.failure
    check_handed_on(handed_on, golden)


# Fields of a worker that do not change with time alone.
TIME_INDEPENDENT = ("kind", "cell", "zone", "started_at", "slow_start_from", "up", "connect_after",
                    "limit", "pace", "fail", "bench_for", "bench_over", "trial", "speed")  # fmt: skip
# Fields of a worker: the fewest slots in use in this control interval and in the one before. Slots that the
# old process has in use until its end count from the next interval on.
FEWEST_IN_FLIGHT = ("low", "low_before")


def check_handed_on(content: dict[str, Any], golden: dict[str, Any]) -> None:
    """Assert that a process that took over hands on the state that it received."""
    assert list(content) == list(golden)
    assert content["list"] == golden["list"]
    assert content["out"] == golden["out"]
    module, golden_module = content["module"], golden["module"]
    assert list(module) == list(golden_module)
    assert list(module["books"]) == list(golden_module["books"])
    for name in ("settings", "longest", "by_hand", "limits"):
        assert module[name] == golden_module[name], name
    for name in ("mean_work", "job_time", "started"):
        assert module["books"][name] == golden_module["books"][name], name
    workers, before = (
        {number: rest for number, *rest in part["workers"]} for part in (module, golden_module)
    )
    assert list(workers) == list(before)
    for number, (fields, _sent, barred) in workers.items():
        assert list(fields) == list(before[number][0])
        assert {name: fields[name] for name in TIME_INDEPENDENT} == {
            name: before[number][0][name] for name in TIME_INDEPENDENT
        }
        in_use = fields["out"]
        assert [fields[name] for name in FEWEST_IN_FLIGHT] in ([0.0, 0.0], [in_use, 0.0], [in_use, in_use])
        assert barred == before[number][2]
        assert fields["out"] == before[number][0]["out"] + (number == FIRST_WORKER)
    peers, peers_before = module["fleet"]["peers"], golden_module["fleet"]["peers"]
    assert [(number, list(fields)) for number, fields, *_ in peers] == [
        (n, list(f)) for n, f, *_ in peers_before
    ]
    for (_, fields, demand, _), (_, fields_before, demand_before, _) in zip(peers, peers_before, strict=True):
        assert {**fields, "admitted": 0} == {**fields_before, "admitted": 0}
        assert demand in ([], demand_before)  # dropped for a peer that has been silent too long
    assert module["fleet"]["incarnation"] == golden_module["fleet"]["incarnation"]
