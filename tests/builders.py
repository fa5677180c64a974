"""Builders of test data for the core package."""

from hypothesis import strategies as st
from turmericcrank_core.billing import Bill
from turmericcrank_core.requests import ModelRequest
from turmericcrank_core.revisions import Patch
from turmericcrank_core.tables import check_tables
from turmericcrank_dev.site_data import (
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)


def make_raw_tables(n_upstreams=2, **route_fields):
    ports = {f'u{index}': 9000 + index for index in range(n_upstreams)}
    pools = {
        'cheap': build_pool(
            PoolSpec('small', '1', ports, {'cost_out_microcents': 10})
        ),
        'best': build_pool(
            PoolSpec('large', '1', {'v0': 9100}, {'cost_out_microcents': 90})
        ),
        'booking': build_pool(PoolSpec('booking', '1', {'b0': 9200})),
    }
    routes = {
        'quotes': build_route('model', ['planners'], ['cheap'], **route_fields),
        'bays': build_route('non_idempotent_service', ['tills'], ['booking']),
    }
    return build_tables(routes, pools)


def make_tables(**route_fields):
    return check_tables(make_raw_tables(**route_fields)).ok


def make_bill(number, team='planners', bill_id=''):
    return Bill(
        bill_id or f'bill-{number}', team, 'quotes', 'small@1', 3, 5, 50.0
    )


def make_patch(revision, token='token', **route_fields):
    raw = make_raw_tables(**route_fields)
    return Patch(revision, f'{token}-{revision}', 'olga', 0.0, raw)


def make_model_request(prompt='hello', model='quotes'):
    message = {'role': 'user', 'content': prompt}
    payload = {'model': model, 'messages': [message]}
    return ModelRequest(payload, model, False, prompt)


names = st.text('abcdef', min_size=1, max_size=3)
