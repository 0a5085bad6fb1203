"""Stand-ins for clients, workers, discovery and the platform, for the cases in this folder.

They use the standard library alone and follow the operators' pages: `PROTOCOL` for the messages, `DEPLOY` for
the start of a dispatcher, `DAYS` for the operators' calls. All addresses are on loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
OK, NO_CONTENT, ACCEPTED = 200, 204, 202
FIRST_PORT, PORTS_END = 10000, 32000
CALLBACK_ATTEMPTS = 10  # PROTOCOL: "It repeats each call until answered, at most ten times"
REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found"}

Address = tuple[str, int]


class CaseCannotRun(Exception):  # noqa: N818
    """Something that the case needs did not happen; the case says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, file: Path) -> None:
        """Start an empty record in `file`."""
        self._file = file.open("w", encoding="utf-8", buffering=1)
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")


def free_ports(count: int) -> list[int]:
    """Return different free ports of the loopback address.

    They lie below those that the kernel gives to outgoing connections, which could take one before the
    dispatcher listens there.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, PORTS_END)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            ports += [port] * (port not in ports)
    return ports


# ---- HTTP --------------------------------------------------------------------------------------------


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message.

    Raises:
        EOFError: The peer has closed the connection.
        OSError: The connection has failed.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first_line, headers, body)


def answer(status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    if status != NO_CONTENT:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(address: Address, data: bytes, timeout_s: float) -> Message:
    """Send a request on a connection of its own, and return the answer.

    Raises:
        OSError: No connection, or it failed, or no answer came in time.
        EOFError: The connection was closed before the answer.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()


Handler = Callable[[Message], Awaitable[bytes | None]]


