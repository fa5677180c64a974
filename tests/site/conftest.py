"""Sites of real processes for the tests in this folder."""

from concurrent.futures import ThreadPoolExecutor

import pytest
from turmericcrank_dev.site import Site
from turmericcrank_dev.site_data import (
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)


class TestSite(Site):
    """A site with its tables and the ports of its backends."""

    __test__ = False

    def __init__(self, tls_folder=''):
        super().__init__(tls_folder)
        self.tables = {}
        self.engine_ports = {}
        self.service_port = 0

    def start_back_ends(self, n_small=2, **engine_options):
        self.start_platform()
        engines = {
            f'small-{index}': {'version': 1, **engine_options}
            for index in range(n_small)
        }
        engines['new-0'] = {'version': 2}
        # Imports take most of the start time, so start processes in parallel.
        with ThreadPoolExecutor() as starters:
            service = starters.submit(self.start_service, 'booking')
            starts = {
                name: starters.submit(self.start_engine, name, **options)
                for name, options in engines.items()
            }
        for name, start in starts.items():
            self.engine_ports[name] = start.result()
        self.service_port = service.result()
        self.tables = self._build_tables()

    def start_nodes(self, names, add=None, **settings):
        for index, name in enumerate(names):
            (add or self.add_node)(name, f'dc{index % 2 + 1}')
        for name in names:
            self.start_node(name, **settings)
        self.wait_for_members()
        self.apply_tables(self.tables)

    def change_pool(self, name, **fields):
        pools = {**self.tables['pools']}
        pools[name] = {**pools[name], **fields}
        return {**self.tables, 'pools': pools}

    def change_route(self, name, **fields):
        routes = {**self.tables['routes']}
        routes[name] = {**routes[name], **fields}
        return {**self.tables, 'routes': routes}

    def _build_tables(self):
        small = {
            name: port
            for name, port in self.engine_ports.items()
            if name.startswith('small')
        }
        new = {'new-0': self.engine_ports['new-0']}
        price = {'cost_in_microcents': 1000, 'cost_out_microcents': 1000}
        pools = {
            'small-1': build_pool(PoolSpec('small', '1', small, price)),
            'small-2': build_pool(PoolSpec('small', '2', new, price)),
            'booking': build_pool(
                PoolSpec('booking', '1', {'booking': self.service_port})
            ),
        }
        teams = ['planners', 'tills']
        routes = {
            'quotes': build_route(
                'model', teams, ['small-1'], session_max_s=600
            ),
            'plans': build_route('long_draft', teams, ['small-1'], priority=9),
            'bays': build_route(
                'non_idempotent_service', teams, ['booking'], deadline_s=2
            ),
            'slots': build_route('idempotent_service', teams, ['booking']),
        }
        return build_tables(routes, pools)


@pytest.fixture
def empty_site():
    site = TestSite()
    yield site
    site.stop()


@pytest.fixture(scope='module')
def shared_site():
    """A site shared by a module; its tests must leave it unchanged."""
    site = TestSite()
    try:
        site.start_back_ends()
        site.start_nodes(['n1', 'n2'])
        yield site
    finally:
        site.stop()
