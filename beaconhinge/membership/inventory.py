"""Hosts as they are listed, and their translation into the module's `Member`s."""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from ipaddress import IPv4Address
from typing import Any

from ..policy.interface import MemberEntry, WorkerState

STATES = {"Ready": WorkerState.READY, "Terminating": WorkerState.DRAINING, "Gone": WorkerState.GONE}


VERSION = re.compile(r'"version"\s*:\s*(\d{1,18})\b')
SERVERS = re.compile(r'"servers"\s*:\s*\[')
BETWEEN = re.compile(r"[\s,]*")


def _id_and_state(entry: Any) -> tuple[str, WorkerState | None]:
    """An entry's id, empty if it can't be read, and its state."""
    if not isinstance(entry, Mapping):
        return "", None
    name, state = entry.get("id"), entry.get("state")
    return name if isinstance(name, str) else "", STATES.get(state) if isinstance(state, str) else None


def _entries(text: str, at: int) -> Iterator[Any]:
    """The JSON values from there on, up to the first that is not whole."""
    decoder = json.JSONDecoder()
    while True:
        between = BETWEEN.match(text, at)
        at = between.end() if between else at
        try:
            entry, at = decoder.raw_decode(text, at)
        except (ValueError, RecursionError):
            return
        yield entry


class WorkerListError(Exception):
    """A list that cannot be read at all."""


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    id: str
    address: tuple[str, int]
    member: MemberEntry

    def same_except_weight(self, other: WorkerEndpoint) -> bool:
        """Whether both name the same worker in the same state; weights move all the time."""
        member = replace(self.member, weight=other.member.weight)
        return self.address == other.address and member == other.member

    def with_state(self, state: WorkerState) -> WorkerEndpoint:
        return replace(self, member=replace(self.member, state=state))


@dataclass(slots=True)
class WorkerList:
    version: int = 0
    is_snapshot: bool = True
    endpoints: list[WorkerEndpoint] = field(default_factory=list)
    unparsed_ids: list[str] = field(
        default_factory=list
    )  # ids of entries that cannot be read; "" for one without
    unparsed_states: dict[str, WorkerState] = field(
        default_factory=dict
    )  # of those of them whose state can be read
    size_bytes: int = 0  # bytes that it came in


def worker_number(host_id: str) -> int:
    """The same at every dispatcher, since peers name workers by it, and 32 bits wide for their reports."""
    return int.from_bytes(hashlib.blake2s(host_id.encode(), digest_size=4).digest(), "big")


class WorkerListParser:
    """Reads list values. What one entry gets wrong costs that entry alone: `dropped` is told of it."""

    def __init__(
        self, zones: Sequence[str], kinds: Sequence[str], dropped: Callable[[str], None] = lambda why: None
    ) -> None:
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}
        self.dropped = dropped
        self.names: dict[int, str] = {}

    def parse(self, content: Any) -> WorkerList:
        if not isinstance(content, Mapping) or not isinstance(content.get("servers"), list):
            raise WorkerListError("not an object with a list of servers")
        version = content.get("version")
        if isinstance(version, bool) or not isinstance(version, int) or version < 0:
            raise WorkerListError(f"version {version!r} is not a whole number")
        hosts = WorkerList(version, content.get("full") is not False)
        if hosts.is_snapshot:
            self.names.clear()  # those that have left must not add up
        for entry in content["servers"]:
            try:
                hosts.endpoints.append(self._host(entry))
            except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
                name, state = _id_and_state(entry)
                hosts.unparsed_ids.append(name)
                if name and state is not None:
                    hosts.unparsed_states[name] = state
                self.dropped(f"{type(error).__name__}: {error}")
        return hosts

    def parse_partial(self, body: bytes) -> WorkerList | None:
        """What can be read of an answer that broke off: changes that hold only those entries which take a
        worker out of service, with their ids and states. None if not even the version can be read, or nothing
        is there.

        Source: the form of discovery's answers, version before entries. Taking a worker out on a part of an
        answer is safe; putting one in is not.
        """
        text = body.decode("utf-8", "replace")
        version = VERSION.search(text)
        start = SERVERS.search(text)
        if version is None or start is None or version.start() > start.start():
            return None
        hosts = WorkerList(int(version[1]), is_snapshot=False)
        for entry in _entries(text, start.end()):
            name, state = _id_and_state(entry)
            if name and state in (WorkerState.DRAINING, WorkerState.GONE):
                hosts.unparsed_ids.append(name)
                hosts.unparsed_states[name] = state
        return hosts if hosts.unparsed_states else None

    def to_json(self, version: int, hosts: Sequence[WorkerEndpoint]) -> dict[str, Any]:
        """The whole list in discovery's form, as `read` takes it."""
        zones = {number: name for name, number in self.zones.items()}
        kinds = {number: name for name, number in self.kinds.items()}
        states = {state: name for name, state in STATES.items()}
        return {
            "version": version,
            "full": True,
            "servers": [
                {
                    "id": host.id,
                    "addr": f"{host.address[0]}:{host.address[1]}",
                    "state": states[host.member.state],
                    "zone": zones.get(host.member.zone),
                    "kind": kinds.get(host.member.kind),
                    "cell": host.member.cell,
                    "weight": host.member.weight,
                    "started_ms": host.member.started_at * 1000,
                }
                for host in hosts
            ],
        }

    def _host(self, entry: Any) -> WorkerEndpoint:
        name = entry["id"]
        if not isinstance(name, str) or not name:
            raise ValueError(f"id {name!r} is not a text")
        number = worker_number(name)
        if self.names.setdefault(number, name) != name:
            raise ValueError(f"id {name!r} has the same number as {self.names[number]!r}")
        ip, _, port = entry["addr"].rpartition(":")
        IPv4Address(ip)  # no names: there is no DNS, and looking one up would block
        if not 0 < int(port) < 65536:
            raise ValueError(f"addr {entry['addr']!r} has no port")
        weight, started = float(entry.get("weight", 1.0)), float(entry.get("started_ms", 0))
        if weight - weight != 0.0 or started - started != 0.0:
            raise ValueError("weight or started_ms is not finite")
        return WorkerEndpoint(
            name,
            (ip, int(port)),
            MemberEntry(
                number,
                STATES[entry["state"]],
                self.kinds.get(entry.get("kind"), -1),
                int(entry.get("cell", 0)),
                self.zones.get(entry.get("zone"), -1),
                weight,
                max(started, 0.0) / 1000,
            ),
        )
