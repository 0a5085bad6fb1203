"""Reads how much memory a process has."""

from __future__ import annotations

from pathlib import Path

KIB_BYTES = 1024


def anonymous_memory_bytes(process_id: int | None = None) -> int:
    """Return the memory that belongs to a process alone, without pages of files, as Linux counts it.

    Args:
        process_id: The process; None for this one.

    Returns:
        Bytes; 0 if the process has ended or the system does not tell.
    """
    status = Path("/proc", "self" if process_id is None else str(process_id), "status")
    try:
        lines = status.read_text(encoding="ascii", errors="replace").splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * KIB_BYTES
    return 0
