"""Checks that every test named in ``docs/PROOFS.md`` exists and passed.

Tests are named by their pytest id or as ``features/FILE: SCENARIO``. The test
run writes the lists of passed tests and scenarios to ``out/``.
"""

import json
import pathlib
import re
import sys
from collections.abc import Iterator

from turmericcrank_dev.known_red import list_known_failed_tests

__all__ = ('find_missing_tests', 'main')

_PAGE = pathlib.Path('docs/PROOFS.md')
_PASSED_TESTS = pathlib.Path('out/passed-tests.txt')
_BEHAVE_REPORT = pathlib.Path('out/behave.json')
_TEST_ID = re.compile(r'`(tests/[\w/]+\.py::\w+)`')
_SCENARIO = re.compile('`(features/[^:`]+): ([^`]+)`')
_PROMISE_HEADING = re.compile(r'^## \d+\. ', re.MULTILINE)
_N_PROMISES = 10


def find_missing_tests() -> Iterator[str]:
    """Yield an error for each named test that does not exist."""
    text = _read_page()
    if len(_PROMISE_HEADING.findall(text)) != _N_PROMISES:
        yield f'{_PAGE}: expected {_N_PROMISES} numbered promises'
    for test_id in _TEST_ID.findall(text):
        path, _, name = test_id.partition('::')
        if not _contains(pathlib.Path(path), f'def {name}('):
            yield f'{_PAGE}: {test_id} does not exist'
    for path, scenario in _SCENARIO.findall(text):
        if not _contains(pathlib.Path(path), f'Scenario: {scenario}\n'):
            yield f'{_PAGE}: {path}: {scenario} does not exist'


def main() -> int:
    """Print all named tests that did not pass; return 0 if all passed.

    The tests listed in ``KNOWN-RED.txt`` are not run, so they are ignored.
    """
    text = _read_page()
    passed = set(_PASSED_TESTS.read_text(encoding='utf-8').splitlines())
    passed.update(list_known_failed_tests())
    scenarios = set(_list_passed_scenarios())
    missing = [
        test_id for test_id in _TEST_ID.findall(text) if test_id not in passed
    ]
    missing.extend(
        f'{path}: {scenario}'
        for path, scenario in _SCENARIO.findall(text)
        if scenario not in scenarios
    )
    for name in missing:
        sys.stdout.write(f'{_PAGE} names a test that did not pass: {name}\n')
    return int(bool(missing))


def _read_page() -> str:
    if not _PAGE.exists():
        return ''
    return _PAGE.read_text(encoding='utf-8')


def _contains(path: pathlib.Path, text: str) -> bool:
    return path.exists() and text in path.read_text(encoding='utf-8')


def _list_passed_scenarios() -> Iterator[str]:
    features = json.loads(_BEHAVE_REPORT.read_text(encoding='utf-8'))
    for feature in features:
        for element in feature.get('elements', []):
            if element.get('status') == 'passed':
                yield element['name']


if __name__ == '__main__':
    sys.exit(main())
