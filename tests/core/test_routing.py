"""Tests of the lookup of routes, teams and services."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.routing import (
    ServiceShare,
    choose_service,
    find_route,
    find_team,
)

from tests.router_builders import HOST, KEY, make_route, make_table

_parts = st.lists(st.sampled_from(['a', 'b', 'c']), max_size=4)


@given(st.lists(_parts, max_size=6), _parts)
def test_the_route_with_the_longest_matching_prefix_is_found(
    prefixes, path_parts
):
    texts = {'/'.join(['', *parts, '']) for parts in prefixes}
    routes = [make_route(text, prefix=text) for text in sorted(texts)]
    path = '/'.join(['', *path_parts, 'x'])
    found = find_route(make_table(*routes), HOST, path)
    matching = [text for text in texts if path.startswith(text)]
    expected = max(matching, key=len, default=None)
    prefix = found.prefix if found else None
    assert prefix == expected


def test_another_host_has_no_route():
    table = make_table(make_route())
    assert find_route(table, 'other.example', '/quotes/1') is None


def test_only_a_known_key_has_a_team_unless_the_route_is_public():
    table = make_table(make_route())
    private_route = make_route()
    assert find_team(table, private_route, KEY).name == 'planners'
    assert find_team(table, private_route, 'stolen') is None
    assert find_team(table, private_route, '') is None
    assert find_team(table, make_route(is_public=True), '').name == ''


@given(st.text(max_size=8))
def test_a_session_stays_on_one_service(key):
    shares = (ServiceShare('one', 90), ServiceShare('two', 10))
    route = make_route(shares=shares)
    assert choose_service(route, key) == choose_service(route, key)


def test_services_are_chosen_in_proportion_to_their_weights():
    shares = (ServiceShare('one', 90), ServiceShare('two', 10))
    route = make_route(shares=shares)
    keys = [f'key-{number}' for number in range(2000)]
    n_two = sum(choose_service(route, key) == 'two' for key in keys)
    assert 0.07 <= n_two / len(keys) <= 0.13
