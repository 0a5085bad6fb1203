"""Log lines as JSON or logfmt; event names, fields and rate limits are those of `runtime.metrics`."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from typing import Any, Literal, TextIO

import structlog

MOST = 200  # characters of one value: a peer's bytes fill no disk


def _bounded(_logger: object, _method: str, fields: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    for key, value in fields.items():
        if isinstance(value, float):
            fields[key] = round(value, 3)
        elif not isinstance(value, (bool, int)):
            fields[key] = str(value)[:MOST].encode("ascii", "backslashreplace").decode()
    return fields


def writer(
    form: Literal["logfmt", "json"], sink: TextIO, now: Callable[[], float]
) -> Callable[[str, dict[str, object]], None]:
    """A line for each call, with the Unix time and the event first. Raises OSError when nobody reads it."""
    renderer: Any = structlog.processors.JSONRenderer()
    if form == "logfmt":
        renderer = structlog.processors.LogfmtRenderer(key_order=["time", "event"])
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sink),
        processors=[_bounded, renderer],
        wrapper_class=structlog.BoundLogger,
        context_class=dict,
    )

    def write(event: str, fields: dict[str, object]) -> None:
        logger.new(time=now()).msg(event, **fields)

    return write
