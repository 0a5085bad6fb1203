"""Load reports of workers: in a header of an answer, in a call-back, or as the answer to a probe."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..runtime.metrics import Metrics


class LoadReportParser:
    """Reads load reports, where the configuration names their figures."""

    def __init__(self, enabled: bool, metrics: Metrics) -> None:
        """Without `enabled` every report is passed over."""
        self.enabled = enabled
        self.metrics = metrics

    def parse(self, given: Any) -> dict[str, float] | None:
        """Read a report, given as `name=value,...` or as a map; a broken one is as good as none."""
        if given is None or not self.enabled:
            return None
        try:
            pairs = given.items() if isinstance(given, Mapping) else [p.split("=") for p in given.split(",")]
            load = {name.strip(): float(value) for name, value in pairs}
            if any(value - value != 0.0 for value in load.values()):
                raise ValueError("a figure is not finite")  # noqa: TRY301
        except (ValueError, TypeError, AttributeError, OverflowError) as error:
            self.metrics.count_and_log("load_malformed", why=error)
            return None
        self.metrics.count("load_reports")
        return load
