"""Runs a dispatcher in the test's process on loopback sockets, between scripted workers and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
import uvloop

from beaconhinge.application import serve
from beaconhinge.config import Config, parse
from beaconhinge.config.local import LocalConfig
from beaconhinge.policy import interface
from beaconhinge.standin.ports import free_port as free_port

SETTINGS: dict[str, Any] = {
    "groupSize": 2,
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
        "idleClose": 0.5,
        "maxAttempts": 3,
        "mostHeld": 100,
        "maxRetryAfter": 2.0,
        "mayDuplicate": True,
        "peers": True,
        "probes": True,
        "retryAfter": True,
    },
    "requestClasses": [
        {"name": "render", "aim": 0.25, "hardLimit": 7.5, "semantics": "retryable"},
        {
            "name": "publish",
            "aim": 0.6,
            "hardLimit": 25.0,
            "semantics": "dedup",
            "group": "cell",
            "dedupWindow": 40.0,
        },
    ],
    "rules": {"graceToAnswer": 0.008, "mustAskIn": 10.0, "drainGrace": 0.4},
}


@dataclass
class ReceivedMessage:
    """One message as a scripted server or a client read it; header names are in lower case."""

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> ReceivedMessage:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])}
    return ReceivedMessage(
        head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))
    )


def reply(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


Script = Callable[[ReceivedMessage], Awaitable[bytes | None]]


class ScriptedServer:
    """A server that answers each message by a script, or closes the connection if the script returns None."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.seen: asyncio.Queue[ReceivedMessage] = asyncio.Queue()  # all messages received
        self.connections = 0  # connections accepted so far
        self.ended: asyncio.Queue[bool] = asyncio.Queue()  # True for each connection the dispatcher closed
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Abort all open connections."""
        for writer in self.open:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        try:
            while True:
                message = await read_message(reader)
                self.seen.put_nowait(message)
                answer = await self.script(message)
                if answer is None:
                    return
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended.put_nowait(True)
        finally:
            self.open.discard(writer)
            writer.close()


async def accept_job(_message: ReceivedMessage) -> bytes | None:
    return reply(202)


class Harness:
    """A dispatcher with its configuration, its scripted workers and its scripted discovery."""

    def __init__(
        self, worker: Script, workers: int, changes: dict[str, Any], local_config: LocalConfig | None = None
    ) -> None:
        self.local_config = local_config
        self.workers = [ScriptedServer(worker) for _ in range(workers)]
        self.discovery = ScriptedServer(self.list)
        # Answers to the next calls for the list, as JSON or as raw bytes. Once they are used up, a call that
        # may wait is never answered, and any other gets an empty answer.
        self.lists: list[dict[str, Any] | bytes] = []
        self.changes = changes  # keys of the platform's configuration that differ from the default
        self.running: asyncio.Task[None]
        self.port = free_port()
        self.peer_port, self.other_port = free_port(socket.SOCK_DGRAM), free_port(socket.SOCK_DGRAM)

    async def list(self, message: ReceivedMessage) -> bytes | None:
        """Answer a call for the list of workers; this is discovery's script."""
        if self.lists:
            answer = self.lists.pop(0)
            return answer if isinstance(answer, bytes) else reply(200, json.dumps(answer).encode())
        if "wait=0" not in message.start_line:
            await asyncio.Event().wait()
        return reply(200, json.dumps({"version": 0, "full": False, "servers": []}).encode())

    def host(self, number: int = 0, **changes: Any) -> dict[str, Any]:
        """Return a worker's entry in discovery's list, with `changes` to its default fields."""
        return {
            "id": f"s-{number}",
            "addr": f"127.0.0.1:{self.workers[number].port}",
            "zone": "east",
            "kind": "fast",
            "cell": 0,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": 0,
            **changes,
        }

    def config(self) -> Config:
        hosts = [self.host(i) for i in range(len(self.workers))]
        return parse(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{self.port}",
                "discovery": f"127.0.0.1:{self.discovery.port}",
                "seed": "1f",
                "limits": {"memory_mb": 192, "sockets": 1024},
                "settings": SETTINGS,
                "peer_listen": f"127.0.0.1:{self.peer_port}",
                "peers_all": f"127.0.0.1:{self.other_port}",
                "peers": [f"127.0.0.1:{self.peer_port}", f"127.0.0.1:{self.other_port}"],
                "known": {"version": 0, "full": True, "servers": hosts},
                **self.changes,
            }
        )

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection to the dispatcher."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def request(self, data: bytes) -> ReceivedMessage:
        """Send raw bytes on a new connection, and return the answer."""
        reader, writer = await self.open()
        writer.write(data)
        try:
            return await read_message(reader)
        finally:
            writer.close()

    async def post(
        self, path: str = "/render", body: bytes = b"work", method: str = "POST", **headers: str | None
    ) -> ReceivedMessage:
        return await self.request(job_bytes(path, body, method, **headers))

    async def callback(self, number: int = 0, **content: Any) -> ReceivedMessage:
        """Send a worker's call-back on the request `r1`, and return the answer."""
        body = json.dumps({"id": "r1", "from": f"s-{number}", **content}).encode()
        return await self.request(
            b"POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )

    def reload(self, **changes: Any) -> None:
        """Change the configuration, and notify the dispatcher by SIGHUP as the platform does."""
        self.changes = {**self.changes, **changes}
        os.kill(os.getpid(), signal.SIGHUP)

    def send_peer_datagram(self) -> None:
        """Send an empty datagram from the other dispatcher's address."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", self.other_port))
            peer.sendto(b"", ("127.0.0.1", self.peer_port))

    async def stop(self, alone: bool = False) -> None:
        """Send SIGTERM, after a datagram from the other dispatcher unless the dispatcher is `alone`."""
        if not alone:
            self.send_peer_datagram()
        os.kill(os.getpid(), signal.SIGTERM)


def job_bytes(
    path: str = "/render", body: bytes = b"work", method: str = "POST", **headers: str | None
) -> bytes:
    fields: dict[str, str | None] = {
        "X_Request_ID": "r1",
        "X_Tenant_Id": "acme",
        "X_Timeout_Ms": "5000",
        "Content_Length": str(len(body)),
        **headers,
    }
    lines = "".join(
        f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items() if value is not None
    )
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n{lines}\r\n".encode() + body


@contextlib.asynccontextmanager
async def running_harness(
    worker: Script,
    workers: int,
    changes: dict[str, Any],
    local_config: LocalConfig | None = None,
    shared: Path | None = None,
    before: Callable[[int], object] = id,
) -> AsyncIterator[Harness]:
    """Start a dispatcher with its scripted servers, yield them when it is up, and stop them afterwards.

    `before` is called with the dispatcher's port before the dispatcher starts.
    """
    harness = Harness(worker, workers, changes, local_config)
    before(harness.port)
    for peer in (*harness.workers, harness.discovery):
        await peer.start()
    running = harness.running = asyncio.create_task(serve(harness.config, harness.local_config, shared))
    await harness.discovery.seen.get()  # the dispatcher is up once it has made its first call to discovery
    try:
        yield harness
    finally:
        running.cancel()
        for peer in (*harness.workers, harness.discovery):
            peer.server.close()


def run_scenario(
    scenario: Callable[[Harness], Awaitable[None]],
    worker: Script = accept_job,
    workers: int = 1,
    local_config: LocalConfig | None = None,
    shared: Path | None = None,
    **changes: Any,
) -> None:
    """Run a scenario with a dispatcher; it fails by a time-out after ten seconds."""

    async def run() -> None:
        async with (
            asyncio.timeout(10),
            running_harness(worker, workers, changes, local_config, shared) as harness,
        ):
            await scenario(harness)

    uvloop.run(run())


class ScriptedPolicy:
    """Stands in for the policy: returns scripted actions for events, and keeps the events in a queue.

    `on_job` are the actions for the first job, `then` those for the first event of other types. `events` has
    all events but `Start` and `MembershipUpdate`.
    """

    def __init__(
        self, on_job: list[interface.Action], then: dict[type, list[interface.Action]] | None = None
    ) -> None:
        self.on = {interface.JobArrived: on_job, **(then or {})}
        self.events: asyncio.Queue[Any] = asyncio.Queue()

    def handle(self, _now: float, event: interface.Event) -> list[interface.Action]:
        if not isinstance(event, (interface.Start, interface.MembershipUpdate)):
            self.events.put_nowait(event)
        return self.on.pop(
            type(event), [interface.SubscribeMembership()] if isinstance(event, interface.Start) else []
        )


def use_scripted_policy(
    monkeypatch: pytest.MonkeyPatch, *on_job: interface.Action, **then: list[interface.Action]
) -> ScriptedPolicy:
    """Make the dispatcher use a scripted policy, and return it.

    `then` gives the actions by names of event types.
    """
    policy = ScriptedPolicy(
        list(on_job), {getattr(interface, name): actions for name, actions in then.items()}
    )
    monkeypatch.setattr("beaconhinge.application.Dispatcher", lambda settings, seed: policy)
    return policy


async def next_event(policy: ScriptedPolicy, kind: type) -> Any:
    """Return the next event of a type. Events of other types before it are dropped."""
    while not isinstance(event := await policy.events.get(), kind):
        pass
    return event
