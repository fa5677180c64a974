"""Tests of the judgement on requests and prompt parts that crash upstreams.

What crashes upstreams is found; what is sent beside it is not blamed.
"""

from itertools import chain

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    Suspect,
    add_crash,
    count_crashes,
    is_suspect,
    record_proof,
)
from turmericcrank_core.part_judgement import find_part_groups
from turmericcrank_core.request_judgement import find_requests

_LATER_S = float('inf')
_records = st.lists(
    st.builds(
        CrashRecord,
        st.sampled_from(['u1', 'u2', 'u3']),
        st.integers(0, 40).map(float),
        st.frozensets(
            st.sampled_from(['poison', 'a', 'b']).map(Suspect), min_size=1
        ),
    ),
    max_size=8,
)


def _crash(history, upstream_id, at_s, *fingerprints):
    suspects = frozenset(map(Suspect, fingerprints))
    add_crash(history, CrashRecord(upstream_id, at_s, suspects))


def _is_poison(history, fingerprint):
    return frozenset((fingerprint,)) in find_requests(history, {})


def _crash_prompts(history, at_s, *prompts):
    """Crash an upstream with prompts, each a fingerprint and its parts.

    The upstream has begun to respond to the first of them.
    """
    suspects = frozenset(
        Suspect(fingerprint, frozenset(parts.split()), has_begun=index == 0)
        for index, (fingerprint, parts) in enumerate(prompts)
    )
    add_crash(history, CrashRecord(f'u{at_s}', at_s, suspects))


def _culprits(history):
    groups = find_part_groups(history, {}, _LATER_S)
    known = dict.fromkeys(groups, _LATER_S)
    culprits = groups + find_requests(history, known)
    return {' '.join(sorted(keys)) for keys in culprits}


def test_two_crashes_identify_a_poison_request_and_no_concurrent_one():
    history = CrashHistory()
    _crash(history, 'u1', 10.0, 'poison', 'a', 'b')
    assert is_suspect(history, 'a')
    assert not _is_poison(history, 'poison')
    record_proof(history, ['a'], 11.0)
    _crash(history, 'u2', 20.0, 'poison', 'c')
    assert _is_poison(history, 'poison')
    assert not any(_is_poison(history, other) for other in 'abc')


def test_two_suspects_in_one_crash_are_not_identified_as_poison():
    history = CrashHistory()
    _crash(history, 'u1', 10.0, 'poison', 'a')
    _crash(history, 'u2', 20.0, 'poison', 'a')
    assert not _is_poison(history, 'poison')
    _crash(history, 'u3', 30.0, 'poison')
    assert _is_poison(history, 'poison')
    assert not _is_poison(history, 'a')


def test_one_crash_seen_by_two_nodes_counts_once():
    history = CrashHistory()
    _crash(history, 'u1', 10.0, 'poison')
    _crash(history, 'u1', 10.8, 'poison', 'a')
    assert count_crashes(history, 'poison') == 1


@given(_records)
def test_repeated_records_change_nothing(records):
    once, twice = CrashHistory(), CrashHistory()
    for record in records:
        add_crash(once, record)
    for record in chain(records, records):
        add_crash(twice, record)
    fingerprints = ('poison', 'a', 'b')
    assert [_is_poison(once, one) for one in fingerprints] == [
        _is_poison(twice, one) for one in fingerprints
    ]


@given(_records)
def test_a_request_in_fewer_than_two_crashes_is_never_poison(records):
    history = CrashHistory()
    for record in records:
        add_crash(history, record)
    for fingerprint in ('poison', 'a', 'b'):
        if count_crashes(history, fingerprint) < 2:
            assert not _is_poison(history, fingerprint)


def test_old_crashes_are_forgotten():
    history = CrashHistory(retention_s=100)
    _crash(history, 'u1', 10.0, 'poison')
    _crash(history, 'u2', 200.0, 'b')
    assert not is_suspect(history, 'poison')


def test_a_part_is_blamed_and_not_what_waits_beside_it():
    history = CrashHistory()
    _crash_prompts(history, 1.0, ('r1', 'top bad'), ('n1', 'top x'))
    _crash_prompts(history, 2.0, ('r1', 'top bad'), ('n2', 'top y'))
    _crash_prompts(history, 3.0, ('r2', 'top bad'), ('n1', 'top x'))
    record_proof(history, ['top', 'z'], 3.5)
    assert _culprits(history) == {'bad'}


def test_parts_that_always_came_together_are_blamed_as_one_group():
    history = CrashHistory()
    for number in range(3):
        _crash_prompts(history, float(number), (f'r{number}', 'top bad'))
    assert _culprits(history) == {'bad top'}


