"""Parses the endpoint list that discovery sends into entries for the policy."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from ipaddress import IPv4Address
from typing import Any

from ..policy.interface import MemberEntry, WorkerState

STATES_BY_NAME = {
    "Ready": WorkerState.READY,
    "Terminating": WorkerState.DRAINING,
    "Gone": WorkerState.GONE,
}

# One above the largest TCP port.
PORT_LIMIT = 65536


class WorkerListError(Exception):
    """The content as a whole is not an endpoint list."""


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """One worker of a list: its id, its address, and its entry for the policy."""

    id: str
    address: tuple[str, int]
    member: MemberEntry

    def same_except_weight(self, other: WorkerEndpoint) -> bool:
        """Return whether both describe the same worker with the same values, except for its weight.

        Weights change all the time.
        """
        member = replace(self.member, weight=other.member.weight)
        return self.address == other.address and member == other.member

    def with_state(self, state: WorkerState) -> WorkerEndpoint:
        """Return a copy in another state."""
        return replace(self, member=replace(self.member, state=state))


@dataclass(slots=True)
class WorkerList:
    """One answer of discovery: a snapshot of all workers, or the changes since a version.

    Attributes:
        version: The number that discovery gives to the list.
        is_snapshot: Whether all workers are listed, so that a worker that is missing has left.
        endpoints: The entries that could be parsed.
        unparsed_ids: Ids of the entries that could not be parsed; "" for an entry without a readable id.
        unparsed_states: States of those unparsed entries whose id and state can be read, by id.
        size_bytes: The size of the answer's body.
    """

    version: int = 0
    is_snapshot: bool = True
    endpoints: list[WorkerEndpoint] = field(default_factory=list)
    unparsed_ids: list[str] = field(default_factory=list)
    unparsed_states: dict[str, WorkerState] = field(default_factory=dict)
    size_bytes: int = 0


def worker_number(worker_id: str) -> int:
    """Return the worker's number: a hash of its id, 32 bits wide.

    The number is the same at every dispatcher, as gossip identifies workers by it.
    """
    return int.from_bytes(hashlib.blake2s(worker_id.encode(), digest_size=4).digest(), "big")


class WorkerListParser:
    """Parses endpoint lists. A malformed entry is skipped and reported; the others are kept."""

    def __init__(
        self,
        zones: Sequence[str],
        kinds: Sequence[str],
        on_malformed_entry: Callable[[str], None] = lambda _why: None,
    ) -> None:
        """Create a parser for one deployment.

        Args:
            zones: Names of the zones; a zone's number is its position.
            kinds: Names of the kinds of worker; a kind's number is its position.
            on_malformed_entry: Called with the error's text for each entry that can't be parsed.
        """
        self._zone_numbers = {name: i for i, name in enumerate(zones)}
        self._kind_numbers = {name: i for i, name in enumerate(kinds)}
        self._on_malformed_entry = on_malformed_entry
        self._ids_by_number: dict[int, str] = {}

    def parse(self, content: Any) -> WorkerList:
        """Parse a list from decoded JSON.

        Raises:
            WorkerListError: If the content is not an object with a list of servers and a valid version.
        """
        if not isinstance(content, Mapping) or not isinstance(content.get("servers"), list):
            raise WorkerListError("not an object with a list of servers")
        version = content.get("version")
        if isinstance(version, bool) or not isinstance(version, int) or version < 0:
            raise WorkerListError(f"version {version!r} is not a whole number")
        worker_list = WorkerList(version, content.get("full") is not False)
        if worker_list.is_snapshot:
            self._ids_by_number.clear()  # keeps ids of workers that have left from accumulating
        for entry in content["servers"]:
            try:
                worker_list.endpoints.append(self._parse_entry(entry))
            except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
                worker_id, state = id_and_state(entry)
                worker_list.unparsed_ids.append(worker_id)
                if worker_id and state is not None:
                    worker_list.unparsed_states[worker_id] = state
                self._on_malformed_entry(f"{type(error).__name__}: {error}")
        return worker_list

    def to_json(self, version: int, endpoints: Sequence[WorkerEndpoint]) -> dict[str, Any]:
        """Return a snapshot of these workers as JSON content of discovery's form, which `parse` accepts."""
        zones = {number: name for name, number in self._zone_numbers.items()}
        kinds = {number: name for name, number in self._kind_numbers.items()}
        states = {state: name for name, state in STATES_BY_NAME.items()}
        return {
            "version": version,
            "full": True,
            "servers": [
                {
                    "id": endpoint.id,
                    "addr": f"{endpoint.address[0]}:{endpoint.address[1]}",
                    "state": states[endpoint.member.state],
                    "zone": zones.get(endpoint.member.zone),
                    "kind": kinds.get(endpoint.member.kind),
                    "cell": endpoint.member.cell,
                    "weight": endpoint.member.weight,
                    "started_ms": endpoint.member.started_at * 1000,
                }
                for endpoint in endpoints
            ],
        }

    def _parse_entry(self, entry: Any) -> WorkerEndpoint:
        worker_id = entry["id"]
        if not isinstance(worker_id, str) or not worker_id:
            raise ValueError(f"id {worker_id!r} is not a non-empty string")
        number = worker_number(worker_id)
        if self._ids_by_number.setdefault(number, worker_id) != worker_id:
            raise ValueError(f"id {worker_id!r} has the same number as {self._ids_by_number[number]!r}")
        ip, _, port = entry["addr"].rpartition(":")
        IPv4Address(ip)  # host names are refused: there is no DNS, and a lookup would block
        if not 0 < int(port) < PORT_LIMIT:
            raise ValueError(f"addr {entry['addr']!r} has no valid port")
        weight, started_ms = float(entry.get("weight", 1.0)), float(entry.get("started_ms", 0))
        if weight - weight != 0.0 or started_ms - started_ms != 0.0:
            raise ValueError("weight or started_ms is not finite")
        return WorkerEndpoint(
            worker_id,
            (ip, int(port)),
            MemberEntry(
                number,
                STATES_BY_NAME[entry["state"]],
                self._kind_numbers.get(entry.get("kind"), -1),
                int(entry.get("cell", 0)),
                self._zone_numbers.get(entry.get("zone"), -1),
                weight,
                max(started_ms, 0.0) / 1000,
            ),
        )


def id_and_state(entry: Any) -> tuple[str, WorkerState | None]:
    """Return an entry's id, "" if it can't be read, and its state, None if it can't be read."""
    if not isinstance(entry, Mapping):
        return "", None
    worker_id, state = entry.get("id"), entry.get("state")
    return (
        worker_id if isinstance(worker_id, str) else "",
        STATES_BY_NAME.get(state) if isinstance(state, str) else None,
    )
