"""Reads and validates the settings of one node."""

import pathlib
from dataclasses import dataclass
from typing import Any

import pyjson5
from expression import Error, Ok, Result
from turmericcrank_core.admission import TeamLimits
from turmericcrank_core.constraints import (
    Choice,
    Container,
    FieldError,
    Number,
    Text,
    check_fields,
)
from turmericcrank_core.freshness import FreshnessSettings

__all__ = ('NodeSettings', 'TlsSettings', 'check_settings', 'read_settings')

_MEBIBYTE = 1024 * 1024
_HOUR_S = 3600

_FIELDS = {
    'node_id': Text(),
    'data_centre': Text(),
    'caller_address': Text(),
    'peer_address': Text(),
    'platform_url': Text(),
    'node_secret': Text(),
    'session_keys': Container(list),
    'teams': Container(dict),
    'operators': Container(dict),
    'seed_peers': Container(list, []),
    'tls': Container(dict, {}),
    'upstream_scheme': Choice(('http', 'https'), 'http'),
    'statsd_address': Text(default='none'),
    'log_path': Text(default='-'),
    'keep_s': Number(0.1, _HOUR_S, 5),
    'settle_s': Number(0, _HOUR_S, 3),
    'poll_s': Number(0.05, 60, 1),
    'freshness_bound_s': Number(0.5, 60, 4),
    'store_timeout_s': Number(0.1, 60, 1.5),
    'claim_limit_s': Number(0.1, 60, 3),
    'bill_flush_s': Number(0.05, 60, 0.5),
    'bill_takeover_s': Number(1, _HOUR_S, 10),
    'max_body_bytes': Number(1, 64 * _MEBIBYTE, _MEBIBYTE, whole=True),
    'max_stream_bytes': Number(1, 1024 * _MEBIBYTE, 16 * _MEBIBYTE, whole=True),
    'body_timeout_s': Number(0.1, _HOUR_S, 10),
    'connect_timeout_s': Number(0.05, 60, 1),
    'read_timeout_s': Number(0.1, _HOUR_S, 30),
    'node_capacity': Number(1, 100000, 500, whole=True),
    'order_lease_s': Number(0.5, _HOUR_S, 6),
    'draft_lease_s': Number(0.5, _HOUR_S, 10),
    'max_draft_runs': Number(1, 1000, 4, whole=True),
}
_TEAM_FIELDS = {
    'key_sha256': Text(64),
    'rate_per_s': Number(0.001, 1e6, 1000),
    'burst': Number(1, 1e6, 1000),
    'concurrency': Number(1, 1e6, 1000, whole=True),
}
_OPERATOR_FIELDS = {'key_sha256': Text(64)}
_TLS_FIELDS = {
    'certificate_path': Text(1000),
    'key_path': Text(1000),
    'ca_path': Text(1000),
}


@dataclass(slots=True, frozen=True)
class TlsSettings:
    """Paths of the node's certificate and key and of the site's CA."""

    certificate_path: str
    key_path: str
    ca_path: str


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """Validated settings; ``docs/OPERATING.md`` describes each field."""

    node_id: str
    data_centre: str
    caller_address: str
    peer_address: str
    platform_url: str
    node_secret: str
    session_keys: tuple[str, ...]
    teams_by_key_hash: dict[str, str]
    limits_by_team: dict[str, TeamLimits]
    operators_by_key_hash: dict[str, str]
    seed_peers: tuple[str, ...]
    tls: TlsSettings | None
    upstream_scheme: str
    statsd_address: str
    log_path: str
    keep_s: float
    settle_s: float
    poll_s: float
    freshness: FreshnessSettings
    store_timeout_s: float
    claim_limit_s: float
    bill_flush_s: float
    bill_takeover_s: float
    max_body_bytes: int
    max_stream_bytes: int
    body_timeout_s: float
    connect_timeout_s: float
    read_timeout_s: float
    node_capacity: int
    order_lease_s: float
    draft_lease_s: float
    max_draft_runs: int


def read_settings(path: str) -> Result[NodeSettings, list[FieldError]]:
    """Read the settings file, JSON with comments.

    Args:
        path: Path of the file.

    Returns:
        The settings, or an error for each invalid field, with its name,
        value and allowed range.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Error([FieldError(path, '', '', str(error), 'a readable file')])
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        allowed = 'JSON with comments'
        return Error([FieldError(path, '', '', str(error), allowed)])
    return check_settings(raw)


def check_settings(raw: Any) -> Result[NodeSettings, list[FieldError]]:
    """Validate the decoded settings and build the settings object."""
    if not isinstance(raw, dict):
        return Error([FieldError('settings', '', '', repr(raw), 'an object')])
    field_errors = list(check_fields(raw, _FIELDS, 'settings'))
    field_errors.extend(_check_rows(raw, 'teams', _TEAM_FIELDS))
    field_errors.extend(_check_rows(raw, 'operators', _OPERATOR_FIELDS))
    if isinstance(raw.get('tls'), dict) and raw['tls']:
        field_errors.extend(
            check_fields(raw['tls'], _TLS_FIELDS, 'settings', 'tls')
        )
    field_errors.extend(_check_addresses(raw))
    if not raw.get('session_keys', True):
        field_errors.append(
            FieldError('settings', '', 'session_keys', '[]', 'one or more keys')
        )
    if field_errors:
        return Error(field_errors)
    return Ok(_build_settings(raw))


def _check_addresses(raw: dict[str, Any]) -> list[FieldError]:
    field_errors = []
    for name in ('caller_address', 'peer_address'):
        address = raw.get(name)
        if isinstance(address, str):
            _host, _, port = address.rpartition(':')
            if not port.isdigit() or not 0 < int(port) < 65536:  # noqa: WPS432
                allowed = 'IP:port with a port from 1 to 65535'
                field_errors.append(
                    FieldError('settings', '', name, repr(address), allowed)
                )
    return field_errors


def _check_rows(
    raw: dict[str, Any], section: str, fields: dict[str, Any]
) -> list[FieldError]:
    rows = raw.get(section)
    if not isinstance(rows, dict):
        return []
    field_errors = []
    for name, row in rows.items():
        if isinstance(row, dict):
            field_errors.extend(check_fields(row, fields, section, name))
        else:
            field_errors.append(
                FieldError(section, name, '', repr(row), 'an object')
            )
    return field_errors


def _build_settings(raw: dict[str, Any]) -> NodeSettings:
    field_values = {
        name: raw.get(name, constraint.default)
        for name, constraint in _FIELDS.items()
    }
    teams = field_values.pop('teams')
    operators = field_values.pop('operators')
    bound_s = field_values.pop('freshness_bound_s')
    field_values['session_keys'] = tuple(field_values['session_keys'])
    field_values['seed_peers'] = tuple(field_values['seed_peers'])
    field_values['tls'] = (
        TlsSettings(**field_values['tls']) if field_values['tls'] else None
    )
    return NodeSettings(
        **field_values,
        teams_by_key_hash={
            row['key_sha256']: team for team, row in teams.items()
        },
        limits_by_team={
            team: _build_limits(row) for team, row in teams.items()
        },
        operators_by_key_hash={
            row['key_sha256']: operator for operator, row in operators.items()
        },
        freshness=FreshnessSettings(bound_s=bound_s, window_s=bound_s),
    )


def _build_limits(row: dict[str, Any]) -> TeamLimits:
    limits = {
        name: row.get(name, constraint.default)
        for name, constraint in _TEAM_FIELDS.items()
        if name != 'key_sha256'
    }
    return TeamLimits(**limits)
