"""Builds manifests as the operator writes them."""

from typing import Any

__all__ = ('HOST', 'make_manifest', 'make_plain_route', 'make_stream_route')

HOST = 'ficu95.example'


def make_plain_route(
    service: str,
    *,
    name: str = 'slot-check',
    prefix: str = '/slots/',
    kind: str = 'idempotent',
    timeout_ms: int = 800,
) -> dict[str, Any]:
    """Build a route to a plain service."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout-ms': timeout_ms,
        'goal-ms': 150,
        'priority': 0,
        'service': service,
        'max-attempts': 2 if kind == 'idempotent' else 1,
        'public': False,
        'affinity': False,
        'resumable': False,
    }


def make_stream_route(service: str, *, timeout_ms: int) -> dict[str, Any]:
    """Build a route of streams that may be resumed."""
    return {
        'name': 'season-plan',
        'host': HOST,
        'prefix': '/plans/',
        'kind': 'streaming',
        'timeout-ms': timeout_ms,
        'goal-ms': 2000,
        'priority': 1,
        'service': service,
        'max-attempts': 3,
        'public': False,
        'affinity': True,
        'resumable': True,
        'gap-goal-ms': 1000,
    }


def make_manifest(
    version: int, routes: list[dict[str, Any]], keys: list[str]
) -> dict[str, Any]:
    """Build a manifest with one tenant that holds all keys."""
    services = sorted({route['service'] for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': service, 'health-path': '/health', 'max-conns': 360}
            for service in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api-keys': keys}],
    }
