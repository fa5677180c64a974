"""Tests of the judgement on requests and prompt parts that crash upstreams.

What crashes upstreams is found; what is sent beside it is not blamed.
"""

from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    Suspect,
    add_crash,
    record_proof,
)
from turmericcrank_core.part_judgement import find_part_groups
from turmericcrank_core.request_judgement import find_requests

from tests.crash_builders import LATER_S, crash, crash_prompts, list_culprits


def test_a_part_is_blamed_and_not_what_waits_beside_it():
    history = CrashHistory()
    crash_prompts(history, 1.0, ('r1', 'top bad'), ('n1', 'top x'))
    crash_prompts(history, 2.0, ('r1', 'top bad'), ('n2', 'top y'))
    crash_prompts(history, 3.0, ('r2', 'top bad'), ('n1', 'top x'))
    record_proof(history, ['top', 'z'], 3.5)
    assert list_culprits(history) == {'bad'}


def test_parts_that_always_came_together_are_blamed_as_one_group():
    history = CrashHistory()
    for number in range(3):
        crash_prompts(history, float(number), (f'r{number}', 'top bad'))
    assert list_culprits(history) == {'bad top'}


def test_one_request_that_is_repeated_does_not_blame_its_parts():
    history = CrashHistory()
    for number in range(6):
        crash_prompts(history, float(number), ('r1', 'top rare'))
    assert list_culprits(history) == {'r1'}


def test_two_parts_that_crash_upstreams_by_turns_are_both_found():
    history = CrashHistory()
    for number in range(8):
        part = ('bad', 'worse')[number % 2]
        beside = ('n1', 'sound') if number in {0, 1, 4, 6} else ('n2', 'other')
        prompt = (f'r{number}', f'top{number} {part}')
        crash_prompts(history, float(number), prompt, beside)
    record_proof(history, ['sound', 'other', 'n1', 'n2'], 8.0)
    assert list_culprits(history) == {'bad', 'worse'}


def test_upstreams_that_end_at_the_same_moment_blame_nothing():
    """Guards against blaming a frequent part for a loss of power."""
    history = CrashHistory()
    for number in range(8):
        crash_prompts(history, 5 + number / 100, (f'r{number}', 'top often'))
    assert not list_culprits(history)


def test_a_part_that_has_had_output_since_is_not_blamed():
    history = CrashHistory()
    for number in range(4):
        crash_prompts(history, float(number), (f'r{number}', 'often'))
        record_proof(history, ['often'], number + 0.5)
    assert not list_culprits(history)


def test_output_before_the_crashes_proves_nothing_about_them():
    history = CrashHistory()
    crash_prompts(history, 1.0, ('r1', 'bad'))
    record_proof(history, ['bad'], 0.9)
    for number in (2, 3):
        crash_prompts(history, float(number), (f'r{number}', 'bad'))
    assert list_culprits(history) == {'bad'}


def test_a_crash_that_is_explained_counts_only_against_its_culprit():
    history = CrashHistory()
    for number in range(3):
        crash_prompts(
            history, float(number), (f'r{number}', 'a bad'), (f'n{number}', 'b')
        )
    crash_prompts(history, 9.0, ('r9', 'c bad'))
    known = {frozenset(('a', 'bad')): float('inf')}
    assert find_part_groups(history, known, LATER_S) == [frozenset(('bad',))]


def test_a_part_whose_requests_only_waited_needs_five_crashes():
    history = CrashHistory()
    for number in range(5):
        assert not list_culprits(history)
        suspects = frozenset(
            (
                Suspect(f'r{number}', frozenset(('bad', f's{number}'))),
                Suspect(f'n{number}', frozenset((f's{number + 1}',))),
            )
        )
        add_crash(history, CrashRecord('u', 3.0 * number, suspects))
    assert list_culprits(history) == {'bad'}


def test_requests_that_waited_are_not_blamed_beside_one_that_had_begun():
    """Nor are their parts; one that waited three times itself is."""
    history = CrashHistory()
    for number in range(8):
        crash_prompts(
            history, float(number), (f'r{number}', ''), ('n1', 'often')
        )
        assert not find_part_groups(history, {}, LATER_S)
        assert bool(list_culprits(history)) is (number >= 2)
    assert list_culprits(history) == {'n1'}


