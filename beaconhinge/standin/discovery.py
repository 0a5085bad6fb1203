"""A stand-in for discovery: serves the list of workers, whole or by watch, with answers spoilt on demand."""

from __future__ import annotations

import asyncio
import copy
import enum
import json
from collections.abc import Sequence
from urllib.parse import parse_qs

from ..net import http1
from ..net.http1 import Message
from .http import Paced, Server

# Seconds from the first byte of a slow answer to its last.
SLOW_ANSWER_S = 2.0
# Seconds from the changed entries, which are written at once, to the last of the unchanged ones.
TRICKLE_S = 2.4
# Spaces by which JSON is indented in answers that stop within an entry.
INDENT = 2
# Seconds from a read of the whole list to its answer, while discovery is overloaded.
SLOW_READ_S = 0.65


# Seconds that a call waits for its turn while discovery is crowded.
CROWDED_WAIT_S = 2.5


class ReadFault(enum.Enum):
    """How an overloaded discovery treats reads of the whole list. Calls with an index are not delayed."""

    LATE = "late"  # answered SLOW_READ_S after its arrival, with the list as it is then
    STALE = "stale"  # answered SLOW_READ_S after its arrival, with the list as it was at its arrival
    SILENT = "silent"  # never answered
    REFUSED = "refused"  # answered 503 at once
    RESET = "reset"  # the connection is closed without an answer

    @property
    def answers(self) -> bool:
        """Whether a read is answered with the whole list in the end."""
        return self in (ReadFault.LATE, ReadFault.STALE)


class DiscoveryState(enum.Enum):
    """Whether discovery serves."""

    SERVING = "serving"
    DOWN = "down"  # connections are closed without an answer once a call is read
    CROWDED = "crowded"  # each call waits for its turn for too long, and is refused


class WatchEnd(enum.Enum):
    """How a watch ended."""

    ANSWERED = enum.auto()  # the list has changed, or the watch's waiting time is over
    SILENT = enum.auto()  # the watch was muted, and is never answered
    REPLACED = enum.auto()  # a further call with an index has replaced the watch


class Spoil(enum.Enum):
    """How answers are spoilt.

    All but SLOW_BODY and ID_AND_STATE leave answers of the whole list as they are.
    """

    NO_ENTRIES = "no-entries"  # answers with changes have the new version, but no entries
    MISSING_ENTRY = "missing-entry"  # answers with changes omit the last changed entry
    OLD_CONTENT = "old-content"  # in place of changes, all entries before the change, with the new version
    ID_AND_STATE = "id-and-state"  # entries that ever changed have only id and state, in whole lists too
    SLOW_BODY = "slow-body"  # every answer takes SLOW_ANSWER_S from its first byte to its last
    CUT_BODY = "cut-body"  # answers with changes end with a closed connection in the middle of the entries
    # In the following, all changed entries are written at once, but the answer never ends or ends late:
    NO_LENGTH = "no-length"  # the answer states no length, and the connection stays open
    LENGTH_TOO_LONG = "length-too-long"  # the stated length is too long by one byte, which is never sent
    NO_LAST_CHUNK = "no-last-chunk"  # the answer is one chunk, without the last chunk of length 0
    MISSING_BRACE = "missing-brace"  # the last closing brace is never sent
    STOPS_IN_ENTRY = "stops-in-entry"  # an unchanged entry follows, and the answer stops in its middle
    TRICKLE = "trickle"  # the unchanged entries follow within TRICKLE_S, and the answer is complete

    @property
    def writes_changes_at_once(self) -> bool:
        """Whether all changed entries are written completely as soon as the call is answered."""
        return self in _CHANGES_AT_ONCE


_CHANGES_AT_ONCE = frozenset(
    (
        Spoil.NO_LENGTH,
        Spoil.LENGTH_TOO_LONG,
        Spoil.NO_LAST_CHUNK,
        Spoil.MISSING_BRACE,
        Spoil.STOPS_IN_ENTRY,
        Spoil.TRICKLE,
    )
)


