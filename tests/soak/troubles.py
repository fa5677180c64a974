"""Troubles of a soak run, at random by its seed."""

import asyncio

from tests.soak.nodes import NodeControl
from tests.soak.upstreams import Upstream

__all__ = ('play_troubles',)


async def play_troubles(
    control: NodeControl, upstreams: list[Upstream]
) -> None:
    """Play all kinds of trouble of the options until cancelled."""
    await asyncio.sleep(1)
