"""Metrics of the instance in the Prometheus text format."""

from __future__ import annotations

import typing

import aioprometheus

Samples = typing.Iterable[tuple[dict[str, str], float]]
Source = typing.Callable[[], Samples]


class Metrics:
    """Gauges that are read from their owners when they are asked for."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.gauges: list[tuple[aioprometheus.Gauge, Source]] = []

    def add(self, name: str, meaning: str, source: Source) -> None:
        """Register a gauge.

        Parameters
        ----------
        name : str
            Name without the prefix ``knapweedhall_``.
        source : callable
            Returns the present samples as pairs of labels and value.
        """
        gauge = aioprometheus.Gauge(
            f'knapweedhall_{name}', meaning, registry=self.registry
        )
        self.gauges.append((gauge, source))

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of an answer."""
        for gauge, source in self.gauges:
            gauge.values.clear()
            for labels, value in source():
                gauge.set(labels, value)
        content, headers = aioprometheus.render(self.registry, accepts)
        return content, dict(headers)
