"""TLS with clients, upstreams and the platform, and between nodes."""

import httpx
import pytest
import trustme
from turmericcrank_dev.processes import wait_until
from turmericcrank_dev.site_data import TEAM_KEYS

from tests.site.conftest import TestSite
from tests.site.helpers import LIMIT_S, find_events


@pytest.fixture
def tls_site(tmp_path):
    authority = trustme.CA()
    certificate = authority.issue_cert('127.0.0.1')
    authority.cert_pem.write_to_path(str(tmp_path / 'ca.pem'))
    certificate.cert_chain_pems[0].write_to_path(str(tmp_path / 'cert.pem'))
    certificate.private_key_pem.write_to_path(str(tmp_path / 'key.pem'))
    site = TestSite(str(tmp_path))
    yield site
    site.stop()


def test_every_connection_speaks_tls(tls_site):
    tls_site.start_back_ends(n_small=1)
    tls_site.start_nodes(['n1', 'n2'])
    body = {
        'model': 'quotes',
        'messages': [{'role': 'user', 'content': 'hello'}],
    }
    address = tls_site.nodes_by_name['n2'].client_address
    answer = httpx.post(
        f'https://{address}/v1/chat/completions',
        json=body,
        headers={'Authorization': f'Bearer {TEAM_KEYS["planners"]}'},
        verify=tls_site.make_tls_context(),
    )
    assert answer.status_code == 200
    wait_until(
        lambda: find_events(tls_site, 'n2', 'bill_batch_written'),
        LIMIT_S,
        'the bill is written',
    )
    with pytest.raises(httpx.ConnectError):
        httpx.get(f'https://{address}/health')
