"""Datagrams between dispatchers: to whom they are sent, and from whom they are accepted."""

from __future__ import annotations

import asyncio
import os
import signal
import socket

import pytest
from harness import Harness, ScriptedPolicy, run_scenario

from beaconhinge.policy import interface


@pytest.mark.parametrize(("target", "arrives"), [(-1, True), (1, True), (7, False)])
def test_datagrams_are_sent_to_one_or_all_and_accepted_from_peers_only(
    monkeypatch: pytest.MonkeyPatch, target: int, arrives: bool
) -> None:
    module = ScriptedPolicy([interface.SendToPeer(b"hello", target), interface.Reject(1)])
    monkeypatch.setattr("beaconhinge.application.Dispatcher", lambda settings, seed: module)

    async def scenario(harness: Harness) -> None:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
        ):
            peer.bind(("127.0.0.1", harness.other_port))
            peer.settimeout(0.2)
            await harness.post()
            if arrives:
                assert peer.recv(300) == b"hello"
            else:
                with pytest.raises(TimeoutError):
                    peer.recv(300)
            for sender, payload in (
                (stranger, b"stranger"),
                (peer, b"x" * 257),
                (peer, b""),
                (peer, b"known"),
            ):
                sender.sendto(payload, ("127.0.0.1", harness.peer_port))
            received = [
                event
                for event in [await module.events.get() for _ in range(3)]
                if isinstance(event, interface.PeerMessage)
            ]
            assert received == [interface.PeerMessage(1, b""), interface.PeerMessage(1, b"known")]

    run_scenario(scenario)


def test_stopping_dispatcher_sends_no_more_datagrams(monkeypatch: pytest.MonkeyPatch) -> None:
    module = ScriptedPolicy([interface.SendToPeer(b"before", 1), interface.Reject(1)])
    monkeypatch.setattr("beaconhinge.application.Dispatcher", lambda settings, seed: module)

    async def scenario(harness: Harness) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", harness.other_port))
            peer.settimeout(0.2)
            await harness.post()
            assert peer.recv(300) == b"before"
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0.05)
            module.on[interface.JobArrived] = [interface.SendToPeer(b"after", 1), interface.Reject(1)]
            await harness.post(X_Request_ID="r2")
            with pytest.raises(TimeoutError):
                peer.recv(300)

    run_scenario(scenario)


def test_malformed_gossip_datagrams_do_not_stop_the_dispatcher() -> None:
    async def scenario(harness: Harness) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", harness.other_port))
            for size in (0, 1, 16, 17, 256):
                peer.sendto(b"\x6f\x73" + b"\xff" * size, ("127.0.0.1", harness.peer_port))
        request = asyncio.create_task(harness.post())
        await harness.workers[0].seen.get()
        await harness.callback(state="done", result="fine")
        assert (await request).status == 200

    run_scenario(scenario)
