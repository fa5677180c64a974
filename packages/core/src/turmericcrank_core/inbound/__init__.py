"""Limits on what a node reads from clients and upstreams."""

from turmericcrank_core.inbound.byte_budget import (
    ByteBudget,
    ByteHold,
    hold_bytes,
    hold_spare_bytes,
    make_body_budget,
    release_bytes,
    release_hold,
    reserve_bytes,
)
from turmericcrank_core.inbound.connection_counts import ConnectionCounts
from turmericcrank_core.inbound.read_pace import (
    ReadPace,
    SharedPace,
    plan_read_delay_s,
)

__all__ = (
    'ByteBudget',
    'ByteHold',
    'ConnectionCounts',
    'ReadPace',
    'SharedPace',
    'hold_bytes',
    'hold_spare_bytes',
    'make_body_budget',
    'plan_read_delay_s',
    'release_bytes',
    'release_hold',
    'reserve_bytes',
)
