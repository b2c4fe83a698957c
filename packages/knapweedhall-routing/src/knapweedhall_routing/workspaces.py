"""Which workspace a caller belongs to, and which callers are served.

Every request is identified once when its head has arrived and once before each
send, at a few thousand requests per second and with some hundred keys, so
identification is one look-up. A request may wait for a second between the two,
in which a new configuration may remove its key.
"""

from __future__ import annotations

from knapweedhall_routing import model


class Directory:
    """Workspaces of one configuration by the keys of their callers.

    Attributes
    ----------
    by_key : dict of str to model.Workspace
        Workspaces by key.
    public_by_route : dict of tuple of str and str to bool
        Whether a route is served without a key, by its host, in lower case,
        and its prefix. Names of routes are not checked to be unique.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.by_key = {
            key: workspace
            for workspace in configuration.workspaces or ()
            for key in workspace.keys
        }
        self.public_by_route: dict[tuple[str, str], bool] = {}
        for route in configuration.routes:
            # Of two routes that are equal in both, the first gets the
            # requests.
            self.public_by_route.setdefault(_place(route), route.public)

    def identify(self, key: str | None) -> model.Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return None if key is None else self.by_key.get(key)

    def admits(self, key: str | None, route: model.Route) -> bool:
        """Return whether a request is served.

        Parameters
        ----------
        key : str or None
            Key of the caller.
        route : model.Route
            Route of the request, which may be that of an earlier
            configuration; it keeps its route if that was public.
        """
        if route.public or self.public_by_route.get(_place(route), False):
            return True
        return self.identify(key) is not None


def _place(route: model.Route) -> tuple[str, str]:
    return route.host.lower(), route.prefix


def from_configuration(configuration: model.Configuration) -> Directory | None:
    """Return the workspaces of a configuration; None if it has no list."""
    if configuration.workspaces is None:
        return None
    return Directory(configuration)


def priority(workspace: model.Workspace | None, route: model.Route) -> int:
    """Return the priority of a request; 0 is the most urgent."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority
