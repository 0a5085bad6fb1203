"""Structured log lines, written by structlog in place of plain ones, for installations that collect them.

The platform's start does not import this package: importing structlog takes more than half of the time that
a start may take (`docs/design/store.md`, Groundwork).
"""

from .structured import writer

__all__ = ["writer"]
