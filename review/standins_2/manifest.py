"""Builds the manifest and the entries of upstreams."""

import time
from typing import Any

__all__ = (
    'HOST',
    'KEY',
    'TENANT',
    'make_entry',
    'make_manifest',
    'make_route',
)

HOST = 'ficu95.example'
TENANT = 'hule930'
KEY = 'n2ctnfzs989anu6wsjnb'


def make_route(
    name: str, prefix: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Make a route like those of the Kalendra site."""
    route = {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout-ms': 4000,
        'goal-ms': 400,
        'priority': 1,
        'service': service,
        'max-attempts': 1 if kind == 'non_idempotent' else 2,
        'public': False,
        'affinity': False,
        'resumable': False,
    }
    return {**route, **changes}


def make_manifest(
    version: int,
    routes: list[dict[str, Any]],
    keys: tuple[str, ...] = (KEY,),
) -> dict[str, Any]:
    """Make a manifest with one tenant."""
    services = sorted({route['service'] for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health-path': '/health',
                'max-conns': 100,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': list(keys), 'priority': 1}],
    }


def make_entry(
    service: str, address: str, zone: str, slots: int, version: str = 'v1'
) -> dict[str, Any]:
    """Make the entry with which an upstream registers itself."""
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': version,
        'slots': slots,
        'state': 'ready',
        'cold-left-ms': 0,
        'seq': 1,
        'born': int(time.time() * 1000),
    }