def test_one_request_that_is_repeated_does_not_blame_its_parts():
    history = CrashHistory()
    for number in range(6):
        _crash_prompts(history, float(number), ('r1', 'top rare'))
    assert _culprits(history) == {'r1'}


def test_two_parts_that_crash_upstreams_by_turns_are_both_found():
    history = CrashHistory()
    for number in range(8):
        part = ('bad', 'worse')[number % 2]
        beside = ('n1', 'sound') if number in {0, 1, 4, 6} else ('n2', 'other')
        prompt = (f'r{number}', f'top{number} {part}')
        _crash_prompts(history, float(number), prompt, beside)
    record_proof(history, ['sound', 'other', 'n1', 'n2'], 8.0)
    assert _culprits(history) == {'bad', 'worse'}


def test_upstreams_that_end_at_the_same_moment_blame_nothing():
    """Guards against blaming a frequent part for a loss of power."""
    history = CrashHistory()
    for number in range(8):
        _crash_prompts(history, 5 + number / 100, (f'r{number}', 'top often'))
    assert not _culprits(history)


def test_a_part_that_has_had_output_since_is_not_blamed():
    history = CrashHistory()
    for number in range(4):
        _crash_prompts(history, float(number), (f'r{number}', 'often'))
        record_proof(history, ['often'], number + 0.5)
    assert not _culprits(history)


def test_output_before_the_crashes_proves_nothing_about_them():
    history = CrashHistory()
    _crash_prompts(history, 1.0, ('r1', 'bad'))
    record_proof(history, ['bad'], 0.9)
    for number in (2, 3):
        _crash_prompts(history, float(number), (f'r{number}', 'bad'))
    assert _culprits(history) == {'bad'}


def test_a_crash_that_is_explained_counts_only_against_its_culprit():
    history = CrashHistory()
    for number in range(3):
        _crash_prompts(
            history, float(number), (f'r{number}', 'a bad'), (f'n{number}', 'b')
        )
    _crash_prompts(history, 9.0, ('r9', 'c bad'))
    known = {frozenset(('a', 'bad')): float('inf')}
    assert find_part_groups(history, known, _LATER_S) == [frozenset(('bad',))]


def test_a_part_whose_requests_only_waited_needs_five_crashes():
    history = CrashHistory()
    for number in range(5):
        assert not _culprits(history)
        suspects = frozenset(
            (
                Suspect(f'r{number}', frozenset(('bad', f's{number}'))),
                Suspect(f'n{number}', frozenset((f's{number + 1}',))),
            )
        )
        add_crash(history, CrashRecord('u', 3.0 * number, suspects))
    assert _culprits(history) == {'bad'}


def test_requests_that_waited_are_not_blamed_beside_one_that_had_begun():
    """Nor are their parts; one that waited three times itself is."""
    history = CrashHistory()
    for number in range(8):
        _crash_prompts(
            history, float(number), (f'r{number}', ''), ('n1', 'often')
        )
        assert not find_part_groups(history, {}, _LATER_S)
        assert bool(_culprits(history)) is (number >= 2)
    assert _culprits(history) == {'n1'}


def test_requests_that_had_begun_do_not_hide_one_that_had_not():
    """An upstream may end before it begins to respond to the culprit."""
    history = CrashHistory()
    for number in range(3):
        suspects = frozenset(
            (Suspect('poison'), Suspect(f'n{number}', has_begun=True))
        )
        add_crash(history, CrashRecord('u', 3.0 * number, suspects))
        record_proof(history, [f'n{number}'], 3.0 * number + 1)
    assert _culprits(history) == {'poison'}


def test_budget_a_part_is_found_that_crashes_upstreams_before_they_respond():
    """Each crash also ended another response that was never asked for again."""
    history = CrashHistory()
    for number in range(5):
        _crash_prompts(
            history,
            10.0 + number,
            (f'begun-{number}', f'rules part-{number}'),
            (f'waiting-{number}', 'rules bad'),
        )
        record_proof(history, ['rules'], 10.5 + number)
    assert _culprits(history) == {'bad'}


def test_a_waiting_part_is_not_blamed_beside_one_that_was_in_all_its_crashes():
    history = CrashHistory()
    for number in range(7):
        rare = 'rare' if number > 1 else ''
        _crash_prompts(
            history,
            10.0 + number,
            (f'begun-{number}', f'part-{number}'),
            (f'waiting-{number}', 'bad'),
            (f'other-{number}', rare),
        )
    assert _culprits(history) == {'bad'}


