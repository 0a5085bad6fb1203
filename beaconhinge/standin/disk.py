"""A simulated disk in memory, with power cuts, torn and lost writes, a full disk and flipped bits on demand.

It separates what was written from what was synced. After a power cut only synced data is sure to be there. Of
the rest, each write survives completely, torn at a byte, or not at all, in any order; each creation, renaming
or removal of a name survives or not. A seed reproduces a run. The model is the harshest that POSIX allows,
except that a sync never falsely reports success; `flip` and `failing` simulate disks that break POSIX.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

# Size in bytes of a block that is lost from the middle of a write; small, because the tests write little.
HOLE_BYTES = 16
# Smallest drawn number at which a change of names survives a power cut, and an incomplete write has a hole
# instead of a torn end.
KEEP_FROM = 0.5


class Cut(BaseException):
    """The power was cut. No code of the store may catch it, nor go on after it."""


@dataclass(slots=True)
class _Write:
    offset: int
    data: bytes


@dataclass(slots=True)
class _Truncate:
    size: int


@dataclass(eq=False)
class _Inode:
    synced: bytearray = field(default_factory=bytearray)
    current: bytearray = field(default_factory=bytearray)
    pending: list[_Write | _Truncate] = field(default_factory=list)


@dataclass(slots=True)
class _Link:
    name: str
    inode: _Inode


@dataclass(slots=True)
class _Unlink:
    name: str


@dataclass(slots=True)
class _Rename:
    old: str
    new: str
    inode: _Inode


_NameChange: TypeAlias = _Link | _Unlink | _Rename


def _apply(content: bytearray, op: _Write | _Truncate) -> None:
    """Apply an operation to a file's content."""
    if isinstance(op, _Truncate):
        del content[op.size :]
        content.extend(bytes(op.size - len(content)))
        return
    content.extend(bytes(max(0, op.offset - len(content))))  # a hole reads as zeros
    content[op.offset : op.offset + len(op.data)] = op.data


def _apply_name_change(names: dict[str, _Inode], change: _NameChange) -> None:
    """Apply a change of names to a folder."""
    if isinstance(change, _Link):
        names[change.name] = change.inode
    elif isinstance(change, _Unlink):
        names.pop(change.name, None)
    else:
        names.pop(change.old, None)
        names[change.new] = change.inode


# A fault of an operation: the error that it raises, or the number of bytes after which a write stops.
Fault: TypeAlias = "OSError | int"


def _no_fault(_operation: str, _name: str, _size: int) -> Fault | None:
    return None


