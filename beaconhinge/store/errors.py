"""The store's exceptions. `docs/operate/store.md` describes what an operator should do about each of them."""

from __future__ import annotations

from ..errors import Error


class StoreError(Error):
    """Base class of the store's errors."""


class StoreCorrupt(StoreError):
    """Bytes that were durable differ from what was written. Nothing on disk has been changed.

    Attributes:
        file: name within the folder.
        offset: first byte that cannot be trusted.
        reason: what is wrong there.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class StoreUnreadable(StoreError):
    """The disk failed to read bytes. Nothing was changed; another read may succeed."""


class StoreVersion(StoreError):
    """A file has a newer format version than this program reads."""

    def __init__(self, file: str, found: int, supported: int) -> None:
        super().__init__(f"{file}: format version {found}; this program reads up to {supported}")
        self.file = file
        self.found = found


class StoreFull(StoreError):
    """A commit has no room, on the disk or within a limit. Its bytes are undone; later commits may fit."""


class StoreTooLarge(StoreError):
    """A key, a value or a batch is over its size limit: the same commit can never succeed."""


class StoreFailed(StoreError):
    """The disk failed in a way after which nothing more may be written: the store stays read-only."""


class StoreLocked(StoreError):
    """Another process has the folder open."""


class StoreClosed(StoreError):
    """The store has been closed."""
