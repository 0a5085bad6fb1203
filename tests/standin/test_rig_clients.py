"""The rig's clients share a process: what that one missed is not held against a dispatcher."""

from __future__ import annotations

import asyncio
import socket

import pytest
from virtual_time import PausingClock, run_in_virtual_time

from beaconhinge.net.http1 import Message
from beaconhinge.standin.rig.clients import wait_for_answer


def waited_for(answered: bool, stall_s: float) -> int:
    clock = PausingClock()

    async def scenario() -> int:
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        ours.setblocking(False)

        async def call() -> Message:
            data = await loop.sock_recv(ours, 1)
            for _ in range(3):  # a connection takes some turns to make an answer of what it reads
                await asyncio.sleep(0)
            return Message(status=200 if data else 0)

        def stand_still() -> None:
            if answered:
                theirs.send(b"x")
            clock.sleep(stall_s)

        loop.call_later(0.5, stand_still)
        try:
            return (await wait_for_answer(call(), 1.0)).status
        finally:
            ours.close()
            theirs.close()

    return run_in_virtual_time(clock, scenario())


@pytest.mark.parametrize("stall_s", [0.0, 0.4, 0.499, 0.5, 0.51, 0.54, 0.6, 3.0])
def test_an_answer_that_came_while_the_rig_stood_still_is_read(stall_s: float) -> None:
    # Guards against an answer called missing that lay unread as the rig's own time-out fired (soak 4705).
    assert waited_for(True, stall_s) == 200


@pytest.mark.parametrize("stall_s", [0.0, 3.0])
def test_an_answer_that_never_comes_is_missing_after_a_stall_too(stall_s: float) -> None:
    with pytest.raises(TimeoutError):
        waited_for(False, stall_s)
