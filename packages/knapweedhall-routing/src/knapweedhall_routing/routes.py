"""Selection of a request's route and of the service that receives it."""

from __future__ import annotations

import typing

from knapweedhall_routing import model


class RouteTable:
    """Routes of one configuration by host, longest prefix first."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.version = configuration.version
        self.by_host: dict[str, list[model.Route]] = {}
        for route in configuration.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix that matches the path."""
        routes = self.by_host.get(host.lower())
        if routes is None:
            routes = self.by_host.get(host.lower().rpartition(':')[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


class Splitter:
    """Smooth weighted round robin over the clusters of each route.

    Credits are kept by route name, so that a new version of the configuration
    with the same weights does not restart the sequence.
    """

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}

    def choose(self, route: model.Route) -> str:
        """Return the service that receives the next request of a route."""
        if len(route.clusters) == 1:
            return route.clusters[0].service
        credit = self.credits.setdefault(route.name, {})
        total = sum(cluster.weight for cluster in route.clusters)
        best = ''
        for service, weight in route.clusters:
            credit[service] = credit.get(service, 0.0) + weight
            if weight and (not best or credit[service] > credit[best]):
                best = service
        if not best:
            return route.clusters[0].service
        credit[best] -= total
        return best

    def keep_only(self, routes: typing.Collection[str]) -> None:
        """Drop the credits of all routes except the given ones."""
        for name in set(self.credits) - set(routes):
            del self.credits[name]
