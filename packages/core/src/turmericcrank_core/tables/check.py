"""Validates both tables together before an edit is accepted."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from expression import Error, Ok, Result

from turmericcrank_core.constraints import (
    Choice,
    Container,
    FieldError,
    Flag,
    Number,
    Text,
    check_fields,
)
from turmericcrank_core.tables.rows import (
    Pool,
    PoolState,
    Rollout,
    Route,
    RouteKind,
    RouteObjective,
    Tables,
    Upstream,
)

__all__ = ('check_tables',)

_DAY_S = 86400
_ROUTES = 'routes'
_POOLS = 'pools'
_ROLLOUT = 'rollout'
_MAX_COST = 1e9
_MAX_CAPACITY = 10000

_ROUTE_FIELDS = {
    'teams': Container(list),
    'kind': Choice(tuple(RouteKind)),
    'weighs': Choice(tuple(RouteObjective), RouteObjective.latency),
    'pools': Container(list),
    'quality_target': Number(0, 100, 0),
    'rollout': Container(dict, {}),
    'session_pools': Container(list, []),
    'session_max_s': Number(0, _DAY_S, 0),
    'deadline_s': Number(0.1, _DAY_S, 60),
    'priority': Number(0, 9, 5, whole=True),
}
_ROLLOUT_FIELDS = {
    'pool': Text(),
    'replaces': Text(),
    'percents': Container(list),
    'step_s': Number(1, _DAY_S),
    'started_s': Number(0, 1e11),
}
_POOL_FIELDS = {
    'model': Text(),
    'version': Text(),
    'upstreams': Container(dict),
    'cost_in_microcents': Number(0, _MAX_COST, 0),
    'cost_out_microcents': Number(0, _MAX_COST, 0),
    'capacity': Number(1, _MAX_CAPACITY, 8, whole=True),
    'state': Choice(tuple(PoolState), PoolState.active),
    'checks_fencing': Flag(default=False),
    'generation': Number(1, 1e9, 1, whole=True),
}
_UPSTREAM_FIELDS = {
    'address': Text(),
    'data_centre': Text(),
}
_MODEL_KINDS = frozenset((RouteKind.model, RouteKind.long_draft))


def check_tables(raw: Any) -> Result[Tables, list[FieldError]]:
    """Validate the raw form of both tables and build them.

    Args:
        raw: Object with ``routes`` and ``pools``, each rows by name.

    Returns:
        The tables, or all errors found, each with table, row, field, value
        and range.
    """
    table_fields = {_ROUTES: Container(dict), _POOLS: Container(dict)}
    if not isinstance(raw, dict):
        return Error([FieldError('tables', '', '', repr(raw), 'an object')])
    errors = list(check_fields(raw, table_fields, 'tables'))
    if not errors:
        errors = list(_find_row_errors(raw))
    if not errors:
        errors = list(_find_reference_errors(raw))
    if errors:
        return Error(errors)
    return Ok(_build_tables(raw))


def _find_row_errors(raw: Mapping[str, Any]) -> Iterator[FieldError]:
    for table, fields in ((_ROUTES, _ROUTE_FIELDS), (_POOLS, _POOL_FIELDS)):
        for name, row in raw[table].items():
            if isinstance(row, dict):
                yield from check_fields(row, fields, table, name)
            else:
                yield FieldError(table, name, '', repr(row), 'an object')
    for name, row in raw[_POOLS].items():
        yield from _find_upstream_errors(name, row)
    for name, row in raw[_ROUTES].items():
        yield from _find_nested_route_errors(name, row)


def _find_upstream_errors(name: str, row: Any) -> Iterator[FieldError]:
    if not isinstance(row, dict) or not isinstance(row.get('upstreams'), dict):
        return
    for upstream_id, upstream in row['upstreams'].items():
        row_path = f'{name}.upstreams.{upstream_id}'
        if isinstance(upstream, dict):
            yield from check_fields(
                upstream, _UPSTREAM_FIELDS, _POOLS, row_path
            )
        else:
            yield FieldError(_POOLS, row_path, '', repr(upstream), 'an object')


def _find_nested_route_errors(name: str, row: Any) -> Iterator[FieldError]:
    if not isinstance(row, dict):
        return
    for field in ('teams', 'pools'):
        listed_names = row.get(field)
        if isinstance(listed_names, list) and not _is_name_list(listed_names):
            allowed = 'one or more names, each once'
            yield FieldError(_ROUTES, name, field, repr(listed_names), allowed)
    rollout = row.get(_ROLLOUT)
    if rollout and isinstance(rollout, dict):
        row_path = f'{name}.rollout'
        yield from check_fields(rollout, _ROLLOUT_FIELDS, _ROUTES, row_path)
        percents = rollout.get('percents')
        if isinstance(percents, list) and not _is_increasing_percents(percents):
            allowed = 'rising numbers over 0 up to 100'
            yield FieldError(
                _ROUTES, row_path, 'percents', repr(percents), allowed
            )


def _is_name_list(listed_names: list[Any]) -> bool:
    if not listed_names or not all(
        isinstance(name, str) for name in listed_names
    ):
        return False
    return len(set(listed_names)) == len(listed_names)


def _is_increasing_percents(percents: list[Any]) -> bool:
    accepts = Number(0, 100).accepts
    if not percents or not all(accepts(percent) for percent in percents):
        return False
    return percents[0] > 0 and sorted(set(percents)) == percents


def _find_reference_errors(raw: Mapping[str, Any]) -> Iterator[FieldError]:
    pool_rows = raw[_POOLS]
    pool_list = ', '.join(pool_rows) or 'no pool yet'
    for name, row in raw[_ROUTES].items():
        for field, pool in _iter_pool_references(row):
            if not isinstance(pool, str) or pool not in pool_rows:
                yield FieldError(
                    _ROUTES, name, field, repr(pool), f'a pool: {pool_list}'
                )
        yield from _find_rollout_errors(name, row)
        yield from _find_cascade_errors(name, row, pool_rows)
    yield from _find_shared_upstream_errors(pool_rows)


def _find_rollout_errors(
    name: str, row: Mapping[str, Any]
) -> Iterator[FieldError]:
    rollout = row.get(_ROLLOUT)
    if rollout and rollout['replaces'] not in row[_POOLS]:
        yield FieldError(
            _ROUTES,
            name,
            'rollout.replaces',
            repr(rollout['replaces']),
            'a pool of this route',
        )


def _iter_pool_references(
    row: Mapping[str, Any],
) -> Iterator[tuple[str, Any]]:
    """Yield each field of a route that refers to a pool, with the name."""
    for pool in row[_POOLS]:
        yield _POOLS, pool
    for session_pool in row.get('session_pools', ()):
        yield 'session_pools', session_pool
    if row.get(_ROLLOUT):
        yield 'rollout.pool', row[_ROLLOUT]['pool']


def _find_cascade_errors(
    name: str, row: Mapping[str, Any], pool_rows: Mapping[str, Any]
) -> Iterator[FieldError]:
    pools = row[_POOLS]
    if len(pools) == 1:
        return
    pools_text = repr(pools)
    if row['kind'] not in _MODEL_KINDS:
        yield FieldError(_ROUTES, name, _POOLS, pools_text, 'one for a service')
    if not row.get('quality_target'):
        yield FieldError(
            _ROUTES,
            name,
            'quality_target',
            repr(row.get('quality_target')),
            'a number over 0 to 100 with a cascade',
        )
    costs = [
        pool_rows[pool].get('cost_out_microcents', 0)
        for pool in pools
        if pool in pool_rows
    ]
    if costs != sorted(costs):
        yield FieldError(_ROUTES, name, _POOLS, pools_text, 'cheapest first')


def _find_shared_upstream_errors(
    pool_rows: Mapping[str, Any],
) -> Iterator[FieldError]:
    counts = Counter(
        upstream_id
        for row in pool_rows.values()
        for upstream_id in row['upstreams']
    )
    for name, row in pool_rows.items():
        for upstream_id in row['upstreams']:
            if counts[upstream_id] > 1:
                yield FieldError(
                    _POOLS,
                    name,
                    'upstreams',
                    repr(upstream_id),
                    'a name used by one pool only',
                )


def _with_defaults(
    row: Mapping[str, Any], fields: Mapping[str, Any]
) -> dict[str, Any]:
    return {
        name: row.get(name, constraint.default)
        for name, constraint in fields.items()
    }


def _build_tables(raw: Mapping[str, Any]) -> Tables:
    return Tables(
        routes_by_name={
            name: _build_route(name, _with_defaults(row, _ROUTE_FIELDS))
            for name, row in raw[_ROUTES].items()
        },
        pools_by_name={
            name: _build_pool(name, _with_defaults(row, _POOL_FIELDS))
            for name, row in raw[_POOLS].items()
        },
    )


def _build_route(name: str, row: dict[str, Any]) -> Route:
    rollout = None
    if row[_ROLLOUT]:
        percents = tuple(row[_ROLLOUT]['percents'])
        rollout = Rollout(**{**row[_ROLLOUT], 'percents': percents})
    return Route(
        name=name,
        teams=frozenset(row['teams']),
        kind=RouteKind(row['kind']),
        weighs=RouteObjective(row['weighs']),
        pools=tuple(row[_POOLS]),
        quality_target=row['quality_target'] or None,
        rollout=rollout,
        session_pools=tuple(row['session_pools']),
        session_max_s=row['session_max_s'],
        deadline_s=row['deadline_s'],
        priority=row['priority'],
    )


def _build_pool(name: str, row: dict[str, Any]) -> Pool:
    upstreams_by_id = {
        upstream_id: Upstream(upstream_id, **fields)
        for upstream_id, fields in row['upstreams'].items()
    }
    return Pool(
        name=name,
        model=row['model'],
        version=row['version'],
        upstreams_by_id=upstreams_by_id,
        cost_in_microcents=row['cost_in_microcents'],
        cost_out_microcents=row['cost_out_microcents'],
        capacity=row['capacity'],
        state=PoolState(row['state']),
        checks_fencing=row['checks_fencing'],
        generation=row['generation'],
    )
