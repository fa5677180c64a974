"""What arrives while the process starts."""

import json
import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import trio
from turmericcrank_core.constraints import FieldError
from turmericcrank_node import router_node
from turmericcrank_platform import program
from turmericcrank_platform.program import make_platform
from turmericcrank_platform.settings import SETTINGS_VARIABLE

from tests.router_builders import make_route, make_table
from tests.router_fakes import make_node_state

_SETTINGS = {
    'node': 'n1',
    'ip': '127.0.0.1',
    'zone': 'dc1',
    'listen': {
        'front': '127.0.0.1:1',
        'ready': '127.0.0.1:2',
        'control': '127.0.0.1:3',
    },
    'platform': {'address': '127.0.0.1:4'},
    'bounds': {},
}
_EARLY_MODULE = """
import os
import signal

os.kill(os.getpid(), signal.SIGHUP)
print('still runs', flush=True)
os._exit(0)
"""


def test_lost_sighup_while_modules_are_loaded_does_not_end_the_node(tmp_path):
    # SIGHUP ended 42 of 42 processes that were still loading their modules.
    (tmp_path / 'trio.py').write_text(_EARLY_MODULE)
    path = os.pathsep.join([str(tmp_path), *sys.path])
    run = subprocess.run(
        [sys.executable, '-m', 'turmericcrank_platform'],
        env={**os.environ, 'PYTHONPATH': path},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (run.returncode, run.stdout) == (0, 'still runs\n')


def test_lost_start_while_the_settings_are_being_written(tmp_path, monkeypatch):
    # A file that was empty or half written ended the process with code 2.
    path = tmp_path / 'settings.json'
    whole = json.dumps(_SETTINGS)
    path.write_text(whole[:40])
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(trio, 'run', lambda *_: None)
    with ThreadPoolExecutor() as pool:
        running = pool.submit(program.main)
        for text in ('', whole):
            time.sleep(0.2)
            path.write_text(text)
        assert running.result() == 0


def test_lost_no_node_whose_settings_file_is_invalid_at_a_reload(
    tmp_path, capfd
):
    # Errors were written to standard error, which may be full or unread.
    path = tmp_path / 'settings.json'
    path.write_text('{"node": 1}')
    state = make_node_state(make_table(make_route()))
    state.platform = make_platform(state.settings, str(path))
    assert not router_node._reload_settings(state)
    name, fields = state.log.events[-1]
    assert name == 'settings_rejected'
    assert any('settings.node' in text for text in fields['errors'])
    assert capfd.readouterr().err == ''
    assert all(
        isinstance(one, FieldError)
        for one in state.platform.reload_settings().error
    )
