"""Server-sent events as text (WHATWG HTML, 9.2 "Server-sent events"): events out, `Last-Event-ID` in."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

MEDIA_TYPE = "text/event-stream"
_ENDS = re.compile(r"\r\n|\r|\n")
_NAME = re.compile(r"[a-z]+\Z")


def encode_event(name: str, number: int, data: str, retry_ms: int | None = None) -> bytes:
    """One event. Line ends in `data` (CR, LF or both) reach the reader as LF, as the format has it.

    `retry_ms` tells how long a reader waits before it comes back. It goes with an event, since some client
    libraries take a block of its own for an empty event. Raises ValueError for a name that is no plain word.
    """
    if not _NAME.match(name):
        raise ValueError(f"{name!r} is no name of an event")
    retry = "" if retry_ms is None else f"retry: {retry_ms}\n"
    lines = "".join(f"data: {line}\n" for line in _ENDS.split(data))
    return f"event: {name}\nid: {number}\n{retry}{lines}\n".encode("utf-8", "replace")


def encode_comment(text: str) -> bytes:
    """Lines that readers pass over: they keep a link alive, or tell a person why a stream ends.

    Without an empty line behind them, which some client libraries take for the end of an empty event.
    """
    return "".join(f": {line}\n" for line in _ENDS.split(text)).encode("utf-8", "replace")


def encode_json_event(
    name: str, number: int, content: Mapping[str, Any], retry_ms: int | None = None
) -> bytes:
    """An event whose data is one line of JSON, whatever the texts in it hold."""
    return encode_event(name, number, msgspec.json.encode(content).decode(), retry_ms)


def parse_last_event_id(text: str) -> int | None:
    """The number that a reader names, or None for what no stream of ours has given out."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 9 else None


def accepts_event_stream(header: str) -> bool:
    """Whether an Accept header asks for a stream of events before anything else (RFC 9110, 12.5.1).

    True when `text/event-stream` is named and its weight is above 0 and not under that of any other type.
    Without being named it is not asked for: `*/*` is what every client sends. Raises nothing.
    """
    stream_weight, best_other_weight = 0.0, 0.0
    for part in header.split(","):
        kind, *parameters = (piece.strip().lower() for piece in part.split(";"))
        weight = 1.0
        for parameter in parameters:
            name, _, value = parameter.partition("=")
            if name.strip() == "q":
                weight = _weight(value.strip())
        if kind == MEDIA_TYPE:
            stream_weight = max(stream_weight, weight)
        elif kind and kind != "*/*":
            best_other_weight = max(best_other_weight, weight)
    return stream_weight > 0 and stream_weight >= best_other_weight


def _weight(text: str) -> float:
    """A q-value as RFC 9110 has it; one that is malformed counts as 0, so that nothing is guessed."""
    return float(text) if re.fullmatch(r"(0(\.\d{0,3})?|1(\.0{0,3})?)", text) else 0.0
