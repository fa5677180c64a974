"""Requests and waits shared by the site tests."""

import httpx
from turmericcrank_core.billing import check_bill
from turmericcrank_dev.caller import ApiClient
from turmericcrank_dev.plain_http import EMPTY_TLS_CONTEXT
from turmericcrank_dev.processes import wait_until
from turmericcrank_dev.site_data import TEAM_KEYS

LIMIT_S = 20


def make_client(site, team='planners', node=None, is_pinned=True):
    names = [node] if node else list(site.nodes_by_name)
    seeds = [site.nodes_by_name[name].client_address for name in names]
    client = ApiClient(seeds, TEAM_KEYS[team], 'dc1')
    if node and is_pinned:
        client.find_addresses = lambda: seeds
    return client


def post(site, node, path, body, team='planners', **headers):
    address = site.nodes_by_name[node].client_address
    headers['Authorization'] = f'Bearer {TEAM_KEYS[team]}'
    return httpx.post(
        f'http://{address}{path}',
        json=body,
        headers=headers,
        timeout=15,
        verify=EMPTY_TLS_CONTEXT,
    )


def send_chat(site, node, prompt='hello', model='quotes', **fields):
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        **fields,
    }
    return post(site, node, '/v1/chat/completions', body)


def list_bills(site):
    return [
        check_bill(raw)
        for row in site.scan_table('bills')
        for raw in row['body']
    ]


def wait_for_bills(site, count):
    wait_until(
        lambda: len(list_bills(site)) >= count,
        LIMIT_S,
        f'{count} bills are stored',
    )
    bills = list_bills(site)
    assert len({bill.bill_id for bill in bills}) == len(bills) == count


def wait_for_fresh(site):
    wait_until(
        lambda: site.read_status()['freshness'] == 'fresh',
        LIMIT_S,
        'fresh',
    )


def find_events(site, node, name):
    text = site.log_path(node).read_text(encoding='utf-8')
    return [line for line in text.splitlines() if f'"{name}"' in line]
