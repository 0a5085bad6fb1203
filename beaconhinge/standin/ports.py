"""Free ports on loopback for processes that are started later.

A port that was free when somebody looked can be taken before the process that it is meant for listens there:
by another test, in this process or another one. So a port is reserved from the look on. The reservation is a
Unix socket in the abstract namespace of Linux, named after the port: the kernel lets one process at a time
have it, and takes it back when that process ends, however it ends. The port itself stays untouched.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections import deque

# Below the ports that the kernel hands out to outgoing connections, which nobody reserves.
FIRST_PORT = 10000
PORTS_END = 32000
# Of this process; the oldest gives way. One scenario has 80 at most.
MOST_RESERVATIONS = 256

_reservations: deque[socket.socket] = deque()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 at which nobody listens, and which nobody else gets from here for now."""
    while True:
        port = random.randrange(FIRST_PORT, PORTS_END)
        reservation = _reserve(port)
        if reservation is None:
            continue
        if not _bindable(port, kind):
            reservation.close()
            continue
        _reservations.append(reservation)
        if len(_reservations) > MOST_RESERVATIONS:
            _reservations.popleft().close()
        return port


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return so many ports, all different."""
    return [free_port(kind) for _ in range(count)]


def _reserve(port: int) -> socket.socket | None:
    """The reservation of that port, for either kind of socket; None if somebody has it."""
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind(f"\0beaconhinge-port-{port}")
    except OSError:
        reservation.close()
        return None
    return reservation


def _bindable(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
        probe.bind(("127.0.0.1", port))
        return True
    return False
