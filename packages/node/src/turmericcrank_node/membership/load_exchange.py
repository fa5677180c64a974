"""Reports this node's requests in progress to the nodes of its cell."""

import trio
from turmericcrank_core.cells import plan_cell_peers

from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.state.node_context import NodeContext

__all__ = ('serve_load_exchange',)

_BATCH_DELAY_S = 0.005
_MIN_INTERVAL_S = 0.1
_REQUEST_TIMEOUT_S = 0.3


async def serve_load_exchange(ctx: NodeContext) -> None:
    """Report each change after a short delay, at a limited rate.

    The delay batches changes that follow each other closely.
    """
    while True:
        await ctx.load_changed.wait()
        await trio.sleep(_BATCH_DELAY_S)
        ctx.load_changed = trio.Event()
        report = messages.LoadReport(ctx.settings.node_id, _get_own_loads(ctx))
        cell = plan_cell_peers(
            ctx.window.listed, ctx.settings.node_id, ctx.n_cells
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep, _MIN_INTERVAL_S - _BATCH_DELAY_S)
            for peer_id in sorted(cell):
                nursery.start_soon(
                    ctx.request_peer, peer_id, report, _REQUEST_TIMEOUT_S
                )


def _get_own_loads(ctx: NodeContext) -> dict[str, int]:
    return {
        upstream_id: load.n_own
        for upstream_id, load in ctx.loads.loads_by_id.items()
        if load.n_own
    }
