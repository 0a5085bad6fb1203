"""The rig's clients share a process: a stall of that process must not make a dispatcher's answer missing."""

from __future__ import annotations

import asyncio
import socket

import pytest
from virtual_time import PausingClock, run_in_virtual_time

from beaconhinge.net.http1 import Message
from beaconhinge.standin.rig.clients import wait_for_answer


def status_after_stall(answered: bool, stall_s: float) -> int:
    """Wait 1 s for an answer while the process stands still for `stall_s` from 0.5 s on; return its status.

    If `answered`, the answer arrives as the stall begins. If not, there is none.

    Raises:
        TimeoutError: No answer was read.
    """
    clock = PausingClock()

    async def scenario() -> int:
        loop = asyncio.get_running_loop()
        client_socket, server_socket = socket.socketpair()
        client_socket.setblocking(False)

        async def call() -> Message:
            data = await loop.sock_recv(client_socket, 1)
            for _ in range(3):  # a connection takes some turns of the event loop to parse an answer
                await asyncio.sleep(0)
            return Message(status=200 if data else 0)

        def stand_still() -> None:
            if answered:
                server_socket.send(b"x")
            clock.sleep(stall_s)

        loop.call_later(0.5, stand_still)
        try:
            return (await wait_for_answer(call(), 1.0)).status
        finally:
            client_socket.close()
            server_socket.close()

    return run_in_virtual_time(clock, scenario())


@pytest.mark.parametrize("stall_s", [0.0, 0.4, 0.499, 0.5, 0.51, 0.54, 0.6, 3.0])
def test_an_answer_that_arrives_while_the_rig_stands_still_is_read(stall_s: float) -> None:
    # Guards against an answer that counts as missing because it was still unread when the rig's own time-out
    # fired (soak 4705).
    assert status_after_stall(True, stall_s) == 200


@pytest.mark.parametrize("stall_s", [0.0, 3.0])
def test_an_answer_that_never_arrives_is_missing_after_a_stall_too(stall_s: float) -> None:
    with pytest.raises(TimeoutError):
        status_after_stall(False, stall_s)
