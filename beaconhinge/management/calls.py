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
WORDS = {
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
MAX_LINE = 512  # bytes


class BadCall(Exception):
    """A line that is no call; the text says what is wrong."""


@dataclass(slots=True, frozen=True)
class Call:
    name: str
    word: str = ""


def parse(line: bytes) -> Call:
    """Raises BadCall. The line may end in CR, LF, both or nothing."""
    if len(line) > MAX_LINE:
        raise BadCall(f"the line is over {MAX_LINE} bytes")
    text = line.rstrip(b"\r\n")
    if not text.isascii() or not text.decode("ascii").isprintable():
        raise BadCall("the line is no printable text")
    words = text.decode("ascii").split()
    if not words:
        raise BadCall(f"no call; known are {', '.join(WORDS)}")
    name, *rest = words
    if name not in WORDS:
        raise BadCall(f"{name[:40]}: no such call; known are {', '.join(WORDS)}")
    wanted = 1 if WORDS[name] else 0
    if len(rest) < wanted:
        raise BadCall(f"{name}: {WORDS[name]} is missing")
    if len(rest) > wanted:
        raise BadCall(f"{name}: {rest[wanted][:40]} is one word too many")
    return Call(name, *rest)


def success(text: str) -> bytes:
    return f"SUCCESS {text}\n".encode()


def failure(why: str) -> bytes:
    """One line, whatever the text: it may quote what a caller sent."""
    return b"FAILURE " + why.encode("ascii", "backslashreplace").replace(b"\n", b" ") + b"\n"


def shown(text: str) -> bytes:
    """An answer that shows something stands by itself: the last line tells that it is whole."""
    return text.encode() + b"\nEOT\n"
