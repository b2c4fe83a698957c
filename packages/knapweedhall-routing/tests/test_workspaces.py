"""Tests of which callers are served, and for which workspace."""

from __future__ import annotations

import unittest

from knapweedhall_routing import model
from knapweedhall_routing import workspaces

ACME = model.Workspace('acme', ('k1', 'k2'), 0)
OTHER = model.Workspace('other', ('k3',))


def route(name: str, public: bool = False) -> model.Route:
    """Return a route of priority 2."""
    cluster = model.Cluster('s', 1.0)
    return model.Route(
        name, 'H', f'/{name}/', True, (cluster,), 1, 1, 1, 2, (), public
    )


def configuration(
    routes: tuple[model.Route, ...],
    *rows: model.Workspace,
) -> model.Configuration:
    """Return a configuration with workspaces."""
    return model.Configuration(1, routes, {}, model.Limits(), rows)


class DirectoryTest(unittest.TestCase):
    """Callers with and without a key."""

    def setUp(self) -> None:
        """Use a configuration with a private and a public route."""
        self.routes = (route('a'), route('b', True))
        self.directory = workspaces.Directory(
            configuration(self.routes, ACME, OTHER)
        )

    def test_keys(self) -> None:
        """Guards against a caller that is taken for another workspace's."""
        for key, expected in (
            ('k1', ACME),
            ('k2', ACME),
            ('k3', OTHER),
            ('K1', None),
            ('', None),
            (None, None),
        ):
            with self.subTest(key=key):
                self.assertEqual(expected, self.directory.identify(key))
                private, public = self.routes
                self.assertEqual(
                    expected is not None, self.directory.admits(key, private)
                )
                self.assertTrue(self.directory.admits(key, public))

    def test_no_list_and_an_empty_one(self) -> None:
        """Guards against an empty list that lets every caller in."""
        new = configuration(self.routes)
        empty = workspaces.from_configuration(new)
        assert empty is not None
        self.assertFalse(empty.admits('k1', self.routes[0]))
        absent = new._replace(workspaces=None)
        self.assertIsNone(workspaces.from_configuration(absent))

    def test_route_of_an_earlier_configuration(self) -> None:
        """Guards against a refusal after a route has become public.

        A request keeps the route that it had when its head was read, also if
        keys are required since then.
        """
        old = route('b')
        self.assertTrue(self.directory.admits(None, old))
        self.assertFalse(self.directory.admits(None, route('c')))

    def test_two_routes_with_one_name(self) -> None:
        """Guards against a route that is public by the name of another."""
        public = route('x')._replace(prefix='/y/', public=True)
        private = route('x')
        directory = workspaces.Directory(configuration((public, private)))
        self.assertFalse(directory.admits(None, private))

    def test_priority(self) -> None:
        """Guards against priority 0 of a workspace that counts as absent."""
        private = self.routes[0]
        self.assertEqual(0, workspaces.priority(ACME, private))
        self.assertEqual(2, workspaces.priority(OTHER, private))
        self.assertEqual(2, workspaces.priority(None, private))
