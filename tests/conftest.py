import sys
from pathlib import Path
from types import ModuleType

import pytest
from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))

# The same examples in each run, and no example judged by how busy the machine is.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def _starts_processes(module: ModuleType) -> bool:
    ways = ("stage", "subprocess", "beaconhinge.standin.rig", "beaconhinge.standin.scene", "beaconhinge.cli")
    names = (getattr(value, "__module__", None) or getattr(value, "__name__", "") for value in vars(module).values())
    return any(str(name).startswith(ways) for name in names)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Stories with processes of the program come one after the other, beside the rest: two at a time would take
    the time from each other that their clients wait.
    """
    for item in items:
        if _starts_processes(item.module):  # type: ignore[attr-defined]
            item.add_marker(pytest.mark.xdist_group("processes"))
