"""Reads the settings of the client: where the nodes are, which key to use."""

import pathlib
from dataclasses import dataclass
from typing import Any

import pyjson5
from expression import Error, Ok, Result
from turmericcrank_core.constraints import (
    FieldFault,
    Number,
    Record,
    Text,
    check_fields,
)

__all__ = ('ClientSettings', 'read_json', 'read_settings')

_MINUTE_S = 60

_FIELDS = {
    'nodes': Record(list),
    'key': Text(),
    'ca_path': Text(1000, 'none'),
    'timeout_s': Number(0.1, _MINUTE_S, 5),
    'in_force_s': Number(0.1, _MINUTE_S, 10),
}


@dataclass(slots=True, frozen=True)
class ClientSettings:
    """Checked settings.

    Attributes:
        nodes: Addresses of entry nodes, tried in order.
        key: The operator's key.
        ca_path: Certificate of the site's authority; ``none`` for plain.
        timeout_s: Longest wait for one answer, in seconds.
        in_force_s: Longest wait for an edit to be in force, in seconds.
    """

    nodes: tuple[str, ...]
    key: str
    ca_path: str
    timeout_s: float
    in_force_s: float


def read_json(path: str) -> Result[Any, list[FieldFault]]:
    """Read a file of JSON with comments."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Error([FieldFault(path, '', '', str(error), 'a readable file')])
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as error:
        allowed = 'JSON with comments'
        return Error([FieldFault(path, '', '', str(error), allowed)])


def read_settings(path: str) -> Result[ClientSettings, list[FieldFault]]:
    """Read and check the client's settings."""
    return read_json(path).bind(_check_settings)


def _check_settings(raw: Any) -> Result[ClientSettings, list[FieldFault]]:
    if not isinstance(raw, dict):
        return Error([FieldFault('settings', '', '', repr(raw), 'an object')])
    faults = list(check_fields(raw, _FIELDS, 'settings'))
    if not faults and not raw['nodes']:
        faults.append(
            FieldFault('settings', '', 'nodes', '[]', 'one or more addresses')
        )
    if faults:
        return Error(faults)
    plain = {
        name: raw.get(name, constraint.default)
        for name, constraint in _FIELDS.items()
    }
    plain['nodes'] = tuple(plain['nodes'])
    return Ok(ClientSettings(**plain))
