"""The README's example of the library runs as printed; guards against an outdated example."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_example_runs_as_printed() -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    examples = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(examples) == 1
    exec(compile(examples[0], "README.md", "exec"), {})
