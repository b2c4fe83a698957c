"""Derives the configuration of the router from the operators' records."""

from __future__ import annotations

import typing

from knapweedhall_records import bodies
from knapweedhall_routing import model
from knapweedhall_routing import planning

TOPIC = 'keyed.knapweedhall.records'
DOMAIN_PREFIX = 'domain/'
INSTANCE_PREFIX = 'instance/'

Records = typing.Mapping[str, bodies.Record]


def to_configuration(records: Records) -> model.Configuration:
    """Return the configuration that results from the records in force.

    Its version is the sum of the records' versions. These only increase, so
    the sum increases with each change and is the same on all instances that
    have the same records.

    Raises
    ------
    ValueError
        If the records contradict each other: two workspaces have the same key.
    """
    services = [
        (record.name, record.body)
        for record in records.values()
        if isinstance(record.body, bodies.Service)
    ]
    return model.Configuration(
        sum(record.version for record in records.values()),
        tuple(
            _route(name, host, body)
            for name, body in services
            for host in body.hosts or (name,)
        ),
        {
            name: model.Service(
                name,
                body.mode == 'divided',
                body.limits.connections,
                body.limits.cold_per_s,
            )
            for name, body in services
        },
        model.Limits(),
        _workspaces(records),
    )


def _workspaces(records: Records) -> tuple[model.Workspace, ...] | None:
    """Return the workspaces; None if there is no record of one.

    Raises
    ------
    ValueError
        If the records contradict each other.
    """
    workspaces = tuple(
        model.Workspace(record.name, *record.body)
        for _, record in sorted(records.items())
        if isinstance(record.body, bodies.Workspace)
    )
    model.check_workspaces(workspaces)
    return workspaces or None


def _route(name: str, host: str, body: bodies.Service) -> model.Route:
    return model.Route(
        name=f'{name}/{host}',
        host=host,
        prefix='/',
        idempotent=False,
        clusters=(model.Cluster(name, 1.0),),
        timeout_s=body.default_timeout_ms / 1000,
        objective_s=body.objective_ms / 1000,
        max_attempts=body.max_attempts,
        priority=body.priority,
        idempotent_methods=body.idempotent_methods,
        public=body.public,
    )


def to_movement_rules(records: Records) -> dict[str, planning.Rules]:
    """Return the rules for moving keys by service."""
    return {
        record.name: planning.Rules(
            record.body.hot_key_share,
            record.body.min_gain,
            record.body.cooldown_ms / 1000,
            record.body.max_moves,
        )
        for record in records.values()
        if isinstance(record.body, bodies.Movement)
    }


def names_out_of_service(records: Records, prefix: str) -> set[str]:
    """Return the names, without prefix, that are marked out of service.

    Parameters
    ----------
    records : mapping of str to bodies.Record
        Records in force, by key.
    prefix : str
        `DOMAIN_PREFIX` for failure domains, `INSTANCE_PREFIX` for instances.
    """
    return {
        record.name.removeprefix(prefix)
        for record in records.values()
        if isinstance(record.body, bodies.Mark)
        and record.body.state == 'out'
        and record.name.startswith(prefix)
    }
