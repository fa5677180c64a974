"""Builds the fields of gossip messages that tell what crashes upstreams."""

from collections.abc import Iterator
from typing import Any

from turmericcrank_node.membership.crash_rows import (
    make_block_row,
    make_crash_row,
)
from turmericcrank_node.state.crash_reports import Audience, iter_pending
from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.upstreams.poison_detection import is_part_key

__all__ = ('make_crash_fields',)


def make_crash_fields(state: NodeState, audience: Audience) -> dict[str, Any]:
    """Return crashes, output of suspects and blocks that others must hear of.

    Args:
        state: State of this node.
        audience: Receivers of the message.
    """
    reports = state.crash_reports
    return {
        'crashes': [
            make_crash_row(crash)
            for crash in iter_pending(reports.by_crash, audience)
        ],
        'outputs': list(iter_pending(reports.by_output, audience)),
        'blocks': list(_iter_blocks(state, audience)),
    }


def _iter_blocks(state: NodeState, audience: Audience) -> Iterator[list[Any]]:
    """Yield the blocks that changed, and others for new nodes.

    These are one of parts and one of requests: there may be many of requests,
    and a node without that of a part sends all new requests with it.
    """
    by_keys = state.crash_guard.blocks_by_keys
    of_parts = [keys for keys in by_keys if any(map(is_part_key, keys))]
    of_requests = [keys for keys in by_keys if keys not in of_parts]
    repeated = [
        state.random_source.choice(blocks)
        for blocks in (of_parts, of_requests)
        if blocks
    ]
    changed = iter_pending(state.crash_reports.by_block, audience)
    chosen = dict.fromkeys((*changed, *repeated))
    for keys in chosen:
        if keys in by_keys:
            yield make_block_row(by_keys[keys])
