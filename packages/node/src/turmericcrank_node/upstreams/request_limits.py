"""Applies the request limits that upstreams name in their responses."""

from http import HTTPStatus

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.upstream_limits import record_limit

from turmericcrank_node.platform_port import ResponseInfo
from turmericcrank_node.state.node_state import NodeState, read_boottime_s

__all__ = ('process_request_limit',)


def process_request_limit(
    state: NodeState,
    upstream_id: str,
    status: int,
    response_info: ResponseInfo,
) -> None:
    """Record the request limit that a response names, or that it names none."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        # Another upstream now has the address and sent this response.
        return
    limit_per_s = response_info.request_limit_per_s
    if record_limit(
        state.upstream_limits, upstream_id, limit_per_s, read_boottime_s()
    ):
        state.log.write(
            EventCode.upstream_limit_changed,
            upstream=upstream_id,
            limit_per_s=limit_per_s,
            source='response',
        )
