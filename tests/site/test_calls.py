"""Invalid input, bookings, drafts, rate limits and the openai client."""

import json
import signal
import socket
import threading

import httpx
import openai
import pytest
from turmericcrank_dev.plain_http import EMPTY_TLS_CONTEXT
from turmericcrank_dev.processes import wait_until
from turmericcrank_dev.site_data import TEAM_KEYS, hash_key

from tests.site.helpers import (
    LIMIT_S,
    find_events,
    list_bills,
    make_client,
    post,
    send_chat,
)


@pytest.fixture
def site(shared_site):
    return shared_site


def _send_raw(site, headers, body):
    host, port = site.nodes_by_name['n1'].client_address.split(':')
    lines = [
        'POST /v1/chat/completions HTTP/1.1',
        'Host: x',
        f'Authorization: Bearer {TEAM_KEYS["planners"]}',
        *headers,
    ]
    with socket.create_connection((host, int(port)), timeout=20) as raw:
        raw.sendall('\r\n'.join([*lines, '', '']).encode() + body)
        received = b''
        while not received.endswith(b'}}'):
            received += raw.recv(65536)
        return received.decode()


@pytest.mark.parametrize(
    ('body', 'status', 'code'),
    [
        ('not an object', 400, 2006),
        ({'model': 'quotes'}, 400, 2006),
        ({'model': 'quotes', 'messages': [1]}, 400, 2006),
        ({'messages': [{'content': 'x'}]}, 400, 2006),
        ({'model': 'no', 'messages': [{'content': 'x'}]}, 404, 2004),
        ({'model': 'bays', 'messages': [{'content': 'x'}]}, 400, 2006),
        ({'model': 'small@9', 'messages': [{'content': 'x'}]}, 404, 2004),
        ({'model': 'small@2', 'messages': [{'content': 'x'}]}, 403, 2005),
    ],
)
def test_bad_input_gets_a_clear_error(site, body, status, code):
    response = post(site, 'n1', '/v1/chat/completions', body)
    error = response.json()['error']
    assert (response.status_code, error['code']) == (status, code)
    assert error['ran'] == 'not run'
    assert error['message']


def test_bad_json_and_a_bad_key_get_a_clear_error(site):
    response = _send_raw(site, ['Content-Length: 3'], b'{"x')
    assert response.startswith('HTTP/1.1 400')
    assert '"code": 2001' in response
    url = f'http://{site.nodes_by_name["n1"].client_address}/v1/models'
    assert httpx.get(url, verify=EMPTY_TLS_CONTEXT).status_code == 401


def test_an_oversized_body_is_refused_and_the_connection_closed(site):
    size = 4 * 1024 * 1024
    response = _send_raw(site, [f'Content-Length: {size}'], b'x' * 65536)
    assert response.startswith('HTTP/1.1 413')
    assert 'connection: close' in response.lower()


def test_a_slow_body_is_refused(empty_site):
    empty_site.start_back_ends()
    empty_site.start_nodes(['n1'], body_timeout_s=0.5)
    response = _send_raw(empty_site, ['Content-Length: 100'], b'{')
    assert response.startswith('HTTP/1.1 408')
    assert '"code": 2011' in response


