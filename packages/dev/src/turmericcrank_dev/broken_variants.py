"""Mutation tests with hand-written mutants.

``python -m turmericcrank_dev.broken_variants [PART OF A NAME]`` copies the
packages, replaces one line of the copy, and runs one test against it. If the
test still passes, nothing proves the guarantee that the line implements.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass

import fire

__all__ = ('MUTANTS', 'Mutant', 'main')

_CORE = 'core/src/turmericcrank_core'
_NODE = 'node/src/turmericcrank_node'
_TEST_TIMEOUT_S = 90


@dataclass(slots=True, frozen=True)
class Mutant:
    """One mutant: a deliberate fault in one place.

    Attributes:
        name: Short description of the fault.
        path: Path of the file, relative to ``packages``.
        original: Text to replace; must occur exactly once in the file.
        replacement: Replacement text.
        test: Id of the test that must fail.
    """

    name: str
    path: str
    original: str
    replacement: str
    test: str


MUTANTS = (
    Mutant(
        'the teams of a route are not checked',
        f'{_CORE}/requests.py',
        '        if team in route.teams:',
        '        if route.teams:',
        'tests/core/test_versions.py::'
        'test_a_team_gets_only_routes_and_versions_it_may_use',
    ),
    Mutant(
        'a retiring pool accepts new sessions',
        f'{_CORE}/requests.py',
        '    if in_session:\n        accepted_states',
        '    if True:\n        accepted_states',
        'tests/core/test_versions.py::'
        'test_the_state_of_a_pool_limits_which_requests_may_use_it',
    ),
    Mutant(
        'an outdated read of the store counts as fresh',
        f'{_CORE}/freshness.py',
        '    oldest_allowed_s = now_s - settings.bound_s',
        '    oldest_allowed_s = 0',
        'tests/core/test_freshness.py::'
        'test_a_node_without_store_and_peers_is_cut_off',
    ),
    Mutant(
        'a resumed node trusts its outdated state',
        f'{_CORE}/freshness.py',
        '    oldest_allowed_s = now_s - settings.bound_s',
        '    oldest_allowed_s = 0',
        'tests/site/test_cuts.py::'
        'test_a_frozen_node_that_wakes_sends_a_withdrawn_version_nothing',
    ),
    Mutant(
        'half of the nodes form a quorum',
        f'{_CORE}/freshness.py',
        '    if 2 * (n_responding + 1) > n_nodes:',
        '    if 2 * (n_responding + 1) >= n_nodes:',
        'tests/core/test_freshness.py::'
        'test_one_partition_side_never_accepts_edits_while_the_other_serves',
    ),
    Mutant(
        'a session token of another team is accepted',
        f'{_CORE}/sessions.py',
        '    if token is None or token.team != team '
        'or token.route != route.name:',
        '    if token is None or token.route != route.name:',
        'tests/core/test_sessions.py::'
        'test_a_token_of_another_team_or_an_expired_one_is_rejected',
    ),
    Mutant(
        'a session continues on a withdrawn pool',
        f'{_CORE}/sessions.py',
        '    if all(pool.state is PoolState.withdrawn for pool in pools):',
        '    if not pools:',
        'tests/core/test_sessions.py::'
        'test_a_session_stays_on_a_retiring_pool_and_ends_on_a_withdrawn_one',
    ),
    Mutant(
        'a stored bill stays in the list of pending bills',
        f'{_CORE}/billing.py',
        '        batch_write.pending_by_id.pop(check_bill(raw).bill_id, None)',
        '        check_bill(raw)',
        'tests/core/test_billing.py::'
        'test_concurrent_writers_store_each_bill_exactly_once',
    ),
    Mutant(
        'replicated bills of a lost node are never written',
        f'{_NODE}/api/bill_writer.py',
        '        if replica.replicated_s > cutoff_s or ctx.store.seems_down:',
        '        if replica.replicated_s + 1e9 > cutoff_s:',
        'tests/node/test_bill_writer.py::'
        'test_bills_of_a_lost_node_are_written_by_its_peer',
    ),
    Mutant(
        'the final event of a stream is not held back',
        f'{_NODE}/api/model_stream.py',
        '            state.usage_event = complete_event',
        '            relayable.append(complete_event)',
        'tests/node/test_wire.py::'
        'test_the_end_of_a_stream_is_held_back_however_it_is_cut',
    ),
    Mutant(
        'a resumed stream restarts at its first event',
        f'{_NODE}/api/model_stream.py',
        '        ctx, call, broken.ring, state.n_events, broken.tried',
        '        ctx, call, broken.ring, 0, broken.tried',
        'tests/site/test_upstreams.py::'
        'test_a_broken_stream_goes_on_at_another_upstream_and_is_billed_once',
    ),
    Mutant(
        '"not run" is reported for an undecided claim',
        f'{_NODE}/api/claims.py',
        '            if self.may_have_applied:\n                return None',
        '            if not self.may_have_applied:\n'
        '                return None',
        'tests/node/test_claims.py::'
        'test_a_claim_write_that_may_have_applied_is_reported_as_unknown',
    ),
    Mutant(
        'an open claim of another attempt is taken over',
        f'{_CORE}/claims.py',
        '    if row.state is ClaimState.not_run:',
        '    if row.state is not ClaimState.done:',
        'tests/node/test_claims.py::test_only_one_attempt_ever_sends',
    ),
    Mutant(
        'a node does not recognize its own write',
        f'{_CORE}/claims.py',
        '    if row.token == own_token and row.state is ClaimState.claimed:',
        '    if not own_token:',
        'tests/node/test_claims.py::'
        'test_own_claim_write_is_recognized_after_a_lost_response',
    ),
    Mutant(
        'a draining upstream receives new requests',
        f'{_CORE}/selection.py',
        '        if load.leaving or load.wrong_version:',
        '        if load.wrong_version:',
        'tests/site/test_upstreams.py::'
        'test_a_leaving_upstream_gets_no_new_work',
    ),
    Mutant(
        'shutdown does not wait for running requests',
        f'{_NODE}/node.py',
        '    while ctx.n_running > 0:',
        '    while ctx.n_running < 0:',
        'tests/site/test_cuts.py::'
        'test_a_stream_in_progress_outlasts_a_hurried_stop',
    ),
    Mutant(
        'shutdown does not wait for a running draft',
        f'{_NODE}/api/drafts.py',
        '        with track_background_work(run.ctx):',
        '        if run:',
        'tests/site/test_calls.py::'
        'test_a_planned_stop_ends_the_draft_that_it_runs',
    ),
    Mutant(
        'an older revision of the tables is adopted',
        f'{_CORE}/revisions.py',
        '    if snapshot.revision <= state.revision:',
        '    if snapshot.revision == state.revision:',
        'tests/core/test_revisions.py::'
        'test_no_order_of_messages_reverts_a_revision',
    ),
    Mutant(
        'a lost response to an own write reads as a conflict',
        f'{_CORE}/revisions.py',
        '    return stored is not None and stored.token == token',
        '    return stored is not None and not token',
        'tests/site/test_cuts.py::'
        'test_a_lost_acceptance_reply_makes_one_revision',
    ),
    Mutant(
        'a lease that has not expired is taken over',
        f'{_CORE}/leases.py',
        '    if now_s - watch.changed_s <= row.length_s:',
        '    if now_s - watch.changed_s <= 1:',
        'tests/core/test_leases.py::'
        'test_two_holders_never_act_at_once_whatever_their_clocks',
    ),
    Mutant(
        'several suspects of one crash are blamed',
        f'{_CORE}/request_judgement.py',
        '        if suspect.fingerprint != fingerprint',
        '        if suspect.fingerprint == ""',
        'tests/core/test_crash_evidence.py::'
        'test_two_suspects_in_one_crash_are_not_identified_as_poison',
    ),
    Mutant(
        'the retry budget is not consumed',
        f'{_CORE}/retry_budget.py',
        '    budget.tokens -= 1',
        '    budget.tokens -= 0',
        'tests/core/test_limits.py::'
        'test_retries_are_bounded_in_proportion_to_first_attempts',
    ),
    Mutant(
        'one bad upstream stops a version',
        f'{_CORE}/version_health.py',
        '        return sum(sums) - max(sums)',
        '        return sum(sums)',
        'tests/core/test_versions.py::'
        'test_one_bad_upstream_does_not_stop_a_version',
    ),
)


def main(part: str = '') -> None:
    """Run the mutants whose name contains a text; exit with 1 if one survives.

    Args:
        part: Text to look for in the names; empty selects all mutants.
    """
    survivors = list(_find_survivors(part))
    for name in survivors:
        sys.stdout.write(f'NOT SEEN: {name}\n')
    sys.exit(bool(survivors))


def _find_survivors(part: str) -> Iterator[str]:
    for mutant in MUTANTS:
        if part in mutant.name:
            is_detected = _is_detected(mutant)
            verdict = 'seen' if is_detected else 'NOT SEEN'
            sys.stdout.write(f'{verdict}: {mutant.name}: {mutant.test}\n')
            sys.stdout.flush()
            if not is_detected:
                yield mutant.name


def _is_detected(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        packages = pathlib.Path(folder) / 'packages'
        shutil.copytree('packages', packages)
        path = packages / mutant.path
        text = path.read_text(encoding='utf-8')
        if text.count(mutant.original) != 1:
            raise ValueError(
                f'text must occur exactly once in the file: {mutant.original!r}'
            )
        mutated = text.replace(mutant.original, mutant.replacement)
        path.write_text(mutated, encoding='utf-8')
        sources = [str(source) for source in packages.glob('*/src')]
        return _fails(mutant.test, os.pathsep.join(sources))


def _fails(test: str, python_path: str) -> bool:
    """Run one test; a test that times out counts as failed."""
    try:
        run = subprocess.run(
            [sys.executable, '-m', 'pytest', '-q', '-x', test],
            env={**os.environ, 'PYTHONPATH': python_path},
            capture_output=True,
            text=True,
            check=False,
            timeout=_TEST_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return True
    return run.returncode == 1 and '1 failed' in run.stdout


if __name__ == '__main__':
    fire.Fire(main)
