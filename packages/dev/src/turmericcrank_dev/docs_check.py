"""Consistency checks of docs and code, run by ``make lint``.

Result codes and events in the docs must match the code, the core must not
import modules for I/O, clocks or concurrency, names of the platform must
occur in its adapter only, and the tests named in ``docs/PROOFS.md`` must
exist.
"""

import ast
import pathlib
import re
import sys
from collections.abc import Iterator

from turmericcrank_core.codes import CODES
from turmericcrank_core.event_codes import EventCode

from turmericcrank_dev.leak_check import find_leaks
from turmericcrank_dev.proofs_check import find_missing_tests

__all__ = ('main',)

_CORE = pathlib.Path('packages/core/src/turmericcrank_core')
_FORBIDDEN = frozenset(
    (
        'asyncio',
        'datetime',
        'httpx',
        'io',
        'logging',
        'os',
        'pathlib',
        'quart',
        'select',
        'socket',
        'ssl',
        'subprocess',
        'sys',
        'threading',
        'time',
        'trio',
    )
)
_ROW = re.compile(r'^\| (\d+) \| `(\w+)` \|(.*)\|$', re.MULTILINE)
_PAGES = (
    'README.md',
    'CHANGELOG.md',
    'DEVELOPERS.md',
    'docs/CAPACITY.md',
    'docs/DESIGN.md',
    'docs/EVENTS.md',
    'docs/GLOSSARY.md',
    'docs/LIBRARIES.md',
    'docs/OPERATING.md',
    'docs/OPERATIONS.md',
    'docs/PLATFORM-FIT.md',
    'docs/PLATFORM.md',
    'docs/PROOFS.md',
    'docs/RESULT-CODES.md',
)


def main() -> int:
    """Print all errors; return 0 if there are none, else 1."""
    faults = [
        *_find_missing_pages(),
        *_find_code_faults(),
        *_find_event_faults(),
        *_find_import_faults(),
        *find_missing_tests(),
        *find_leaks(),
    ]
    for fault in faults:
        sys.stdout.write(f'{fault}\n')
    return int(bool(faults))


def _find_missing_pages() -> Iterator[str]:
    for page in _PAGES:
        if not pathlib.Path(page).exists():
            yield f'{page} is missing'


def _find_code_faults() -> Iterator[str]:
    page = 'docs/RESULT-CODES.md'
    rows_by_number = _read_rows(page)
    for code, about in CODES.items():
        ran = str(about.ran) if about.ran else 'told per request'
        expected = (code.name, f'{about.http_status} | {ran} | {about.text}')
        if rows_by_number.pop(int(code), None) != expected:
            yield f'{page}: {int(code)} should be {expected}'
    for number in rows_by_number:
        yield f'{page}: {number} is not in the code'


def _find_event_faults() -> Iterator[str]:
    page = 'docs/EVENTS.md'
    rows_by_number = _read_rows(page)
    for code in EventCode:
        name, _ = rows_by_number.pop(int(code), ('', ''))
        if name != code.name:
            yield f'{page}: {int(code)} should be {code.name}'
    for number in rows_by_number:
        yield f'{page}: {number} is not in the code'


def _read_rows(page: str) -> dict[int, tuple[str, str]]:
    path = pathlib.Path(page)
    if not path.exists():
        return {}
    found = _ROW.findall(path.read_text(encoding='utf-8'))
    return {int(number): (name, rest.strip()) for number, name, rest in found}


def _find_import_faults() -> Iterator[str]:
    for path in sorted(_CORE.rglob('*.py')):
        tree = ast.parse(path.read_text(encoding='utf-8'))
        for node in ast.walk(tree):
            for name in _list_imported(node):
                if name.partition('.')[0] in _FORBIDDEN:
                    yield f'{path}: the core must not import {name}'


def _list_imported(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        return [node.module or '']
    return []


if __name__ == '__main__':
    sys.exit(main())
