"""Steps for the path of a request through the site."""

from collections import Counter

import httpx
from behave import given, then, when
from turmericcrank_core.billing import check_bill
from turmericcrank_dev.caller import Caller
from turmericcrank_dev.processes import wait_until
from turmericcrank_dev.site_data import TEAM_KEYS


def make_caller(context, team, seed_index=0):
    seeds = [
        ports.caller_address for ports in context.site.nodes_by_name.values()
    ]
    seeds = seeds[seed_index:] + seeds[:seed_index]
    return Caller(seeds, TEAM_KEYS[team], 'dc1')


def list_bill_ids(context):
    return [
        check_bill(raw).bill_id
        for row in context.site.scan_table('bills')
        for raw in row['body']
    ]


@given('a client of team "{team}"')
def step_make_caller(context, team):
    context.team = team
    context.caller = make_caller(context, team)
    context.answers = []


@when('the client sends prompt "{prompt}" to route "{route}"')
def step_ask_whole(context, route, prompt):
    context.answers.append(context.caller.ask(route, prompt))


@when('the client streams prompt "{prompt}" from route "{route}"')
def step_ask_stream(context, route, prompt):
    context.answers.append(context.caller.ask(route, prompt, stream=True))


@when('the client books "{bay}" with key "{key}"')
def step_book(context, bay, key):
    context.answers.append(context.caller.book('bays', {'bay': bay}, key))


@when('the client books "{bay}" with key "{key}" at another node')
def step_book_elsewhere(context, bay, key):
    other = make_caller(context, context.team, seed_index=2)
    context.answers.append(other.book('bays', {'bay': bay}, key))


@then('each request gets a complete response')
def step_all_whole(context):
    assert all(answer.whole for answer in context.answers), context.answers


@then('the second booking gets the stored response of the first')
def step_kept_answer(context):
    first, second = context.answers[-2:]
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
    answer = context.answers[-1]
    assert (answer.status, answer.ran) == (status, ran), answer


@when('the client starts a session on route "{route}"')
def step_start_session(context, route):
    answer = context.caller.ask(route, 'begin', mark='new')
    context.answers.append(answer)
    context.mark = answer.mark


@when('the client continues the session')
def step_go_on(context):
    answer = context.caller.ask('quotes', 'go on', mark=context.mark)
    context.answers.append(answer)


@then('both responses come from the same version')
def step_same_version(context):
    first, second = context.answers[-2:]
    assert first.whole and second.whole
    assert first.version == second.version


@when('a client of team "{team}" uses the token of that session')
def step_steal_session(context, team):
    thief = make_caller(context, team)
    context.answers.append(thief.ask('quotes', 'mine', mark=context.mark))


@when('the operator withdraws pool "{pool}"')
def step_withdraw(context, pool):
    session = context.caller.ask('quotes', 'begin', mark='new')
    context.mark = session.mark
    changed = {**context.demo.tables['pools']}
    changed[pool] = {**changed[pool], 'state': 'withdrawn'}
    context.tables = {**context.demo.tables, 'pools': changed}
    context.told = context.site.apply_tables(context.tables)


@then('the operator sees that it is in force on {count:d} of 3 nodes')
def step_in_force(context, count):
    assert f'in force on {count} of 3 nodes' in context.told, context.told


@then('no node sends new requests to "{version}"')
def step_no_new_work(context, version):
    for seed_index in range(3):
        caller = make_caller(context, 'planners', seed_index)
        address = list(context.site.nodes_by_name.values())[seed_index]
        caller.find_addresses = lambda found=address: [found.caller_address]
        for model in ('quotes', version):
            answer = caller.ask(model, 'late')
            assert answer.status == 410, answer
            assert answer.ran == 'not run'


@then('a session on "{version}" gets the error that it has ended')
def step_session_ended(context, version):
    answer = context.caller.ask('quotes', 'go on', mark=context.mark)
    assert (answer.status, answer.code) == (409, 2010), answer


@when('two operators edit the same revision')
def step_race(context):
    revision = context.site.read_status()['revision']
    context.results = []
    for deadline_s in (40, 50):
        routes = {**context.demo.tables['routes']}
        routes['quotes'] = {**routes['quotes'], 'deadline_s': deadline_s}
        tables = {**context.demo.tables, 'routes': routes}
        path = context.site.write_json(
            f'race-{deadline_s}.json', {'revision': revision, **tables}
        )
        context.results.append(context.site.run_client('apply', str(path)))


@then("the second one gets a conflict that shows the first one's edit")
def step_conflict(context):
    first, second = context.results
    assert first.returncode == 0, first
    assert second.returncode == 3, second
    assert 'routes.quotes.deadline_s: None -> 40' in second.stderr


@then("the newest entry of the history is the first one's edit")
def step_history(context):
    shown = context.site.run_client('show')
    assert '"deadline_s": 40' in shown.stdout
    history = context.site.run_client('history')
    assert 'by olga: routes.quotes' in history.stdout.splitlines()[0]


@then('a bad key is refused')
def step_bad_key(context):
    address = next(iter(context.site.nodes_by_name.values())).caller_address
    answer = httpx.get(f'http://{address}/v1/models')
    assert answer.status_code == 401
