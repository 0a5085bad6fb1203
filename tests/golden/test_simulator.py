"""The `sim` adapter's replies to scripted event streams: each action, and datagrams of every kind.

The first byte of a datagram, in hexadecimal, is its kind: 73 deltas, 74 report, 75 aggregate, 76 remote
aggregate.
"""

from __future__ import annotations

import collections
import hashlib

import pytest
from golden_files import DATA, check_text
from golden_process import ROOT
from simulated_fleet import Adapter, Fleet

pytestmark = pytest.mark.xdist_group("processes")

DELTAS, REPORT, AGGREGATE, REMOTE_AGGREGATE = "73", "74", "75", "76"
FULL_DATAGRAMS_OF_EACH_KIND = 40  # in the golden file that has hashes of all others


def play(fleet: Fleet, seconds: float) -> list[list[str]]:
    """Run a fleet for seconds of virtual time; return the adapter's reply to each batch."""
    adapter = Adapter(ROOT)
    try:
        return fleet.play(adapter, seconds)
    finally:
        adapter.close()


def kind_of(line: str) -> str:
    """Return the kind of the datagram in an action; empty for other actions."""
    return line.split("\t")[3][:2] if line.startswith("BROADCAST_TO\t") else ""


def kinds(replies: list[list[str]]) -> set[str]:
    """Return the kinds of the datagrams in these replies."""
    return {kind_of(line) for reply in replies for line in reply} - {""}


@pytest.mark.parametrize(
    ("group_size", "seed", "seconds", "rate", "pushed", "expected"),
    [
        pytest.param(2, 1, 10.0, 60.0, False, {DELTAS, REPORT}, id="two members without an aggregator"),
        pytest.param(14, 2, 5.0, 120.0, True, {DELTAS, REPORT, AGGREGATE}, id="one group with an aggregator"),
    ],
)
def test_actions_and_datagrams_are_unchanged(
    group_size: int, seed: int, seconds: float, rate: float, pushed: bool, expected: set[str]
) -> None:
    replies = play(Fleet(group_size, seed, rate=rate, pushed=pushed), seconds)
    assert kinds(replies) == expected
    check_text(f"simulator_group_of_{group_size}.txt", format_replies(replies))


def format_replies(replies: list[list[str]]) -> str:
    """Return the lines of all replies, each batch under a line with its number."""
    return "".join("\n".join([f"batch {n}", *reply, ""]) for n, reply in enumerate(replies, 1) if reply)


def test_actions_of_a_dispatcher_that_probes_are_unchanged() -> None:
    fleet = Fleet(3, 4, rate=60.0, pushed=True, peers=False)
    replies = play(fleet, 5.0)
    assert fleet.actions["INSPECT"]
    assert not kinds(replies)
    check_text("simulator_probes.txt", format_replies(replies))


def test_datagrams_between_gossip_groups_are_unchanged() -> None:
    """The replies are too long to keep in full: the file has hashes and some datagrams of each kind."""
    fleet = Fleet(80, 3, rate=150.0, pushed=False)
    replies = play(fleet, 3.0)
    assert kinds(replies) == {DELTAS, REPORT, AGGREGATE, REMOTE_AGGREGATE}
    shown: collections.Counter[str] = collections.Counter()
    lines = []
    for number, reply in enumerate(replies, 1):
        digest = hashlib.blake2s("\n".join(reply).encode(), digest_size=8).hexdigest()
        lines.append(f"batch {number}, {len(reply)} lines, {digest}\n")
        for line in reply:
            shown[kind_of(line)] += 1
            if kind_of(line) and shown[kind_of(line)] <= FULL_DATAGRAMS_OF_EACH_KIND:
                lines.append(line + "\n")
    check_text("simulator_group_of_80.txt", "".join(lines))


def test_golden_files_have_every_kind_of_action() -> None:
    """All actions that the adapter can write but LOOKUP, which the code that wrote the files never sends."""
    text = "".join(path.read_text() for path in sorted(DATA.glob("simulator_*.txt")))
    names = {line.split("\t")[0] for line in text.splitlines() if "\t" in line}
    assert names >= {
        "TRANSMIT", "DECLINE", "ABORT", "DROP_ATTEMPT", "NOTIFY_ME", "STREAM_CHANGES", "INSPECT",
        "LET_GO", "BROADCAST_TO", "RECORD",
    }  # fmt: skip
