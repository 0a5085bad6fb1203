"""Parsing of a list while it arrives: which workers it takes out of service, wherever its text is cut."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.membership.partial_list import MAX_INCOMPLETE_CHARACTERS, PartialListReader
from beaconhinge.policy.interface import WorkerState

Leaving = dict[str, WorkerState]


def entry(name: str, state: str = "Ready", **more: Any) -> dict[str, Any]:
    return {"id": name, "addr": "127.0.0.1:9", "zone": "ä", "cell": 3, "state": state, **more}


def read(pieces: list[bytes]) -> tuple[PartialListReader, int | None, Leaving]:
    reader, leaving, version = PartialListReader(), Leaving(), None
    for piece in pieces:
        found = reader.feed(piece)
        if found is not None:
            worker_list = found.to_worker_list()
            assert not worker_list.is_snapshot
            assert worker_list.endpoints == []
            leaving.update(worker_list.unparsed_states)
            version = worker_list.version
    return reader, version, leaving


def leaving_in(body: bytes) -> Leaving:
    return read([body])[2]


CONTENT = {
    "version": 9,
    "note": 'a "servers": [{"id": "s-no", "state": "Gone"}] in a text, \\" and \\\\',
    "full": False,
    "servers": [
        entry("s-1", "Terminating"),
        entry("s-2"),
        {"id": "s-3", "state": "Gone"},
        entry("s-4", tags=[{"id": "s-no", "state": "Gone"}], note='}, {"id": "s-no", "state": "Gone"}'),
        entry("s-5", "Terminating", started_ms=12345),
    ],
    "more": {"servers": [{"id": "s-no", "state": "Gone"}]},
}
LEAVING_WORKERS = {"s-1": WorkerState.DRAINING, "s-3": WorkerState.GONE, "s-5": WorkerState.DRAINING}


@pytest.mark.parametrize("indent", [None, 3])
@pytest.mark.parametrize("ascii_only", [True, False])
def test_leaving_workers_are_found_wherever_the_list_is_split(indent: int | None, ascii_only: bool) -> None:
    body = json.dumps(CONTENT, indent=indent, ensure_ascii=ascii_only).encode()
    for cut in range(len(body)):
        reader, version, leaving = read([body[:cut], body[cut:]])
        assert reader.complete
        assert (version, leaving) == (9, LEAVING_WORKERS)
    reader, version, leaving = read([body[i : i + 1] for i in range(len(body))])
    assert reader.complete
    assert (version, leaving) == (9, LEAVING_WORKERS)


@pytest.mark.parametrize("cut", range(0, 620, 3))
def test_complete_entries_of_a_truncated_list_are_returned(cut: int) -> None:
    body = json.dumps(CONTENT).encode()
    first, last = body.index(b"}", body.index(b'"s-1"')), body.index(b"}", body.index(b'"s-5"'))
    third = body.index(b"}", body.index(b'"s-3"'))
    reader, _, leaving = read([body[:cut]])
    expected = {
        name: LEAVING_WORKERS[name]
        for name, end in (("s-1", first), ("s-3", third), ("s-5", last))
        if cut > end
    }
    assert leaving == expected
    assert not reader.complete


def test_escaped_names_and_states_are_decoded() -> None:
    assert leaving_in(b'{"version":1,"servers":[{"\\u0069d":"s-\\u0031","state":"\\u0047one"}') == {
        "s-1": WorkerState.GONE
    }


def test_entries_before_the_version_are_returned_once_it_is_complete() -> None:
    body = b'{"servers": [{"id": "s-1", "state": "Gone"}], "version": 3}'
    assert read([body[:-2]])[1:] == (None, {})
    assert read([body[:-1]])[1:] == (None, {})  # the number may continue in the next piece
    assert read([body])[1:] == (3, {"s-1": WorkerState.GONE})
    assert read([body[:-2], b"41}"])[1:] == (41, {"s-1": WorkerState.GONE})


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'[{"version": 1, "servers": [{"id": "s-1", "state": "Gone"}]}]',
        b'{"version": true, "servers": [{"id": "s-1", "state": "Gone"}]}',
        b'{"version": -1, "servers": [{"id": "s-1", "state": "Gone"}]}',
        b'{"version": 1, "servers": {"a": [{"id": "s-1", "state": "Gone"}]}}',
        b'{"version": 1, "servers": [{"id": "", "state": "Gone"}, {"id": 7, "state": "Gone"}]}',
        b'{"version": 1, "servers": [{"id": "s-1", "state": "gone"}, {"id": "s-1"}, "Gone", null]}',
        b'{"version": 1 "servers": [{"id": "s-1", "state": "Gone"}]}',
        b"\xff" * 50,
        b'{"version": 1, "servers": [[[[[' * 50,
        b'{"version": 1, "servers": ' + b"[" * 10000,
    ],
)
def test_body_without_a_valid_leaving_entry_yields_nothing(body: bytes) -> None:
    assert leaving_in(body) == {}


def test_entries_before_a_malformed_one_are_returned_later_ones_are_not() -> None:
    first, second = b'{"id": "s-1", "state": "Gone"}', b'{"id": "s-2", "state": "Gone"}'
    for malformed in (b"{]", b"tru", b'{"id": "s-3" "state": "Gone"}', b"}"):
        body = b'{"version": 2, "servers": [%s, %s, %s]}' % (first, malformed, second)
        assert leaving_in(body) == {"s-1": WorkerState.GONE}


def test_text_kept_for_an_incomplete_entry_is_bounded() -> None:
    """An entry without an end must not fill the memory, nor be scanned again with each piece."""
    reader = PartialListReader()
    reader.feed(b'{"version": 1, "servers": [{"id": "')
    for _ in range(3 * MAX_INCOMPLETE_CHARACTERS // 1000):
        reader.feed(b"x" * 1000)
    assert reader.feed(b'", "state": "Gone"}') is None
    assert len(reader._text) == 0


def test_pieces_of_a_large_list_are_not_scanned_from_its_beginning() -> None:
    """Only part of an entry is kept from one piece to the next, however long the list is."""
    servers = [entry(f"s-{number}", "Terminating" if number % 40 == 0 else "Ready") for number in range(3200)]
    body = json.dumps({"version": 1, "full": True, "servers": servers}, indent=1).encode()
    reader = PartialListReader()
    longest, found = 0, 0
    for start in range(0, len(body), 1000):
        leaving = reader.feed(body[start : start + 1000])
        found += 0 if leaving is None else len(leaving.entries)
        longest = max(longest, len(reader._text))
    assert reader.complete
    assert found == 80
    assert longest < 400


@given(st.binary(max_size=300), st.integers(0, 300))
def test_malformed_bytes_do_not_raise(body: bytes, cut: int) -> None:
    read([body[:cut], body[cut:]])
    prefix = b'{"version": 1, "servers": [{"id": "s-1", "state": "Gone"},'
    assert read([prefix + body[:cut], body[cut:]])[2]["s-1"] is WorkerState.GONE


@pytest.mark.parametrize("seed", range(40))
def test_damaged_list_never_takes_other_workers_out_of_service(seed: int) -> None:
    """Bytes are dropped or repeated. Fewer leaving workers may be found then, but never one that stays in service."""
    rng = random.Random(seed)
    body = bytearray(json.dumps(CONTENT).encode())
    at = rng.randrange(len(body))
    if seed % 2:
        del body[at:]
    else:
        body[at:at] = body[at : at + rng.randint(1, 40)]
    assert set(leaving_in(bytes(body))) <= {*LEAVING_WORKERS, "s-11", "s-33", "s-55"}
