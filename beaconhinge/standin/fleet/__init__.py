"""A whole fleet in virtual time: the real decision modules, unchanged, among workers, clients and discovery.

One clock, one seed, one result, in any process. Nothing here decides where a job goes: it carries out what
the modules say, plays what goes wrong, and counts. Times are in seconds, work in seconds of a standard core.
"""

from .plan import Plan, WorkerKind
from .result import Result, result
from .world import SimulatedFleet

__all__ = ["WorkerKind", "Plan", "Result", "SimulatedFleet", "result"]