class HttpServer:
    """Answers each message by a handler; closes the connection if the handler returns None."""

    def __init__(self, handler: Handler) -> None:
        """Create a server that does not listen yet."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                data = await self._handler(await read_message(reader))
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()


# ---- workers -----------------------------------------------------------------------------------------


@dataclass
class Run:
    """One attempt that a worker has accepted.

    Attributes:
        state: `accepted`, `running`, `done`, or how it ended without a run.
    """

    request_id: str
    key: str
    worker: str
    accepted_at: float
    state: str = "accepted"
    started_at: float | None = None


class Worker:
    """A worker that runs jobs at once, each for `run_s` seconds.

    Attributes:
        decide: Called with each job's message; returns None to accept the job, or the answer to give.
        instead_of_run: Called with a run that was accepted; returns True if it has dealt with it.
        runs: The attempts that were accepted, in order.
        arrivals: When each job arrived, whatever became of it.
    """

    def __init__(self, name: str, record: Record, dispatcher: Address, run_s: float, cell: int = 0) -> None:
        """Create a worker that calls back at `dispatcher`."""
        self.name = name
        self.record = record
        self.dispatcher = dispatcher
        self.run_s = run_s
        self.cell = cell
        self.started_ms = 0
        self.callback_timeout_s = 1.0
        self.callback_pause_s = 0.2
        self.decide: Callable[[Message], bytes | None] = lambda _message: None
        self.instead_of_run: Callable[[Run], Awaitable[bool]] = _never
        self.runs: list[Run] = []
        self.arrivals: list[float] = []
        self.server = HttpServer(self._answer)
        self._tasks: set[asyncio.Task[None]] = set()

    def entry(self, state: str = "Ready") -> dict[str, Any]:
        """Return this worker's entry in discovery's list."""
        return {
            "id": self.name,
            "addr": self.server.address,
            "zone": "a",
            "kind": "k",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def _answer(self, message: Message) -> bytes:
        if message.method != "POST":
            self.record.write(f"{self.name} got {message.first_line}")
            return answer(NO_CONTENT if message.method == "DELETE" else 404)
        request_id = message.headers.get("x-request-id", "")
        self.arrivals.append(self.record.now())
        refusal = self.decide(message)
        if refusal is not None:
            self.record.write(f"{self.name} got {request_id}, answers {refusal[9:12].decode()}")
            return refusal
        run = Run(request_id, message.headers.get("idempotency-key", ""), self.name, self.record.now())
        self.runs.append(run)
        self.record.write(f"{self.name} got {request_id} (body {message.body[:40]!r}), answers 202")
        self.spawn(self._run(run))
        return answer(ACCEPTED)

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something beside the server."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, run: Run) -> None:
        if await self.instead_of_run(run):
            return
        run.state, run.started_at = "running", self.record.now()
        self.record.write(f"{self.name} starts {run.request_id}")
        await self.call_back(run, "started")
        await asyncio.sleep(self.run_s)
        run.state = "done"
        self.record.write(f"{self.name} has done {run.request_id}")
        await self.call_back(run, "done", result=f"{run.request_id} by {self.name}")

    async def call_back(self, run: Run, state: str, **fields: object) -> None:
        """Tell the dispatcher what became of a job; repeated until answered, at most ten times."""
        body = json.dumps({"id": run.request_id, "from": self.name, "state": state, **fields}).encode()
        data = request("POST", "/_jobs/news", {}, body)
        for number in range(1, CALLBACK_ATTEMPTS + 1):
            self.record.write(f"{self.name} calls back: {run.request_id} {state}, call {number}")
            try:
                reply = await exchange(self.dispatcher, data, self.callback_timeout_s)
                if reply.status in (OK, NO_CONTENT):
                    return
            except (OSError, EOFError) as error:
                why = type(error).__name__
                self.record.write(f"{self.name}: no answer to {run.request_id} {state} ({why})")
            await asyncio.sleep(self.callback_pause_s)


async def _never(_run: Run) -> bool:
    return False


# ---- discovery ---------------------------------------------------------------------------------------


class Discovery:
    """Serves the list of workers, whole or by watch.

    Attributes:
        spoil: Called with the content of the next answer to a watch that has changes; returns the bytes of
            the body to send in its place. Used once.
    """

    def __init__(self, record: Record) -> None:
        """Create a discovery with an empty list."""
        self.record = record
        self.server = HttpServer(self._answer)
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.spoil: Callable[[dict[str, Any]], bytes] | None = None
        self.calls: list[float] = []
        self.refuse_watches = False
        self._changed_in: dict[str, int] = {}
        self._changed = asyncio.Event()

    def change(self, *entries: dict[str, Any]) -> None:
        """Set entries in a new version of the list, and answer the open watches."""
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self._changed_in[entry["id"]] = self.version
            self.record.write(f"discovery: version {self.version}: {entry['id']} is {entry['state']}")
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        servers = [entry for entry in self.entries.values() if entry["state"] != "Gone"]
        return {"version": self.version, "full": True, "servers": servers}

    async def _answer(self, message: Message) -> bytes:
        self.calls.append(self.record.now())
        _, _, query = message.target.partition("?")
        parameters = dict(part.split("=") for part in query.split("&") if part)
        if "index" not in parameters:
            self.record.write(f"discovery: answers a call for the whole list, version {self.version}")
            return answer(OK, json.dumps(self.whole()).encode())
        index, end = int(parameters["index"]), self.record.now() + int(parameters.get("wait", "0")) / 1000
        while self.version <= index and self.record.now() < end:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(end - self.record.now()):
                    await self._changed.wait()
        changed = [self.entries[name] for name, version in self._changed_in.items() if version > index]
        content = {"version": self.version, "full": False, "servers": changed}
        body = json.dumps(content).encode()
        if changed and self.spoil is not None:
            body, self.spoil = self.spoil(content), None
            self.record.write(f"discovery: writes a spoilt answer: {body!r}")
        self.record.write(
            f"discovery: answers a watch from {index}: version {self.version}, {len(changed)} changes"
        )
        return answer(OK, body)


# ---- clients -----------------------------------------------------------------------------------------


@dataclass
class Outcome:
    """How a request ended for its client; `status` is None if no answer came in time."""

    request_id: str
    status: int | None
    body: bytes
    sent_at: float
    ended_at: float


class Client:
    """Sends requests, each on a connection of its own."""

    def __init__(self, record: Record, dispatcher: Address) -> None:
        """Create a client of the dispatcher at this address."""
        self.record = record
        self.dispatcher = dispatcher

    async def send(
        self,
        path: str,
        request_id: str,
        timeout_ms: int,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Outcome:
        """Send a job and wait for its answer, up to a second beyond the job's time."""
        all_headers = {"X-Request-ID": request_id, "X-Timeout-Ms": str(timeout_ms), **(headers or {})}
        sent_at = self.record.now()
        self.record.write(f"client sends {path} {request_id}")
        status, content = None, b""
        try:
            data = request("POST", path, all_headers, body)
            reply = await exchange(self.dispatcher, data, timeout_ms / 1000 + 1.0)
            status, content = reply.status, reply.body
        except (OSError, EOFError) as error:
            self.record.write(f"client: {request_id} has no answer ({type(error).__name__})")
        self.record.write(f"client: {request_id} is answered {status} {content[:60]!r}")
        return Outcome(request_id, status, content, sent_at, self.record.now())


# ---- the platform ------------------------------------------------------------------------------------


