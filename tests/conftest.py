"""Fixed seeds for every run, groups of tests, and what has passed."""

import pathlib

from hypothesis import settings
from xdist.scheduler import LoadScopeScheduling

settings.register_profile(
    'fixed', derandomize=True, deadline=None, max_examples=200, database=None
)
settings.load_profile('fixed')

# Their waits and bounds are in real time: one process runs them, one by one.
_REAL_TIME_FOLDERS = ('control', 'node', 'platform', 'serving', 'site')
_REAL_TIME_PREFIXES = tuple(f'tests/{folder}/' for folder in _REAL_TIME_FOLDERS)
_PASSED_TESTS = []


class _RealTimeScheduling(LoadScopeScheduling):
    """Shares out the tests one by one, those in real time as one."""

    def _split_scope(self, nodeid):
        return 'real time' if nodeid.startswith(_REAL_TIME_PREFIXES) else nodeid


def pytest_xdist_make_scheduler(config, log):
    return _RealTimeScheduling(config, log)


def pytest_runtest_logreport(report):
    if report.when == 'call' and report.passed:
        _PASSED_TESTS.append(report.nodeid.partition('[')[0])


def pytest_sessionfinish(session):
    """Write what has passed in all processes; each of these reports here."""
    if hasattr(session.config, 'workerinput'):
        return
    folder = pathlib.Path('out')
    folder.mkdir(exist_ok=True)
    text = '\n'.join(_PASSED_TESTS)
    (folder / 'passed-tests.txt').write_text(f'{text}\n', encoding='utf-8')
