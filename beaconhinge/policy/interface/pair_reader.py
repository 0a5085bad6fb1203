"""Typed reading of path=value pairs."""

import math
from collections.abc import Mapping


class PairReader:
    """Reads typed values from path=value pairs.

    All methods raise ValueError for an invalid value; the message names its key.
    """

    def __init__(self, pairs: Mapping[str, str]) -> None:
        """Read from these pairs."""
        self.pairs = pairs

    def number(self, key: str, default: float) -> float:
        """Return a finite number, or the default if the key is absent or its value empty or `-`."""
        text = self.pairs.get(key, "-")
        if text in ("-", ""):
            return default
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{key}: {text!r} is not a number") from None
        if not math.isfinite(value):
            raise ValueError(f"{key}: {text!r} is not a finite number")
        return value

    def non_negative(self, key: str, default: float) -> float:
        """Return a number that must not be negative."""
        value = self.number(key, default)
        if value < 0:
            raise ValueError(f"{key}: must not be negative")
        return value

    def integer(self, key: str, default: int) -> int:
        """Return a number truncated to an integer."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """Whether the value is `true` or `1`."""
        return self.pairs.get(key, "false") in ("true", "1")

    def numbers(self, key: str) -> list[float]:
        """Return a list of comma-separated numbers; empty if the value is absent, empty or `-`."""
        text = self.pairs.get(key, "")
        try:
            return [float(part) for part in text.split(",")] if text not in ("", "-") else []
        except ValueError:
            raise ValueError(f"{key}: {text!r} is not a list of numbers") from None
