"""Encoded events must be read back by an independent SSE decoder; `Accept` and `Last-Event-ID` parsing."""

from __future__ import annotations

import json

import pytest
from httpx_sse._decoders import SSEDecoder
from hypothesis import given
from hypothesis import strategies as st

from beaconhinge.progress import codec


def read(data: bytes) -> list[tuple[str, str, str, int | None]]:
    """Return the events as a client library decodes them: name, data, id, retry."""
    decoder, found = SSEDecoder(), []
    for line in data.decode().replace("\r\n", "\n").replace("\r", "\n").split("\n")[:-1]:
        event = decoder.decode(line)
        if event is not None:
            found.append((event.event, event.data, event.id, event.retry))
    return found


@given(st.text(max_size=300), st.integers(1, 10**6))
def test_any_text_comes_back_with_its_line_ends_as_line_feeds(text: str, number: int) -> None:
    [(name, data, identity, _)] = read(codec.encode_event("progress", number, text))
    expected = text.encode("utf-8", "replace").decode().replace("\r\n", "\n").replace("\r", "\n")
    assert (name, data, identity) == ("progress", expected, str(number))


@given(
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers(-(2**53), 2**53)
        | st.text(st.characters(exclude_categories=["Cs"])),
        lambda inner: st.lists(inner, max_size=3),
        max_leaves=5,
    )
)
def test_json_comes_back_exactly(value: object) -> None:
    [(_, data, _, _)] = read(codec.encode_json_event("outcome", 3, {"result": value}))
    assert json.loads(data) == {"result": value}


@pytest.mark.parametrize("text", ["", "\r\n\0é\u2028", "x" * 65536, "event: outcome\n\ndata: forged"])
def test_result_text_cannot_forge_an_event(text: str) -> None:
    """A result with line ends or event fields would end the event early if it were not encoded as JSON."""
    [(name, data, _, _)] = read(
        codec.encode_json_event("outcome", 1, {"result": text}) + codec.encode_comment("end\nof it")
    )
    assert name == "outcome"
    assert json.loads(data)["result"] == text


def test_comments_are_ignored_and_retry_is_sent() -> None:
    """A client library must take keep-alive comments for no event, and read the time to reconnect."""
    data = (
        codec.encode_event("accepted", 1, "x", 1500)
        + codec.encode_comment("alive")
        + codec.encode_event("outcome", 2, "y")
    )
    assert read(data) == [("accepted", "x", "1", 1500), ("outcome", "y", "2", None)]
    with pytest.raises(ValueError, match="not a name of an event"):
        codec.encode_event("a\nb", 1, "")


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        ("text/event-stream", True),
        ("TEXT/Event-Stream", True),
        ("", False),
        ("*/*", False),
        ("application/json", False),
        ("text/event-stream;q=0", False),
        ("text/event-stream;q=0.000", False),
        ("text/event-stream;q=0.5, application/json", False),
        ("text/event-stream, */*;q=0.1", True),
        ("application/json;q=0.5, text/event-stream;q=0.9", True),
        ("text/event-stream;q=2", False),
        ("text/event-stream;q=", False),
        ("text/event-stream;q=0.1234", False),
        (",;,q=1;;", False),
        ("text/event-stream;charset=utf-8;q=1.0", True),
        ("text/*", False),
    ],
)
def test_accept_header_weights_decide(header: str, expected: bool) -> None:
    assert codec.accepts_event_stream(header) is expected


@given(st.text(max_size=60))
def test_no_header_raises(header: str) -> None:
    assert codec.accepts_event_stream(header) in (True, False)
    number = codec.parse_last_event_id(header)
    assert number is None or number >= 0


@pytest.mark.parametrize(
    ("text", "number"),
    [("", None), ("7", 7), ("-1", None), ("1.5", None), ("٣", None), ("9" * 10, None), ("0", 0)],
)
def test_last_event_id_is_a_number_of_up_to_nine_digits(text: str, number: int | None) -> None:
    """The header comes from clients: signs, fractions, other scripts' digits and huge numbers are no ids."""
    assert codec.parse_last_event_id(text) == number
