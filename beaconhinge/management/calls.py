"""The operators' calls: one line in, one answer out. Pure.

A line is a call's name and, where the call has one, a worker's id, parted by blanks. An answer starts with
`SUCCESS` or `FAILURE`; that of `show-stat` is the figures and a line `EOT` in place of this.
"""

from __future__ import annotations

from dataclasses import dataclass

READY, SHOW_STAT, DRAIN, RESUME = "ready", "show-stat", "drain", "resume"
DISABLE, ENABLE = "disable-server", "enable-server"
LEASE_LIST, LEASE_TAKE, LEASE_GIVE = "lease-list", "lease-take", "lease-give"
LEASE_HAND_OVER = "lease-hand-over"
TAKE_OVER = "take-over"  # between two processes of one dispatcher
# What each call needs beside its name.
ARGUMENT_BY_CALL = {
    READY: "",
    SHOW_STAT: "",
    DRAIN: "",
    RESUME: "",
    DISABLE: "a worker's id",
    ENABLE: "a worker's id",
    LEASE_LIST: "",
    LEASE_TAKE: "a lease's name",
    LEASE_GIVE: "a lease's name",
    LEASE_HAND_OVER: "a lease's name",
    TAKE_OVER: "the word that a process has left",
}
MAX_LINE_BYTES = 512  # bytes


class InvalidCallError(Exception):
    """A line that is no call; the text says what is wrong."""


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """One call of an operator, with its argument where it has one."""

    name: str
    argument: str = ""


def parse(line: bytes) -> OperatorCall:
    """Read a call from a line, which may end in CR, LF, both or nothing.

    Raises:
        InvalidCallError: The line is no call.
    """
    if len(line) > MAX_LINE_BYTES:
        raise InvalidCallError(f"the line is over {MAX_LINE_BYTES} bytes")
    text = line.rstrip(b"\r\n")
    if not text.isascii() or not text.decode("ascii").isprintable():
        raise InvalidCallError("the line is no printable text")
    words = text.decode("ascii").split()
    if not words:
        raise InvalidCallError(f"no call; known are {', '.join(ARGUMENT_BY_CALL)}")
    name, *rest = words
    if name not in ARGUMENT_BY_CALL:
        raise InvalidCallError(f"{name[:40]}: no such call; known are {', '.join(ARGUMENT_BY_CALL)}")
    wanted = 1 if ARGUMENT_BY_CALL[name] else 0
    if len(rest) < wanted:
        raise InvalidCallError(f"{name}: {ARGUMENT_BY_CALL[name]} is missing")
    if len(rest) > wanted:
        raise InvalidCallError(f"{name}: {rest[wanted][:40]} is one word too many")
    return OperatorCall(name, *rest)


def success(text: str) -> bytes:
    """The answer to a call that was carried out."""
    return f"SUCCESS {text}\n".encode()


def failure(why: str) -> bytes:
    """The answer to a call that was not; one line, whatever the text: it may quote what a caller sent."""
    return b"FAILURE " + why.encode("ascii", "backslashreplace").replace(b"\n", b" ") + b"\n"


def multi_line(text: str) -> bytes:
    """An answer that shows something; its last line says that it is complete."""
    return text.encode() + b"\nEOT\n"
