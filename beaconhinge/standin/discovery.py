"""Discovery: the list of boxes, whole or as a watch that waits for changes."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs

from ..net import http1
from ..net.http1 import Message
from .http import Server


class Discovery:
    def __init__(self, servers: list[dict[str, object]]) -> None:
        self.servers = {str(entry["id"]): entry for entry in servers}
        self.version = 1
        self.server = Server(self._answer)
        self.out = False  # it takes calls and ends them without a word
        self.waiting = 0  # watches that are open
        self._muted = asyncio.Event()
        self.calls = 0
        self._changed: dict[str, int] = {}  # the version in which an entry last changed
        self._news = asyncio.Event()

    def change(self, name: str, **fields: object) -> None:
        """Change an entry, and tell those who watch."""
        self.version += 1
        self.servers[name] = {**self.servers[name], **fields}
        self._changed[name] = self.version
        self._wake()

    def whole(self) -> dict[str, object]:
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    def _wake(self) -> None:
        """All open watches have their answer."""
        self._news.set()
        self._news = asyncio.Event()

    def go(self) -> None:
        """Be out from now on: open watches end."""
        self.out = True
        self._wake()

    def mute(self) -> int:
        """Let all open watches fall silent, as if their connections led nowhere; how many."""
        self._muted.set()
        self._muted = asyncio.Event()
        return self.waiting

    async def _wait(self, seconds: float) -> bool:
        """Until there is news, or so long; False if the watch has fallen silent meanwhile."""
        ways = [asyncio.ensure_future(way.wait()) for way in (self._news, self._muted)]
        self.waiting += 1
        try:
            await asyncio.wait(ways, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
            return not ways[1].done()
        finally:
            self.waiting -= 1
            for way in ways:
                way.cancel()

    async def _answer(self, message: Message) -> bytes | None:
        self.calls += 1
        if self.out:
            return None
        path, _, query = message.target.decode("latin-1").partition("?")
        if path != "/discovery/hosts":
            return http1.response(404)
        asked = {name: values[-1] for name, values in parse_qs(query).items()}
        if "index" not in asked:
            return http1.response(200, json.dumps(self.whole()).encode())
        since = int(asked["index"])
        if since >= self.version and not await self._wait(int(asked.get("wait", "0")) / 1000):
            await asyncio.Event().wait()  # nothing more comes on this connection
        if self.out:
            return None
        changed = [self.servers[name] for name, version in self._changed.items() if version > since]
        return http1.response(200, json.dumps(
            {"version": self.version, "full": False, "servers": changed}).encode())
