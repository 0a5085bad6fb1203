"""Golden files: recorded output of the program, and the comparison with its present output.

`WRITE_GOLDEN=1 pytest tests/golden` rewrites the files first; use it only for a deliberate change of
behaviour. Without this variable the tests never write them.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

DATA = Path(__file__).resolve().parent / "data"


def check_text(name: str, found: str) -> None:
    """Assert that a text equals the golden file `name`, line by line."""
    path = DATA / name
    if os.environ.get("WRITE_GOLDEN") == "1":
        path.write_bytes(found.encode())
    assert found.splitlines(keepends=True) == path.read_bytes().decode().splitlines(keepends=True)


def check_cases(name: str, found: dict[str, object]) -> None:
    """Assert that named cases equal the golden JSON file `name`; bytes in them become lists of lines."""
    path = DATA / name
    readable = json.loads(json.dumps(found, default=lines_of))
    if os.environ.get("WRITE_GOLDEN") == "1":
        path.write_text(json.dumps(readable, indent=1) + "\n")
    assert readable == json.loads(path.read_text())


def lines_of(data: object) -> list[str]:
    """Return bytes as text lines with their line ends; each byte becomes one character, so none is lost."""
    assert isinstance(data, bytes)
    return data.decode("latin-1").splitlines(keepends=True)
