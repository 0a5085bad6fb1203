"""Parses an endpoint list while it arrives, to find the workers that it takes out of service.

No I/O. The list is JSON; its pieces may end anywhere, also within an escape or a character. Taking a worker
out of service because of a part of a list is safe. Putting a worker into service is not, nor is recording the
version of a list whose end has not been received. So an entry is reported here as soon as its last byte has
arrived, and only if it takes its worker out of service. Everything else waits for the end of the answer
(`discovery_watch.py`).
"""

from __future__ import annotations

import codecs
import enum
import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ..policy.interface import WorkerState
from .inventory import STATES_BY_NAME, WorkerList, id_and_state

# The longest text that is kept because a key, a value or an entry in it is incomplete. An entry takes some
# 200 characters; a longer text is taken to be malformed, so that it is not scanned again with each further
# piece.
MAX_INCOMPLETE_CHARACTERS = 16 * 1024
# The most entries that are kept until the version of their list is known, if the version follows them.
MAX_ENTRIES_WITHOUT_VERSION = 4096

WHITESPACE_PATTERN = re.compile(r"[ \t\n\r]*")
# An entry without escapes or nested values, and the comma after it. Most entries leave their workers in
# service; this pattern skips them without decoding them.
PLAIN_ENTRY_PATTERN = re.compile(r'\{[^"{}\[\]\\]*+(?:"[^"\\]*+"[^"{}\[\]\\]*+)*+\}[ \t\n\r]*+,[ \t\n\r]*+')
LEAVING_STATE_PATTERN = re.compile(
    "|".join(name for name, state in STATES_BY_NAME.items() if state is not WorkerState.READY)
)


class _Incomplete(Exception):  # noqa: N818  # not an error: further pieces have to arrive
    """The next token has not arrived, or not completely."""


class _Position(enum.Enum):
    """Which part of the JSON is read next."""

    OPENING = enum.auto()  # the brace before the first key
    KEY = enum.auto()
    AFTER_VALUE = enum.auto()  # the comma or brace after a key's value
    ENTRY = enum.auto()  # an entry, or the end of an empty list
    AFTER_ENTRY = enum.auto()
    END = enum.auto()  # the whole list has been read
    MALFORMED = enum.auto()  # the text is malformed, and nothing more is read


@dataclass(frozen=True, slots=True)
class LeavingEntries:
    """Entries of a list that take their workers out of service.

    Attributes:
        version: The version of the list.
        entries: The decoded entries, each with a readable id and state.
    """

    version: int
    entries: list[Mapping[str, Any]] = field(default_factory=list)

    def to_worker_list(self) -> WorkerList:
        """Return a list of changes that holds the ids and states of these entries alone."""
        states = dict(id_and_state(entry) for entry in self.entries)
        known_states = {name: state for name, state in states.items() if state is not None}
        return WorkerList(
            self.version,
            is_snapshot=False,
            unparsed_ids=list(known_states),
            unparsed_states=known_states,
        )


