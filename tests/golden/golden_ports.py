"""The one place in this folder that imports from the program: how tests reserve free ports."""

from beaconhinge.standin.ports import free_port

__all__ = ["free_port"]
