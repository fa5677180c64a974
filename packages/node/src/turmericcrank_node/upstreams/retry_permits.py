"""Permits retries within this node's part of the site's retry budget."""

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.retry_windows import (
    RetryLimits,
    RetryWindow,
    count_retries_left,
    record_retry,
)

from turmericcrank_node.membership.limit_shares import (
    is_member_for,
    refresh_sharing_nodes,
)
from turmericcrank_node.state.node_state import NodeState, read_boottime_s

__all__ = ('acquire_retry', 'find_retry_window', 'has_retry_budget')


def has_retry_budget(
    state: NodeState, service: str, n_reserved: int = 0
) -> bool:
    """Return whether the retry budget allows a retry.

    Args:
        state: The node.
        service: Service that is retried.
        n_reserved: Retries that must remain in the budget afterwards.
    """
    return _count_left(state, service) >= 1 + n_reserved


def acquire_retry(
    state: NodeState, service: str, request_id: str, attempt: int
) -> bool:
    """Charge a retry to the budget; return whether it may start.

    Args:
        state: The node.
        service: Service that is retried.
        request_id: Id of the request.
        attempt: Number of the attempt, from 2.
    """
    left = _count_left(state, service)
    is_allowed = left >= 1
    window = find_retry_window(state, service)
    if is_allowed:
        record_retry(window, read_boottime_s())
        left -= 1
    state.metrics.retries_left.labels(service).set(left)
    state.log.write(
        EventCode.request_retried if is_allowed else EventCode.retry_refused,
        request=request_id,
        service=service,
        attempt=attempt,
        left=round(left, 2),
        first_attempts=window.first_attempts_by_s.total(),
        retries=window.retries_by_s.total(),
        slack=round(_plan_slack(state), 2),
        nodes=len(state.sharing_nodes.node_ids),
    )
    return is_allowed


def find_retry_window(state: NodeState, service: str) -> RetryWindow:
    """Return the sliding window of attempts at a service."""
    return state.retries_by_service.setdefault(service, RetryWindow())


def _count_left(state: NodeState, service: str) -> float:
    bounds = state.settings.bounds
    limits = RetryLimits(
        bounds.retry_ratio, _plan_slack(state), bounds.retry_window_s
    )
    window = find_retry_window(state, service)
    return count_retries_left(window, limits, read_boottime_s())


def _plan_slack(state: NodeState) -> float:
    """Return this node's part of the fixed part of the site's retry budget.

    It is divided among all nodes that were known lately. A node that started
    within the window gets nothing of it, as the process before it may have
    used its part.
    """
    bounds = state.settings.bounds
    if not is_member_for(state, bounds.retry_window_s):
        return 0
    return bounds.retry_slack / len(refresh_sharing_nodes(state).node_ids)
