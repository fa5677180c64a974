"""The tables of routes and pools: validation, comparison and patches."""

from turmericcrank_core.tables.changes import (
    apply_patch,
    describe_patch,
    plan_patch,
)
from turmericcrank_core.tables.check import check_tables
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

__all__ = (
    'Pool',
    'PoolState',
    'Rollout',
    'Route',
    'RouteKind',
    'RouteObjective',
    'Tables',
    'Upstream',
    'apply_patch',
    'check_tables',
    'describe_patch',
    'plan_patch',
)
