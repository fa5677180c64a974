"""What builds that have landed sent and stored.

Each file of ``golden/`` was written once, by the build that its ``commit``
names, and stays as it is.
"""

import json
import pathlib

_FOLDER = pathlib.Path(__file__).with_name('golden')


def read_gossip(format_number):
    """Return the fields in order of position, and an encoded message."""
    landed = _read(f'gossip-format-{format_number}.json')
    return landed['fields'], bytes.fromhex(landed['bytes'])


def read_store_rows():
    """Return the rows of a node and of a rollout, as they are written."""
    return _read('store-rows.json')


def _read(name):
    return json.loads((_FOLDER / name).read_text())
