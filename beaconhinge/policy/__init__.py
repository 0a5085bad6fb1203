"""The decisions of a dispatcher that pushes jobs to workers: pure, without clock, I/O or global state."""

from .dispatcher import Dispatcher
from .interface import Settings

__all__ = ["Dispatcher", "Settings"]
__version__ = "0.1.0"
