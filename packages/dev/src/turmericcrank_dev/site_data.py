"""Settings and tables of a small site on loopback."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

__all__ = (
    'OPERATOR_KEY',
    'TEAM_KEYS',
    'NodePorts',
    'PoolSpec',
    'build_client_settings',
    'build_node_settings',
    'build_pool',
    'build_route',
    'build_tables',
    'build_tls_settings',
    'hash_key',
)

OPERATOR_KEY = 'operator-key'
TEAM_KEYS = {
    'planners': 'planner-key',
    'tills': 'till-key',
    'guests': 'guest-key',
}


@dataclass(slots=True, frozen=True)
class NodePorts:
    """Name, data centre and ports of one node on 127.0.0.1."""

    name: str
    data_centre: str
    client_port: int
    peer_port: int

    @property
    def client_address(self) -> str:
        """Return the address for clients."""
        return f'127.0.0.1:{self.client_port}'

    @property
    def peer_address(self) -> str:
        """Return the address for peers."""
        return f'127.0.0.1:{self.peer_port}'


@dataclass(slots=True)
class PoolSpec:
    """Description of a pool; upstreams are given by name and port."""

    model: str
    version: str
    ports_by_upstream: dict[str, int]
    fields: dict[str, Any] = field(default_factory=dict)


def build_node_settings(
    ports: NodePorts, platform_port: int, log_path: str, **overrides: Any
) -> dict[str, Any]:
    """Build the settings of one node, with short intervals and timeouts."""
    settings = {
        'node_id': ports.name,
        'data_centre': ports.data_centre,
        'caller_address': ports.client_address,
        'peer_address': ports.peer_address,
        'platform_url': f'http://127.0.0.1:{platform_port}',
        'node_secret': 'node-secret',
        'session_keys': ['session-key'],
        'teams': {
            team: {'key_sha256': hash_key(key)}
            for team, key in TEAM_KEYS.items()
        },
        'operators': {'olga': {'key_sha256': hash_key(OPERATOR_KEY)}},
        'log_path': log_path,
        'keep_s': 1,
        'settle_s': 0.5,
        'poll_s': 0.3,
        'freshness_bound_s': 2,
        'store_timeout_s': 0.5,
        'claim_limit_s': 2,
        'bill_flush_s': 0.2,
        'bill_takeover_s': 2,
        'order_lease_s': 3,
        'draft_lease_s': 3,
    }
    settings.update(overrides)
    return settings


def build_client_settings(nodes: list[str]) -> dict[str, Any]:
    """Build the settings of the operators' command line."""
    return {'nodes': nodes, 'key': OPERATOR_KEY}


def build_tls_settings(folder: str) -> dict[str, Any]:
    """Build the node settings that enable TLS."""
    return {
        'tls': {
            'certificate_path': f'{folder}/cert.pem',
            'key_path': f'{folder}/key.pem',
            'ca_path': f'{folder}/ca.pem',
        },
        'upstream_scheme': 'https',
    }


def build_pool(plan: PoolSpec) -> dict[str, Any]:
    """Build the stored form of a pool."""
    upstreams = {
        name: {'address': f'127.0.0.1:{port}', 'data_centre': 'dc1'}
        for name, port in plan.ports_by_upstream.items()
    }
    return {
        'model': plan.model,
        'version': plan.version,
        'upstreams': upstreams,
        **plan.fields,
    }


def build_route(
    kind: str, teams: list[str], pools: list[str], **fields: Any
) -> dict[str, Any]:
    """Build the stored form of a route."""
    return {'kind': kind, 'teams': teams, 'pools': pools, **fields}


def build_tables(
    routes: dict[str, Any], pools: dict[str, Any]
) -> dict[str, Any]:
    """Build the stored form of both tables."""
    return {'routes': routes, 'pools': pools}


def hash_key(key: str) -> str:
    """Return the hash of an API key as in the settings of a node."""
    return hashlib.sha256(key.encode()).hexdigest()
