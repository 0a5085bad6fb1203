"""Runs the program as its users do: a process with a JSON configuration, and raw sockets that exchange bytes.

Nothing here imports the program (but `golden_ports`), so renames in the program do not change these tests.
"""

from __future__ import annotations

import contextlib
import copy
import json
import os
import queue
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from golden_ports import free_port

ROOT = Path(__file__).resolve().parents[2]
MAX_WAIT_S = 20.0  # for each wait; long enough for a machine under load
HOST = "127.0.0.1"
THREAD_NAME = "golden stand-in"

SETTINGS: dict[str, Any] = {
    "groupSize": 1,
    "myNumber": 0,
    "kinds": ["fast", "slow"],
    "dcs": ["east", "west"],
    "zone": 0,
    "membershipMode": "on_request",
    "quantum": 0.002,
    "report": {"names": ["err_ps", "x0"], "source": "answers"},
    "familyInfo": {
        "classKind": [-1, -1],
        "classStretch": [2.0, 2.5],
        "progress": 1.0,
        "reportX0": "free slots",
        "tellsStart": True,
    },
    "orgs": [
        {"name": "acme", "share": 0.7, "quotaRps": 0.0},
        {"name": "umbrella", "share": 0.3, "quotaRps": 0.0},
    ],
    "policyLimits": {
        "cancel": True,
        "connectTimeout": 0.25,
        "idleClose": 5.0,
        "maxAttempts": 3,
        "mostHeld": 100,
        "maxRetryAfter": 2.0,
        "mayDuplicate": False,
        "peers": False,
        "probes": False,
        "retryAfter": True,
    },
    "requestClasses": [
        {"name": "render", "aim": 2.5, "hardLimit": 25.0, "semantics": "retryable"},
        {
            "name": "publish",
            "aim": 2.5,
            "hardLimit": 25.0,
            "semantics": "dedup",
            "group": "cell",
            "dedupWindow": 40.0,
        },
    ],
    "rules": {"graceToAnswer": 0.008, "mustAskIn": 10.0, "drainGrace": 0.4},
}


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings with changes; a double underscore separates the names of a nested key."""
    changed = copy.deepcopy(SETTINGS)
    for path, value in changes.items():
        *tables, last = path.split("__")
        table = changed
        for name in tables:
            table = table[name]
        table[last] = value
    return changed


def wait_for(condition: Callable[[], Any], description: str, seconds: float = MAX_WAIT_S) -> Any:
    """Poll the condition until its value is true, and return that; fail after `seconds`."""
    deadline = time.monotonic() + seconds
    while not (found := condition()):
        assert time.monotonic() < deadline, f"timed out after {seconds:g} s while waiting for {description}"
        time.sleep(0.01)
    return found


def read_message(connection: socket.socket, before: bytes = b"") -> bytes:
    """Read one HTTP message, with the body that its Content-Length gives; empty if the peer has closed."""
    data = before
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return data
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    while length is not None and len(body) < int(length[1]):
        part = connection.recv(65536)
        assert part, f"the connection was closed within a body: {data!r}"
        body += part
    return head + b"\r\n\r\n" + body


def connect(port: int) -> socket.socket:
    """Connect to a port on loopback, with a timeout of 20 s for each operation."""
    return socket.create_connection((HOST, port), timeout=MAX_WAIT_S)


def read_to_end(connection: socket.socket) -> bytes:
    """Return all bytes until the peer closes or resets the connection."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := connection.recv(65536):
            data += part
    return data


def exchange(port: int, data: bytes) -> bytes:
    """Send bytes on a new connection, and return the first answer."""
    with connect(port) as connection:
        connection.sendall(data)
        return read_message(connection)


def request(
    path: str = "/render", body: bytes = b"work", method: str = "POST", **headers: str | None
) -> bytes:
    """Return a client's request; underscores in header names become dashes, headers of None are left out."""
    fields: dict[str, str | None] = {
        "X_Request_ID": "r1",
        "X_Tenant_Id": "acme",
        "X_Timeout_Ms": "20000",
        "Content_Length": str(len(body)),
        **headers,
    }
    lines = "".join(
        f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items() if value is not None
    )
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n{lines}\r\n".encode() + body


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return an answer as workers and discovery send it."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


