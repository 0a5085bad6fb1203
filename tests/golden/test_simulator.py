"""What the `sim` adapter answers to scripted streams: each action, and datagrams of every kind.

The first byte of a datagram is its kind: 73 news, 74 report, 75 board, 76 far board.
"""

from __future__ import annotations

import collections
import hashlib

import pytest
from golden_files import DATA, check_text
from golden_process import ROOT
from simulated_fleet import Adapter, Fleet

pytestmark = pytest.mark.xdist_group("processes")

NEWS, REPORT, BOARD, FAR_BOARD = "73", "74", "75", "76"
READABLE_OF_EACH_KIND = 40


def play(fleet: Fleet, seconds: float) -> list[list[str]]:
    """The replies to the batches of a run."""
    adapter = Adapter(ROOT)
    try:
        return fleet.play(adapter, seconds)
    finally:
        adapter.close()


def kind_of(line: str) -> str:
    """The kind of the datagram in an action; nothing for other actions."""
    return line.split("\t")[3][:2] if line.startswith("BROADCAST_TO\t") else ""


def kinds(replies: list[list[str]]) -> set[str]:
    """Of the datagrams in these replies."""
    return {kind_of(line) for reply in replies for line in reply} - {""}


@pytest.mark.parametrize(
    ("group_size", "seed", "seconds", "rate", "pushed", "expected"),
    [
        pytest.param(2, 1, 10.0, 60.0, False, {NEWS, REPORT}, id="each tells the other"),
        pytest.param(14, 2, 5.0, 120.0, True, {NEWS, REPORT, BOARD}, id="one tells all"),
    ],
)
def test_actions_and_datagrams_are_the_same(
    group_size: int, seed: int, seconds: float, rate: float, pushed: bool, expected: set[str]
) -> None:
    replies = play(Fleet(group_size, seed, rate=rate, pushed=pushed), seconds)
    assert kinds(replies) == expected
    check_text(f"simulator_group_of_{group_size}.txt", in_full(replies))


def in_full(replies: list[list[str]]) -> str:
    """The lines of all replies, each batch under its number."""
    return "".join("\n".join([f"batch {n}", *reply, ""]) for n, reply in enumerate(replies, 1) if reply)


def test_actions_of_one_that_probes_are_the_same() -> None:
    fleet = Fleet(3, 4, rate=60.0, pushed=True, peers=False)
    replies = play(fleet, 5.0)
    assert fleet.actions["INSPECT"]
    assert not kinds(replies)
    check_text("simulator_probes.txt", in_full(replies))


def test_circles_tell_each_other_the_same() -> None:
    """Too much to keep in full: a hash of each reply, and the first datagrams of each kind."""
    fleet = Fleet(80, 3, rate=150.0, pushed=False)
    replies = play(fleet, 3.0)
    assert kinds(replies) == {NEWS, REPORT, BOARD, FAR_BOARD}
    shown: collections.Counter[str] = collections.Counter()
    lines = []
    for number, reply in enumerate(replies, 1):
        digest = hashlib.blake2s("\n".join(reply).encode(), digest_size=8).hexdigest()
        lines.append(f"batch {number}, {len(reply)} lines, {digest}\n")
        for line in reply:
            shown[kind_of(line)] += 1
            if kind_of(line) and shown[kind_of(line)] <= READABLE_OF_EACH_KIND:
                lines.append(line + "\n")
    check_text("simulator_group_of_80.txt", "".join(lines))


def test_all_kinds_of_actions_are_in_the_golden_files() -> None:
    """All that the adapter can write but LOOKUP: the code of the golden files never asks for that."""
    text = "".join(path.read_text() for path in sorted(DATA.glob("simulator_*.txt")))
    names = {line.split("\t")[0] for line in text.splitlines() if "\t" in line}
    assert names >= {
        "TRANSMIT", "DECLINE", "ABORT", "DROP_ATTEMPT", "NOTIFY_ME", "STREAM_CHANGES", "INSPECT",
        "LET_GO", "BROADCAST_TO", "RECORD",
    }  # fmt: skip
