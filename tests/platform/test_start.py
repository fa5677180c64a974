"""What arrives while the process starts."""

import os
import subprocess
import sys

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
