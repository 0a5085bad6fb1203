"""Stand-ins for clients, workers, discovery and the platform, with the standard library alone.

They follow the operators' protocol pages. A case subclasses `Worker` where its workers have to do something
special. Everything that is sent, answered and run is written to `record.txt` by `Record`.
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
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOCALHOST = "127.0.0.1"
# The protocol: a worker tries a call-back until it is answered, ten times at most.
CALLBACK_TRIES = 10
# Seconds between two tries.
CALLBACK_PAUSE_S = 0.4
ANSWERED_STATUSES = (200, 204)
READY_WITHIN_S = 30.0
HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2

Headers = dict[str, str]


class CaseError(Exception):
    """The case could not be played."""


class Record:
    """The record of one run: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        """Begin a new file."""
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write one line with the seconds since the beginning."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began_at:9.4f} {event} {text}\n")

    def close(self) -> None:
        """Write what is left to the disk."""
        self._file.close()


class Message:
    """One HTTP message: its first line, its headers in lower case, and its body."""

    def __init__(self, first_line: str, headers: Headers, body: bytes) -> None:
        """Keep the parts."""
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message of a connection; None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head[:-4].split("\r\n")
        pairs = (line.split(":", 1) for line in lines)
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(first_line, headers, body)


def encode(first_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message with this body."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status: int, headers: Headers | None = None, body: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    return encode(f"HTTP/1.1 {status} Answer", headers or {}, body)


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((LOCALHOST, 0))
        return int(probe.getsockname()[1])


async def abandon(writer: asyncio.StreamWriter) -> None:
    """Close a connection, whatever state it is in."""
    writer.close()
    with contextlib.suppress(OSError, asyncio.CancelledError):
        await writer.wait_closed()


class Discovery:
    """Discovery, or the agent on the dispatcher's machine: the whole list, and watches for its changes."""

    def __init__(self, entries: list[dict[str, object]]) -> None:
        """Serve these entries as version 1."""
        self.entries = entries
        self.version = 1
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOCALHOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (call := await read_message(reader)) is not None:
                full = "index=" not in call.target
                if "wait=" in call.target:
                    await asyncio.sleep(int(call.target.split("wait=")[1].split("&")[0]) / 1000)
                servers = self.entries if full else []
                content = {"version": self.version, "full": full, "servers": servers}
                writer.write(answer(200, body=json.dumps(content).encode()))
                await writer.drain()
        await abandon(writer)


class Worker:
    """One worker with some slots and a queue; a subclass may override `take` and `call_back`."""

    def __init__(self, name: str, cell: int, slots: int, queue: int, record: Record, seed: int) -> None:
        """Create a worker that does not listen yet."""
        self.name = name
        self.cell = cell
        self.slots = slots
        self.queue = queue
        self.record = record
        self.random = random.Random(f"{seed}/{name}")
        self.port = 0
        self.dispatcher_port = 0
        self.run_s: Callable[[str], float] = lambda _job_class: 0.1
        # Requests that were taken and have not ended, with the task of each.
        self.open: dict[str, asyncio.Task[None]] = {}
        self.runs: list[str] = []  # ids of the requests that were started
        self.tasks: set[asyncio.Task[None]] = set()
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self.serve, LOCALHOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Return the worker's entry in discovery's list."""
        return {
            "id": self.name,
            "addr": f"{LOCALHOST}:{self.port}",
            "zone": "a",
            "kind": "k",
            "cell": self.cell,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": 0,
        }

    def spawn(self, coroutine: object) -> asyncio.Task[None]:
        """Run a coroutine beside others."""
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after the other."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                if request.method == "DELETE":
                    self.withdraw(request.target.rpartition("/")[2])
                    writer.write(answer(204))
                elif request.method == "GET":
                    writer.write(answer(200))
                else:
                    await self.take(request, writer)
                await writer.drain()
        await abandon(writer)

    def withdraw(self, request_id: str) -> None:
        """Drop a job that the dispatcher has given up."""
        self.record.write("withdrawn", worker=self.name, id=request_id)
        task = self.open.pop(request_id, None)
        if task is not None:
            task.cancel()

    @property
    def full(self) -> bool:
        """Whether neither a slot nor a place in the queue is free."""
        return len(self.open) >= self.slots + self.queue

    async def take(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Take a job or turn it away, and answer."""
        request_id = request.headers["x-request-id"]
        if self.full:
            self.turn_away(request_id, writer)
            return
        self.accept(request, writer)

    def turn_away(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Answer that the job is not taken."""
        self.record.write("turned_away", worker=self.name, id=request_id)
        writer.write(answer(503, {"X-Not-Processed": "1", **self.load_header()}))

    def accept(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Take a job, and answer 202."""
        request_id = request.headers["x-request-id"]
        job_class = request.target.split("/")[1]
        self.record.write("taken", worker=self.name, id=request_id)
        self.open[request_id] = self.spawn(self.run(request_id, job_class))
        writer.write(answer(202, self.load_header()))

    def load_header(self) -> Headers:
        """Return the load report of an answer; none unless a subclass has one."""
        return {}

    async def run(self, request_id: str, job_class: str) -> None:
        """Run a job, and tell of its start, its progress and its end."""
        try:
            async with self._free:
                self.runs.append(request_id)
                self.record.write("run", worker=self.name, id=request_id)
                self.spawn(self.call_back(request_id, "started"))
                await asyncio.sleep(self.run_s(job_class))
            self.record.write("done", worker=self.name, id=request_id)
            self.spawn(self.call_back(request_id, "done", result=f"{request_id} by {self.name}"))
        finally:
            self.open.pop(request_id, None)

    async def call_back(self, request_id: str, state: str, **fields: object) -> None:
        """Tell the dispatcher, again and again until it answers."""
        content = {"id": request_id, "from": self.name, "state": state, **fields}
        body = json.dumps(content).encode()
        data = encode("POST /_jobs/news HTTP/1.1", {"Host": "dispatcher"}, body)
        for number in range(CALLBACK_TRIES):
            self.record.write("call", worker=self.name, id=request_id, state=state, number=number)
            if await self.exchange(data) in ANSWERED_STATUSES:
                return
            await asyncio.sleep(CALLBACK_PAUSE_S)

    async def exchange(self, data: bytes) -> int:
        """Send a call on a connection of its own, and return the answer's status; 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, self.dispatcher_port)
        except OSError:
            return 0
        with contextlib.suppress(OSError):
            writer.write(data)
            reply = await read_message(reader)
            await abandon(writer)
            return 0 if reply is None else reply.status
        return 0


class Clients:
    """Clients of one dispatcher. They keep connections, and open more when each is busy."""

    def __init__(self, port: int, record: Record) -> None:
        """Call the dispatcher at this port."""
        self.port = port
        self.record = record
        self.answers: dict[str, int] = {}  # status by request id; 0 without an answer
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, request_id: str, job_class: str, timeout_ms: int, key: str = "") -> None:
        """Hand in a job, and record its answer when it comes."""
        task = asyncio.ensure_future(self._send(request_id, job_class, timeout_ms, key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Wait until each job is answered or its time is long over."""
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _send(self, request_id: str, job_class: str, timeout_ms: int, key: str) -> None:
        headers = {"Host": "service", "X-Request-ID": request_id, "X-Timeout-Ms": str(timeout_ms)}
        if key:
            headers["Idempotency-Key"] = key
        data = encode(f"POST /{job_class} HTTP/1.1", headers, b"work")
        self.record.write("sent", id=request_id, job_class=job_class, timeout_ms=timeout_ms)
        status = 0
        try:
            async with asyncio.timeout(timeout_ms / 1000 + 2.0):
                status = await self._exchange(data)
        except (OSError, TimeoutError):
            pass
        self.answers[request_id] = status
        self.record.write("answered", id=request_id, status=status)

    async def _exchange(self, data: bytes) -> int:
        """Send on a kept connection; once more on a new one if it had been closed between requests."""
        while True:
            kept = bool(self._idle)
            pair = self._idle.pop() if kept else await asyncio.open_connection(LOCALHOST, self.port)
            reader, writer = pair
            reply = None
            with contextlib.suppress(OSError):
                writer.write(data)
                reply = await read_message(reader)
            if reply is None:
                await abandon(writer)
                if kept:
                    continue
                return 0
            if reply.headers.get("connection", "") == "close":
                await abandon(writer)
            else:
                self._idle.append(pair)
            return reply.status


class Dispatcher:
    """The program under test: one process, built and run as the deploy file says."""

    def __init__(self, config: dict[str, object], folder: Path, process: str = "") -> None:
        """Write the configuration; `process` tells the processes of one dispatcher apart."""
        self.port = int(str(config["listen"]).rpartition(":")[2])
        self._folder = folder
        self._config_file = folder / f"{config['name']}{process}.json"
        self._config_file.write_text(json.dumps(config))
        self._process: subprocess.Popen[bytes] | None = None
        self._log = (folder / f"{config['name']}{process}.log").open("wb")

    async def start(self) -> None:
        """Start the process, and wait until it says that it is ready."""
        self.launch()
        assert self._process is not None
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            if self._process.poll() is not None:
                raise CaseError("the dispatcher has ended during its start")
            if await self._is_up():
                return
            await asyncio.sleep(0.1)
        raise CaseError("the dispatcher was not ready in time")

    def launch(self) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "RELAY_CONFIG": str(self._config_file), "TMPDIR": str(self._folder)}
        environment.pop("BEACONHINGE_CONFIG", None)
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )

    async def _is_up(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, self.port)
        except OSError:
            return False
        reply = None
        with contextlib.suppress(OSError):
            writer.write(encode("GET /up HTTP/1.1", {"Host": "service"}))
            reply = await read_message(reader)
        await abandon(writer)
        return reply is not None and reply.status in ANSWERED_STATUSES

    def terminate(self) -> None:
        """Tell the process to end."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def stop(self) -> None:
        """End the process that was started here."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGTERM)
            try:
                self._process.wait(5.0)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        self._log.close()


async def call_operator(port: int, call: str) -> str:
    """Make an operator's call, and return the answer; nothing if nobody is there."""
    try:
        reader, writer = await asyncio.open_connection(LOCALHOST, port)
    except OSError:
        return ""
    text = b""
    with contextlib.suppress(OSError):
        writer.write(call.encode() + b"\n")
        text = await reader.read()
    await abandon(writer)
    return text.decode()


def with_trouble() -> bool:
    """Whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case_folder: Path, case: Callable[[Record, Path], object]) -> int:
    """Play a case in a temporary folder, and return the exit status of its script."""
    record = Record(case_folder / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="beaconhinge-review-"))
    # If the script takes too long, the processes that it has started end with it.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(case(record, folder))  # type: ignore[arg-type]
    except (CaseError, KeyboardInterrupt) as error:
        record.write("could_not_run", why=error or "ended from outside")
        print(f"could not run: {error}")
        return COULD_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
        record.close()
    return RULE_BROKEN if broken else HELD
