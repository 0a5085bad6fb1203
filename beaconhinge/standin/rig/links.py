"""The datagrams between dispatchers, each over a relay that loses, repeats or drops what the scenario says.

A dispatcher knows another by its address. So the relay holds one socket for each ordered pair: at that of
(i, j) dispatcher i reaches j and hears it, and at one more for each it reaches all.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter

Address = tuple[str, int]
# Read of one datagram; more than a dispatcher may send.
MAX_DATAGRAM_BYTES = 2048


class Links:
    """The relay: a socket for each ordered pair of dispatchers, and one for each that reaches all others."""

    def __init__(self, dispatcher_addresses: list[Address], seed: int) -> None:
        self.dispatcher_addresses = dispatcher_addresses
        self.random = random.Random(seed)
        # By direction, sender first: how many faults cut it now.
        self.cuts: Counter[tuple[int, int]] = Counter()
        # By sender: the share of datagrams that is lost, and as many come twice.
        self.loss_shares: dict[int, float] = {}
        self.counters: Counter[str] = Counter()
        numbers = range(len(dispatcher_addresses))
        self._pair_sockets = {(i, j): _open_socket() for i in numbers for j in numbers if i != j}
        self._broadcast_sockets = [_open_socket() for _ in numbers]

    def addresses(self, number: int) -> tuple[list[str], str]:
        """Return a dispatcher's peers: the address of each by number, and that of all at once."""
        peers = [
            _format_address(
                self.dispatcher_addresses[number]
                if j == number
                else self._pair_sockets[number, j].getsockname()
            )
            for j in range(len(self.dispatcher_addresses))
        ]
        return peers, _format_address(self._broadcast_sockets[number].getsockname())

    def start(self) -> None:
        """Relay datagrams from now on, in the running event loop."""
        loop = asyncio.get_running_loop()
        for (i, j), sock in self._pair_sockets.items():
            loop.add_reader(sock, self._read, sock, i, [j])
        for i, sock in enumerate(self._broadcast_sockets):
            loop.add_reader(
                sock, self._read, sock, i, [j for j in range(len(self.dispatcher_addresses)) if j != i]
            )

    def _read(self, sock: socket.socket, sender: int, receivers: list[int]) -> None:
        try:
            payload = sock.recv(MAX_DATAGRAM_BYTES)
        except OSError:  # nobody was there for an earlier one
            return
        for receiver in receivers:
            self._relay(sender, receiver, payload)

    def _relay(self, sender: int, receiver: int, payload: bytes) -> None:
        loss = self.loss_shares.get(sender, 0.0)
        if self.cuts[sender, receiver] > 0 or self.random.random() < loss:
            self.counters["dropped"] += 1
            return
        for _ in range(1 + (self.random.random() < loss)):
            self.counters["carried"] += 1
            try:
                self._pair_sockets[receiver, sender].sendto(payload, self.dispatcher_addresses[receiver])
            except OSError:  # its process is down
                self.counters["dropped"] += 1

    def close(self) -> None:
        """Relay no more, and close all sockets."""
        loop = asyncio.get_running_loop()
        for sock in [*self._pair_sockets.values(), *self._broadcast_sockets]:
            loop.remove_reader(sock)
            sock.close()


def _open_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(("127.0.0.1", 0))
    return sock


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
