"""The common base class of the errors that this program raises on purpose."""

from __future__ import annotations


class Error(Exception):
    """Each subsystem raises its own subclasses, whose texts name the file, offset, key or peer concerned."""
