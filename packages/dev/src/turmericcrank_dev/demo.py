"""Demo of a small site under traffic, with a node and a store failure.

A booking that the killed node had sent and not yet kept has an unknown outcome,
as its client is told; it is counted by that name. Every other request without
an answer or a refusal is lost.

``make demo`` runs it.
"""

import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from turmericcrank_dev.caller import ApiClient
from turmericcrank_dev.demo_counts import (
    TrafficRecord,
    count_all,
    find_unknown,
)
from turmericcrank_dev.processes import wait_until
from turmericcrank_dev.site import Site
from turmericcrank_dev.site_data import (
    TEAM_KEYS,
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)

__all__ = ('DemoSite', 'main', 'start_demo_site')

_N_CALLERS = 4
_N_ROUNDS = 6
_BILL_LIMIT_S = 10
_OUTAGE_S = 3
_KILLED_NODE = 'n2'
_LIVING_NODES = ('n1', 'n3')


@dataclass(slots=True)
class DemoSite:
    """A running site and the ports of its backends."""

    site: Site
    tables: dict[str, Any]
    service_port: int
    engine_ports: dict[str, int]


def start_demo_site() -> DemoSite:
    """Start a platform, engines of two versions, a service and three nodes."""
    site = Site()
    try:
        return _start_processes(site)
    except BaseException:
        site.stop()
        raise


def _start_processes(site: Site) -> DemoSite:
    site.start_platform()
    engine_ports = {
        name: site.start_engine(name, version=version, quality=quality)
        for name, version, quality in (
            ('engine-a', 1, 70),
            ('engine-b', 1, 70),
            ('engine-c', 2, 90),
        )
    }
    service_port = site.start_service('booking')
    for name, data_centre in (('n1', 'dc1'), ('n2', 'dc1'), ('n3', 'dc2')):
        site.add_node(name, data_centre)
        site.start_node(name)
    site.wait_for_members()
    tables = _build_demo_tables(engine_ports, service_port)
    site.apply_tables(tables)
    return DemoSite(site, tables, service_port, engine_ports)


def main() -> int:
    """Run the demo; return 0 if every check passed, else 1."""
    demo = start_demo_site()
    try:
        return _run_demo(demo)
    finally:
        demo.site.stop()


def _build_demo_tables(
    engine_ports: dict[str, int], service_port: int
) -> dict[str, Any]:
    old = {name: engine_ports[name] for name in ('engine-a', 'engine-b')}
    new = {'engine-c': engine_ports['engine-c']}
    prices = {'cost_in_microcents': 100, 'cost_out_microcents': 300}
    pools = {
        'small-1': build_pool(PoolSpec('small', '1', old, prices)),
        'small-2': build_pool(PoolSpec('small', '2', new, prices)),
        'booking': build_pool(
            PoolSpec('booking', '1', {'booking': service_port})
        ),
    }
    everyone = ['planners', 'tills']
    routes = {
        'quotes': build_route(
            'model', everyone, ['small-1'], session_max_s=600
        ),
        'texts': build_route('model', ['tills'], ['small-2']),
        'bays': build_route('non_idempotent_service', everyone, ['booking']),
    }
    return build_tables(routes, pools)


def _run_demo(demo: DemoSite) -> int:
    record = TrafficRecord()
    _print_line('three nodes in two data centres, two versions, one service')
    with _Traffic(demo, record):
        time.sleep(1)
        _print_line(f'killing node {_KILLED_NODE}')
        demo.site.kill(_KILLED_NODE)
        demo.site.put_node_row(_KILLED_NODE, 'gone')
        time.sleep(1)
    _print_line(
        f'store down for {_OUTAGE_S} s: bookings are refused, quotes go on'
    )
    _run_outage(demo, record)
    _print_line('withdrawing version small@1')
    problems = list(_run_withdrawal(demo, record))
    return _report(demo, record, problems)


class _Traffic:
    """Context manager; clients send requests while its block runs."""

    def __init__(self, demo: DemoSite, record: TrafficRecord) -> None:
        self._threads = [
            threading.Thread(target=_send_rounds, args=(demo, record, index))
            for index in range(_N_CALLERS)
        ]

    def __enter__(self) -> None:
        for thread in self._threads:
            thread.start()

    def __exit__(self, *_exception: object) -> None:
        for thread in self._threads:
            thread.join()


