"""Free ports for tests; the only module in this folder that imports from the program."""

from beaconhinge.standin.ports import free_port

__all__ = ["free_port"]
