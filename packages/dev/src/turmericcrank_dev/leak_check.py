"""Checks that names of the platform occur in the platform adapter only.

A name is any ``str`` or ``bytes`` literal of the adapter that contains a
hyphen and no space. No other package may contain it as a literal, except for
names defined by HTTP or server-sent events.
"""

import ast
import pathlib
from collections.abc import Iterator

__all__ = ('find_leaked_names',)

_ADAPTER = pathlib.Path('platform')
_PACKAGES = pathlib.Path('packages')
# Names defined by HTTP (RFC 9110 and 9112) or by server-sent events.
_STANDARD_NAMES = frozenset(
    (
        'content-length',
        'content-type',
        'keep-alive',
        'last-event-id',
        'latin-1',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'retry-after',
        'transfer-encoding',
        'x-request-id',
    )
)


def find_leaked_names() -> Iterator[str]:
    """Yield an error for each platform name outside the adapter."""
    names = {
        name
        for path in sorted(_ADAPTER.rglob('*.py'))
        for name in _iter_names(path)
    }
    for path in sorted(_PACKAGES.rglob('*.py')):
        for leaked in sorted(names.intersection(_iter_names(path))):
            yield f'{path}: {leaked} may occur only in {_ADAPTER}'


def _iter_names(path: pathlib.Path) -> Iterator[str]:
    tree = ast.parse(path.read_text(encoding='utf-8'))
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant):
            text = _as_text(node.value).lower()
            is_name = '-' in text and ' ' not in text and len(text) > 2
            if is_name and text not in _STANDARD_NAMES:
                yield text


def _as_text(literal: object) -> str:
    if isinstance(literal, bytes):
        return literal.decode('latin-1')
    return literal if isinstance(literal, str) else ''
