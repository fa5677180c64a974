"""The relay of a site keeps a reset a reset."""

import socket
import subprocess
import sys

from turmericcrank_dev.processes import find_port, wait_until

from tests.early_resets import serve_early_resets
from tests.mixed_answers import UPLOAD

_N_REQUESTS = 8
_PART = b'HTTP/1.1 200 X\r\n\r\npart'


def _connect(port):
    with socket.socket() as probe:
        return probe.connect_ex(('127.0.0.1', port)) == 0


def _is_reset(address, body):
    """Send a request through a relay; return whether it ends by a reset."""
    with socket.create_connection(address, timeout=5) as client:
        try:
            client.sendall(b'POST / HTTP/1.1\r\n\r\n%s' % body)
            while client.recv(65536):
                continue
        except ConnectionError:
            return True
    return False


def test_mixed_the_relay_of_a_site_makes_no_orderly_end_of_a_reset():
    with serve_early_resets(_PART) as address:
        port = find_port()
        target_port = address.partition(':')[2]
        arguments = (f'--port={port}', f'--target_port={target_port}')
        relay = subprocess.Popen(
            [sys.executable, '-m', 'turmericcrank_dev.cut_relay', *arguments]
        )
        try:
            wait_until(lambda: _connect(port), 10, 'the relay accepts')
            ends = [
                _is_reset(('127.0.0.1', port), body)
                for body in (b'', UPLOAD) * _N_REQUESTS
            ]
        finally:
            relay.kill()
            relay.wait()
    assert all(ends)