def _make_client(demo: DemoSite, team: str) -> ApiClient:
    seeds = [ports.client_address for ports in demo.site.nodes_by_name.values()]
    return ApiClient(seeds, TEAM_KEYS[team], 'dc1')


def _send_rounds(demo: DemoSite, record: TrafficRecord, index: int) -> None:
    client = _make_client(demo, ('planners', 'tills')[index % 2])
    session_token = 'new'
    for number in range(_N_ROUNDS):
        name = f'{index}-{number}'
        quote = client.send_chat(
            'quotes', f'quote {name}', session_token=session_token
        )
        session_token = quote.session_token or session_token
        record.add(f'quote {name}', quote)
        stream = client.send_chat('quotes', f'plan {name}', stream=True)
        record.add(f'plan {name}', stream)
        if index % 2:
            text = client.send_chat('texts', f'text {name}', stream=True)
            record.add(f'text {name}', text)
        booked = client.book('bays', {'bay': name}, f'key-{name}')
        record.add(f'booking {name}', booked)
        if booked.is_complete:
            with record.lock:
                record.bookings.add(name)


def _run_outage(demo: DemoSite, record: TrafficRecord) -> None:
    demo.site.set_faults(outage=True)
    time.sleep(_OUTAGE_S)
    client = _make_client(demo, 'planners')
    for number in range(3):
        name = f'outage-{number}'
        record.add(f'quote {name}', client.send_chat('quotes', f'quote {name}'))
        rejected = client.book(
            'bays', {'bay': name}, f'key-{name}', max_attempts=1
        )
        record.add(f'booking {name}', rejected)
    demo.site.set_faults(outage=False)


def _run_withdrawal(demo: DemoSite, record: TrafficRecord) -> Iterator[str]:
    changed = {**demo.tables['pools']}
    changed['small-1'] = {**changed['small-1'], 'state': 'withdrawn'}
    wait_until(
        lambda: demo.site.read_status()['freshness'] == 'fresh',
        _BILL_LIMIT_S,
        'the tables are fresh again after the store outage',
    )
    demo.site.apply_tables({**demo.tables, 'pools': changed})
    for team in ('planners', 'tills'):
        client = _make_client(demo, team)
        for number in range(3):
            outcome = client.send_chat('quotes', f'late {team} {number}')
            record.add(f'late {team} {number}', outcome)
            if outcome.status != 410:
                yield f'withdrawn version answered with {outcome.status}'


def _report(demo: DemoSite, record: TrafficRecord, problems: list[str]) -> int:
    unknown = find_unknown(
        record.outcomes,
        *(
            demo.site.log_path(name).read_text(encoding='utf-8')
            for name in (_KILLED_NODE, *_LIVING_NODES)
        ),
    )
    run_counts = count_all(demo.site, demo.service_port, record, unknown)
    for version, count in sorted(run_counts.versions.items()):
        _print_line(f'answered whole by {version}: {count}')
    problems.extend(
        f'{name}: {outcome}'
        for name, outcome in record.outcomes.items()
        if not outcome.is_complete
        and outcome.ran != 'not run'
        and name not in unknown
    )
    # A booking with an unknown outcome may have run and been billed.
    n_more_bills = run_counts.n_billed - run_counts.n_answered
    if not 0 <= n_more_bills <= len(unknown):
        problems.append(
            f'{run_counts.n_billed} bills, {run_counts.n_answered} answers'
        )
    for problem in problems:
        _print_line(f'problem: {problem}')
    _print_line(
        f'demo: sent {run_counts.n_sent} answered {run_counts.n_answered} '
        f'refused {run_counts.n_rejected} billed {run_counts.n_billed} '
        f'unknown {len(unknown)} doubled {run_counts.n_duplicated} '
        f'lost {run_counts.n_lost}'
    )
    return int(bool(problems or run_counts.n_duplicated or run_counts.n_lost))


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
