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
MAX_DATAGRAM_BYTES = 2048  # bytes read of one datagram; more than a dispatcher may send


class Links:
    def __init__(self, dispatcher_addresses: list[Address], seed: int) -> None:
        self.real = dispatcher_addresses  # where each dispatcher listens
        self.random = random.Random(seed)
        self.cuts: Counter[tuple[int, int]] = Counter()  # by direction: how many faults cut it now
        self.loss_shares: dict[int, float] = {}  # by sender: the part that is lost, and that comes twice
        self.counters: Counter[str] = Counter()
        numbers = range(len(dispatcher_addresses))
        self._pair_sockets = {(i, j): _open_socket() for i in numbers for j in numbers if i != j}
        self._broadcast_sockets = [_open_socket() for _ in numbers]

    def addresses(self, number: int) -> tuple[list[str], str]:
        """What a dispatcher is configured with: where it finds each by number, and all at once."""
        peers = [
            _format_address(self.real[number] if j == number else self._pair_sockets[number, j].getsockname())
            for j in range(len(self.real))
        ]
        return peers, _format_address(self._broadcast_sockets[number].getsockname())

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        for (i, j), sock in self._pair_sockets.items():
            loop.add_reader(sock, self._read, sock, i, [j])
        for i, sock in enumerate(self._broadcast_sockets):
            loop.add_reader(sock, self._read, sock, i, [j for j in range(len(self.real)) if j != i])

    def _read(self, sock: socket.socket, sender: int, to: list[int]) -> None:
        try:
            payload = sock.recv(MAX_DATAGRAM_BYTES)
        except OSError:  # nobody was there for an earlier one
            return
        for j in to:
            self._relay(sender, j, payload)

    def _relay(self, i: int, j: int, payload: bytes) -> None:
        loss = self.loss_shares.get(i, 0.0)
        if self.cuts[i, j] > 0 or self.random.random() < loss:
            self.counters["dropped"] += 1
            return
        for _ in range(1 + (self.random.random() < loss)):
            self.counters["carried"] += 1
            try:
                self._pair_sockets[j, i].sendto(payload, self.real[j])
            except OSError:  # its process is down
                self.counters["dropped"] += 1

    def close(self) -> None:
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
