"""The two tasks that call discovery in sequence: the watch, and the reads beside it."""

from __future__ import annotations

import asyncio
import math
import random

from ..config import Address
from ..membership.call_retries import CallFailure
from ..membership.discovery_call import DiscoveryCall
from ..membership.discovery_watch import DiscoveryWatch
from ..membership.list_reads import ListReads
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel
from .discovery_channel import DiscoveryChannel
from .late_answers import LateAnswers
from .list_updates import AnswerDecider, ListUpdates
from .watch_gaps import WatchEnd, WatchGaps


class DiscoveryCalls:
    """Makes one watch after the other, and one read after the other while a watch is open.

    Attributes:
        address: The address at which discovery is called.
        read_wanted: Callers set it when the next read, or its time, may have changed.
        call_ended: Set when a call that is not a watch has been answered or has failed.
    """

    def __init__(
        self,
        address: Address,
        watch: DiscoveryWatch,
        reads: ListReads,
        updates: ListUpdates,
        timers: TimerWheel,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Prepare the calls without making one.

        Args:
            address: The address at which discovery is called.
            watch: Decides when to watch, and which calls to make before watching again.
            reads: Decides when to read the list beside the watch.
            updates: Applies the answers.
            timers: The clock.
            metrics: Where calls are counted.
            rng: Source of the jitter of retries.
        """
        self.address = address
        self.read_wanted = asyncio.Event()
        self.call_ended = asyncio.Event()
        self._watch = watch
        self._reads = reads
        self._updates = updates
        self._timers = timers
        self._metrics = metrics
        self._random = rng
        self._late_answers = LateAnswers(timers, metrics)
        self._watch_gaps = WatchGaps(timers, metrics)
        self._watch_channel = self._new_channel(watch)
        self._read_channel = self._new_channel(reads)
        self._watch_task: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[None] | None = None

    @property
    def started(self) -> bool:
        """Whether `restart` has been called, and not `stop` since."""
        return self._watch_task is not None

    @property
    def running(self) -> bool:
        """Whether the task that watches is running."""
        return self._watch_task is not None and not self._watch_task.done()

    def restart(self, why: str, pause_s: float = 0.0) -> None:
        """Make a call that returns at once, then continue with watches and the reads beside them.

        Args:
            why: The reason, which is logged with the calls that this cancels.
            pause_s: Seconds before the first call.
        """
        self.stop(why)
        self._watch.catch_up()
        self._start_watch(pause_s)
        self.restart_reads(why)

    def stop(self, why: str) -> None:
        """Cancel the calls in flight, if there are any; `why` is logged."""
        if self._watch_task is not None:
            self._watch_channel.give_up(why, self._updates.version)
            self._watch_task.cancel()
            self._watch_task = None
            self._watch_gaps.start_gap(WatchEnd.CANCELLED)
        self._stop_reads(why)

    def switch_to(self, address: Address) -> None:
        """Call another discovery from now on, and ignore late answers of the one before."""
        self._late_answers.close()
        self.address = address

    def restart_reads(self, why: str) -> None:
        """Abandon the read in flight, if there is one, and start the reads that are due now."""
        self._stop_reads(why)
        self._read_channel = self._new_channel(self._reads)
        self._read_task = self._metrics.spawn(self._read_loop(self._read_channel), "list reads")

    def _stop_reads(self, why: str) -> None:
        if self._read_task is not None:
            self._read_channel.give_up(why, self._updates.version)
            self._read_task.cancel()
            self._read_task = None

    def _start_watch(self, pause_s: float = 0.0) -> None:
        self._watch_channel = self._new_channel(self._watch)
        self._watch_task = self._metrics.spawn(self._watch_loop(self._watch_channel, pause_s), "watch")

    def _reopen_watch(self, why: str) -> None:
        """Replace the open watch with a watch that starts from the current version."""
        if self._watch_task is not None:
            self._watch_channel.give_up(why, self._updates.version)
            self._watch_task.cancel()
            self._watch_gaps.start_gap(WatchEnd.CANCELLED)
            self._start_watch()

    async def _watch_loop(self, channel: DiscoveryChannel, pause_s: float) -> None:
        """Make one watch after the other, the next as soon as the answer to the last allows it."""
        try:
            while True:
                await channel.wait_and_read(pause_s)
                call = self._watch.next_call(self._timers.now())
                if call.is_watch:
                    self._watch_gaps.end_gap()
                outcome = await channel.call(self.address, call)
                if isinstance(outcome, CallFailure):
                    now, jitter = self._timers.now(), self._random.random()
                    pause_s = self._watch.handle_failure(call, outcome, now, jitter)
                    self._watch_gaps.start_gap(_watch_end(outcome))
                else:
                    pause_s = outcome.pause_s
                    self._watch_gaps.start_gap(WatchEnd.ANSWERED)
                self._finish_call(call)
        finally:
            channel.close()

    async def _read_loop(self, channel: DiscoveryChannel) -> None:
        """Make one read after the other, while the watch is open or about to be opened."""
        try:
            while True:
                await self._wait_until_read_due(channel)
                call = self._reads.next_call()
                outcome = await channel.call(self.address, call)
                if isinstance(outcome, CallFailure):
                    self._reads.handle_failure(call, outcome, self._timers.now(), self._random.random())
                elif outcome.renumbered:
                    self._reopen_watch("renumbered")
                self._finish_call(call)
        finally:
            channel.close()

    async def _wait_until_read_due(self, channel: DiscoveryChannel) -> None:
        while True:
            self.read_wanted.clear()
            due = self._reads.seconds_until_call(self._timers.now()) if self._watch.watching else math.inf
            if due <= 0.0:
                return
            await channel.wait_and_read(due, self.read_wanted)

    def _finish_call(self, call: DiscoveryCall) -> None:
        if not call.is_watch:
            self.call_ended.set()
        self.read_wanted.set()
        self._updates.update_availability()

    def _new_channel(self, decider: AnswerDecider) -> DiscoveryChannel:
        return DiscoveryChannel(decider, self._updates, self._timers, self._metrics, self._late_answers)


def _watch_end(failure: CallFailure) -> WatchEnd:
    if failure.refused_by_discovery:
        return WatchEnd.REFUSED
    return WatchEnd.SILENT if failure.silent else WatchEnd.FAILED
