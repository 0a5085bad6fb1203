"""A disk in memory that keeps only what was synced: it cuts, tears, loses, fills up and flips bits on demand.

It separates what was written from what was synced. At a cut any part of the rest is left: each unsynced write
whole, torn at a byte, or not at all, in any order; names that were created, renamed or removed with or
without effect. One seed replays a run. The model is the harshest that POSIX allows short of lying about a
sync; `flip` and `fail` do that.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

# Size of a block that is lost from the middle of a write: small, as the tests' writes are.
HOLE_BYTES = 16
# Draws from which on a change survives a cut.
KEEP_FROM = 0.5


class Cut(BaseException):
    """The power is gone. No code of the store may catch it, nor run on after it."""


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


def _do(content: bytearray, op: _Write | _Truncate) -> None:
    if isinstance(op, _Truncate):
        del content[op.size :]
        content.extend(bytes(op.size - len(content)))
        return
    content.extend(bytes(max(0, op.offset - len(content))))  # a hole reads as zeros
    content[op.offset : op.offset + len(op.data)] = op.data


def _do_name(names: dict[str, _Inode], change: _NameChange) -> None:
    if isinstance(change, _Link):
        names[change.name] = change.inode
    elif isinstance(change, _Unlink):
        names.pop(change.name, None)
    else:
        names.pop(change.old, None)
        names[change.new] = change.inode


# An int: a write that stops after so many bytes.
Fault: TypeAlias = "OSError | int"


def _no_fault(_what: str, _name: str, _size: int) -> Fault | None:
    return None


class SimFile:
    """An open file of the disk in memory."""

    def __init__(self, disk: SimDisk, name: str, inode: _Inode) -> None:
        self._disk = disk
        self._name = name
        self._inode = inode

    def write(self, data: bytes | memoryview, offset: int) -> int:
        """Write at an offset; return how many bytes, which a fault may make fewer.

        Raises:
            Cut: The power went.
            OSError: A fault.
        """
        data = bytes(data)
        fault = self._disk.step("write", self._name, len(data))
        if fault is not None:
            data = data[:fault]
        self._put(_Write(offset, data))
        self._disk.used += len(data)
        if fault is not None and self._disk.cutting:
            raise Cut
        return len(data)

    def read(self, offset: int, size: int) -> bytes:
        """Read up to so many bytes; raise OSError if the file is unreadable."""
        if self._name in self._disk.unreadable:
            raise OSError(errno.EIO, "unreadable")
        return bytes(self._inode.current[offset : offset + size])

    def size(self) -> int:
        """Return the size in bytes."""
        return len(self._inode.current)

    def truncate(self, size: int) -> None:
        """Set the size; a hole reads as zeros."""
        self._disk.step("truncate", self._name)
        self._disk.used -= len(self._inode.current) - size
        self._put(_Truncate(size))

    def sync(self) -> None:
        """Make what was written so far durable."""
        self._disk.step("sync", self._name)
        self._inode.synced = bytearray(self._inode.current)
        self._inode.pending.clear()

    def _put(self, op: _Write | _Truncate) -> None:
        _do(self._inode.current, op)
        self._inode.pending.append(op)

    def close(self) -> None:
        """Do nothing: an open file holds no resource."""
        pass


class SimDisk:
    """One folder.

    `cut_at` is the operation before which the power goes, and for a write, `cut_byte` the byte of it.
    """

    def __init__(self, cut_at: int | None = None, cut_byte: int = 0) -> None:
        self.cut_at = cut_at
        self.cut_byte = cut_byte
        self.cutting = False
        self.steps = 0
        self.log: list[tuple[str, str, int]] = []  # of operations: what, file, bytes
        self.faults: Callable[[str, str, int], Fault | None] = _no_fault
        self.unreadable: set[str] = set()
        self.used = 0
        self._names: dict[str, _Inode] = {}
        self._synced: dict[str, _Inode] = {}
        self._changes: list[_NameChange] = []
        self._locked = False

    def step(self, what: str, name: str, size: int = 0) -> int | None:
        """Count an operation that changes the disk; return the bytes that a write stops after, if it does."""
        if self.cutting:
            raise Cut
        number, self.steps = self.steps, self.steps + 1
        self.log.append((what, name, size))
        if number == self.cut_at:
            self.cutting = True
            if what != "write":
                raise Cut
            return self.cut_byte
        fault = self.faults(what, name, size)
        if isinstance(fault, OSError):
            raise fault
        return fault

    # ---- the interface of beaconhinge.store.disk.Disk ------------------------------------------------------

    def lock(self) -> None:
        """Lock the folder; raise BlockingIOError if it is."""
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
        """Create a file and open it; raise FileExistsError if there is one."""
        self.step("create", name)
        if name in self._names:
            raise FileExistsError(name)
        inode = _Inode()
        self._change(_Link(name, inode))
        return SimFile(self, name, inode)

    def open(self, name: str, write: bool = False) -> SimFile:  # noqa: ARG002 - the interface has it
        """Open a file; raise FileNotFoundError if there is none."""
        if name not in self._names:
            raise FileNotFoundError(name)
        return SimFile(self, name, self._names[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file; the other one of that name goes."""
        self.step("rename", new)
        self._change(_Rename(old, new, self._names[old]))

    def remove(self, name: str) -> None:
        """Remove a file; raise FileNotFoundError if there is none."""
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
        _do_name(self._names, change)
        self._changes.append(change)

    # ---- cuts and damage -----------------------------------------------------------------------------------

    def after_cut(self, keep: Callable[[], float]) -> SimDisk:
        """Return what is found at the next start.

        `keep` draws a number for each thing that was not synced: it is lost below 1/3, complete above 2/3,
        and a write is torn or has a hole in between.
        """
        survivor = SimDisk()
        copies: dict[_Inode, _Inode] = {}
        names = dict(self._synced)
        for change in self._changes:
            if keep() >= KEEP_FROM:
                _do_name(names, change)
        for name, inode in names.items():
            if inode not in copies:
                copies[inode] = self._survivor(inode, keep)
            survivor._names[name] = copies[inode]
        survivor._synced = dict(survivor._names)
        return survivor

    @staticmethod
    def _survivor(inode: _Inode, keep: Callable[[], float]) -> _Inode:
        content = bytearray(inode.synced)
        for op in inode.pending:
            drawn = keep()
            if drawn < 1 / 3:
                continue
            if isinstance(op, _Write) and drawn < 2 / 3:
                # Its blocks reach the disk in any order: it stops short, or a block in its middle is lost.
                part = int((drawn * 6 - 2) % 1 * (len(op.data) + 1))
                _do(content, _Write(op.offset, op.data[:part] if drawn < KEEP_FROM else op.data))
                if drawn >= KEEP_FROM:
                    _do(content, _Write(op.offset + part, bytes(min(HOLE_BYTES, len(op.data) - part))))
                continue
            _do(content, op)
        return _Inode(bytearray(content), content)

    def killed(self) -> SimDisk:
        """Return what is found after the process alone has died: everything, synced or not as before."""
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
        """Return `killed`, with the last write to a file stopped after so many bytes."""
        survivor = self.killed()
        inode = survivor._names[name]
        last = inode.pending[-1]
        assert isinstance(last, _Write)
        last = inode.pending[-1] = _Write(last.offset, last.data[:byte])
        inode.current = bytearray(inode.synced)
        for op in inode.pending:
            _do(inode.current, op)
        return survivor

    def content(self, name: str) -> bytes:
        """Return what a reader sees of a file."""
        return bytes(self._names[name].current)

    def put(self, name: str, content: bytes) -> None:
        """Place a file, durable, as if somebody had copied it in."""
        self._names[name] = self._synced[name] = _Inode(bytearray(content), bytearray(content))

    def drop(self, name: str) -> None:
        """Delete a file durably, as if somebody had deleted it."""
        del self._names[name], self._synced[name]

    def flip(self, name: str, offset: int, bit: int) -> None:
        """Change one bit for good."""
        inode = self._names[name]
        for content in (inode.current, inode.synced):
            content[offset] ^= 1 << bit

    def fresh(self) -> SimDisk:
        """Return the same files, all of them durable, on a disk without a past."""
        return self.killed().after_cut(lambda: 1.0)


