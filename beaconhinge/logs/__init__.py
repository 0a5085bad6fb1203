"""Structured log lines by structlog, in place of the plain ones, for installations that collect them.

The platform's start does not load this: structlog takes longer to import than half of what a start may
(`docs/design/store.md`, Groundwork).
"""

from .structured import writer

__all__ = ["writer"]
