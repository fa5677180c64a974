"""Builders of records for the tests of the judges."""

from tests.soak.record import (
    Arrival,
    Bounds,
    ClientRequest,
    Ending,
    NodeEvent,
    NodeEventKind,
    RouteKind,
    Run,
    UpstreamEvent,
    UpstreamEventKind,
)

__all__ = (
    'make_arrival',
    'make_crash',
    'make_node_event',
    'make_request',
    'make_run',
    'make_upstream_event',
)

_DEADLINE_S = 12


def make_run(**fields) -> Run:
    """Make a record; times of its requests are in no order."""
    fields.setdefault('bounds', Bounds())
    return Run(seed=1, ended_s=600, **fields)


def make_request(request_id: str, began_s: float = 100, **fields):
    """Make a whole request that is answered after 0.1 s."""
    given = {
        'node': 'node-1',
        'service': 'service-1',
        'route': 'route-1',
        'kind': RouteKind.idempotent,
        'max_attempts': 2,
        'route_timeout_s': _DEADLINE_S,
        'deadline_s': _DEADLINE_S,
        'connection': 1,
        'is_kept': True,
        'sent_s': began_s,
        'ended_s': began_s + 0.1,
        'ending': Ending.answered,
    }
    return ClientRequest(request_id, began_s=began_s, **given | fields)


def make_arrival(request_id: str, read_s: float = 100, **fields) -> Arrival:
    """Make an arrival that its upstream runs at once, for 0.05 s."""
    given = {
        'upstream': 'upstream-1',
        'service': 'service-1',
        'node': 'node-1',
        'connected_s': read_s,
        'deadline_s': _DEADLINE_S,
        'began_s': read_s,
        'ended_s': read_s + 0.05,
    }
    return Arrival(request_id, read_s=read_s, **given | fields)


def make_node_event(
    at_s: float, kind: NodeEventKind, node: str = 'node-1'
) -> NodeEvent:
    """Make an event of a node."""
    return NodeEvent(at_s, node, kind)


def make_upstream_event(
    at_s: float, kind: UpstreamEventKind, upstream: str = 'upstream-1'
) -> UpstreamEvent:
    """Make an event of an upstream."""
    return UpstreamEvent(at_s, upstream, kind)


def make_crash(
    at_s: float, crash_key: str, upstream: str = 'upstream-1'
) -> UpstreamEvent:
    """Make a crash of an upstream by a request."""
    return UpstreamEvent(at_s, upstream, UpstreamEventKind.crashed, crash_key)
