"""Simulates a whole fleet in virtual time, with the unchanged decision modules.

Workers, clients, discovery and the network are simulated. A plan with its seed gives the same result in
every process. Nothing here decides where a job is sent: the simulation executes the modules' actions, injects
one fault and counts. Times are in seconds, work is in seconds of a standard core.
"""

from .plan import Plan, WorkerKind
from .result import Result, result
from .world import SimulatedFleet

__all__ = ["WorkerKind", "Plan", "Result", "SimulatedFleet", "result"]
