"""Watches the memory of all dispatcher processes of a run, all along."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ...runtime.process_memory import anonymous_memory_bytes
from .process import Process

CHECK_INTERVAL_S = 0.05


class MemoryWatch:
    """Records the most memory that each dispatcher had.

    Attributes:
        peak_bytes: By number of the dispatcher, over all its incarnations.
    """

    def __init__(self, processes: Sequence[Process]) -> None:
        """Watch these processes once `run` is called."""
        self._processes = processes
        self.peak_bytes: dict[int, int] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for process in self._processes:
                if process.process_id is not None:
                    memory_bytes = anonymous_memory_bytes(process.process_id)
                    self.peak_bytes[process.number] = max(
                        memory_bytes, self.peak_bytes.get(process.number, 0)
                    )
            await asyncio.sleep(CHECK_INTERVAL_S)
