"""Ports that are handed out for processes that start later."""

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


def test_no_port_is_handed_out_twice() -> None:
    """Two scenarios drew the same port before either listened there, and one process could not start."""
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
    # The kernel has taken them back. Another process may have one of them by now, not all.
    assert any(ports._reserve(port) for port in elsewhere)


def test_the_oldest_reservations_give_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ports, "_reservations", ports.deque())
    monkeypatch.setattr(ports, "MAX_RESERVATIONS", 3)
    ports.free_ports(10)
    assert len(ports._reservations) == 3
