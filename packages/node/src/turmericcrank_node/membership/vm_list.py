"""Maintains the nodes and upstreams of the VM list."""

from collections.abc import Iterable
from typing import Any

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.selection import UpstreamLoad

from turmericcrank_node.state.node_context import NodeContext, VmRow

__all__ = ('dump_vms', 'list_peers', 'merge_vm_rows')


def merge_vm_rows(
    ctx: NodeContext, sequence: int, rows: Iterable[dict[str, Any]]
) -> None:
    """Merge changed rows of the VM list, from the platform or a peer.

    All rows are ignored if their sequence number is older than the last one.
    """
    if sequence < ctx.vm_sequence:
        return
    ctx.vm_sequence = sequence
    for raw in rows:
        row = VmRow(
            raw['id'],
            raw['role'],
            raw['data_centre'],
            raw['state'],
            raw.get('caller_address', ''),
            raw.get('peer_address', ''),
        )
        ctx.vms_by_id[row.vm_id] = row
        if row.role == 'upstream':
            _record_upstream(ctx, row)
        elif row.state == 'gone':
            ctx.vms_by_id.pop(row.vm_id)
    ctx.window.is_list_known = True
    ctx.window.listed = frozenset(row.vm_id for row in list_peers(ctx))


def _record_upstream(ctx: NodeContext, row: VmRow) -> None:
    load = ctx.loads.loads_by_id.setdefault(row.vm_id, UpstreamLoad())
    load.leaving = row.state != 'live'
    if load.leaving:
        ctx.log.write(EventCode.upstream_leaving, upstream=row.vm_id)


def list_peers(ctx: NodeContext) -> list[VmRow]:
    """List the live entry nodes other than this one."""
    return [
        row
        for row in ctx.vms_by_id.values()
        if row.role == 'entry'
        and row.state == 'live'
        and row.vm_id != ctx.settings.node_id
    ]


def dump_vms(ctx: NodeContext) -> list[dict[str, Any]]:
    """Return the known rows of the VM list, for a peer."""
    return [
        {
            'id': row.vm_id,
            'role': row.role,
            'data_centre': row.data_centre,
            'state': row.state,
            'caller_address': row.caller_address,
            'peer_address': row.peer_address,
        }
        for row in ctx.vms_by_id.values()
    ]