class SimFile:
    """An open file of the simulated disk."""

    def __init__(self, disk: SimDisk, name: str, inode: _Inode) -> None:
        self._disk = disk
        self._name = name
        self._inode = inode

    def write(self, data: bytes | memoryview, offset: int) -> int:
        """Write at an offset in bytes; return the number of bytes written, which a fault may make smaller.

        Raises:
            Cut: The power was cut.
            OSError: A simulated fault.
        """
        data = bytes(data)
        fault = self._disk.step("write", self._name, len(data))
        if fault is not None:
            data = data[:fault]
        self._record(_Write(offset, data))
        self._disk.used += len(data)
        if fault is not None and self._disk.cutting:
            raise Cut
        return len(data)

    def read(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes from an offset; raise OSError if the file is unreadable."""
        if self._name in self._disk.unreadable:
            raise OSError(errno.EIO, "unreadable")
        return bytes(self._inode.current[offset : offset + size])

    def size(self) -> int:
        """Return the file's size in bytes."""
        return len(self._inode.current)

    def truncate(self, size: int) -> None:
        """Set the file's size in bytes; a hole reads as zeros."""
        self._disk.step("truncate", self._name)
        self._disk.used -= len(self._inode.current) - size
        self._record(_Truncate(size))

    def sync(self) -> None:
        """Make all writes to the file so far durable."""
        self._disk.step("sync", self._name)
        self._inode.synced = bytearray(self._inode.current)
        self._inode.pending.clear()

    def _record(self, op: _Write | _Truncate) -> None:
        """Apply an operation, and keep it as pending until the next sync."""
        _apply(self._inode.current, op)
        self._inode.pending.append(op)

    def close(self) -> None:
        """Do nothing: an open file holds no resource."""
        pass


class SimDisk:
    """One folder on a simulated disk.

    The power is cut before the operation with the number `cut_at`, or, if that is a write, after its first
    `cut_byte` bytes; never if `cut_at` is None.
    """

    def __init__(self, cut_at: int | None = None, cut_byte: int = 0) -> None:
        self.cut_at = cut_at
        self.cut_byte = cut_byte
        self.cutting = False
        self.steps = 0  # number of operations so far that change the disk
        self.log: list[tuple[str, str, int]] = []  # these operations: kind, file, bytes
        self.faults: Callable[[str, str, int], Fault | None] = _no_fault
        self.unreadable: set[str] = set()
        self.used = 0  # bytes
        self._names: dict[str, _Inode] = {}
        self._synced: dict[str, _Inode] = {}
        self._changes: list[_NameChange] = []  # since the names were last synced
        self._locked = False

    def step(self, operation: str, name: str, size: int = 0) -> int | None:
        """Record an operation that changes the disk, and apply the cut or fault that is due.

        Returns:
            The number of bytes after which a write stops; None if the operation is not cut short.

        Raises:
            Cut: The power is cut.
            OSError: A simulated fault.
        """
        if self.cutting:
            raise Cut
        number, self.steps = self.steps, self.steps + 1
        self.log.append((operation, name, size))
        if number == self.cut_at:
            self.cutting = True
            if operation != "write":
                raise Cut
            return self.cut_byte
        fault = self.faults(operation, name, size)
        if isinstance(fault, OSError):
            raise fault
        return fault

    # ---- the interface of beaconhinge.store.disk.Disk ------------------------------------------------------

    def lock(self) -> None:
        """Lock the folder; raise BlockingIOError if it is locked already."""
        if self._locked:
            raise BlockingIOError
        self._locked = True

    def unlock(self) -> None:
        """Unlock the folder."""
        self._locked = False

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._names)

    def create(self, name: str) -> SimFile:
        """Create a file and return it open; raise FileExistsError if the name exists."""
        self.step("create", name)
        if name in self._names:
            raise FileExistsError(name)
        inode = _Inode()
        self._change(_Link(name, inode))
        return SimFile(self, name, inode)

    def open(self, name: str, write: bool = False) -> SimFile:  # noqa: ARG002 - the interface has it
        """Return an open file; raise FileNotFoundError if the name does not exist."""
        if name not in self._names:
            raise FileNotFoundError(name)
        return SimFile(self, name, self._names[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file; a file that has the new name is removed."""
        self.step("rename", new)
        self._change(_Rename(old, new, self._names[old]))

    def remove(self, name: str) -> None:
        """Remove a file; raise FileNotFoundError if the name does not exist."""
        self.step("remove", name)
        if name not in self._names:
            raise FileNotFoundError(name)
        self.used -= len(self._names[name].current)
        self._change(_Unlink(name))

    def sync_names(self) -> None:
        """Make all changes of names durable."""
        self.step("sync", ".")
        self._synced = dict(self._names)
        self._changes.clear()

    def _change(self, change: _NameChange) -> None:
        _apply_name_change(self._names, change)
        self._changes.append(change)

    # ---- cuts and damage -----------------------------------------------------------------------------------

    def after_cut(self, keep: Callable[[], float]) -> SimDisk:
        """Return the disk as it is found at the next start after a power cut.

        `keep` draws a number from 0 to 1 for each unsynced operation. A write or truncation is lost below 1/3
        and complete from 2/3 on; in between, a write is torn below KEEP_FROM and has a hole from there on. A
        change of names is lost below KEEP_FROM.
        """
        survivor = SimDisk()
        copies: dict[_Inode, _Inode] = {}
        names = dict(self._synced)
        for change in self._changes:
            if keep() >= KEEP_FROM:
                _apply_name_change(names, change)
        for name, inode in names.items():
            if inode not in copies:
                copies[inode] = self._surviving_inode(inode, keep)
            survivor._names[name] = copies[inode]
        survivor._synced = dict(survivor._names)
        return survivor

    @staticmethod
    def _surviving_inode(inode: _Inode, keep: Callable[[], float]) -> _Inode:
        """Return the file that a power cut leaves; `keep` as in `after_cut`."""
        content = bytearray(inode.synced)
        for op in inode.pending:
            drawn = keep()
            if drawn < 1 / 3:
                continue
            if isinstance(op, _Write) and drawn < 2 / 3:
                # The blocks of a write reach the disk in any order: its end or a block in its middle is lost.
                part = int((drawn * 6 - 2) % 1 * (len(op.data) + 1))
                _apply(content, _Write(op.offset, op.data[:part] if drawn < KEEP_FROM else op.data))
                if drawn >= KEEP_FROM:
                    _apply(content, _Write(op.offset + part, bytes(min(HOLE_BYTES, len(op.data) - part))))
                continue
            _apply(content, op)
        return _Inode(bytearray(content), content)

    def killed(self) -> SimDisk:
        """Return the disk as it is found after only the process has died.

        All writes are there; those that were not synced before are not synced yet.
        """
        survivor = SimDisk()
        copies: dict[_Inode, _Inode] = {}
        for inode in [
            *self._names.values(),
            *self._synced.values(),
            *(c.inode for c in self._changes if not isinstance(c, _Unlink)),
        ]:
            copies.setdefault(
                inode, _Inode(bytearray(inode.synced), bytearray(inode.current), list(inode.pending))
            )
        survivor._names = {name: copies[inode] for name, inode in self._names.items()}
        survivor._synced = {name: copies[inode] for name, inode in self._synced.items()}
        for change in self._changes:
            if isinstance(change, _Unlink):
                survivor._changes.append(change)
            elif isinstance(change, _Link):
                survivor._changes.append(_Link(change.name, copies[change.inode]))
            else:
                survivor._changes.append(_Rename(change.old, change.new, copies[change.inode]))
        return survivor

    def torn(self, name: str, byte: int) -> SimDisk:
        """Return the disk as `killed` does, but with the last write to a file stopped after `byte` bytes."""
        survivor = self.killed()
        inode = survivor._names[name]
        last = inode.pending[-1]
        assert isinstance(last, _Write)
        last = inode.pending[-1] = _Write(last.offset, last.data[:byte])
        inode.current = bytearray(inode.synced)
        for op in inode.pending:
            _apply(inode.current, op)
        return survivor

    def content(self, name: str) -> bytes:
        """Return a file's content as a reader sees it, synced or not."""
        return bytes(self._names[name].current)

    def put(self, name: str, content: bytes) -> None:
        """Create or replace a file durably, as if an operator had copied it into the folder."""
        self._names[name] = self._synced[name] = _Inode(bytearray(content), bytearray(content))

    def drop(self, name: str) -> None:
        """Delete a file durably, as if an operator had deleted it."""
        del self._names[name], self._synced[name]

    def flip(self, name: str, offset: int, bit: int) -> None:
        """Flip one bit of a file, durably."""
        inode = self._names[name]
        for content in (inode.current, inode.synced):
            content[offset] ^= 1 << bit

    def fresh(self) -> SimDisk:
        """Return a new disk with the same files, all of them durable, and without log, cuts or faults."""
        return self.killed().after_cut(lambda: 1.0)


def full(after_bytes: int, disk: SimDisk) -> Callable[[str, str, int], Fault | None]:
    """Return the faults of a disk that is full after `after_bytes` more bytes.

    The write that reaches the limit stops there, and the next one gets ENOSPC.
    """
    limit = disk.used + after_bytes

    def fault(operation: str, _name: str, size: int) -> Fault | None:
        if operation != "write" or disk.used + size <= limit:
            return None
        return limit - disk.used or OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    return fault


def failing(what: str, code: int, times: int = 1, name: str = "") -> Callable[[str, str, int], Fault | None]:
    """Return faults by which the first `times` operations of a kind fail.

    Args:
        what: Kind of the operations.
        code: The errno that they fail with.
        times: Number of operations that fail.
        name: Suffix of the names of the files that are affected.
    """
    remaining = [times]

    def fault(operation: str, file: str, _size: int) -> Fault | None:
        if operation != what or not file.endswith(name) or not remaining[0]:
            return None
        remaining[0] -= 1
        return OSError(code, os.strerror(code))

    return fault


def draws(kind: str | int) -> Callable[[], float]:
    """Return the draws that `SimDisk.after_cut` takes.

    With "all" every unsynced operation survives a power cut, with "none" no such operation does. With an int,
    random draws with that seed decide.
    """
    if isinstance(kind, str):
        return {"all": lambda: 1.0, "none": lambda: 0.0}[kind]
    return random.Random(kind).random


def cuts(log: Sequence[tuple[str, str, int]]) -> Iterator[tuple[int, int]]:
    """Yield every `cut_at` and `cut_byte` of a recorded run: each operation, and each byte of a write."""
    for number, (operation, _, size) in enumerate(log):
        for byte in range(size + 1) if operation == "write" else (0,):
            yield number, byte
