"""Upstreams that crash, abort streams, drain, or serve a bad version."""

import threading

import pytest
from turmericcrank_dev.processes import wait_until

from tests.site.helpers import (
    LIMIT_S,
    find_events,
    list_bills,
    make_client,
    post,
    send_chat,
    wait_for_bills,
)

_POISON = 'please CRASH-THE-ENGINE now'
_POISONED = 2012


@pytest.fixture
def site(empty_site):
    empty_site.start_back_ends(n_small=4, token_delay_s=0.05)
    empty_site.start_nodes(['n1', 'n2'])
    return empty_site


def _count_exited(site):
    return sum(not site.is_running(f'small-{index}') for index in range(4))


def _stream_in_threads(client, prompts):
    outcomes = []
    workers = [
        threading.Thread(
            target=lambda text=prompt: outcomes.append(
                client.send_chat('quotes', text, stream=True)
            )
        )
        for prompt in prompts
    ]
    for worker in workers:
        worker.start()
    return outcomes, workers


def test_a_poisonous_request_crashes_two_upstreams_and_blames_no_other(site):
    outcomes, workers = _stream_in_threads(
        make_client(site), [f'innocent {number}' for number in range(8)]
    )
    wait_until(
        lambda: len(find_events(site, 'n1', 'request_sent')) > 2,
        LIMIT_S,
        'harmless requests run',
    )
    first = send_chat(site, 'n1', _POISON)
    assert first.json()['error']['code'] == _POISONED
    for node in ('n1', 'n2'):
        again = send_chat(site, node, _POISON)
        assert again.status_code == 422
        assert again.json()['error']['ran'] == 'not run'
    for worker in workers:
        worker.join()
    assert _count_exited(site) == 2
    assert all(outcome.is_complete for outcome in outcomes), outcomes
    wait_for_bills(site, 8)


def test_a_broken_stream_goes_on_at_another_upstream_and_is_billed_once(site):
    answer_text = send_chat(site, 'n1', 'plan').json()['choices'][0]['message'][
        'content'
    ]
    for index in range(3):
        port = site.engine_ports[f'small-{index}']
        site.set_faults(port, die_after_tokens=3)
    client = make_client(site)
    outcomes = [
        client.send_chat('quotes', 'plan', stream=True) for _ in range(6)
    ]
    assert [outcome.text for outcome in outcomes] == [answer_text] * 6
    wait_for_bills(site, 7)
    assert {bill.tokens_out for bill in list_bills(site)} == {
        len(answer_text.split())
    }


def test_a_stream_that_cannot_go_on_ends_with_an_error_and_no_bill(site):
    for index in range(4):
        port = site.engine_ports[f'small-{index}']
        site.set_faults(port, die_after_tokens=3)
    response = send_chat(site, 'n1', 'plan', stream=True)
    assert response.status_code == 200
    assert '[DONE]' not in response.text
    assert '"code": 4003' in response.text.splitlines()[-2]
    assert list_bills(site) == []


def test_a_leaving_upstream_gets_no_new_work(site):
    _send_many_chats(site)
    assert _count_sent(site) > 0
    site.put_vm_row('small-0', 'upstream', 'leaving')
    wait_until(
        lambda: (
            find_events(site, 'n1', 'upstream_leaving')
            and find_events(site, 'n2', 'upstream_leaving')
        ),
        3,
        'both nodes know that small-0 is draining',
    )
    before = _count_sent(site)
    _send_many_chats(site)
    assert _count_sent(site) == before


def _send_many_chats(site):
    for number in range(20):
        for node in ('n1', 'n2'):
            prompt = f'{number} for {node}'
            response = send_chat(site, node, prompt, max_tokens=2)
            assert response.status_code == 200


def _count_sent(site):
    return sum(
        '"small-0"' in line
        for node in ('n1', 'n2')
        for line in find_events(site, node, 'request_sent')
    )


def test_a_roll_out_to_a_bad_version_is_stopped_by_itself(site):
    site.set_faults(site.engine_ports['new-0'], mode='error')
    rollout = {
        'pool': 'small-2',
        'replaces': 'small-1',
        'percents': [50, 100],
        'step_s': 1,
        'started_s': 1,
    }
    site.apply_tables(site.change_route('quotes', rollout=rollout))
    wait_until(
        lambda: (
            find_events(site, 'n1', 'rollout_step')
            or find_events(site, 'n2', 'rollout_step')
        ),
        LIMIT_S,
        'the rollout has started',
    )

    def has_stopped():
        for node in ('n1', 'n2'):
            send_chat(site, node)
        return site.read_status()['stops']

    wait_until(has_stopped, LIMIT_S, 'the rollout is stopped')
    assert list(site.read_status()['stops'].values()) == ['errors']
    wait_until(
        lambda: _all_succeed(site),
        LIMIT_S,
        'all requests go to the old version',
    )


def _all_succeed(site):
    nodes = ('n1', 'n2') * 4
    return all(send_chat(site, node).status_code == 200 for node in nodes)


def test_an_engine_with_another_version_is_ordered_to_load(site):
    pools = {**site.tables['pools']}
    pools['small-2'] = {**pools['small-2'], 'version': '3'}
    routes = {**site.tables['routes']}
    routes['texts'] = {
        'kind': 'model',
        'teams': ['tills'],
        'pools': ['small-2'],
    }
    site.apply_tables({'routes': routes, 'pools': pools})
    body = {'model': 'texts', 'messages': [{'role': 'user', 'content': 'x'}]}

    def has_loaded():
        response = post(site, 'n1', '/v1/chat/completions', body, team='tills')
        if response.status_code != 200:
            return False
        assert response.headers['X-Model-Version'] == 'small@3'
        return response.json()['model'] == 'small@3'

    wait_until(has_loaded, LIMIT_S, 'the engine has loaded version 3')


def test_a_roll_out_goes_on_when_the_node_that_moved_it_is_lost(site):
    rollout = {
        'pool': 'small-2',
        'replaces': 'small-1',
        'percents': [50, 75, 100],
        'step_s': 1,
        'started_s': 1,
    }
    site.apply_tables(site.change_route('quotes', rollout=rollout))
    leaders = []

    def has_started():
        leaders.extend(
            node
            for node in ('n1', 'n2')
            if find_events(site, node, 'rollout_step')
        )
        return leaders

    wait_until(has_started, LIMIT_S, 'the rollout has started')
    killed = leaders[0]
    survivor = 'n2' if killed == 'n1' else 'n1'
    site.kill(killed)
    site.put_node_row(killed, 'gone')

    def has_finished():
        send_chat(site, survivor)
        return len(find_events(site, survivor, 'rollout_step')) == 2

    wait_until(
        has_finished, LIMIT_S * 3, 'the other node continues the rollout'
    )


def test_a_stream_over_its_limit_ends_with_an_error(empty_site):
    empty_site.start_back_ends(n_small=1)
    empty_site.start_nodes(['n1'], max_stream_bytes=2000)
    response = send_chat(empty_site, 'n1', 'plan', stream=True, max_tokens=500)
    assert '[DONE]' not in response.text
    assert '"code": 4003' in response.text.splitlines()[-2]
