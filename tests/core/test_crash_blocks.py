"""Tests of the blocks of requests that crash upstreams."""

from dataclasses import replace
from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.crash_block import (
    CrashBlock,
    is_active,
    is_test_due,
)
from turmericcrank_core.crash_blocks import (
    CrashGuard,
    expire_blocks,
    extend_blocks,
    find_block,
    judge_parts,
    merge_block,
    record_output_of,
    report_crash,
    start_test,
)
from turmericcrank_core.crash_evidence import CrashRecord, Suspect

_KEYS = frozenset(('a', 'bad'))
_BAD = Suspect('new', frozenset(('a', 'bad')))
_SOUND = Suspect('other', frozenset(('a', 'x')))
_times = st.integers(0, 30).map(float)
_blocks = st.builds(
    CrashBlock,
    st.just(_KEYS),
    _times,
    _times,
    st.integers(0, 3),
    _times,
    _times,
)


def _make_guard():
    """Make a guard that blocks two parts, which always came together."""
    guard = CrashGuard()
    for number in range(3):
        suspect = Suspect(f'r{number}', _KEYS, has_begun=True)
        record = CrashRecord(f'u{number}', float(number), frozenset((suspect,)))
        report_crash(guard, record, number + 0.1)
    judge_parts(guard, 2.5)
    return guard


def test_only_requests_with_all_parts_of_a_group_are_blocked():
    guard = _make_guard()
    assert find_block(guard, _BAD).keys == _KEYS
    assert find_block(guard, _SOUND) is None


def test_output_of_a_request_with_one_part_narrows_the_block_to_the_other():
    guard = _make_guard()
    output = record_output_of(guard, _SOUND.keys, 5.0, 5.0)
    assert [block.keys for block in output.blocks] == [frozenset(('bad',))]
    assert find_block(guard, Suspect('r', frozenset(('bad', 'y'))))
    assert find_block(guard, _SOUND) is None


def test_output_newer_than_the_crashes_ends_a_block():
    guard = _make_guard()
    record_output_of(guard, _BAD.keys, 1.9, 5.0)
    assert find_block(guard, _BAD)
    record_output_of(guard, _BAD.keys, 2.1, 5.0)
    assert find_block(guard, _BAD) is None


def test_a_part_that_turned_sound_is_blocked_again_only_by_new_crashes():
    guard = _make_guard()
    record_output_of(guard, _BAD.keys, 70.0, 70.0)
    for number in range(3):
        assert find_block(guard, _BAD) is None
        suspect = Suspect(f's{number}', _KEYS, has_begun=True)
        at_s = 80.0 + number
        record = CrashRecord(f'v{number}', at_s, frozenset((suspect,)))
        report_crash(guard, record, at_s)
        judge_parts(guard, at_s + 0.5)
    assert find_block(guard, _BAD)


def test_crashes_of_a_part_that_turned_sound_blame_nothing_else_later():
    """Requests with the part were on their way when it was blocked."""
    guard = _make_guard()
    beside = Suspect('beside', frozenset(('b',)), has_begun=True)
    for number in range(6):
        carrier = Suspect(f'late{number}', _KEYS, has_begun=True)
        second = replace(beside, fingerprint=f'beside{number}')
        at_s = 3.0 + number
        suspects = frozenset((carrier, second))
        report_crash(guard, CrashRecord(f'w{number}', at_s, suspects), at_s)
    record_output_of(guard, _BAD.keys, 40.0, 40.0)
    unrelated = frozenset((Suspect('x', frozenset(('c',)), has_begun=True),))
    report_crash(guard, CrashRecord('w9', 50.0, unrelated), 50.0)
    judge_parts(guard, 51.0)
    assert find_block(guard, beside) is None


def test_at_most_three_requests_test_a_block():
    guard = _make_guard()
    now_s = 0.0
    tests_s = []
    while now_s < 80_000:
        block = find_block(guard, _BAD)
        if is_test_due(block, now_s):
            start_test(guard, block, now_s)
            tests_s.append(now_s)
        now_s += 10
    assert len(tests_s) == 3
    assert tests_s[0] >= 20


