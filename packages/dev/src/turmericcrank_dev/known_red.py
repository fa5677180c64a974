"""Runs pytest without the known failures listed in ``KNOWN-RED.txt``.

The deselected entries are printed. An entry is one line with four fields,
separated by `` | ``: test id, command and seed, observed failure, open issue.
"""

import pathlib
import sys

import pytest

__all__ = ('list_known_failed_tests', 'main', 'read_known_failures')

_LIST_PATH = pathlib.Path('KNOWN-RED.txt')
_SEPARATOR = ' | '
_N_PROCESSES = 4


def read_known_failures() -> list[str]:
    """Read the entries, skipping comments and blank lines."""
    if not _LIST_PATH.exists():
        return []
    lines = _LIST_PATH.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line and not line.startswith('#')]


def list_known_failed_tests() -> list[str]:
    """List the ids of the tests that are passed over."""
    return [entry.partition(_SEPARATOR)[0] for entry in read_known_failures()]


def main() -> int:
    """Run the tests and return the exit code of pytest."""
    entries = read_known_failures()
    arguments = ['tests', '--quiet', f'-n{_N_PROCESSES}']
    for test_id in list_known_failed_tests():
        arguments.extend(('--deselect', test_id))
    for entry in entries:
        sys.stdout.write(f'known red, passed over: {entry}\n')
    sys.stdout.flush()
    return int(pytest.main(arguments))


if __name__ == '__main__':
    sys.exit(main())