def test_requests_that_had_begun_do_not_hide_one_that_had_not():
    """An upstream may end before it begins to respond to the culprit."""
    history = CrashHistory()
    for number in range(3):
        suspects = frozenset(
            (Suspect('poison'), Suspect(f'n{number}', has_begun=True))
        )
        add_crash(history, CrashRecord('u', 3.0 * number, suspects))
        record_proof(history, [f'n{number}'], 3.0 * number + 1)
    assert list_culprits(history) == {'poison'}


def test_budget_a_part_is_found_that_crashes_upstreams_before_they_respond():
    """Each crash also ended another response that was never asked for again."""
    history = CrashHistory()
    for number in range(5):
        crash_prompts(
            history,
            10.0 + number,
            (f'begun-{number}', f'rules part-{number}'),
            (f'waiting-{number}', 'rules bad'),
        )
        record_proof(history, ['rules'], 10.5 + number)
    assert list_culprits(history) == {'bad'}


def test_a_waiting_part_is_not_blamed_beside_one_that_was_in_all_its_crashes():
    history = CrashHistory()
    for number in range(7):
        rare = 'rare' if number > 1 else ''
        crash_prompts(
            history,
            10.0 + number,
            (f'begun-{number}', f'part-{number}'),
            (f'waiting-{number}', 'bad'),
            (f'other-{number}', rare),
        )
    assert list_culprits(history) == {'bad'}


def test_budget_crashes_of_a_known_part_do_not_count_against_another():
    """With two such parts at once, the second one took more crashes to find."""
    history = CrashHistory()
    for number in range(5):
        for offset_s, part in enumerate(('one', 'two')):
            suspect = Suspect(f'{part}-{number}', frozenset((part,)))
            at_s = 10.0 + 2 * number + offset_s
            record = CrashRecord(f'u{at_s}', at_s, frozenset((suspect,)))
            add_crash(history, record)
    known = {frozenset(('two',)): LATER_S}
    assert find_part_groups(history, known, LATER_S) == [frozenset(('one',))]


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
        crash(history, f'u{number}', 10.0 + number, 'poison')
    known = {frozenset(('poison',)): 30.0}
    assert not find_requests(history, known)
    for number in range(3):
        crash(history, f'v{number}', 40.0 + number, 'poison')
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
    found = find_part_groups(history, {}, LATER_S)
    assert set(found) == {frozenset(('one',)), frozenset(('two',))}


def test_budget_a_part_with_answers_is_not_blamed_in_place_of_two_without():
    """It was in the crashes of both, so in more than either."""
    history = CrashHistory()
    for number in range(8):
        part = ('one', 'two')[number % 2]
        _crash_waiting(history, 10.0 + number, part, 'rules')
    assert not find_part_groups(history, {}, LATER_S, answered={'rules'})
    for offset_s, part in enumerate(('one', 'two')):
        _crash_waiting(history, 20.0 + offset_s, part)
    found = find_part_groups(history, {}, LATER_S, answered={'rules'})
    assert set(found) == {frozenset(('one',)), frozenset(('two',))}


def test_a_part_with_answers_is_not_blamed_for_one_request_without():
    """One request with a new part was repeated, among many with an old one."""
    history = CrashHistory()
    for number in range(3):
        crash_prompts(
            history,
            10.0 + number,
            ('again', 'rules new'),
            (f'sound-{number}', f'rules part-{number}'),
        )
    assert not find_part_groups(history, {}, LATER_S, answered={'rules'})


def test_a_part_that_had_answers_is_found_once_nothing_else_explains():
    history = CrashHistory()
    for number in range(5):
        crash_prompts(history, 10.0 + number, (f'r{number}', 'turned'))
    found = find_part_groups(history, {}, LATER_S, answered={'turned'})
    assert found == [frozenset(('turned',))]


def test_a_loss_of_power_blames_no_part_without_answers():
    history = CrashHistory()
    for number in range(9):
        crash_prompts(
            history, 10 + number / 40, (f'r{number}', f'new part-{number}')
        )
    assert not find_part_groups(history, {}, LATER_S)
