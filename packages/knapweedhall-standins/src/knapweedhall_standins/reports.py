"""Health and load reports that show an earlier state."""

from __future__ import annotations

import collections
import typing

Report = dict[str, typing.Any]


class LaggedReports:
    """Samples of a report; readers get the newest one that is old enough.

    Parameters
    ----------
    lag_s : float
        Least age of a sample that is shown, in seconds.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.samples: collections.deque[tuple[float, Report]] = (
            collections.deque()
        )
        self.misleading: Report = {}

    def sample(self, report: Report, now_s: float) -> None:
        """Store the present state."""
        self.samples.append((now_s, report))
        while len(self.samples) > 1 and (
            self.samples[1][0] <= now_s - self.lag_s
        ):
            self.samples.popleft()

    def read(self, now_s: float) -> Report:
        """Return the report that is shown at a time."""
        shown: Report = {}
        for sampled_s, report in self.samples:
            if shown and sampled_s > now_s - self.lag_s:
                break
            shown = report
        return {**shown, **self.misleading}
