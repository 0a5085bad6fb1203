import sys
from pathlib import Path
from types import ModuleType

import pytest
from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))

import known_red  # noqa: E402

# The same examples in each run, and no deadline for an example, which a busy machine would miss.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

GOLDEN_TESTS = Path(__file__).parent / "golden"


def _starts_processes(module: ModuleType) -> bool:
    """Return whether a test module imports anything that starts processes or servers of the program."""
    prefixes = (
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
    return any(str(name).startswith(prefixes) for name in names)


def _known_red(config: pytest.Config) -> list[known_red.KnownFailure]:
    """Return the entries of KNOWN-RED.txt; none if there is no such file."""
    path = config.rootpath / "KNOWN-RED.txt"
    return known_red.read(path.read_text()) if path.exists() else []


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the entries of KNOWN-RED.txt after each run."""
    for entry in _known_red(config):
        terminalreporter.write_line(f"known red: {entry.test}: {entry.cause} ({entry.issue})")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known failures, and put all tests that start processes of the program into groups of xdist.

    Tests of one group run one after the other, beside the rest. Two at a time would take processor time from
    each other, and their clients would time out. The golden tests are a group of their own: they share a
    process and stand-ins, which end with the last of them, and so never run on beside a test that measures
    the memory of its process.
    """
    known_red.mark(items, _known_red(config), config.rootpath)
    for item in items:
        if item.path.parent == GOLDEN_TESTS:
            item.add_marker(pytest.mark.xdist_group("golden"))
        elif _starts_processes(item.module):  # type: ignore[attr-defined]
            item.add_marker(pytest.mark.xdist_group("processes"))
