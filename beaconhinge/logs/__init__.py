"""Structured log lines by structlog, in place of the plain ones, for installations that collect them.

The platform's start does not load this: structlog takes 115 ms to import (`docs/design/store.md`, Groundwork).
"""

from .structured import writer

__all__ = ["writer"]
