"""The protocol of operators' calls: a caller sends one line and receives one answer. Pure.

A line holds the name of a call and, if the call takes one, an argument such as a worker's id, separated by
blanks. An answer is one line that starts with `SUCCESS` or `FAILURE`; the answer to `show-stat` is its
figures followed by a line `EOT` instead.
"""

from __future__ import annotations

from dataclasses import dataclass

READY, SHOW_STAT, DRAIN, RESUME = "ready", "show-stat", "drain", "resume"
DISABLE, ENABLE = "disable-server", "enable-server"
LEASE_LIST, LEASE_TAKE, LEASE_GIVE = "lease-list", "lease-take", "lease-give"
LEASE_HAND_OVER = "lease-hand-over"
TAKE_OVER = "take-over"  # sent by a new process of the same dispatcher, not by operators
# The argument of each call, as texts of errors name it; empty if the call takes none.
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
MAX_LINE_BYTES = 512


class InvalidCallError(Exception):
    """A line is not a valid call; the text says what is wrong with it."""


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """One call of an operator; `argument` is empty if the call takes none."""

    name: str
    argument: str = ""


def parse(line: bytes) -> OperatorCall:
    """Return the call in a line, which may end in CR, LF, both or nothing.

    Raises:
        InvalidCallError: The line is not a valid call.
    """
    if len(line) > MAX_LINE_BYTES:
        raise InvalidCallError(f"the line is over {MAX_LINE_BYTES} bytes")
    text = line.rstrip(b"\r\n")
    if not text.isascii() or not text.decode("ascii").isprintable():
        raise InvalidCallError("the line is no printable text")
    words = text.decode("ascii").split()
    if not words:
        raise InvalidCallError(f"no call; known are {', '.join(ARGUMENT_BY_CALL)}")
    name, *arguments = words
    if name not in ARGUMENT_BY_CALL:
        raise InvalidCallError(f"{name[:40]}: no such call; known are {', '.join(ARGUMENT_BY_CALL)}")
    expected = 1 if ARGUMENT_BY_CALL[name] else 0
    if len(arguments) < expected:
        raise InvalidCallError(f"{name}: {ARGUMENT_BY_CALL[name]} is missing")
    if len(arguments) > expected:
        raise InvalidCallError(f"{name}: {arguments[expected][:40]} is one word too many")
    return OperatorCall(name, *arguments)


def success(text: str) -> bytes:
    """Return the answer to a call that was carried out."""
    return f"SUCCESS {text}\n".encode()


def failure(reason: str) -> bytes:
    """Return the answer to a call that was not carried out.

    Always one line of ASCII, since `reason` may quote what a caller sent.
    """
    return b"FAILURE " + reason.encode("ascii", "backslashreplace").replace(b"\n", b" ") + b"\n"


def multi_line(text: str) -> bytes:
    """Return an answer that shows `text`; its last line, `EOT`, marks it as complete."""
    return text.encode() + b"\nEOT\n"
