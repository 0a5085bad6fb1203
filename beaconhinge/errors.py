"""The one base of the errors that this program raises on purpose."""

from __future__ import annotations


class Error(Exception):
    """Each subsystem raises named subclasses whose text says which file, offset, key or peer is concerned."""
