"""Several real processes of the program among stand-ins, with faults between them, played from a story."""

from .play import play
from .story import Fault, Story, StoryError, read
from .verdict import Verdict

__all__ = ["Fault", "Story", "StoryError", "Verdict", "play", "read"]
