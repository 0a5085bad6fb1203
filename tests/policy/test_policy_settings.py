"""Reading of settings from path=value pairs."""

from __future__ import annotations

import pytest
from helpers import PAIRS

from beaconhinge.policy import interface
from beaconhinge.policy.interface import (
    Semantics,
)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("requestClasses.count", "0"),
        ("requestClasses.0.aim", "-1"),
        ("groupSize", "0"),
        ("myNumber", "5"),
        ("rules.tipAfter", "x"),
        ("rules.drainRelease", "-1"),
        ("rules.drainRelease", "soon"),
        ("requestClasses.0.semantics", "odd"),
    ],
)
def test_invalid_settings_raise_an_error_with_their_key(key: str, value: str) -> None:
    with pytest.raises(ValueError, match=key.replace(".", r"\.")):
        interface.Settings.from_pairs({**PAIRS, key: value})


def test_unknown_keys_are_ignored_and_absent_ones_have_defaults() -> None:
    parsed = interface.Settings.from_pairs({"requestClasses.count": "1", "later.invention": "1"})
    assert parsed.classes[0].semantics == Semantics.RETRYABLE
    assert parsed.group_size == 1