class Discovery:
    """Serves a list of workers at one address. `spoil` says how answers are spoilt now; None if they are not.

    There is one open watch at most: a further call with an index ends the open watch with 503.
    """

    def __init__(self, servers: list[dict[str, object]]) -> None:
        self.servers = {str(entry["id"]): entry for entry in servers}
        self.version = 1
        self.server = Server(self._answer)
        self.state = DiscoveryState.SERVING
        self.open_watches = 0
        self.spoil: Spoil | None = None
        self.spoilt_answers = 0
        self.read_fault: ReadFault | None = None
        self.faulty_reads = 0  # reads that met a read fault
        self.read_received = asyncio.Event()  # set by each read of the whole list
        self._mute_event = asyncio.Event()
        self._replaced_event = asyncio.Event()
        self.calls = 0
        self._changed: dict[str, int] = {}  # the version in which an entry last changed, by its id
        self._before = copy.deepcopy(self.servers)  # the entries before the last change
        self._changed_event = asyncio.Event()

    def change(self, names: str | Sequence[str], **fields: object) -> None:
        """Set fields of one or more entries in one new version of the list, and answer the open watches."""
        self.version += 1
        self._before = copy.deepcopy(self.servers)
        for name in [names] if isinstance(names, str) else names:
            self.servers[name] = {**self.servers[name], **fields}
            self._changed[name] = self.version
        self._wake_watches()

    def whole_list(self) -> dict[str, object]:
        """Return the whole list, in the form of an answer's content."""
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    def _wake_watches(self) -> None:
        """Let all open watches be answered."""
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    @property
    def is_down(self) -> bool:
        """Whether connections are closed without an answer once a call is read."""
        return self.state is DiscoveryState.DOWN

    def set_state(self, state: DiscoveryState) -> None:
        """Change the state; the connections of open watches are closed if discovery is down from now on."""
        self.state = state
        if self.is_down:
            self._wake_watches()

    def mute(self) -> int:
        """Never answer the open watches, as if their connections led nowhere. Return their number."""
        self._mute_event.set()
        self._mute_event = asyncio.Event()
        return self.open_watches

    async def _wait(self, seconds: float) -> WatchEnd:
        """Wait for a change of the list, at most `seconds`, or until the watch is muted or replaced.

        Returns:
            How the watch ended.
        """
        events = (self._changed_event, self._mute_event, self._replaced_event)
        waits = [asyncio.ensure_future(event.wait()) for event in events]
        self.open_watches += 1
        try:
            await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
            if waits[1].done():
                return WatchEnd.SILENT
            return WatchEnd.REPLACED if waits[2].done() else WatchEnd.ANSWERED
        finally:
            self.open_watches -= 1
            for wait in waits:
                wait.cancel()

    async def _answer(self, message: Message) -> bytes | Paced | None:
        self.calls += 1
        if self.is_down:
            return None
        if self.state is DiscoveryState.CROWDED:
            await asyncio.sleep(CROWDED_WAIT_S)
            return http1.response(503)
        path, _, query = message.target.decode("latin-1").partition("?")
        if path != "/discovery/hosts":
            return http1.response(404)
        query_values = {name: values[-1] for name, values in parse_qs(query).items()}
        wait_s = int(query_values.get("wait", "0")) / 1000
        since = int(query_values["index"]) if "index" in query_values else None
        if since is not None:
            self._replaced_event.set()
            self._replaced_event = asyncio.Event()
        if since is None:
            self.read_received.set()
            if self.read_fault is not None:
                return await self._answer_faulty_read(self.read_fault)
        elif wait_s and since >= self.version:
            end = await self._wait(wait_s)
            if end is WatchEnd.REPLACED:
                return http1.response(503)
            if end is WatchEnd.SILENT:
                await asyncio.Event().wait()  # forever: nothing more is sent on this connection
        if self.is_down:
            return None
        return self._answer_by_list(since)

    def _answer_by_list(self, since: int | None) -> bytes | Paced:
        """Return an answer with the changes after version `since`, or with the whole list if it is None."""
        if since is None:
            return self._encode(self.whole_list(), changes=False)
        changed = [self.servers[name] for name, version in self._changed.items() if version > since]
        return self._encode({"version": self.version, "full": False, "servers": changed}, bool(changed))

    async def _answer_faulty_read(self, fault: ReadFault) -> bytes | Paced | None:
        self.faulty_reads += 1
        if fault is ReadFault.RESET:
            return None
        if fault is ReadFault.REFUSED:
            return http1.response(503)
        if fault is ReadFault.SILENT:
            await asyncio.Event().wait()
        stale = self._answer_by_list(None)
        await asyncio.sleep(SLOW_READ_S)
        return stale if fault is ReadFault.STALE else self._answer_by_list(None)

    def _encode(self, content: dict[str, object], changes: bool) -> bytes | Paced:
        """Return the answer with this content, spoilt if `spoil` applies to it.

        `changes` says whether the content is a non-empty list of changes.
        """
        spoil = self.spoil
        if spoil is None or not changes and spoil not in (Spoil.SLOW_BODY, Spoil.ID_AND_STATE):
            return http1.response(200, json.dumps(content).encode())
        self.spoilt_answers += 1
        if spoil.writes_changes_at_once:
            return self._late_or_endless_answer(spoil, content)
        answer = http1.response(200, json.dumps(self._spoilt_content(spoil, content)).encode())
        if spoil is Spoil.SLOW_BODY:
            return Paced(answer, SLOW_ANSWER_S)
        if spoil is Spoil.CUT_BODY:
            return Paced(answer[: -len(answer) // 4], 0.0, cut=True)
        return answer

    def _late_or_endless_answer(self, spoil: Spoil, content: dict[str, object]) -> Paced:
        """Return an answer whose changes are all written at once, and which never ends or ends late."""
        body = json.dumps(content).encode()
        if spoil is Spoil.NO_LENGTH:
            return Paced(b"", 0.0, at_once=_head() + body)
        if spoil is Spoil.LENGTH_TOO_LONG:
            return Paced(b"", 0.0, at_once=_head(len(body) + 1) + body)
        if spoil is Spoil.NO_LAST_CHUNK:
            return Paced(b"", 0.0, at_once=_chunked_head() + b"%x\r\n%s\r\n" % (len(body), body))
        if spoil is Spoil.MISSING_BRACE:
            return Paced(b"", 0.0, at_once=_head(len(body)) + body[:-1])
        servers = content["servers"]
        assert isinstance(servers, list)
        changed = {entry["id"] for entry in servers}
        others = [entry for name, entry in self.servers.items() if name not in changed]
        indent = INDENT if spoil is Spoil.STOPS_IN_ENTRY else None
        body = json.dumps({**content, "servers": servers + others}, indent=indent).encode()
        # Only up to the last changed entry: the separator and brace before the first unchanged entry wait.
        at_once = body.index(json.dumps(others[0]["id"]).encode()) if others else len(body)
        at_once = body.rindex(b"}", 0, at_once) + 1
        if spoil is Spoil.TRICKLE:
            return Paced(body[at_once:], TRICKLE_S, at_once=_head(len(body)) + body[:at_once])
        stop = (at_once + body.index(b"}", at_once)) // 2 if others else at_once
        return Paced(b"", 0.0, at_once=_head(len(body)) + body[:stop])

    def _spoilt_content(self, spoil: Spoil, content: dict[str, object]) -> dict[str, object]:
        servers = content["servers"]
        assert isinstance(servers, list)
        if spoil is Spoil.NO_ENTRIES:
            return {**content, "servers": []}
        if spoil is Spoil.MISSING_ENTRY:
            return {**content, "servers": servers[:-1]}
        if spoil is Spoil.OLD_CONTENT:
            return {**content, "full": True, "servers": list(self._before.values())}
        if spoil is Spoil.ID_AND_STATE:
            return {
                **content,
                "servers": [
                    {"id": entry["id"], "state": entry["state"]} if entry["id"] in self._changed else entry
                    for entry in servers
                ],
            }
        return content


def _head(length: int | None = None) -> bytes:
    """Return the head of an answer with a body of this many bytes; without a stated length if it is None."""
    length_header = b"" if length is None else b"Content-Length: %d\r\n" % length
    return b"HTTP/1.1 200 OK\r\n" + length_header + b"\r\n"


def _chunked_head() -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