@given(st.lists(_blocks, min_size=1, max_size=4))
def test_the_order_of_reports_does_not_change_whether_requests_are_blocked(
    blocks,
):
    """Reports of one period of a block, from several nodes."""
    same_period = [replace(one, crash_s=5.0) for one in blocks]
    outcomes = set()
    for order in permutations(same_period):
        guard = CrashGuard()
        for block in order:
            merge_block(guard, block)
        outcomes.add(guard.blocks_by_keys[_KEYS])
    assert len(outcomes) == 1


@given(_blocks, st.lists(_blocks, max_size=4))
def test_a_merged_report_changes_nothing_when_it_is_repeated(first, others):
    guard = CrashGuard()
    for block in (first, *others):
        merge_block(guard, block)
        merged = guard.blocks_by_keys[_KEYS]
        merge_block(guard, block)
        assert guard.blocks_by_keys[_KEYS] == merged


def test_a_lifted_block_is_forgotten_and_an_active_one_kept_for_a_day():
    guard = _make_guard()
    expire_blocks(guard, 80_000)
    assert find_block(guard, _BAD)
    record_output_of(guard, _BAD.keys, 80_000, 80_000)
    assert not is_active(guard.blocks_by_keys[_KEYS])
    expire_blocks(guard, 80_200)
    assert not guard.blocks_by_keys


def test_a_late_report_of_a_crash_replaces_a_block_of_what_was_beside_it():
    """One node reports its request of the first crash only after 0.1 s."""
    guard = CrashGuard()
    for number in range(3):
        culprit = Suspect(f'r{number}', frozenset(('a', 'bad')), has_begun=True)
        beside = Suspect(
            f'n{number}', frozenset(('a', f'x{number}')), has_begun=True
        )
        first = CrashRecord(f'u{number}', float(number), frozenset((beside,)))
        late = CrashRecord(f'u{number}', number + 0.1, frozenset((culprit,)))
        report_crash(guard, first, float(number))
        judge_parts(guard, number + 0.05)
        report_crash(guard, late, number + 0.2)
        judge_parts(guard, number + 0.5)
    assert find_block(guard, Suspect('r9', frozenset(('y', 'bad'))))
    assert find_block(guard, Suspect('n9', frozenset(('a', 'z')))) is None


def test_budget_blocks_of_requests_do_not_end_the_block_of_their_part():
    """Two requests, sent again and again, were at all crashes together."""
    guard = CrashGuard()
    for number in range(6):
        at_s = 10 + 0.4 * number
        suspects = frozenset(
            Suspect(fingerprint, frozenset(('bad',)))
            for fingerprint in (f'again-{number // 3}', f'once-{number}')
        )
        report_crash(guard, CrashRecord(f'u{number}', at_s, suspects), at_s)
    assert find_block(guard, Suspect('again-0'))
    assert find_block(guard, Suspect('again-1'))
    judge_parts(guard, 20.0)
    assert find_block(guard, Suspect('new', frozenset(('bad',))))


def test_budget_a_request_does_not_end_the_block_of_a_part_that_waited():
    """In all crashes but one another response had begun, and hid the part."""
    guard = CrashGuard()
    for number in range(6):
        at_s = 10.0 + number
        suspects = {
            Suspect(f'new-{number}', frozenset(('bad',))),
            Suspect('again', frozenset(('bad',))),
        }
        if number:
            begun = frozenset((f'part-{number}',))
            suspects.add(Suspect(f'begun-{number}', begun, has_begun=True))
        crash = CrashRecord(f'u{number}', at_s, frozenset(suspects))
        report_crash(guard, crash, at_s)
        judge_parts(guard, at_s + 0.5)
    assert find_block(guard, Suspect('again'))
    assert find_block(guard, Suspect('other', frozenset(('bad',))))


def test_a_report_of_a_block_without_keys_is_ignored():
    """It raised an error, and would have stopped all requests."""
    guard = CrashGuard()
    assert not merge_block(guard, CrashBlock(frozenset(), 10, 9))
    assert find_block(guard, Suspect('r')) is None


def test_blocks_at_other_services_keep_to_the_number_of_blocks():
    guard = CrashGuard()
    own_by_other = {f'p{number}': f'q{number}' for number in range(300)}
    for other in own_by_other:
        merge_block(guard, CrashBlock(frozenset((other,)), 10, 9))
    n_blocks = len(guard.blocks_by_keys)
    assert not extend_blocks(guard, own_by_other, 11)
    assert len(guard.blocks_by_keys) == n_blocks
