"""The two deployments of section 3 of the design page, at today's sizes."""

from __future__ import annotations

import typing

from knapweedhall_bench import topology

# Service time of a request. Long beside the scheduling delays of a busy
# machine, so that a tenfold slowdown stands out in the latencies.
WORK_MS = 20.0
# What the overloaded service can do, in calls per second. Its service time
# follows from it: with that of the others its overload would be beyond what
# the machine can send. A longer time only during the overload would look like
# a cold start.
OVERLOAD_CAPACITY = 150.0
SLICES = 256
KEYS = 200
CUSTOMER_HEADER = 'Parish'


class Profile(typing.NamedTuple):
    """One deployment.

    Attributes
    ----------
    name : str
        Name in tables and file names.
    divided : str
        Service whose keys have owners.
    choices : tuple of str
        Services of mode `choice`.
    overloaded : str
        Service that gets twice what its upstreams can do.
    upstreams : dict of str to int
        Upstreams per service.
    domains, entries_per_domain : int
        Failure domains and entry instances of each.
    slots, connections : int
        Limits of each upstream.
    connect_cost_ms, probe_cost_ms : float
        Time that an upstream spends on a new connection and on a probe.
    fair : bool
        Whether service is divided fairly among customers.
    """

    name: str
    divided: str
    choices: tuple[str, ...]
    overloaded: str
    upstreams: dict[str, int]
    domains: int
    entries_per_domain: int
    slots: int
    connections: int
    connect_cost_ms: float
    probe_cost_ms: float
    fair: bool

    def topology(self, with_divided: bool = True) -> topology.Topology:
        """Return the processes, with or without the divided service."""
        options = {
            '--slots': self.slots,
            '--connections': self.connections,
            '--connect-cost-ms': self.connect_cost_ms,
            '--probe-cost-ms': self.probe_cost_ms,
        }
        words = [str(word) for pair in options.items() for word in pair]
        specs = []
        for name, count in self.upstreams.items():
            if name == self.divided and not with_divided:
                continue
            work_ms = WORK_MS
            if with_divided and name == self.overloaded:
                work_ms = self.overload_work_ms()
            checks = ['--checks-tokens'] if name == self.divided else []
            specs.append(
                topology.ServiceSpec(
                    name, count, (*words, '--work-ms', str(work_ms), *checks)
                )
            )
        return topology.Topology(
            tuple(specs), self.domains, self.entries_per_domain
        )

    def overload_work_ms(self) -> float:
        """Return the service time of the overloaded service."""
        slots = self.upstreams[self.overloaded] * self.slots
        return round(1000 * slots / OVERLOAD_CAPACITY)

    def service_body(self, name: str) -> dict[str, typing.Any]:
        """Return the body of a service's record."""
        body: dict[str, typing.Any] = {
            'mode': 'choice',
            'limits': {
                'slots': self.slots,
                'connections': self.connections,
                'connect_cost_ms': self.connect_cost_ms,
                'probe_cost_ms': self.probe_cost_ms,
            },
        }
        if name == self.divided:
            body |= {
                'mode': 'divided',
                'slices': SLICES,
                'checks_tokens': True,
                'partition_mode': 'stay',
            }
        if self.fair:
            body['customer_header'] = CUSTOMER_HEADER
        return body


TRAITE = Profile(
    'traite-atlas',
    divided='troupeau-view',
    choices=('stalle-ctl', 'journal-ingest'),
    overloaded='journal-ingest',
    upstreams={'troupeau-view': 20, 'stalle-ctl': 10, 'journal-ingest': 6},
    domains=3,
    entries_per_domain=3,
    slots=4,
    connections=130,
    connect_cost_ms=1,
    probe_cost_ms=0,
    fair=False,
)
AYUNO = Profile(
    'ayuno-claro',
    divided='recordatorios',
    choices=('ofrendas', 'archivo-parroquial'),
    overloaded='archivo-parroquial',
    upstreams={
        'recordatorios': 15,
        'ofrendas': 8,
        'archivo-parroquial': 8,
    },
    domains=4,
    entries_per_domain=2,
    slots=6,
    connections=110,
    connect_cost_ms=1,
    probe_cost_ms=6,
    fair=True,
)
ALL = {profile.name: profile for profile in (TRAITE, AYUNO)}
