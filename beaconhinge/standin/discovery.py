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


class Discovery:
    """The list of workers at one address; `spoil` says how answers are spoilt now, if they are."""

    def __init__(self, servers: list[dict[str, object]]) -> None:
        self.servers = {str(entry["id"]): entry for entry in servers}
        self.version = 1
        self.server = Server(self._answer)
        self.is_out = False  # it takes calls, and closes their connections without an answer
        self.open_watches = 0  # watches that are open
        self.spoil: Spoil | None = None
        self.spoilt_answers = 0
        self._mute_event = asyncio.Event()
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

    async def _wait(self, seconds: float) -> bool:
        """Until there is news, or so long; False if the watch has fallen silent meanwhile."""
        waits = [asyncio.ensure_future(event.wait()) for event in (self._changed_event, self._mute_event)]
        self.open_watches += 1
        try:
            await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
            return not waits[1].done()
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
        if "index" not in query_values:
            return self._encode(self.whole(), changes=False)
        since = int(query_values["index"])
        if since >= self.version and not await self._wait(int(query_values.get("wait", "0")) / 1000):
            await asyncio.Event().wait()  # nothing more comes on this connection
        if self.is_out:
            return None
        changed = [self.servers[name] for name, version in self._changed.items() if version > since]
        return self._encode({"version": self.version, "full": False, "servers": changed}, bool(changed))

    def _encode(self, content: dict[str, object], changes: bool) -> bytes | Paced:
        """The answer's bytes, spoilt if that is the order of the moment and `changes` are told in it."""
        spoil = self.spoil
        if spoil is None or not changes and spoil not in (Spoil.SLOW_BODY, Spoil.ID_AND_STATE):
            return http1.response(200, json.dumps(content).encode())
        self.spoilt_answers += 1
        answer = http1.response(200, json.dumps(self._spoilt_content(spoil, content)).encode())
        if spoil is Spoil.SLOW_BODY:
            return Paced(answer, SLOW_ANSWER_S)
        if spoil is Spoil.CUT_BODY:
            return Paced(answer[: -len(answer) // 4], 0.0, cut=True)
        return answer

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
