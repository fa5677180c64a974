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

from turmericcrank_dev.leak_check import find_leaked_names
from turmericcrank_dev.proofs_check import find_missing_tests

__all__ = ('main',)

_CORE = pathlib.Path('packages/core/src/turmericcrank_core')
_FORBIDDEN_MODULES = frozenset(
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
_TABLE_ROW = re.compile(r'^\| (\d+) \| `(\w+)` \|(.*)\|$', re.MULTILINE)
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
    errors = [
        *_find_missing_pages(),
        *_find_code_errors(),
        *_find_event_errors(),
        *_find_import_errors(),
        *find_missing_tests(),
        *find_leaked_names(),
    ]
    for error in errors:
        sys.stdout.write(f'{error}\n')
    return int(bool(errors))


def _find_missing_pages() -> Iterator[str]:
    for page in _PAGES:
        if not pathlib.Path(page).exists():
            yield f'{page} is missing'


def _find_code_errors() -> Iterator[str]:
    page = 'docs/RESULT-CODES.md'
    rows_by_number = _read_rows(page)
    for code, code_info in CODES.items():
        ran = str(code_info.ran) if code_info.ran else 'told per request'
        expected = (
            code.name,
            f'{code_info.http_status} | {ran} | {code_info.text}',
        )
        if rows_by_number.pop(int(code), None) != expected:
            yield f'{page}: {int(code)} should be {expected}'
    for number in rows_by_number:
        yield f'{page}: {number} is not in the code'


def _find_event_errors() -> Iterator[str]:
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
    found = _TABLE_ROW.findall(path.read_text(encoding='utf-8'))
    return {
        int(number): (name, columns.strip()) for number, name, columns in found
    }


def _find_import_errors() -> Iterator[str]:
    for path in sorted(_CORE.rglob('*.py')):
        tree = ast.parse(path.read_text(encoding='utf-8'))
        for node in ast.walk(tree):
            for name in _list_imported(node):
                if name.partition('.')[0] in _FORBIDDEN_MODULES:
                    yield f'{path}: the core must not import {name}'


def _list_imported(node: ast.AST) -> list[str]:
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        return [node.module or '']
    return []


if __name__ == '__main__':
    sys.exit(main())
