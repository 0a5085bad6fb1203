"""Relays the datagrams between dispatchers, and loses, duplicates or drops them as the scenario says.

A dispatcher identifies another by its address. So the relay has one socket for each ordered pair: dispatcher
i sends to j at the socket (i, j), and receives j's datagrams from it. One more socket for each dispatcher
reaches all others.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter

Address = tuple[str, int]
# Bytes read of one datagram; more than a dispatcher may send.
MAX_DATAGRAM_BYTES = 2048


class Links:
    """The relay: a socket for each ordered pair of dispatchers, and a broadcast socket for each of them."""

    def __init__(self, dispatcher_addresses: list[Address], seed: int) -> None:
        self.dispatcher_addresses = dispatcher_addresses
        self.random = random.Random(seed)
        # By (sender, receiver): number of faults that cut this direction now.
        self.cuts: Counter[tuple[int, int]] = Counter()
        # By sender: the share of datagrams that is lost; the same share of the others is sent twice.
        self.loss_shares: dict[int, float] = {}
        self.counters: Counter[str] = Counter()
        numbers = range(len(dispatcher_addresses))
        self._pair_sockets = {(i, j): _open_socket() for i in numbers for j in numbers if i != j}
        self._broadcast_sockets = [_open_socket() for _ in numbers]

    def addresses(self, number: int) -> tuple[list[str], str]:
        """Return the addresses at which a dispatcher reaches each peer, by number, and all peers at once.

        The entry of the dispatcher itself is its own address.
        """
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
        except OSError:  # an earlier datagram on this socket was refused
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
        """Stop relaying, and close all sockets."""
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
