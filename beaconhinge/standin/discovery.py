"""Discovery: the list of workers, whole or as a watch that waits for changes; its answers can be spoilt."""

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

# From the first byte of an answer to its last while answers are slow.
SLOW_ANSWER_S = 2.0
# From the changed entries, which are written at once, to the last of the entries that follow.
TRICKLE_S = 2.4
INDENT = 2
# From a call for the whole list to its answer, while discovery is crowded.
SLOW_READ_S = 0.65


class ReadFault(enum.Enum):
    """How a crowded discovery treats calls for the whole list. Calls with an index are answered at once."""

    LATE = "late"  # answered SLOW_READ_S after they came, with the list as it is then
    STALE = "stale"  # the same, with the list as it was when they came
    SILENT = "silent"  # never answered
    REFUSED = "refused"  # answered 503 at once
    RESET = "reset"  # the connection ends

    @property
    def answers(self) -> bool:
        """Whether the whole list comes in the end."""
        return self in (ReadFault.LATE, ReadFault.STALE)


class WatchEnd(enum.Enum):
    """How a watch ended."""

    ANSWERED = enum.auto()  # there is news, or its time is over
    SILENT = enum.auto()
    REPLACED = enum.auto()  # by a further call with an index


class Spoil(enum.Enum):
    """How answers are spoilt.

    All but SLOW_BODY and ID_AND_STATE leave answers of the whole list as they are.
    """

    NO_ENTRIES = "no-entries"  # changes: the new version, and none of the entries
    MISSING_ENTRY = "missing-entry"  # changes: the last of the entries is left out
    OLD_CONTENT = "old-content"  # in place of changes: all entries as they were, under the new version
    ID_AND_STATE = "id-and-state"  # entries that ever changed carry nothing else, whole lists too
    SLOW_BODY = "slow-body"  # every answer takes SLOW_ANSWER_S from its first byte to its last
    CUT_BODY = "cut-body"  # changes: the connection ends in the middle of the entries
    # Changes whose entries are all written at once, though the answer does not end, or ends late:
    NO_LENGTH = "no-length"  # no length is given, and the connection stays open
    LENGTH_TOO_LONG = "length-too-long"  # by one byte, which never comes
    NO_LAST_CHUNK = "no-last-chunk"  # one chunk with all of it, and nothing after it
    MISSING_BRACE = "missing-brace"  # the last one never comes
    STOPS_IN_ENTRY = "stops-in-entry"  # an entry without a change follows, indented, and stops in its middle
    TRICKLE = "trickle"  # the entries without a change follow in TRICKLE_S, and the answer ends well

    @property
    def writes_changes_at_once(self) -> bool:
        """Whether changed entries are written whole as soon as they are asked for."""
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
    """The list of workers at one address; `spoil` says how answers are spoilt now, if they are.

    It keeps one watch: a further call with an index ends the one that is open with 503.
    """

    def __init__(self, servers: list[dict[str, object]]) -> None:
        self.servers = {str(entry["id"]): entry for entry in servers}
        self.version = 1
        self.server = Server(self._answer)
        self.is_out = False  # it takes calls, and closes their connections without an answer
        self.open_watches = 0  # watches that are open
        self.spoil: Spoil | None = None
        self.spoilt_answers = 0
        self.read_fault: ReadFault | None = None
        self.faulty_reads = 0
        self.read_came = asyncio.Event()  # set by each call for the whole list
        self._mute_event = asyncio.Event()
        self._replaced_event = asyncio.Event()
        self.calls = 0
        self._changed: dict[str, int] = {}  # the version in which an entry last changed
        self._before = copy.deepcopy(self.servers)  # the entries as they were before the last change
        self._changed_event = asyncio.Event()

    def change(self, names: str | Sequence[str], **fields: object) -> None:
        """Change one or more entries in one new version, and notify those who watch."""
        self.version += 1
        self._before = copy.deepcopy(self.servers)
        for name in [names] if isinstance(names, str) else names:
            self.servers[name] = {**self.servers[name], **fields}
            self._changed[name] = self.version
        self._wake()

    def whole(self) -> dict[str, object]:
        """Return the whole list, as an answer has it."""
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    def _wake(self) -> None:
        """All open watches have their answer."""
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    def take_out(self) -> None:
        """Be out from now on: open watches end."""
        self.is_out = True
        self._wake()

    def mute(self) -> int:
        """Let all open watches fall silent, as if their connections led nowhere; return how many."""
        self._mute_event.set()
        self._mute_event = asyncio.Event()
        return self.open_watches

    async def _wait(self, seconds: float) -> WatchEnd:
        """Until there is news, or so long, or another call takes the watch's place."""
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
        if self.is_out:
            return None
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
            self.read_came.set()
            if self.read_fault is not None:
                return await self._answer_faulty_read(self.read_fault)
        elif wait_s and since >= self.version:
            end = await self._wait(wait_s)
            if end is WatchEnd.REPLACED:
                return http1.response(503)
            if end is WatchEnd.SILENT:
                await asyncio.Event().wait()  # nothing more comes on this connection
        if self.is_out:
            return None
        return self._answer_by_list(since)

    def _answer_by_list(self, since: int | None) -> bytes | Paced:
        """The changes after a version, or the whole list."""
        if since is None:
            return self._encode(self.whole(), changes=False)
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
        """The answer's bytes, spoilt where spoilt answers are ordered and it holds `changes`."""
        spoil = self.spoil
        if spoil is None or not changes and spoil not in (Spoil.SLOW_BODY, Spoil.ID_AND_STATE):
            return http1.response(200, json.dumps(content).encode())
        self.spoilt_answers += 1
        if spoil.writes_changes_at_once:
            return self._unended(spoil, content)
        answer = http1.response(200, json.dumps(self._spoilt_content(spoil, content)).encode())
        if spoil is Spoil.SLOW_BODY:
            return Paced(answer, SLOW_ANSWER_S)
        if spoil is Spoil.CUT_BODY:
            return Paced(answer[: -len(answer) // 4], 0.0, cut=True)
        return answer

    def _unended(self, spoil: Spoil, content: dict[str, object]) -> Paced:
        """An answer with all changes written at once, and no end, or a late one."""
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
        # The separator and brace before the first of the others stay unwritten for now.
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
    """The head of an answer of this length; of one without a stated length if it is None."""
    stated = b"" if length is None else b"Content-Length: %d\r\n" % length
    return b"HTTP/1.1 200 OK\r\n" + stated + b"\r\n"


def _chunked_head() -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
