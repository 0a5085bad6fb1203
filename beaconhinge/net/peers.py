"""Datagrams between dispatchers."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

from ..config import Config
from ..dispatch.policy_runner import PolicyRunner
from ..policy import interface
from ..runtime.metrics import Metrics
from ..runtime.timer_wheel import TimerWheel

MAX_DATAGRAM_BYTES = 256
MAX_DROPPED_DATAGRAMS = 4096  # at once; what a socket holds by default is fewer
READS_IN_A_TURN = 64  # datagrams, before others have their turn
HEARD_WITHIN_S = 1.5  # without a datagram for longer, no other dispatcher counts as there


class PeerSocket:
    """The socket for datagrams between dispatchers.

    Attributes:
        talk: by first byte, who takes such datagrams, with the sender's number; the rest go to the policy.
        woken: whether the process has just gone on after a stall.
    """

    def __init__(
        self, config: Config, policy_runner: PolicyRunner, timers: TimerWheel, metrics: Metrics
    ) -> None:
        self.config = config
        self.timers = timers
        self.policy_runner = policy_runner
        self.metrics = metrics
        self.set_addresses(config)
        self._sock: socket.socket | None = None
        self._heard_at = -math.inf
        self._leaving = False
        self.handlers: dict[int, Callable[[int, bytes], None]] = {}
        self.has_just_stalled: Callable[[], bool] = lambda: False
        policy_runner.action_handlers[interface.SendToPeer] = self._on_send

    def set_addresses(self, config: Config) -> None:
        """Reach the other dispatchers at the addresses of this configuration from now on."""
        self.peers, self.everyone = config.peers, config.peers_all
        self.numbers = {address: number for number, address in enumerate(config.peers)}

    def listen(self) -> None:
        """Receive from now on, where the configuration has an address for it.

        Raises:
            OSError: the address cannot be used.
        """
        if self.config.peer_listen is None:
            return
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        if self.config.mgmt is not None:  # another process of this dispatcher may be there already
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(self.config.peer_listen)
        self._leaving = False
        asyncio.get_running_loop().add_reader(self._sock, self._read)

    def stop_sending(self) -> None:
        """Send nothing more, so that no other dispatcher counts on this one."""
        self._leaving = True

    def close(self) -> None:
        """Close the socket: another process of this dispatcher receives and sends from now on."""
        self.stop_sending()
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def others_heard(self) -> bool:
        """Whether another dispatcher was heard lately; where they cannot be heard, whether there are any."""
        if self._sock is None:
            return self.config.settings.group_size > 1
        return self.timers.now() - self._heard_at < HEARD_WITHIN_S

    def _read(self) -> None:
        assert self._sock is not None
        if self.has_just_stalled():
            return  # whatever waited is out of date
        for _ in range(READS_IN_A_TURN):
            try:
                payload, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an earlier datagram found nobody: no fault of the socket
                self.metrics.count_and_log("datagram_failed", why=error)
                return
            number = self.numbers.get(sender)
            if number is None or len(payload) > MAX_DATAGRAM_BYTES:
                self.metrics.count_and_log("datagram_malformed", sender=sender[0], bytes=len(payload))
                continue
            self.metrics.count("datagrams_received")
            if number != self.config.settings.own_number:
                self._heard_at = self.timers.now()
            if payload and payload[0] in self.handlers:
                self.handlers[payload[0]](number, payload)
                continue
            self.policy_runner.feed(interface.PeerMessage(number, payload))

    def drop_waiting(self) -> int:
        """Drop what waits to be read; returns how many datagrams that were."""
        for dropped in range(MAX_DROPPED_DATAGRAMS):
            try:
                if self._sock is None:
                    return dropped
                self._sock.recv(1)
            except OSError:
                return dropped
        return MAX_DROPPED_DATAGRAMS

    def _on_send(self, action: interface.SendToPeer) -> None:
        self.send(action.peer, action.payload)

    def send(self, number: int, payload: bytes) -> None:
        """Send to one dispatcher, or to all for a number below 0. It may be lost."""
        if self._leaving:
            return
        target = self.everyone
        if number >= 0:
            target = self.peers[number] if number < len(self.peers) else None
        if (
            self._sock is None
            or target is None
            or not self.metrics.check(len(payload) <= MAX_DATAGRAM_BYTES, "datagram_within_bound")
        ):
            self.metrics.count("datagrams_undeliverable")
            return
        try:
            self._sock.sendto(payload, target)
            self.metrics.count("datagrams_sent")
        except OSError as error:  # it may be lost on the way as well
            self.metrics.count_and_log("datagram_failed", why=error)
