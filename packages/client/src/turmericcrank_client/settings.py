"""Settings of the operators' command line: node addresses, key, timeouts."""

import pathlib
from dataclasses import dataclass
from typing import Any

import pyjson5
from expression import Error, Ok, Result
from turmericcrank_core.constraints import (
    Container,
    FieldError,
    Number,
    Text,
    check_fields,
)

__all__ = ('ClientSettings', 'read_json', 'read_settings')

_MAX_TIMEOUT_S = 60

_FIELDS = {
    'nodes': Container(list),
    'key': Text(),
    'ca_path': Text(1000, 'none'),
    'timeout_s': Number(0.1, _MAX_TIMEOUT_S, 5),
    'in_force_s': Number(0.1, _MAX_TIMEOUT_S, 10),
}


@dataclass(slots=True, frozen=True)
class ClientSettings:
    """Validated settings of the operators' command line.

    Attributes:
        nodes: Addresses of entry nodes, tried in order.
        key: The operator's key.
        ca_path: CA certificate of the site; ``none`` for plain HTTP.
        timeout_s: Longest wait for one response, in seconds.
        in_force_s: Longest wait for an edit to be in force, in seconds.
    """

    nodes: tuple[str, ...]
    key: str
    ca_path: str
    timeout_s: float
    in_force_s: float


def read_json(path: str) -> Result[Any, list[FieldError]]:
    """Read a JSON file that may contain comments."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Error([FieldError(path, '', '', str(error), 'a readable file')])
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as error:
        allowed = 'JSON with comments'
        return Error([FieldError(path, '', '', str(error), allowed)])


def read_settings(path: str) -> Result[ClientSettings, list[FieldError]]:
    """Read and validate the settings of the command line."""
    return read_json(path).bind(_check_settings)


def _check_settings(raw: Any) -> Result[ClientSettings, list[FieldError]]:
    if not isinstance(raw, dict):
        return Error([FieldError('settings', '', '', repr(raw), 'an object')])
    field_errors = list(check_fields(raw, _FIELDS, 'settings'))
    if not field_errors and not raw['nodes']:
        field_errors.append(
            FieldError('settings', '', 'nodes', '[]', 'one or more addresses')
        )
    if field_errors:
        return Error(field_errors)
    values_by_name = {
        name: raw.get(name, constraint.default)
        for name, constraint in _FIELDS.items()
    }
    values_by_name['nodes'] = tuple(values_by_name['nodes'])
    return Ok(ClientSettings(**values_by_name))
