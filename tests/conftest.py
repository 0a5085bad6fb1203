import sys
from pathlib import Path
from types import ModuleType

import pytest
from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))

import known_red  # noqa: E402

# The same examples in each run, and no example judged by how busy the machine is.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def _starts_processes(module: ModuleType) -> bool:
    ways = (
        "harness",
        "subprocess",
        "beaconhinge.standin.rig",
        "beaconhinge.standin.harness",
        "beaconhinge.cli",
    )
    names = (
        getattr(value, "__module__", None) or getattr(value, "__name__", "")
        for value in vars(module).values()
    )
    return any(str(name).startswith(ways) for name in names)


def _known_red(config: pytest.Config) -> list[known_red.Known]:
    path = config.rootpath / "KNOWN-RED.txt"
    return known_red.read(path.read_text()) if path.exists() else []


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for one in _known_red(config):
        terminalreporter.write_line(f"known red: {one.test}: {one.cause} ({one.issue})")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Stories with processes of the program come one after the other, beside the rest: two at a time would take
    the time from each other that their clients wait.
    """
    known_red.mark(items, _known_red(config), config.rootpath)
    for item in items:
        if _starts_processes(item.module):  # type: ignore[attr-defined]
            item.add_marker(pytest.mark.xdist_group("processes"))