class RecordingServer:
    """A worker or discovery: records the bytes of each request, and sends the answer that its script returns.

    If the script returns None, the connection is closed. No thread outlives `close`: one that did would go on
    taking memory in the tests that follow in this process, some of which measure it.

    Attributes:
        closing: Set by `close`; a script that waits has to wait for this as well.
    """

    def __init__(self, script: Callable[[bytes], bytes | None]) -> None:
        self.script = script
        self.received: queue.Queue[bytes] = queue.Queue()
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port: int = self._listener.getsockname()[1]
        self.closing = threading.Event()
        self._open: dict[threading.Thread, socket.socket] = {}
        self._accepting = threading.Thread(target=self._accept, name=THREAD_NAME, daemon=True)
        self._accepting.start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while not self.closing.is_set():
                connection, _ = self._listener.accept()
                thread = threading.Thread(
                    target=self._serve, args=(connection,), name=THREAD_NAME, daemon=True
                )
                self._open[thread] = connection
                thread.start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            self._answer_requests(connection)
        finally:
            del self._open[threading.current_thread()]

    def _answer_requests(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while message := read_message(connection):
                self.received.put(message)
                reply = self.script(message)
                if reply is None:
                    return
                connection.sendall(reply)

    def next(self) -> bytes:
        """Return the next request that was received, waiting for it."""
        return self.received.get(timeout=MAX_WAIT_S)

    def close(self) -> None:
        """Close the listener and all connections, and wait for their threads to end."""
        self.closing.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._accepting.join(MAX_WAIT_S)
        self._listener.close()
        for thread, connection in list(self._open.items()):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            thread.join(MAX_WAIT_S)
            assert not thread.is_alive(), "a stand-in's script does not end with its server"


def host(name: str, port: int, **changes: Any) -> dict[str, Any]:
    """Return a worker's entry in discovery's list."""
    return {
        "id": name,
        "addr": f"{HOST}:{port}",
        "zone": "east",
        "kind": "fast",
        "cell": 0,
        "state": "Ready",
        "weight": 1.0,
        "started_ms": 0,
        **changes,
    }


def host_list(version: int, servers: list[dict[str, Any]], full: bool = True) -> bytes:
    """Return discovery's answer with a list of workers."""
    return answer(200, json.dumps({"version": version, "full": full, "servers": servers}).encode())


class Discovery(RecordingServer):
    """Discovery that answers with the published list; requests wait while there is none or no change."""

    def __init__(self, servers: list[dict[str, Any]] | None = None, version: int = 4) -> None:
        self.version = version
        self._list = b""
        self._listed = threading.Event()
        super().__init__(self._answer)
        if servers is not None:
            self.publish(servers)

    def publish(self, servers: list[dict[str, Any]]) -> None:
        """Set the list that is answered from now on."""
        self._list = host_list(self.version, servers)
        self._listed.set()

    def _answer(self, message: bytes) -> bytes | None:
        if b"?" in message and b"wait=0" not in message:
            self.closing.wait()
            return None
        self._listed.wait()
        return None if self.closing.is_set() else self._list

    def close(self) -> None:
        """Close the listener and all connections, those that wait for a list among them."""
        self.closing.set()
        self._listed.set()
        super().close()


class Process:
    """One process of the program, with its ports, its log, and the folder shared with its successor."""

    def __init__(
        self,
        folder: Path,
        discovery_port: int,
        *,
        toml: str = "",
        shared: bool = True,
        wall_clock: float | None = None,
        program: Path = ROOT,
        python: str = sys.executable,
        **changes: Any,
    ) -> None:
        """Start the process.

        Args:
            folder: For configuration and logs; created if missing.
            discovery_port: Where discovery listens.
            toml: Content of the program's own configuration file; none if empty.
            shared: Whether `folder` is its TMPDIR, where it leaves the file that lets a successor take over.
            wall_clock: Unix time, in seconds, of its clock at the start; by default the real time.
            program: Root of the checkout that is run.
            python: The interpreter.
            **changes: Keys of the platform's configuration.
        """
        self.folder = folder
        self.port = int(changes.get("listen", f":{free_port()}").rpartition(":")[2])
        self.management_port = free_port()
        content = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "mgmt": f"{HOST}:{self.management_port}",
            "seed": "1f",
            "settings": SETTINGS,
            **changes,
        }
        folder.mkdir(parents=True, exist_ok=True)
        self.log_path = folder / f"log-{self.management_port}.txt"
        configuration = folder / f"configuration-{self.management_port}.json"
        configuration.write_text(json.dumps(content))
        environment = {
            **{
                name: value
                for name, value in os.environ.items()
                if not name.startswith(("RELAY_", "BEACONHINGE_"))
            },
            "RELAY_CONFIG": str(configuration),
            "PYTHONPATH": str(program),
        }
        environment.pop("TMPDIR", None)
        if shared:
            environment["TMPDIR"] = str(folder)
        if toml:
            (folder / f"own-{self.management_port}.toml").write_text(toml)
            environment["BEACONHINGE_CONFIG"] = str(folder / f"own-{self.management_port}.toml")
        command = [python, "-m", "beaconhinge"]
        if wall_clock is not None:
            command = [python, "-c", _WITH_SHIFTED_CLOCK.format(wall_clock=wall_clock)]
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(command, cwd=program, env=environment, stderr=log, stdout=log)

    def log(self) -> str:
        """Return the content of the log so far."""
        return self.log_path.read_text()

    def logged(self, event: str) -> str:
        """Wait for the first log line of an event, and return it."""

        def found() -> str:
            assert self.process.poll() is None, self.log()
            return next((line for line in self.log().splitlines() if line.split(" ")[1:2] == [event]), "")

        return str(wait_for(found, f"the log event {event} in\n{self.log()}"))

    def call(self, line: bytes) -> bytes:
        """Send an operators' call, and return the answer."""
        with connect(self.management_port) as connection:
            connection.sendall(line)
            return read_to_end(connection)

    def wait_until_ready(self) -> None:
        """Wait until the operators' call `ready` succeeds."""

        def ready() -> bool:
            assert self.process.poll() is None, self.log()
            with contextlib.suppress(OSError):
                return self.call(b"ready\n") == b"SUCCESS ready\n"
            return False

        wait_for(ready, "a process that is ready")

    def wait_until_listening(self) -> None:
        """Wait until operators' calls are answered, whatever the answer."""

        def listening() -> bool:
            assert self.process.poll() is None, self.log()
            with contextlib.suppress(OSError):
                return self.call(b"ready\n") != b""
            return False

        wait_for(listening, "a process that answers operators")

    def exchange(self, data: bytes) -> bytes:
        """Send a client's bytes on a new connection, and return the first answer."""
        return exchange(self.port, data)

    def send_callback(self, request_id: str, worker: str, **content: Any) -> bytes:
        """Send a call-back of a worker, and return the answer."""
        body = json.dumps({"id": request_id, "from": worker, **content}).encode()
        head = f"POST /_jobs/news HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        return self.exchange(head + body)

    def show_stat(self) -> dict[str, Any]:
        """Return the figures of the operators' call `show-stat`."""
        figures: dict[str, Any] = json.loads(self.call(b"show-stat\n").partition(b"\n")[0])
        return figures

    def kill(self) -> None:
        """Kill the process, if it has not ended."""
        self.process.kill()
        self.process.wait()


_WITH_SHIFTED_CLOCK = """
import runpy, time
shift = {wall_clock} - time.time()
real = time.time
time.time = lambda: real() + shift
runpy.run_module("beaconhinge", run_name="__main__", alter_sys=True)
"""


@contextlib.contextmanager
def running(*services: Process | RecordingServer) -> Iterator[None]:
    """Kill these processes and close these servers when the block is left."""
    try:
        yield
    finally:
        for service in services:
            service.kill() if isinstance(service, Process) else service.close()


def strip_timings(data: bytes) -> bytes:
    """Replace the values that differ between runs: a job's remaining time, and a random Retry-After.

    The order of random draws is fixed by the seed, but how many precede this one depends on time.
    """
    data = re.sub(rb"X-Timeout-Ms: \d+", b"X-Timeout-Ms: (time left)", data)
    return re.sub(rb"Retry-After: [12]\.\d{3}\r", b"Retry-After: (1 to 2 s)\r", data)
