"""Encodes server-sent events (WHATWG HTML, 9.2 "Server-sent events") and parses the headers about them."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

MEDIA_TYPE = "text/event-stream"
_LINE_ENDS = re.compile(r"\r\n|\r|\n")
_EVENT_NAME = re.compile(r"[a-z]+\Z")


def encode_event(name: str, number: int, data: str, retry_ms: int | None = None) -> bytes:
    """Return the text of one event. The format turns line ends in `data` (CR, LF or both) into LF.

    `retry_ms` is the time after which a client reconnects. It is part of an event, since some client
    libraries take a separate block for an empty event. Raises ValueError for a name with other characters
    than a to z.
    """
    if not _EVENT_NAME.match(name):
        raise ValueError(f"{name!r} is not a name of an event: it may have the letters a to z only")
    retry = "" if retry_ms is None else f"retry: {retry_ms}\n"
    lines = "".join(f"data: {line}\n" for line in _LINE_ENDS.split(data))
    return f"event: {name}\nid: {number}\n{retry}{lines}\n".encode("utf-8", "replace")


def encode_comment(text: str) -> bytes:
    """Return comment lines, which clients ignore: they keep a connection alive, or say why a stream ends.

    No empty line follows them, since some client libraries take it for the end of an empty event.
    """
    return "".join(f": {line}\n" for line in _LINE_ENDS.split(text)).encode("utf-8", "replace")


def encode_json_event(
    name: str, number: int, content: Mapping[str, Any], retry_ms: int | None = None
) -> bytes:
    """Return an event whose data is one line of JSON, whatever characters the texts in `content` hold."""
    return encode_event(name, number, msgspec.json.encode(content).decode(), retry_ms)


def parse_last_event_id(text: str) -> int | None:
    """Return the number in a `Last-Event-ID` header, or None for a text that is not an id of our streams."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 9 else None


def accepts_event_stream(header: str) -> bool:
    """Return whether an Accept header prefers a stream of events to other types (RFC 9110, 12.5.1).

    True when `text/event-stream` is listed with a weight above 0 that is not below that of any other listed
    type. Wildcards do not count as listing it, since every client sends `*/*`. Raises nothing.
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
    """Return a q-value as RFC 9110 defines it; a malformed one counts as 0, so that nothing is guessed."""
    return float(text) if re.fullmatch(r"(0(\.\d{0,3})?|1(\.0{0,3})?)", text) else 0.0
