"""Ids of open requests, of both processes of a dispatcher while one replaces the other.

Together the two are one dispatcher, so an id that is open in one must not be taken in the other. The older
process decides: it knows its own ids and those that it has granted, and the newer one asks for each request
before it takes it. So there is no moment in which both can take an id. Once the link to the older process has
ended, that process has no open requests, and nobody is asked.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Container

from ..management.frames import FrameKind
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel

CLAIM_TIMEOUT_S = 0.25  # how long the older process may take to decide on an id

SendFrame = Callable[[int, bytes], None]


class Claim(enum.Enum):
    """The result of a claim of an id."""

    GRANTED = "granted"
    IN_USE = "in_use"  # by another open request of this dispatcher
    UNKNOWN = "unknown"  # the older process has not answered in time


class RequestIds:
    """The ids that this process must not take, and the claims of those that it takes.

    `in` tells whether an id is in use as far as this process knows by itself.
    """

    def __init__(self, open_here: Container[str], timers: TimerWheel, metrics: Metrics) -> None:
        """Create the registry; `open_here` holds the ids of the open requests of this process."""
        self._open_here = open_here
        self._timers = timers
        self._metrics = metrics
        self._ask: SendFrame | None = None  # sends a frame to the older process, if it decides on ids
        self._undecided: dict[
            str, asyncio.Future[Claim]
        ] = {}  # claims that the older process has not decided
        self._claimed: set[str] = set()  # ids that the older process has granted, or may have
        self._granted: set[str] = set()  # ids that this process has granted to the newer one

    def __contains__(self, request: object) -> bool:
        """Whether an id is in use here, claimed, or granted to the newer process."""
        return request in self._open_here or request in self._undecided or request in self._granted

    # ---- towards the older process -------------------------------------------------------------------------

    def ask_older_process(self, send_frame: SendFrame) -> None:
        """Claim each id from the older process from now on."""
        self._ask = send_frame

    def older_process_ended(self) -> None:
        """Decide alone from now on. The requests of the older process have ended with it."""
        self._ask = None
        self._claimed.clear()
        for claim in self._undecided.values():
            if not claim.done():
                claim.set_result(Claim.GRANTED)

    async def claim(self, request: str) -> Claim:
        """Claim an id that is not in use here, before its request is taken.

        Returns:
            UNKNOWN if the older process has not decided within CLAIM_TIMEOUT_S.
        """
        if self._ask is None:
            return Claim.GRANTED
        decision: asyncio.Future[Claim] = asyncio.get_running_loop().create_future()
        self._undecided[request] = decision
        self._claimed.add(request)
        self._ask(FrameKind.CLAIM_ID, request.encode())
        try:
            async with self._timers.timeout(CLAIM_TIMEOUT_S):
                claim = await decision
        except TimeoutError:
            claim = Claim.UNKNOWN
        finally:
            del self._undecided[request]
        if claim is Claim.IN_USE:
            self._claimed.discard(request)
        self._metrics.count(f"ids_{claim.value}")
        return claim

    def release(self, request: str) -> None:
        """Give a claimed id back, if its request is not open here."""
        if request in self._claimed and request not in self._open_here:
            self._claimed.discard(request)
            if self._ask is not None:
                self._ask(FrameKind.RELEASE_ID, request.encode())

    def decided(self, request: str, claim: Claim) -> None:
        """Record the older process's decision on a claim; one that comes too late has no effect."""
        decision = self._undecided.get(request)
        if decision is not None and not decision.done():
            decision.set_result(claim)

    # ---- towards the newer process -------------------------------------------------------------------------

    async def grant(self, request: str, send_frame: SendFrame) -> None:
        """Decide on an id that the newer process claims, and answer it by `send_frame`.

        A process that has itself an older one asks that one first. It passes on what it cannot learn in time
        as in use: of three processes two are unknown to the newest.
        """
        if request in self:
            send_frame(FrameKind.ID_IN_USE, request.encode())
            return
        self._granted.add(request)
        if await self.claim(request) is Claim.GRANTED:
            send_frame(FrameKind.ID_GRANTED, request.encode())
        else:
            self._granted.discard(request)
            send_frame(FrameKind.ID_IN_USE, request.encode())

    def released(self, request: str) -> None:
        """Record that the newer process does not use an id any more."""
        self._granted.discard(request)
        self.release(request)

    def newer_process_ended(self) -> None:
        """Take back all ids that were granted: their requests have ended with their process."""
        for request in list(self._granted):
            self.released(request)
