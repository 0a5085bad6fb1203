"""Ports that are reserved for processes that start later."""

from __future__ import annotations

import random
import subprocess
import sys

import pytest

from beaconhinge.standin import ports

DRAW = (
    "import random, sys; random.seed(5); from beaconhinge.standin.ports import free_ports\n"
    "print(*free_ports(20), flush=True); sys.stdin.read()"
)


def test_no_port_is_returned_twice_by_one_or_two_processes() -> None:
    """Guards against two scenarios that draw the same port before either listens there.

    One of their processes then could not start.
    """
    random.seed(5)
    here = ports.free_ports(20)
    random.seed(5)
    again = ports.free_ports(20)
    with subprocess.Popen(
        [sys.executable, "-c", DRAW], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as other:
        assert other.stdout is not None
        elsewhere = [int(port) for port in other.stdout.readline().split()]
        assert len({*here, *again, *elsewhere}) == 60
        assert not any(ports._reserve(port) for port in elsewhere)
        other.communicate()
    # The kernel has released the reservations. Other processes may have reserved some of the ports by now,
    # but not all.
    assert any(ports._reserve(port) for port in elsewhere)


def test_the_oldest_reservations_are_released(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against reservations, each of which holds a socket, that accumulate without bound.
    monkeypatch.setattr(ports, "_reservations", ports.deque())
    monkeypatch.setattr(ports, "MAX_RESERVATIONS", 3)
    ports.free_ports(10)
    assert len(ports._reservations) == 3
