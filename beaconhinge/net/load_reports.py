"""Parses workers' load reports, sent in a header of an answer, in a call-back or as the answer to a probe."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..runtime.metrics import Metrics


class LoadReportParser:
    """Parses load reports, where the configuration names their figures."""

    def __init__(self, enabled: bool, metrics: Metrics) -> None:
        """Create a parser; if `enabled` is false, it ignores every report."""
        self.enabled = enabled
        self.metrics = metrics

    def parse(self, report: Any) -> dict[str, float] | None:
        """Parse a report, given as `name=value,...` or as a mapping.

        Returns:
            The figures by name; None if there is no report, it is malformed, or reports are disabled.
        """
        if report is None or not self.enabled:
            return None
        try:
            pairs = (
                report.items() if isinstance(report, Mapping) else [p.split("=") for p in report.split(",")]
            )
            load = {name.strip(): float(value) for name, value in pairs}
            if any(value - value != 0.0 for value in load.values()):
                raise ValueError("a figure of the load report is not finite")  # noqa: TRY301
        except (ValueError, TypeError, AttributeError, OverflowError) as error:
            self.metrics.count_and_log("load_malformed", why=error)
            return None
        self.metrics.count("load_reports")
        return load
