"""Free ports on loopback for processes that are started later.

After a check found a port free, another test, in this process or another one, can take the port before the
intended process listens there. So the check also reserves the port. The reservation is a Unix socket in the
abstract namespace of Linux, named after the port: the kernel lets only one process at a time have it, and
releases it when that process ends, however it ends. The port itself is not used by the reservation.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections import deque

# Ports from FIRST_PORT up to, but not including, PORTS_END. They lie below those that the kernel gives to
# outgoing connections, which are not reserved here.
FIRST_PORT = 10000
PORTS_END = 32000
# Most reservations that this process holds; beyond that, the oldest is released. A scenario needs 80 at most.
MAX_RESERVATIONS = 256

_reservations: deque[socket.socket] = deque()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that is free, and reserve it against other callers of this function.

    `kind` is the type of socket that the port is for, SOCK_STREAM or SOCK_DGRAM.
    """
    while True:
        port = random.randrange(FIRST_PORT, PORTS_END)
        reservation = _reserve(port)
        if reservation is None:
            continue
        if not _bindable(port, kind):
            reservation.close()
            continue
        _reservations.append(reservation)
        if len(_reservations) > MAX_RESERVATIONS:
            _reservations.popleft().close()
        return port


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return `count` different free ports, reserved as by `free_port`."""
    return [free_port(kind) for _ in range(count)]


def _reserve(port: int) -> socket.socket | None:
    """Reserve a port, for both kinds of socket. Return the reservation, or None if there is one."""
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind(f"\0beaconhinge-port-{port}")
    except OSError:
        reservation.close()
        return None
    return reservation


def _bindable(port: int, kind: int) -> bool:
    """Return whether a socket of this kind can be bound to the port."""
    with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
        probe.bind(("127.0.0.1", port))
        return True
    return False
