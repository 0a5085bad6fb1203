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
        self.calls = 0
        self._changed: dict[str, int] = {}  # the version in which an entry last changed
        self._news = asyncio.Event()

    def change(self, name: str, **fields: object) -> None:
        """Change an entry, and tell those who watch."""
        self.version += 1
        self.servers[name] = {**self.servers[name], **fields}
        self._changed[name] = self.version
        self._news.set()
        self._news = asyncio.Event()

    def whole(self) -> dict[str, object]:
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

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
        if since >= self.version:
            try:
                async with asyncio.timeout(int(asked.get("wait", "0")) / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
        changed = [self.servers[name] for name, version in self._changed.items() if version > since]
        return http1.response(200, json.dumps(
            {"version": self.version, "full": False, "servers": changed}).encode())
