"""Steps for the path of a request through the site."""

from collections import Counter

import httpx
from behave import given, then, when
from turmericcrank_core.billing import check_bill
from turmericcrank_dev.caller import ApiClient
from turmericcrank_dev.processes import wait_until
from turmericcrank_dev.site_data import TEAM_KEYS


def make_client(context, team, seed_index=0):
    seeds = [
        ports.client_address for ports in context.site.nodes_by_name.values()
    ]
    seeds = seeds[seed_index:] + seeds[:seed_index]
    return ApiClient(seeds, TEAM_KEYS[team], 'dc1')


def list_bill_ids(context):
    return [
        check_bill(raw).bill_id
        for row in context.site.scan_table('bills')
        for raw in row['body']
    ]


@given('a client of team "{team}"')
def step_make_client(context, team):
    context.team = team
    context.client = make_client(context, team)
    context.responses = []


@when('the client sends prompt "{prompt}" to route "{route}"')
def step_send_prompt(context, route, prompt):
    context.responses.append(context.client.send_chat(route, prompt))


@when('the client streams prompt "{prompt}" from route "{route}"')
def step_stream_prompt(context, route, prompt):
    context.responses.append(
        context.client.send_chat(route, prompt, stream=True)
    )


@when('the client books "{bay}" with key "{key}"')
def step_book(context, bay, key):
    context.responses.append(context.client.book('bays', {'bay': bay}, key))


@when('the client books "{bay}" with key "{key}" at another node')
def step_book_elsewhere(context, bay, key):
    other_node_client = make_client(context, context.team, seed_index=2)
    context.responses.append(other_node_client.book('bays', {'bay': bay}, key))


@then('each request gets a complete response')
def step_all_complete(context):
    assert all(response.is_complete for response in context.responses), (
        context.responses
    )


@then('the second booking gets the stored response of the first')
def step_stored_response(context):
    first, second = context.responses[-2:]
    assert (first.code, second.code) == (1000, 1001)
    assert first.text == second.text


@then('"{bay}" is booked once')
def step_booked_once(context, bay):
    journal = context.site.read_journal(context.demo.service_port)
    assert Counter(row['bay'] for row in journal)[bay] == 1


@then('the bills table has {count:d} bills without duplicates')
def step_bills(context, count):
    wait_until(
        lambda: len(list_bill_ids(context)) >= count, 10, 'bills are written'
    )
    counts = Counter(list_bill_ids(context))
    assert len(counts) == count, counts
    assert set(counts.values()) == {1}, counts


@then('the last response has status {status:d} and states "{ran}"')
def step_status(context, status, ran):
    response = context.responses[-1]
    assert (response.status, response.ran) == (status, ran), response


@when('the client starts a session on route "{route}"')
def step_start_session(context, route):
    response = context.client.send_chat(route, 'begin', session_token='new')
    context.responses.append(response)
    context.session_token = response.session_token


@when('the client continues the session')
def step_continue_session(context):
    response = context.client.send_chat(
        'quotes', 'go on', session_token=context.session_token
    )
    context.responses.append(response)


@then('both responses come from the same version')
def step_same_version(context):
    first, second = context.responses[-2:]
    assert first.is_complete and second.is_complete
    assert first.version == second.version


@when('a client of team "{team}" uses the token of that session')
def step_use_foreign_token(context, team):
    other_client = make_client(context, team)
    context.responses.append(
        other_client.send_chat(
            'quotes', 'mine', session_token=context.session_token
        )
    )


@when('the operator withdraws pool "{pool}"')
def step_withdraw(context, pool):
    session = context.client.send_chat('quotes', 'begin', session_token='new')
    context.session_token = session.session_token
    changed = {**context.demo.tables['pools']}
    changed[pool] = {**changed[pool], 'state': 'withdrawn'}
    context.tables = {**context.demo.tables, 'pools': changed}
    context.apply_output = context.site.apply_tables(context.tables)


@then('the operator sees that it is in force on {count:d} of 3 nodes')
def step_in_force(context, count):
    assert f'in force on {count} of 3 nodes' in context.apply_output, (
        context.apply_output
    )


@then('no node sends new requests to "{version}"')
def step_no_new_requests(context, version):
    for seed_index in range(3):
        client = make_client(context, 'planners', seed_index)
        address = list(context.site.nodes_by_name.values())[seed_index]
        client.find_addresses = lambda found=address: [found.client_address]
        for model in ('quotes', version):
            response = client.send_chat(model, 'late')
            assert response.status == 410, response
            assert response.ran == 'not run'


@then('a session on "{version}" gets the error that it has ended')
def step_session_ended(context, version):
    response = context.client.send_chat(
        'quotes', 'go on', session_token=context.session_token
    )
    assert (response.status, response.code) == (409, 2010), response


@when('two operators edit the same revision')
def step_concurrent_edits(context):
    revision = context.site.read_status()['revision']
    context.results = []
    for deadline_s in (40, 50):
        routes = {**context.demo.tables['routes']}
        routes['quotes'] = {**routes['quotes'], 'deadline_s': deadline_s}
        tables = {**context.demo.tables, 'routes': routes}
        path = context.site.write_json(
            f'race-{deadline_s}.json', {'revision': revision, **tables}
        )
        context.results.append(
            context.site.run_operator_command('apply', str(path))
        )


@then("the second one gets a conflict that shows the first one's edit")
def step_conflict(context):
    first, second = context.results
    assert first.returncode == 0, first
    assert second.returncode == 3, second
    assert 'routes.quotes.deadline_s: None -> 40' in second.stderr


@then("the newest entry of the history is the first one's edit")
def step_history(context):
    shown = context.site.run_operator_command('show')
    assert '"deadline_s": 40' in shown.stdout
    history = context.site.run_operator_command('history')
    assert 'by olga: routes.quotes' in history.stdout.splitlines()[0]


@then('an invalid API key is rejected')
def step_bad_key(context):
    address = next(iter(context.site.nodes_by_name.values())).client_address
    response = httpx.get(f'http://{address}/v1/models')
    assert response.status_code == 401
