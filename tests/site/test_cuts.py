"""Killed, stopped and partitioned nodes, and outages of the platform."""

import signal
import threading
import time

from turmericcrank_dev.processes import wait_until

from tests.site.helpers import (
    LIMIT_S,
    find_events,
    make_client,
    post,
    send_chat,
    wait_for_bills,
    wait_for_fresh,
)

_REJECTED = 503
_CUT_OFF = 3007
_STORE_DOWN = 3006


def test_a_frozen_node_that_wakes_sends_a_withdrawn_version_nothing(
    empty_site,
):
    site = empty_site
    site.start_back_ends()
    site.start_nodes(['n1', 'n2', 'n3'])
    assert send_chat(site, 'n3').status_code == 200
    site.signal('n3', signal.SIGSTOP)
    time.sleep(3)
    path = site.write_json(
        'withdraw.json',
        {'revision': 1, **site.change_pool('small-1', state='withdrawn')},
    )
    applied = site.run_operator_command('apply', str(path))
    assert 'not confirmed by: n3' in applied.stderr
    others = ('n1', 'n2', 'platform')
    for name in others:
        site.signal(name, signal.SIGSTOP)
    site.signal('n3', signal.SIGCONT)
    for _ in range(5):
        assert send_chat(site, 'n3').status_code in {410, _REJECTED}
    for name in others:
        site.signal(name, signal.SIGCONT)
    wait_until(
        lambda: send_chat(site, 'n3').status_code == 410,
        LIMIT_S,
        'n3 has adopted the withdrawal',
    )


def test_a_node_that_is_cut_off_refuses_and_names_others(empty_site):
    site = empty_site
    site.start_back_ends()
    site.start_nodes(['n1', 'n2', 'n3'], add=site.add_partitionable_node)
    for other in ('n1', 'n2'):
        site.signal(f'{other}-peer', signal.SIGUSR1)
    site.signal('n3-platform', signal.SIGUSR1)
    wait_until(
        lambda: send_chat(site, 'n3').status_code == _REJECTED,
        LIMIT_S,
        'n3 rejects requests',
    )
    rejection = send_chat(site, 'n3').json()['error']
    assert (rejection['code'], rejection['ran']) == (_CUT_OFF, 'not run')
    assert rejection['retry_after_s'] > 0
    for other in ('n1', 'n2'):
        site.signal(f'{other}-peer', signal.SIGUSR2)
    site.signal('n3-platform', signal.SIGUSR2)
    wait_until(
        lambda: send_chat(site, 'n3').status_code == 200,
        LIMIT_S,
        'n3 accepts requests again',
    )


def test_a_store_that_is_down_for_all_stops_only_what_needs_a_claim(
    empty_site,
):
    site = empty_site
    site.start_back_ends()
    site.start_nodes(['n1', 'n2', 'n3'])
    site.set_faults(outage=True)
    wait_until(
        lambda: find_events(site, 'n2', 'store_lost'),
        LIMIT_S,
        'n2 detects the store outage',
    )
    time.sleep(3)
    assert all(
        send_chat(site, node).status_code == 200 for node in ('n1', 'n2')
    )
    booked = post(
        site,
        'n1',
        '/services/bays/bookings',
        {'bay': 1},
        **{'Idempotency-Key': 'outage'},
    )
    rejection = booked.json()['error']
    assert (rejection['code'], rejection['ran']) == (_STORE_DOWN, 'not run')
    assert site.read_journal(site.service_port) == []
    seed = site.nodes_by_name['n1'].peer_address
    site.kill('n3')
    site.start_node('n3', seed_peers=[seed])
    wait_until(
        lambda: send_chat(site, 'n3').status_code == 200,
        LIMIT_S,
        'n3 has the tables',
    )
    site.set_faults(outage=False)
    wait_for_bills(site, 3)


def test_bills_of_an_outage_outlive_the_node_that_made_them(empty_site):
    site = empty_site
    site.start_back_ends()
    site.start_nodes(['n1', 'n2', 'n3'])
    site.set_faults(outage=True)
    time.sleep(1)
    for _ in range(5):
        assert send_chat(site, 'n1').status_code == 200
    site.kill('n1')
    site.set_faults(outage=False)
    wait_for_bills(site, 5)
    assert any(
        find_events(site, node, 'bill_batch_taken_over')
        for node in ('n2', 'n3')
    )


def test_a_planned_stop_serves_until_kept_addresses_have_expired(empty_site):
    site = empty_site
    site.start_back_ends()
    site.start_nodes(['n1', 'n2'], keep_s=4)
    address = site.nodes_by_name['n1'].client_address
    site.signal('n1', signal.SIGTERM)
    other = make_client(site, node='n2', is_pinned=False)

    def has_left():
        other.forget_addresses()
        return address not in other.find_addresses()

    wait_until(has_left, LIMIT_S, 'n1 is no longer in the address lists')
    assert send_chat(site, 'n1').status_code == 200
    assert site.wait_for_end('n1', LIMIT_S) == 0
    wait_for_bills(site, 1)


def test_a_stream_in_progress_outlasts_a_hurried_stop(empty_site):
    site = empty_site
    site.start_back_ends(token_delay_s=0.1)
    site.start_nodes(['n1', 'n2'])
    outcomes = []
    client = make_client(site, node='n1')
    worker = threading.Thread(
        target=lambda: outcomes.append(
            client.send_chat('quotes', 'a word ' * 25, stream=True)
        )
    )
    worker.start()
    wait_until(lambda: find_events(site, 'n1', 'request_sent'), LIMIT_S, 'sent')
    site.signal('n1', signal.SIGTERM)
    site.signal('n1', signal.SIGTERM)
    worker.join()
    assert outcomes[0].is_complete
    assert site.wait_for_end('n1', LIMIT_S) == 0
    wait_for_bills(site, 1)


def test_a_lost_acceptance_reply_makes_one_revision(empty_site):
    site = empty_site
    site.start_back_ends()
    site.start_nodes(['n1', 'n2'])
    site.set_faults(lose_replies=1, lose_table='tables')
    applied = site.apply_tables(site.change_route('quotes', deadline_s=50))
    assert 'accepted as revision 2' in applied
    wait_for_fresh(site)
    assert site.read_status()['revision'] == 2