class PartialListReader:
    """Reads one answer of discovery, piece by piece.

    Attributes:
        version: The version of the list; None until it has been read.
    """

    def __init__(self) -> None:
        """Start before the first byte of an answer's body."""
        self.version: int | None = None
        self._characters = codecs.getincrementaldecoder("utf-8-sig")("replace")
        self._json = json.JSONDecoder()
        self._text = ""  # the text that has not been read completely
        self._next = 0  # the index in the text of the next character to read
        self._position = _Position.OPENING
        self._leaving_entries: list[Mapping[str, Any]] = []  # entries of leaving workers, not yet returned

    @property
    def complete(self) -> bool:
        """Whether the JSON of the list has been read to its end."""
        return self._position is _Position.END

    def feed(self, part: bytes) -> LeavingEntries | None:
        """Read the next piece; no content makes it raise.

        Returns:
            The entries, completed by this piece, that take a worker out of service; None if there are none,
            or if the version of the list has not been read yet.
        """
        if self._position in (_Position.END, _Position.MALFORMED):
            return None
        self._text += self._characters.decode(part)
        try:
            while self._position not in (_Position.END, _Position.MALFORMED):
                self._read_next()
        except _Incomplete:
            self._text, self._next = self._text[self._next :], 0
            if len(self._text) > MAX_INCOMPLETE_CHARACTERS:
                self._position = _Position.MALFORMED
        if self._position in (_Position.END, _Position.MALFORMED):
            self._text = ""
        return self._take_entries()

    def _take_entries(self) -> LeavingEntries | None:
        if self.version is None or not self._leaving_entries:
            return None
        found, self._leaving_entries = LeavingEntries(self.version, self._leaving_entries), []
        return found

    def _read_next(self) -> None:
        """Read one key with its value, one entry, or one character between them."""
        match self._position:
            case _Position.OPENING:
                self._expect({"{": _Position.KEY})
            case _Position.KEY:
                self._read_key()
            case _Position.AFTER_VALUE:
                self._expect({",": _Position.KEY, "}": _Position.END})
            case _Position.ENTRY:
                self._read_entry()
            case _:
                self._expect({",": _Position.ENTRY, "]": _Position.AFTER_VALUE})

    def _peek(self) -> str:
        """Return the next character that is not white space, without reading it.

        Raises:
            _Incomplete: If no such character has arrived.
        """
        blanks = WHITESPACE_PATTERN.match(self._text, self._next)
        self._next = blanks.end() if blanks else self._next
        if self._next == len(self._text):
            raise _Incomplete
        return self._text[self._next]

    def _expect(self, positions: Mapping[str, _Position]) -> None:
        """Read one of these characters, and continue at its position."""
        self._position = positions.get(self._peek(), _Position.MALFORMED)
        self._next += 1

    def _decode(self, start: int) -> tuple[Any, int]:
        """Decode a whole value, and return it with the index after it.

        Raises:
            _Incomplete: If the value is incomplete, malformed or too deeply nested.
        """
        try:
            return self._json.raw_decode(self._text, start)
        except RecursionError:
            self._position = _Position.MALFORMED
            raise _Incomplete from None
        except ValueError:  # the value is malformed or incomplete, which can't be distinguished here
            raise _Incomplete from None

    def _read_key(self) -> None:
        """Read a key and its value, or the opening bracket alone if the value is the list of entries."""
        key_start, start = self._next, 0
        try:
            if self._peek() != '"':
                self._position = _Position.MALFORMED
                return
            key, self._next = self._decode(self._next)
            if self._peek() != ":":
                self._position = _Position.MALFORMED
                return
            self._next += 1
            if self._peek() == "[" and key == "servers":
                self._next, self._position = self._next + 1, _Position.ENTRY
                return
            start = self._next
            value, self._next = self._decode(start)
            self._peek()  # a number may continue in the next piece
        except _Incomplete:
            self._next = key_start
            raise
        if key == "version" and type(value) is int and value >= 0:
            self.version = value
        self._position = _Position.AFTER_VALUE

    def _skip_entries_in_service(self) -> None:
        """Skip plain entries without a state that takes their workers out of service."""
        text, start = self._text, self._next
        leaving = LEAVING_STATE_PATTERN.search(text, start)
        end = leaving.start() if leaving else len(text)
        while (entry := PLAIN_ENTRY_PATTERN.match(text, start)) is not None and entry.end() <= end:
            start = entry.end()
        self._next = start

    def _read_entry(self) -> None:
        self._peek()
        self._skip_entries_in_service()
        if self._peek() == "]":
            self._next, self._position = self._next + 1, _Position.AFTER_VALUE
            return
        entry, end = self._decode(self._next)
        worker_id, state = id_and_state(entry)
        leaves = bool(worker_id) and state in (WorkerState.DRAINING, WorkerState.GONE)
        if leaves and len(self._leaving_entries) < MAX_ENTRIES_WITHOUT_VERSION:
            self._leaving_entries.append(entry)
        self._next, self._position = end, _Position.AFTER_ENTRY
