"""Several real processes of the program among stand-ins, with faults between them, as a scenario says."""

from .runner import run_scenario
from .scenario import Fault, Scenario, ScenarioError, read_scenario
from .verdict import Verdict

__all__ = ["Fault", "Scenario", "ScenarioError", "Verdict", "read_scenario", "run_scenario"]
