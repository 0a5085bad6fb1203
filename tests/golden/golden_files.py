"""Golden files: what the program answered before it was renamed, and the comparison with what it answers now.

`WRITE_GOLDEN=1 pytest tests/golden` writes the files in place of comparing. That is for the author of a
deliberate change of behaviour; the tests themselves never write.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

DATA = Path(__file__).resolve().parent / "data"


def check_text(name: str, found: str) -> None:
    """Compare a text with the golden file of that name, line by line."""
    path = DATA / name
    if os.environ.get("WRITE_GOLDEN") == "1":
        path.write_bytes(found.encode())
    assert found.splitlines(keepends=True) == path.read_bytes().decode().splitlines(keepends=True)


def check_cases(name: str, found: dict[str, object]) -> None:
    """Compare named cases with the golden JSON file of that name. Bytes in them become lists of their lines."""
    path = DATA / name
    readable = json.loads(json.dumps(found, default=lines_of))
    if os.environ.get("WRITE_GOLDEN") == "1":
        path.write_text(json.dumps(readable, indent=1) + "\n")
    assert readable == json.loads(path.read_text())


def lines_of(data: object) -> list[str]:
    """Bytes as text lines which keep their ends; each byte is one character, so that none is lost."""
    assert isinstance(data, bytes)
    return data.decode("latin-1").splitlines(keepends=True)
