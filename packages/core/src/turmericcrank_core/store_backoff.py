"""Staggers the calls of nodes to the store, to limit its total load.

Load pattern: hundreds of nodes detect the same outage, or the same rollout
step that is due, at the same time. The nodes of lowest rank in the cell that
reads the store act first and retry often; the others wait for gossip from
them, longer with a higher rank, so that the total number of calls grows far
more slowly than the number of nodes.
"""

__all__ = (
    'plan_read_retry_delay_s',
    'plan_step_delay_s',
    'plan_step_retry_delay_s',
    'should_register',
)

_READ_RETRY_DELAY_S = 0.25
_PEERS_SERVED_MAX_STALENESS_S = 2
_PEERS_SERVED_RETRY_DELAY_S = 1
_OTHER_CELL_RETRY_DELAY_S = 8
_OTHER_CELL_RETRY_STEP_S = 1
_ROLLOUT_STEP_DELAY_S = 0.15
_OTHER_CELL_ROLLOUT_STEP_DELAY_S = 2
_ROLLOUT_STEP_RETRY_DELAY_S = 0.3
_N_REGISTERED_PER_CELL = 2


def plan_read_retry_delay_s(
    rank: int, is_reading_cell: bool, staleness_s: float
) -> float:
    """Return the delay before a failed read is retried, in seconds.

    A low staleness after a failed read means that the store serves other
    nodes, so this node retries less often.

    Args:
        rank: Rank of the node among the responsive nodes of its cell, from 0.
        is_reading_cell: Whether its cell reads the store for all cells.
        staleness_s: Staleness of the table, from own reads and those of
            peers, in seconds.

    Example:
        >>> (
        ...     plan_read_retry_delay_s(0, True, 3),
        ...     plan_read_retry_delay_s(3, False, 3),
        ... )
        (0.25, 11)
    """
    if is_reading_cell:
        retry_delay_s = _READ_RETRY_DELAY_S * (1 + rank)
        are_peers_served = staleness_s < _PEERS_SERVED_MAX_STALENESS_S
        return (
            max(_PEERS_SERVED_RETRY_DELAY_S, retry_delay_s)
            if are_peers_served
            else retry_delay_s
        )
    return _OTHER_CELL_RETRY_DELAY_S + _OTHER_CELL_RETRY_STEP_S * rank


def plan_step_delay_s(rank: int, is_reading_cell: bool) -> float:
    """Return how long a node lets others try a due rollout step, in seconds.

    Args:
        rank: Rank of the node among the responsive nodes of its cell, from 0.
        is_reading_cell: Whether its cell reads the store for all cells.
    """
    delay_s = _ROLLOUT_STEP_DELAY_S * rank
    return (
        delay_s
        if is_reading_cell
        else delay_s + _OTHER_CELL_ROLLOUT_STEP_DELAY_S
    )


def plan_step_retry_delay_s(rank: int, is_reading_cell: bool) -> float:
    """Return the delay between two attempts at a rollout step, in seconds."""
    if is_reading_cell:
        return _ROLLOUT_STEP_RETRY_DELAY_S * (1 + rank)
    return _OTHER_CELL_RETRY_DELAY_S + _OTHER_CELL_RETRY_STEP_S * rank


def should_register(rank: int, is_alone: bool) -> bool:
    """Return whether a node registers itself in the node list of the store.

    The list is used by nodes whose seed peers are gone, so a few nodes of
    each cell suffice.

    Args:
        rank: Rank of the node among the responsive nodes of its cell, from 0.
        is_alone: Whether the node knows no other responsive node.
    """
    return is_alone or rank < _N_REGISTERED_PER_CELL