def test_budget_crashes_of_a_known_part_do_not_count_against_another():
    """With two such parts at once, the second one took more crashes to find."""
    history = CrashHistory()
    for number in range(5):
        for offset_s, part in enumerate(('one', 'two')):
            suspect = Suspect(f'{part}-{number}', frozenset((part,)))
            at_s = 10.0 + 2 * number + offset_s
            record = CrashRecord(f'u{at_s}', at_s, frozenset((suspect,)))
            add_crash(history, record)
    known = {frozenset(('two',)): _LATER_S}
    assert find_part_groups(history, known, _LATER_S) == [frozenset(('one',))]


def _crash_waiting(history, at_s, *parts):
    """Crash an upstream at which a new request with each part waits."""
    suspects = frozenset(
        Suspect(f'{part}-{at_s}', frozenset((part,))) for part in parts
    )
    add_crash(history, CrashRecord(f'u{at_s}', at_s, suspects))


def _crash_beside_begun(history, number, *waiting):
    """Crash an upstream before the head, beside a response never sent again."""
    begun = Suspect(
        f'begun-{number}', frozenset((f'part-{number}',)), has_begun=True
    )
    record = CrashRecord(
        f'u{number}', 10.0 + number, frozenset((begun, *waiting))
    )
    add_crash(history, record)


def test_budget_a_request_is_found_that_crashes_upstreams_before_they_respond():
    history = CrashHistory()
    for number in range(3):
        assert not find_requests(history, {})
        _crash_beside_begun(history, number, Suspect('poison'))
    assert find_requests(history, {}) == [frozenset(('poison',))]


def test_budget_a_request_that_turned_sound_is_found_when_it_crashes_again():
    history = CrashHistory()
    for number in range(3):
        _crash(history, f'u{number}', 10.0 + number, 'poison')
    known = {frozenset(('poison',)): 30.0}
    assert not find_requests(history, known)
    for number in range(3):
        _crash(history, f'v{number}', 40.0 + number, 'poison')
    assert find_requests(history, known) == [frozenset(('poison',))]


def test_a_waiting_request_is_not_blamed_beside_a_part_in_all_its_crashes():
    history = CrashHistory()
    for number in range(3):
        part = Suspect(f'new-{number}', frozenset(('bad',)))
        _crash_beside_begun(history, number, Suspect('again'), part)
    assert not find_requests(history, {})


def test_budget_two_parts_that_wait_at_the_same_upstreams_are_both_found():
    """Each needed more crashes for each one of the other."""
    history = CrashHistory()
    for number in range(4):
        _crash_waiting(history, 10.0 + number, 'one', 'two')
    for number in range(3):
        _crash_waiting(history, 20.0 + number, 'one')
    _crash_waiting(history, 30.0, 'two')
    found = find_part_groups(history, {}, _LATER_S)
    assert set(found) == {frozenset(('one',)), frozenset(('two',))}


def test_budget_a_part_with_answers_is_not_blamed_in_place_of_two_without():
    """It was in the crashes of both, so in more than either."""
    history = CrashHistory()
    for number in range(8):
        part = ('one', 'two')[number % 2]
        _crash_waiting(history, 10.0 + number, part, 'rules')
    assert not find_part_groups(history, {}, _LATER_S, answered={'rules'})
    for offset_s, part in enumerate(('one', 'two')):
        _crash_waiting(history, 20.0 + offset_s, part)
    found = find_part_groups(history, {}, _LATER_S, answered={'rules'})
    assert set(found) == {frozenset(('one',)), frozenset(('two',))}


def test_a_part_with_answers_is_not_blamed_for_one_request_without():
    """One request with a new part was repeated, among many with an old one."""
    history = CrashHistory()
    for number in range(3):
        _crash_prompts(
            history,
            10.0 + number,
            ('again', 'rules new'),
            (f'sound-{number}', f'rules part-{number}'),
        )
    assert not find_part_groups(history, {}, _LATER_S, answered={'rules'})


def test_a_part_that_had_answers_is_found_once_nothing_else_explains():
    history = CrashHistory()
    for number in range(5):
        _crash_prompts(history, 10.0 + number, (f'r{number}', 'turned'))
    found = find_part_groups(history, {}, _LATER_S, answered={'turned'})
    assert found == [frozenset(('turned',))]


def test_a_loss_of_power_blames_no_part_without_answers():
    history = CrashHistory()
    for number in range(9):
        _crash_prompts(
            history, 10 + number / 40, (f'r{number}', f'new part-{number}')
        )
    assert not find_part_groups(history, {}, _LATER_S)
