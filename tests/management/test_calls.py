"""Parsing of operators' calls, and the texts of failures."""

from __future__ import annotations

import random

import pytest

from beaconhinge.management import calls
from beaconhinge.management.calls import InvalidCallError, OperatorCall


@pytest.mark.parametrize("end", [b"", b"\n", b"\r\n"])
@pytest.mark.parametrize(
    ("line", "call"),
    [
        (b"ready", OperatorCall("ready")),
        (b"show-stat", OperatorCall("show-stat")),
        (b"drain", OperatorCall("drain")),
        (b"  resume ", OperatorCall("resume")),
        (b"disable-server s-5be2a07c", OperatorCall("disable-server", "s-5be2a07c")),
        (b"enable-server  s-1", OperatorCall("enable-server", "s-1")),
    ],
)
def test_parse_accepts_every_line_ending(line: bytes, call: OperatorCall, end: bytes) -> None:
    assert calls.parse(line + end) == call


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (b"", "no call"),
        (b"\n", "no call"),
        (b"   \n", "no call"),
        (b"reboot\n", "reboot: no such call"),
        (b"Ready\n", "Ready: no such call"),
        (b"ready now\n", "ready: now is one word too many"),
        (b"disable-server\n", "disable-server: a worker's id is missing"),
        (b"enable-server s-1 s-2\n", "enable-server: s-2 is one word too many"),
        (b"ready\x00\n", "no printable text"),
        (b"\xff\xfe\n", "no printable text"),
        (b"ready\rdrain\n", "no printable text"),
        (b"x" * 513, "over 512 bytes"),
    ],
)
def test_parse_error_names_what_is_wrong(line: bytes, why: str) -> None:
    with pytest.raises(InvalidCallError, match=why):
        calls.parse(line)


def test_random_bytes_parse_or_fail_with_a_one_line_answer() -> None:
    rng = random.Random(11)
    fragments = [name.encode() for name in calls.ARGUMENT_BY_CALL] + [
        b" ",
        b"\n",
        b"\r",
        b"\x00",
        b"\xe9",
        b"s-1",
        b"x" * 300,
    ]
    for _ in range(2000):
        line = b"".join(rng.choice(fragments) for _ in range(rng.randrange(6)))
        try:
            assert calls.parse(line).name in calls.ARGUMENT_BY_CALL
        except InvalidCallError as error:
            answer = calls.failure(str(error))
            assert answer.startswith(b"FAILURE ")
            assert answer.count(b"\n") == 1
            assert answer.endswith(b"\n")
