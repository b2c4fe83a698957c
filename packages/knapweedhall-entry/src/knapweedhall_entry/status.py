"""Readiness, status and metrics of one instance."""

from __future__ import annotations

import time
import typing

from knapweedhall_entry import admin
from knapweedhall_entry import control_plane
from knapweedhall_entry.gateway import interfaces
from knapweedhall_entry import metrics
from knapweedhall_ownership import slices


class Status:
    """What the admin port shows.

    Parameters
    ----------
    plane : control_plane.ControlPlane
        Control tasks.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop has begun.
    """

    def __init__(self, plane: control_plane.ControlPlane) -> None:
        self.plane = plane
        self.stopping = False

    def ready(self) -> str:
        """Return why the instance is not ready, '' if it is."""
        if self.stopping:
            return 'stopping'
        if not self.plane.follower.restored:
            return 'the configuration is not restored'
        if not self.plane.held.ready(time.monotonic()):
            return 'no send permit'
        return ''

    def status(self) -> admin.Status:
        """Return versions in force, groups held, permits and peers."""
        plane = self.plane
        now = time.monotonic()
        versions = plane.follower.store.versions()
        return {
            'instance': plane.me.name,
            'incarnation': plane.me.incarnation,
            'failure_domain': plane.failure_domain,
            'ready': self.ready() or 'ready',
            'log': {
                'reachable': plane.follower.reachable,
                'restored': plane.follower.restored,
                'next_offset': plane.follower.store.next_offset,
                'missing_before': plane.follower.missing_first,
            },
            'digest': plane.follower.store.digest(),
            'versions': {
                f'{kind}/{name}': version
                for (kind, name), version in sorted(versions.items())
            },
            'groups_held': {
                group: {
                    'term': lease.term,
                    'remaining_ms': round((lease.deadline - now) * 1000),
                }
                for group, lease in plane.elections.leases(now).items()
            },
            'permits': {
                group: self.permit(each.table.deadline, each, now)
                for group, each in sorted(plane.held.groups.items())
            },
            'peers': {
                name: state.heartbeat._asdict()
                for name, state in plane.members.live().items()
            },
            'messages_dropped': dict(plane.peering.dropped),
            'peer_traffic': {
                'sent': plane.peering.sent,
                'sent_bytes': plane.peering.sent_bytes,
                'received': plane.peering.received,
                'received_bytes': plane.peering.received_bytes,
            },
            'processor_s': time.process_time(),
        }

    def permit(
        self, deadline: float, state: typing.Any, now: float
    ) -> dict[str, typing.Any]:
        """Return what is shown of one permit."""
        return {
            'coordinator': state.coordinator,
            'term': state.table.term,
            'table_version': state.table.version,
            'remaining_ms': max(0, round((deadline - now) * 1000)),
        }

    def owner(self, service: str, key: str) -> admin.Status | None:
        """Return the owner of a key, None for an unknown service."""
        record = self.plane.view.service(service)
        if record is None:
            return None
        lookups = self.plane.lookups
        found = lookups.route(time.monotonic(), service, key)
        fields: dict[str, typing.Any] = {
            'service': service,
            'key': key,
            'slice': slices.slice_of(key, record.slices),
            'planned': lookups.planned_owner(service, record, key),
        }
        if isinstance(found, interfaces.Route):
            fields.update(
                slice=found.slice,
                upstream=found.upstream,
                token=str(found.token),
            )
        elif isinstance(found, interfaces.Forward):
            fields['forward'] = [peer.name for peer in found.peers]
        else:
            fields['reason'] = found.reason
        return fields

    def add_metrics(self, values: metrics.Metrics) -> None:
        """Register the metrics of the control side."""
        plane = self.plane
        values.add(
            'ready',
            'Whether the instance takes requests',
            lambda: [({}, float(not self.ready()))],
        )
        values.add(
            'groups_held',
            'Lease groups that this instance coordinates',
            lambda: [({}, len(plane.elections.leases(time.monotonic())))],
        )
        values.add(
            'peers_up',
            'Peers that respond to heartbeats',
            lambda: [({}, len(plane.members.up))],
        )
        values.add(
            'log_reachable',
            'Whether the last read of the log succeeded',
            lambda: [({}, float(plane.follower.reachable))],
        )
        values.add(
            'log_next_offset',
            'First offset of the log that was not applied',
            lambda: [({}, plane.follower.store.next_offset)],
        )
        values.add(
            'records_in_force',
            'Records in force',
            lambda: [({}, len(plane.follower.store.entries))],
        )
        values.add(
            'messages_sent_total',
            'Messages handed to the peering transport',
            lambda: [({}, plane.peering.sent)],
        )
        values.add(
            'messages_received_total',
            'Messages accepted from peers',
            lambda: [({}, plane.peering.received)],
        )
        values.add(
            'messages_dropped_total',
            'Messages dropped by reason',
            lambda: [
                ({'reason': reason}, count)
                for reason, count in plane.peering.dropped.items()
            ],
        )
