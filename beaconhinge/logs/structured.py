"""Writes log lines as JSON or logfmt; event names, fields and rate limits come from `runtime.metrics`."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from typing import Any, Literal, TextIO

import structlog

MAX_VALUE_CHARS = 200  # of one field, so that bytes sent by a peer cannot fill the disk


def _bound_values(
    _logger: object, _method: str, fields: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Round floats to three decimals; cut and escape other values, so that none can forge a log line."""
    for key, value in fields.items():
        if isinstance(value, float):
            fields[key] = round(value, 3)
        elif not isinstance(value, (bool, int)):
            fields[key] = str(value)[:MAX_VALUE_CHARS].encode("ascii", "backslashreplace").decode()
    return fields


def writer(
    form: Literal["logfmt", "json"], sink: TextIO, now: Callable[[], float]
) -> Callable[[str, dict[str, object]], None]:
    """Return a function that writes one log line to `sink`: Unix time in seconds, event, then the fields.

    The function raises OSError when `sink` cannot be written, such as a pipe whose reader has ended.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if form == "logfmt":
        renderer = structlog.processors.LogfmtRenderer(key_order=["time", "event"])
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sink),
        processors=[_bound_values, renderer],
        wrapper_class=structlog.BoundLogger,
        context_class=dict,
    )

    def write(event: str, fields: dict[str, object]) -> None:
        logger.new(time=now()).msg(event, **fields)

    return write
