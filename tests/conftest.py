"""Fixed Hypothesis seeds, test scheduling and the list of passed tests."""

import pathlib

from hypothesis import settings
from xdist.scheduler import LoadScopeScheduling

settings.register_profile(
    'fixed', derandomize=True, deadline=None, max_examples=200, database=None
)
settings.load_profile('fixed')

# Tests with real-time waits and bounds run one by one in a single process.
_REAL_TIME_FOLDERS = ('control', 'node', 'platform', 'serving', 'site')
_REAL_TIME_PREFIXES = tuple(f'tests/{folder}/' for folder in _REAL_TIME_FOLDERS)
_PASSED_TESTS = []


class _RealTimeScheduling(LoadScopeScheduling):
    """Distributes tests singly, but all real-time tests as one group."""

    def _split_scope(self, nodeid):
        return 'real time' if nodeid.startswith(_REAL_TIME_PREFIXES) else nodeid


def pytest_xdist_make_scheduler(config, log):
    return _RealTimeScheduling(config, log)


def pytest_runtest_logreport(report):
    if report.when == 'call' and report.passed:
        _PASSED_TESTS.append(report.nodeid.partition('[')[0])


def pytest_sessionfinish(session):
    """Write the passed tests of all workers, which report to this process."""
    if hasattr(session.config, 'workerinput'):
        return
    folder = pathlib.Path('out')
    folder.mkdir(exist_ok=True)
    text = '\n'.join(_PASSED_TESTS)
    (folder / 'passed-tests.txt').write_text(f'{text}\n', encoding='utf-8')
