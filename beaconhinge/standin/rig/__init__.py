"""Runs a scenario: several real dispatcher processes between stand-ins, with faults injected at set times."""

from .runner import run_scenario
from .scenario import Fault, Scenario, ScenarioError, read_scenario
from .verdict import Verdict

__all__ = ["Fault", "Scenario", "ScenarioError", "Verdict", "read_scenario", "run_scenario"]
