"""Typed reading of path=value pairs."""

import math
from collections.abc import Mapping


class PairReader:
    """Typed look-ups in path=value pairs.

    All raise ValueError naming the key of a value that makes no sense.
    """

    def __init__(self, pairs: Mapping[str, str]) -> None:
        """Read from these pairs."""
        self.pairs = pairs

    def number(self, key: str, default: float) -> float:
        """A finite number, or the default where the key is absent, empty or `-`."""
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
        """A number that is not below zero."""
        value = self.number(key, default)
        if value < 0:
            raise ValueError(f"{key}: must not be negative")
        return value

    def integer(self, key: str, default: int) -> int:
        """A number cut to a whole one."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """Whether the value says yes."""
        return self.pairs.get(key, "false") in ("true", "1")

    def numbers(self, key: str) -> list[float]:
        """A list of numbers with commas between."""
        text = self.pairs.get(key, "")
        try:
            return [float(part) for part in text.split(",")] if text not in ("", "-") else []
        except ValueError:
            raise ValueError(f"{key}: {text!r} is not a list of numbers") from None
