"""Lists the entry nodes that clients should connect to."""

from collections.abc import Iterator, Mapping

from turmericcrank_core.client_addresses import EntryNode, plan_addresses
from turmericcrank_core.codes import ResultCode

from turmericcrank_node.api.responses import ApiResponse, make_json_response
from turmericcrank_node.membership.vm_list import list_peers
from turmericcrank_node.state.node_context import NodeContext

__all__ = (
    'list_alternative_addresses',
    'list_entry_nodes',
    'make_addresses_response',
)

_MAX_ROWS = 8
_MAX_ALTERNATIVES = 3


def make_addresses_response(
    ctx: NodeContext, query: Mapping[str, str]
) -> ApiResponse:
    """Return the addresses to use and how long a client may cache them."""
    data_centre = query.get('data_centre', ctx.settings.data_centre)
    chosen = plan_addresses(
        list_entry_nodes(ctx),
        data_centre,
        ctx.settings.keep_s,
        _MAX_ROWS,
        ctx.random_source,
    )
    rows = [
        {
            'address': row.address,
            'data_centre': row.data_centre,
            'weight': row.weight,
        }
        for row in chosen.rows
    ]
    return make_json_response(
        ResultCode.answered, {'addresses': rows, 'keep_s': chosen.keep_s}
    )


def list_entry_nodes(ctx: NodeContext) -> Iterator[EntryNode]:
    """Yield all entry nodes known to this node, itself first."""
    yield EntryNode(
        ctx.settings.node_id,
        ctx.settings.caller_address,
        ctx.settings.data_centre,
        ctx.n_running / ctx.settings.node_capacity,
        ctx.leaving,
        has_responded=True,
    )
    for row in list_peers(ctx):
        view = ctx.statuses_by_peer.get(row.vm_id)
        sample = ctx.window.samples_by_id.get(row.vm_id)
        yield EntryNode(
            row.vm_id,
            row.caller_address,
            row.data_centre,
            view.load if view else 0,
            bool(view and view.leaving),
            has_responded=sample is None or sample.has_responded,
        )


def list_alternative_addresses(ctx: NodeContext) -> list[str]:
    """List the addresses of a few other nodes for a client to try next."""
    chosen = plan_addresses(
        (
            node
            for node in list_entry_nodes(ctx)
            if node.node_id != ctx.settings.node_id
        ),
        ctx.settings.data_centre,
        ctx.settings.keep_s,
        _MAX_ALTERNATIVES,
        ctx.random_source,
    )
    return [row.address for row in chosen.rows]
