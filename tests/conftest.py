"""Fixed seeds for every run, and the list of tests that passed."""

import pathlib

from hypothesis import settings

settings.register_profile(
    'fixed', derandomize=True, deadline=None, max_examples=200, database=None
)
settings.load_profile('fixed')

_PASSED = []


def pytest_runtest_logreport(report):
    if report.when == 'call' and report.passed:
        _PASSED.append(report.nodeid.partition('[')[0])


def pytest_sessionfinish(session):
    folder = pathlib.Path('out')
    folder.mkdir(exist_ok=True)
    text = '\n'.join(_PASSED)
    (folder / 'passed-tests.txt').write_text(f'{text}\n', encoding='utf-8')