def full(after_bytes: int, disk: SimDisk) -> Callable[[str, str, int], Fault | None]:
    """Faults of a disk that holds so many more bytes: a write stops at the edge, the next one gets ENOSPC."""
    limit = disk.used + after_bytes

    def fault(what: str, _name: str, size: int) -> Fault | None:
        if what != "write" or disk.used + size <= limit:
            return None
        return limit - disk.used or OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    return fault


def failing(what: str, code: int, times: int = 1, name: str = "") -> Callable[[str, str, int], Fault | None]:
    """Faults that let the first operations of a kind (on files whose names end so) fail with an errno."""
    remaining = [times]

    def fault(done: str, file: str, _size: int) -> Fault | None:
        if done != what or not file.endswith(name) or not remaining[0]:
            return None
        remaining[0] -= 1
        return OSError(code, os.strerror(code))

    return fault


def draws(kind: str | int) -> Callable[[], float]:
    """How a cut treats what was not synced: "all" is kept, "none" is, or as a seed decides."""
    if isinstance(kind, str):
        return {"all": lambda: 1.0, "none": lambda: 0.0}[kind]
    return random.Random(kind).random


def cuts(log: Sequence[tuple[str, str, int]]) -> Iterator[tuple[int, int]]:
    """Every place at which a recorded run can be cut: before each operation, and at every byte of a write."""
    for number, (what, _, size) in enumerate(log):
        for byte in range(size + 1) if what == "write" else (0,):
            yield number, byte
