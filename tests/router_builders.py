"""Builders of test data for the router that runs on a platform."""

from turmericcrank_core.rollout_phases import (
    RolloutOrder,
    RolloutPhase,
    RolloutState,
)
from turmericcrank_core.routing import (
    CallKind,
    ForwardRoute,
    RouteTable,
    ServiceShare,
    Team,
    index_routes,
)
from turmericcrank_core.upstream_registry import ListedUpstream

HOST = 'site.example'
KEY = 'key-1'


def make_route(name='quotes', kind=CallKind.stream, **fields):
    defaults = {
        'host': HOST,
        'prefix': f'/{name}/',
        'timeout_s': 5.0,
        'objective_s': 1.0,
        'priority': 1,
        'max_attempts': 3,
        'is_public': False,
        'is_resumable': True,
        'shares': (ServiceShare('engine', 1),),
        'models': (),
    }
    return ForwardRoute(name=name, kind=kind, **{**defaults, **fields})


def make_table(*routes, revision=1, teams=None):
    by_key = {KEY: Team('planners')} if teams is None else teams
    return RouteTable(revision, index_routes(list(routes)), by_key)


def make_upstream(upstream_id='u1', service='engine', **fields):
    defaults = {
        'address': '127.0.0.1:9000',
        'data_centre': 'dc1',
        'version': 'v1',
        'slots': 4,
        'is_draining': False,
    }
    return ListedUpstream(
        upstream_id=upstream_id, service=service, **{**defaults, **fields}
    )


def make_order(number=5, duration_s=20.0, version='v2'):
    return RolloutOrder('engine', version, duration_s, number)


def make_rollout(phase=RolloutPhase.canary, began_s=100.0, **order_fields):
    return RolloutState(make_order(**order_fields), phase, began_s)
