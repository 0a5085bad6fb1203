"""What the store raises. `docs/operate/store.md` tells an operator what each one asks for."""

from __future__ import annotations

from ..errors import Error


class StoreError(Error):
    """Base of all of the store's errors."""


class StoreCorrupt(StoreError):
    """Bytes that were durable once are not what was written. Nothing on disk has been changed.

    `file` is the name within the folder, `offset` the first byte of what cannot be trusted.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class StoreUnreadable(StoreError):
    """The disk would not give bytes back. Nothing was changed; another read may succeed."""


class StoreVersion(StoreError):
    """A file was written in a newer format than this program reads."""

    def __init__(self, file: str, found: int, known: int) -> None:
        super().__init__(f"{file}: format version {found}; this program reads up to {known}")
        self.file = file
        self.found = found


class StoreFull(StoreError):
    """No room for this commit, on the disk or within a limit. Its bytes are undone; later ones may fit."""


class StoreTooLarge(StoreError):
    """A key, a value or a batch is over its limit: the same commit can never succeed."""


class StoreFailed(StoreError):
    """The disk failed in a way after which nothing more may be written: the store is read-only for good."""


class StoreLocked(StoreError):
    """Another process has the folder open."""


class StoreClosed(StoreError):
    """The store was closed."""
