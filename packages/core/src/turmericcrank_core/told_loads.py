"""Sums the requests in progress that other nodes have told of."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ('ToldLoads', 'forget_loads', 'note_loads')


@dataclass(slots=True)
class ToldLoads:
    """Requests in progress at other nodes.

    Attributes:
        running_by_source: What each node or cell told last, by upstream.
        total_by_id: The sums, by upstream.
    """

    running_by_source: dict[str, Mapping[str, int]] = field(
        default_factory=dict
    )
    total_by_id: Counter[str] = field(default_factory=Counter)


def note_loads(
    loads: ToldLoads, source: str, running_by_id: Mapping[str, int]
) -> None:
    """Take what a node or cell tells, in place of what it told before."""
    forget_loads(loads, source)
    loads.running_by_source[source] = running_by_id
    loads.total_by_id.update(running_by_id)


def forget_loads(loads: ToldLoads, source: str) -> None:
    """Forget what a node or cell has told."""
    before = loads.running_by_source.pop(source, None)
    if before:
        loads.total_by_id.subtract(before)
