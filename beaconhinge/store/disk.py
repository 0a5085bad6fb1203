"""The file operations that the store needs, as protocols, and their implementation on a real disk.

They block: the store calls them on its own thread. Errors are the system's OSErrors.
`beaconhinge.standin.disk` simulates a disk with power cuts, torn writes and lost data.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """An open file."""

    def write(self, data: bytes | memoryview, offset: int) -> int:
        """Write at `offset` and return the number of bytes written, which may be fewer than given."""

    def read(self, offset: int, size: int) -> bytes:
        """Return `size` bytes from `offset` on, or fewer at the end of the file."""

    def size(self) -> int: ...

    def truncate(self, size: int) -> None: ...

    def sync(self) -> None:
        """Make the written bytes and the file's size durable, so that they survive a power cut.

        Raises OSError; a later call that succeeds does not prove these bytes durable.
        """

    def close(self) -> None: ...


class Disk(Protocol):
    """One folder of files."""

    def lock(self) -> None:
        """Lock the folder for this process. Raises BlockingIOError when another process holds the lock."""

    def unlock(self) -> None: ...

    def names(self) -> list[str]: ...

    def create(self, name: str) -> File:
        """Create an empty file and open it. Raises FileExistsError."""

    def open(self, name: str, write: bool = False) -> File: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None:
        """Make created, renamed and removed names durable, so that they survive a power cut."""


class RealFile:
    """A `File` over a file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._fd = descriptor

    def write(self, data: bytes | memoryview, offset: int) -> int:
        return os.pwrite(self._fd, data, offset)

    def read(self, offset: int, size: int) -> bytes:
        data = os.pread(self._fd, size, offset)
        if len(data) == size or not data:
            return data
        chunks = [data]  # a read may return fewer bytes than the file holds
        while (received := sum(map(len, chunks))) < size and (
            more := os.pread(self._fd, size - received, offset + received)
        ):
            chunks.append(more)
        return b"".join(chunks)

    def size(self) -> int:
        return os.fstat(self._fd).st_size

    def truncate(self, size: int) -> None:
        os.ftruncate(self._fd, size)

    def sync(self) -> None:
        os.fdatasync(self._fd)  # syncs the size as well, since the data could not be read back without it

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class RealDisk:
    """A `Disk` over a folder of the file system."""

    LOCK = "LOCK"

    def __init__(self, folder: str | os.PathLike[str], make: bool = True) -> None:
        """Create the folder when it does not exist and `make` is set. Raises OSError."""
        self.folder = Path(folder)
        if make and not self.folder.is_dir():
            self.folder.mkdir(parents=True, mode=0o700)
            self._sync(self.folder.parent)
        self._lock = -1

    def lock(self) -> None:
        self._lock = os.open(self.folder / self.LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.unlock()
            raise

    def unlock(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.folder) if name != self.LOCK)

    def create(self, name: str) -> RealFile:
        return RealFile(os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600))

    def open(self, name: str, write: bool = False) -> RealFile:
        return RealFile(os.open(self.folder / name, (os.O_RDWR if write else os.O_RDONLY) | os.O_CLOEXEC))

    def rename(self, old: str, new: str) -> None:
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        os.unlink(self.folder / name)

    def sync_names(self) -> None:
        self._sync(self.folder)

    @staticmethod
    def _sync(folder: Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def write_all(file: File, data: bytes, offset: int) -> None:
    """Write all of `data` at `offset`, continuing after short writes. Raises OSError."""
    written = 0
    view = memoryview(data)
    while written < len(data):
        written += file.write(view[written:] if written else data, offset + written)


def read_whole(disk: Disk, name: str) -> bytes:
    """Return the content of a file. Raises OSError."""
    file = disk.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def file_size(disk: Disk, name: str) -> int:
    """Return the size of a file in bytes. Raises OSError."""
    file = disk.open(name)
    try:
        return file.size()
    finally:
        file.close()


def replace(disk: Disk, name: str, data: bytes) -> None:
    """Replace a file atomically: after a power cut it has either the old or the new content. Raises OSError.

    The replacement is durable only after the next `sync_names`.
    """
    temporary = name + ".tmp"
    if temporary in disk.names():
        disk.remove(temporary)
    file = disk.create(temporary)
    try:
        write_all(file, data, 0)
        file.sync()
    finally:
        file.close()
    disk.rename(temporary, name)
