"""Sends and receives the datagrams between dispatchers."""

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
# The most datagrams that are dropped at once; a socket's default buffer holds fewer.
MAX_DROPPED_DATAGRAMS = 4096
# The most datagrams that are read in one turn of the event loop, before other tasks run.
MAX_READS_PER_TURN = 64
# After this long without a datagram from another dispatcher, all others count as unreachable.
PEER_TIMEOUT_S = 1.5


class PeerSocket:
    """The socket for datagrams between dispatchers.

    Attributes:
        peers: The addresses of the dispatchers, by number.
        broadcast_address: The address that reaches all dispatchers; None if there is none.
        numbers: The number of each dispatcher by its address.
        handlers: By the first byte of a datagram, the function that receives the sender's number and the
            datagram. Datagrams without a handler go to the policy.
        has_just_stalled: Returns whether the process has just resumed after a stall.
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
        self._last_received_at = -math.inf
        self._sending_stopped = False
        self.handlers: dict[int, Callable[[int, bytes], None]] = {}
        self.has_just_stalled: Callable[[], bool] = lambda: False
        policy_runner.action_handlers[interface.SendToPeer] = self._on_send

    def set_addresses(self, config: Config) -> None:
        """Use the peer addresses of this configuration from now on."""
        self.peers, self.broadcast_address = config.peers, config.peers_all
        self.numbers = {address: number for number, address in enumerate(config.peers)}

    def listen(self) -> None:
        """Receive datagrams from now on, if the configuration has an address for them.

        Raises:
            OSError: The address cannot be used.
        """
        if self.config.peer_listen is None:
            return
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        if self.config.mgmt is not None:  # another process of this dispatcher may use the address
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.bind(self.config.peer_listen)
        self._sending_stopped = False
        asyncio.get_running_loop().add_reader(self._sock, self._read)

    def stop_sending(self) -> None:
        """Send no more datagrams, so that no other dispatcher counts this one as present."""
        self._sending_stopped = True

    def close(self) -> None:
        """Close the socket, as another process of this dispatcher receives and sends from now on."""
        self.stop_sending()
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def others_reachable(self) -> bool:
        """Return whether a datagram of another dispatcher was received in the last PEER_TIMEOUT_S.

        Without a socket, returns whether the group has other dispatchers.
        """
        if self._sock is None:
            return self.config.settings.group_size > 1
        return self.timers.now() - self._last_received_at < PEER_TIMEOUT_S

    def _read(self) -> None:
        assert self._sock is not None
        if self.has_just_stalled():
            return  # datagrams received during the stall are out of date, and were dropped
        for _ in range(MAX_READS_PER_TURN):
            try:
                payload, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # no socket listened where an earlier datagram was sent; this one works
                self.metrics.count_and_log("datagram_failed", why=error)
                return
            number = self.numbers.get(sender)
            if number is None or len(payload) > MAX_DATAGRAM_BYTES:
                self.metrics.count_and_log("datagram_malformed", sender=sender[0], bytes=len(payload))
                continue
            self.metrics.count("datagrams_received")
            if number != self.config.settings.own_number:
                self._last_received_at = self.timers.now()
            if payload and payload[0] in self.handlers:
                self.handlers[payload[0]](number, payload)
                continue
            self.policy_runner.feed(interface.PeerMessage(number, payload))

    def drop_waiting(self) -> int:
        """Drop the datagrams that wait to be read, and return their number."""
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
        """Send a datagram, which may be lost.

        Args:
            number: The number of the dispatcher to send to; below 0 for all.
            payload: The datagram's content, at most MAX_DATAGRAM_BYTES.
        """
        if self._sending_stopped:
            return
        target = self.broadcast_address
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
        except OSError as error:  # the same as a datagram lost on the network
            self.metrics.count_and_log("datagram_failed", why=error)