def test_many_callers_get_their_own_answers(site):
    client = make_client(site)
    outcomes = {}

    def work(number):
        prompt = f'mine-{number}'
        outcomes[prompt] = client.send_chat(
            'quotes', prompt, stream=bool(number % 2)
        )

    workers = [
        threading.Thread(target=work, args=(number,)) for number in range(24)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    for prompt, outcome in outcomes.items():
        assert outcome.is_complete
        assert f'to {prompt}: ' in outcome.text


def test_a_booking_whose_reply_is_lost_is_never_sent_again(site):
    site.set_faults(site.service_port, drop_replies=1)
    key = {'Idempotency-Key': 'lost-reply'}
    path = '/services/bays/bookings'
    before = len(site.read_journal(site.service_port))
    for node in ('n1', 'n2', 'n1'):
        response = post(site, node, path, {'bay': 'lost'}, **key)
        error = response.json()['error']
        assert (error['code'], error['ran']) == (4001, 'unknown')
        assert error['retry_after_s'] > 0
    assert len(site.read_journal(site.service_port)) == before + 1


def test_a_booking_goes_on_when_its_caller_goes_away(site):
    site.set_faults(site.service_port, delay_s=0.6)
    key = {'Idempotency-Key': 'gone'}
    address = site.nodes_by_name['n1'].client_address
    headers = {'Authorization': f'Bearer {TEAM_KEYS["planners"]}', **key}
    url = f'http://{address}/services/bays/bookings'
    with pytest.raises(httpx.ReadTimeout):
        httpx.post(
            url,
            json={'bay': 'gone'},
            headers=headers,
            timeout=0.3,
            verify=EMPTY_TLS_CONTEXT,
        )
    site.set_faults(site.service_port, delay_s=0)

    def is_stored():
        response = post(
            site, 'n2', '/services/bays/bookings', {'bay': 'gone'}, **key
        )
        return response.headers['X-Result-Code'] == '1001'

    wait_until(is_stored, LIMIT_S, 'the response is stored')
    journal = site.read_journal(site.service_port)
    assert sum(row['bay'] == 'gone' for row in journal) == 1


def test_a_key_of_another_team_shows_nothing(site):
    key = {'Idempotency-Key': 'shared'}
    path = '/services/bays/bookings'
    mine = post(site, 'n1', path, {'bay': 'a'}, **key)
    theirs = post(site, 'n2', path, {'bay': 'b'}, team='tills', **key)
    assert mine.json()['asked'] == {'bay': 'a'}
    assert theirs.json()['asked'] == {'bay': 'b'}


def test_an_idempotent_service_needs_no_claim(site):
    address = site.nodes_by_name['n1'].client_address
    headers = {'Authorization': f'Bearer {TEAM_KEYS["planners"]}'}
    url = f'http://{address}/services/slots/slots?day=1'
    assert httpx.get(url, headers=headers, verify=EMPTY_TLS_CONTEXT).json() == {
        'free': [0, 1, 2, 3]
    }


def test_a_draft_is_kept_run_fetched_by_its_owner_and_billed_once(site):
    body = {
        'model': 'plans',
        'messages': [{'role': 'user', 'content': 'a long plan'}],
    }
    key = {'Idempotency-Key': 'plan-1'}
    first = post(site, 'n1', '/v1/drafts', body, **key)
    again = post(site, 'n2', '/v1/drafts', body, **key)
    assert first.status_code == 202
    assert first.json()['id'] == again.json()['id']
    draft_id = first.json()['id']

    def fetch(team):
        address = site.nodes_by_name['n2'].client_address
        headers = {'Authorization': f'Bearer {TEAM_KEYS[team]}'}
        url = f'http://{address}/v1/drafts/{draft_id}'
        return httpx.get(url, headers=headers, verify=EMPTY_TLS_CONTEXT)

    wait_until(
        lambda: fetch('planners').json()['state'] == 'done', LIMIT_S, 'done'
    )
    assert 'a long plan' in json.dumps(fetch('planners').json()['answer'])
    assert fetch('tills').status_code == 404
    bills = [bill for bill in list_bills(site) if draft_id in bill.bill_id]
    assert len(bills) == 1


def test_the_openai_client_works_unchanged(site):
    openai_client = openai.OpenAI(
        base_url=f'http://{site.nodes_by_name["n1"].client_address}/v1',
        api_key=TEAM_KEYS['planners'],
    )
    messages = [{'role': 'user', 'content': 'hello'}]
    completion = openai_client.chat.completions.create(
        model='quotes', messages=messages
    )
    text = completion.choices[0].message.content
    assert 'to hello' in text
    stream = openai_client.chat.completions.create(
        model='quotes', messages=messages, stream=True
    )
    pieces = [chunk.choices[0].delta.content or '' for chunk in stream]
    assert ''.join(pieces) == text
    with pytest.raises(openai.PermissionDeniedError, match='may not use'):
        openai_client.chat.completions.create(
            model='small@2', messages=messages
        )
    assert 'quotes' in {model.id for model in openai_client.models.list()}


def _start_draft(site):
    """Start a draft that takes some seconds; return its id and its node."""
    site.start_back_ends(token_delay_s=0.3)
    site.start_nodes(['n1', 'n2'])
    body = {
        'model': 'plans',
        'messages': [{'role': 'user', 'content': 'a long plan'}],
    }
    draft_id = post(site, 'n1', '/v1/drafts', body).json()['id']
    wait_until(
        lambda: _list_draft_nodes(site), LIMIT_S, 'a node runs the draft'
    )
    return draft_id, _list_draft_nodes(site)[0]


def _list_draft_nodes(site):
    return [
        node
        for node in ('n1', 'n2')
        for _event in find_events(site, node, 'draft_taken')
    ]


def _wait_for_draft(site, node, draft_id):
    address = site.nodes_by_name[node].client_address
    headers = {'Authorization': f'Bearer {TEAM_KEYS["planners"]}'}
    url = f'http://{address}/v1/drafts/{draft_id}'
    wait_until(
        lambda: (
            httpx.get(url, headers=headers, verify=EMPTY_TLS_CONTEXT).json()[
                'state'
            ]
            == 'done'
        ),
        LIMIT_S * 2,
        'done',
    )
    bills = [bill for bill in list_bills(site) if draft_id in bill.bill_id]
    assert len(bills) == 1


def test_drafts_survive_the_node_that_ran_them(empty_site):
    draft_id, runner = _start_draft(empty_site)
    empty_site.kill(runner)
    other = 'n2' if runner == 'n1' else 'n1'
    _wait_for_draft(empty_site, other, draft_id)


def test_a_planned_stop_ends_the_draft_that_it_runs(empty_site):
    draft_id, runner = _start_draft(empty_site)
    for _ in range(2):
        empty_site.signal(runner, signal.SIGTERM)
    assert empty_site.wait_for_end(runner, LIMIT_S) == 0
    other = 'n2' if runner == 'n1' else 'n1'
    _wait_for_draft(empty_site, other, draft_id)
    assert _list_draft_nodes(empty_site) == [runner]


def test_a_team_over_its_rate_is_told_when_to_come_back(empty_site):
    limited = {
        'key_sha256': hash_key(TEAM_KEYS['planners']),
        'rate_per_s': 0.05,
        'burst': 1,
    }
    empty_site.start_back_ends()
    empty_site.start_nodes(['n1'], teams={'planners': limited})
    assert send_chat(empty_site, 'n1').status_code == 200
    rejected = send_chat(empty_site, 'n1')
    assert rejected.status_code == 429
    assert int(rejected.headers['Retry-After']) > 1
    assert rejected.json()['error']['ran'] == 'not run'
