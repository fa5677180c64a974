"""Tests of the judgement on parts of prompts at several services."""

import pytest
from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    Suspect,
    add_crash,
)
from turmericcrank_core.part_judgement import find_part_groups

_LATER_S = float('inf')
_PART = 'crashing'


def _crash(history, number, service, *parts):
    """Crash an upstream of a service at which one request with parts waits."""
    upstream_id = f'{service}-{number}'
    if service:
        history.service_by_upstream_id[upstream_id] = service
    suspects = frozenset((Suspect(f'r{number}', frozenset(parts)),))
    add_crash(history, CrashRecord(upstream_id, float(number), suspects))


@pytest.mark.parametrize(
    ('other_service', 'n_needed'), [('other', 5), ('own', 7), ('', 7)]
)
def test_budget_crashes_of_another_service_do_not_count_against_a_part(
    other_service, n_needed
):
    """A part had to crash more upstreams for each crash of another service."""
    history = CrashHistory()
    for number in range(n_needed):
        assert not find_part_groups(history, {}, _LATER_S)
        _crash(history, 2 * number, 'own', _PART, f'own-{number}')
        _crash(history, 2 * number + 1, other_service, f'other-{number}')
    assert find_part_groups(history, {}, _LATER_S) == [frozenset((_PART,))]
