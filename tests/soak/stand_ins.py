"""Gives access to the stand-ins of the review, which lie outside packages."""

import pathlib
import sys

__all__ = (
    'HOST',
    'KALENDRA_BOUNDS',
    'ROOT',
    'Deployment',
    'Directory',
    'Message',
    'Node',
    'Store',
    'encode_response',
    'find_free_port',
    'make_manifest',
    'make_plain_route',
    'make_stream_route',
    'pick_host',
    'read_chunk',
    'read_head',
)

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / 'review'))

from standins.client import Directory  # noqa: E402
from standins.deployment import (  # noqa: E402
    KALENDRA_BOUNDS,
    Deployment,
    Node,
    find_free_port,
    pick_host,
)
from standins.http1 import (  # noqa: E402
    Message,
    encode_response,
    read_chunk,
    read_head,
)
from standins.manifest import (  # noqa: E402
    HOST,
    make_manifest,
    make_plain_route,
    make_stream_route,
)
from standins.store import Store  # noqa: E402
