"""The few operations on files that the store needs, as an interface, and the real ones.

Blocking: the store calls them on its own thread. Errors are OSErrors, as the system gives them. A simulated
disk that cuts, tears and loses lives in `beaconhinge.standin.disk`.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    def write(self, data: bytes | memoryview, offset: int) -> int:
        """Bytes written, which may be fewer than given."""

    def read(self, offset: int, size: int) -> bytes:
        """Up to `size` bytes; fewer at the end of the file."""

    def size(self) -> int: ...

    def truncate(self, size: int) -> None: ...

    def sync(self) -> None:
        """What was written, and the file's size, outlast a cut from here on. Raises OSError for good."""

    def close(self) -> None: ...


class Disk(Protocol):
    """One folder of files."""

    def lock(self) -> None:
        """Take the folder for this process. Raises BlockingIOError when another has it."""

    def unlock(self) -> None: ...

    def names(self) -> list[str]: ...

    def create(self, name: str) -> File:
        """A new, empty file. Raises FileExistsError."""

    def open(self, name: str, write: bool = False) -> File: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None:
        """Created, renamed and removed names outlast a cut from here on."""


class RealFile:
    def __init__(self, descriptor: int) -> None:
        self._fd = descriptor

    def write(self, data: bytes | memoryview, offset: int) -> int:
        return os.pwrite(self._fd, data, offset)

    def read(self, offset: int, size: int) -> bytes:
        data = os.pread(self._fd, size, offset)
        if len(data) == size or not data:
            return data
        parts = [data]  # a read may stop short of what is there
        while (got := sum(map(len, parts))) < size and (more := os.pread(self._fd, size - got, offset + got)):
            parts.append(more)
        return b"".join(parts)

    def size(self) -> int:
        return os.fstat(self._fd).st_size

    def truncate(self, size: int) -> None:
        os.ftruncate(self._fd, size)

    def sync(self) -> None:
        os.fdatasync(self._fd)  # with the size, which it needs to find the bytes again

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class RealDisk:
    LOCK = "LOCK"

    def __init__(self, folder: str | os.PathLike[str], make: bool = True) -> None:
        """`make`: the folder is created when it is not there. Raises OSError."""
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
    """Continue short writes to the end. Raises OSError."""
    done = 0
    view = memoryview(data)
    while done < len(data):
        done += file.write(view[done:] if done else data, offset + done)


def read_whole(disk: Disk, name: str) -> bytes:
    """Raises OSError."""
    file = disk.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def size_of(disk: Disk, name: str) -> int:
    """Raises OSError."""
    file = disk.open(name)
    try:
        return file.size()
    finally:
        file.close()


def replace(disk: Disk, name: str, data: bytes) -> None:
    """Put a whole file in place of the old one, so that a cut leaves one or the other. Raises OSError.

    The name is durable only after the next `sync_names`.
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