@dataclass
class Dispatcher:
    """One dispatcher process, started by the deploy file's `run`."""

    record: Record
    config: dict[str, Any]
    folder: Path
    name: str = "n0"
    process: asyncio.subprocess.Process | None = None
    _log: Any = field(default=None, repr=False)

    @property
    def address(self) -> Address:
        """Where clients connect."""
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    @property
    def mgmt(self) -> Address:
        """Where operators call."""
        host, _, port = self.config["mgmt"].rpartition(":")
        return host, int(port)

    def write_config(self) -> Path:
        """Write the configuration file, and return its path."""
        file = self.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.config), encoding="utf-8")
        return file

    async def start(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment |= {"RELAY_CONFIG": str(self.write_config()), "TMPDIR": str(temporary)}
        self._log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
            start_new_session=True,
        )
        self.record.write(f"platform starts {self.name}, process {self.process.pid}")

    async def is_up(self) -> bool:
        """Return whether `GET /up` answers 200."""
        try:
            reply = await exchange(self.address, request("GET", "/up", {}), 1.0)
        except (OSError, EOFError):
            return False
        return reply.status == OK

    async def wait_up(self, timeout_s: float = 15.0) -> None:
        """Wait until `GET /up` answers 200.

        Raises:
            CaseCannotRun: It did not in time.
        """
        end = self.record.now() + timeout_s
        while not await self.is_up():
            if self.record.now() > end or (self.process is not None and self.process.returncode is not None):
                raise CaseCannotRun(f"{self.name} is not up; see its log: {self.log_text()[-2000:]}")
            await asyncio.sleep(0.05)
        self.record.write(f"{self.name} is up")

    async def call(self, line: str) -> str:
        """Make an operator's call, and return the answer."""
        reader, writer = await asyncio.open_connection(*self.mgmt)
        try:
            writer.write(line.encode() + b"\n")
            await writer.drain()
            text = (await reader.read()).decode()
        finally:
            writer.close()
        self.record.write(f"operator calls {line!r} at {self.name}: {text.strip()!r}")
        return text

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record.write(f"platform sends {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def log_text(self) -> str:
        """Return what the process has logged."""
        file = self.folder / f"{self.name}.log"
        return file.read_text(encoding="utf-8", errors="replace") if file.exists() else ""

    async def kill(self) -> None:
        """End the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def base_config(
    listen: int, discovery: str, mgmt: int, classes: Sequence[dict[str, Any]], **limits: Any
) -> dict[str, Any]:
    """Return the configuration of a small deployment with one dispatcher."""
    return {
        "name": "n0",
        "listen": f"{LOOPBACK}:{listen}",
        "discovery": discovery,
        "mgmt": f"{LOOPBACK}:{mgmt}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "groupSize": 1,
            "myNumber": 0,
            "zone": 0,
            "dcs": ["a"],
            "kinds": ["k"],
            "membershipMode": "on_request",
            "requestClasses": list(classes),
            "familyInfo": {"tellsStart": True, "progress": 1.0},
            "rules": {"drainGrace": 0.4, "mustAskIn": 10.0, "graceToAnswer": 0.008},
            "policyLimits": {
                "cancel": True,
                "connectTimeout": 0.25,
                "idleClose": 5.0,
                "maxAttempts": 3,
                "maxRetryAfter": 2.0,
                "mayDuplicate": True,
                "peers": False,
                "probes": False,
                "retryAfter": True,
                **limits,
            },
        },
    }


@contextlib.contextmanager
def temporary_folder() -> Iterator[Path]:
    """Provide a folder that is removed at the end."""
    folder = Path(tempfile.mkdtemp(prefix="beaconhinge-review-"))
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


# ---- the run of a case -------------------------------------------------------------------------------

# `run.sh` makes 1 of BROKEN. Python itself ends with 1 when a script fails, which tells nothing of the rule.
HELD, BROKEN, CANNOT_RUN = 0, 11, 2


@dataclass
class Case:
    """What a case works with.

    Attributes:
        trouble: Whether the disruption happens; `TROUBLE=0` in the environment leaves it out.
        dispatchers: All processes that the case has started; they are ended with it.
        tasks: Tasks beside the case; they are cancelled with it.
    """

    record: Record
    folder: Path
    trouble: bool
    dispatchers: list[Dispatcher] = field(default_factory=list)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)

    def dispatcher(self, config: dict[str, Any], name: str = "n0") -> Dispatcher:
        """Return a dispatcher that is not started yet."""
        self.dispatchers.append(Dispatcher(self.record, config, self.folder, name))
        return self.dispatchers[-1]

    def beside(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run something beside the case."""
        task = asyncio.ensure_future(work)
        assert isinstance(task, asyncio.Task)
        self.tasks.append(task)
        return task

    def say(self, text: str) -> None:
        """Print a line, and write it to the record."""
        print(text, flush=True)
        self.record.write(text)


def run_case(file: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case, and exit with BROKEN, HELD or CANNOT_RUN.

    Args:
        file: The script of the case; the record stands beside it.
        play: Plays the case and returns whether the rule was broken.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    with temporary_folder() as folder:
        case = Case(record, folder, os.environ.get("TROUBLE", "1") != "0")
        status = asyncio.run(_play(case, play))
    sys.exit(status)


async def _play(case: Case, play: Callable[[Case], Awaitable[bool]]) -> int:
    status, task = CANNOT_RUN, asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        status = BROKEN if await play(case) else HELD
        case.say("the rule was BROKEN" if status == BROKEN else "the rule was held")
    except Exception as error:  # noqa: BLE001  # whatever went wrong here says nothing about the rule
        case.say(f"the case could not run: {type(error).__name__}: {error}")
        case.record.write(traceback.format_exc())
    finally:
        for beside in case.tasks:
            beside.cancel()
        for dispatcher in case.dispatchers:
            await dispatcher.kill()
            case.record.write(f"log of {dispatcher.name}:\n{dispatcher.log_text()}")
    return status
