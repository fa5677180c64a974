"""When nodes are in touch, and when the store is stable."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from tests.soak.record import NodeEvent, NodeEventKind, Run

__all__ = ('Span', 'find_unplanned_spans', 'make_in_touch', 'overlaps')

Span = tuple[float, float]
InTouch = Callable[[str, float], bool]

_OWN_END_S = 1
_STOPS = {
    NodeEventKind.killed: -1,
    NodeEventKind.ended: -1,
    NodeEventKind.ended_by_itself: -1,
    NodeEventKind.started: 1,
}
_PAIRS = {
    NodeEventKind.paused: NodeEventKind.resumed,
    NodeEventKind.cut: NodeEventKind.restored,
}
_POINTS = (NodeEventKind.started, NodeEventKind.term, NodeEventKind.killed)


def make_in_touch(run: Run) -> InTouch:
    """Make a function that says whether a node is in touch at a moment.

    A node is in touch if nothing has disturbed it, and the store had no
    trouble, for the whole of ``contact_s`` before that moment.
    """
    spans = _find_node_spans(run.node_events)
    contact_s = run.bounds.contact_s

    def is_in_touch(node: str, at_s: float) -> bool:
        disturbed = (*spans.get(node, ()), *run.store_troubles)
        return not overlaps(disturbed, at_s - contact_s, at_s)

    return is_in_touch


def overlaps(spans: Iterable[Span], begin_s: float, end_s: float) -> bool:
    """Say whether one of the spans has a moment from begin to end."""
    return any(span[0] <= end_s and begin_s <= span[1] for span in spans)


def _find_node_spans(node_events: Iterable[NodeEvent]) -> dict[str, list[Span]]:
    """Find the spans in which each node was disturbed or did not run."""
    by_node = defaultdict(list)
    for event in sorted(node_events, key=lambda one: one.at_s):
        by_node[event.node].append(event)
    return {node: list(_find_spans(one)) for node, one in by_node.items()}


def _find_spans(node_events: list[NodeEvent]) -> Iterator[Span]:
    asked = list(_leave_out_own_ends(node_events))
    yield from _find_disturbed(asked)
    yield from _find_down_spans(asked)


def _find_disturbed(node_events: list[NodeEvent]) -> Iterator[Span]:
    points = (one.at_s for one in node_events if one.kind in _POINTS)
    yield from ((at_s, at_s) for at_s in points)
    yield from _find_pairs(node_events)


def _find_pairs(node_events: list[NodeEvent]) -> Iterator[Span]:
    for begin, end in _PAIRS.items():
        yield from _pair(node_events, begin, end)


def _pair(
    node_events: list[NodeEvent], begin: NodeEventKind, end: NodeEventKind
) -> Iterator[Span]:
    since_s: float | None = None
    for event in node_events:
        if event.kind is begin and since_s is None:
            since_s = event.at_s
        elif event.kind is end and since_s is not None:
            yield since_s, event.at_s
            since_s = None
    if since_s is not None:
        yield since_s, math.inf


def _leave_out_own_ends(node_events: list[NodeEvent]) -> Iterator[NodeEvent]:
    """Leave out ends by themselves, and the starts that follow them.

    A process that ends so counts as running all the while, unless it was
    disturbed then or within a second before.
    """
    disturbed = list(_find_disturbed(node_events))
    n_missing = 0
    for event in node_events:
        if event.kind is NodeEventKind.ended_by_itself and not overlaps(
            disturbed, event.at_s - _OWN_END_S, event.at_s
        ):
            n_missing += 1
        elif event.kind is NodeEventKind.started and n_missing:
            n_missing -= 1
        else:
            yield event


def _find_down_spans(node_events: list[NodeEvent]) -> Iterator[Span]:
    """Find the spans in which a node has no process at all.

    A new process may run while an old one under the same name still drains.
    """
    moves = [event for event in node_events if event.kind in _STOPS]
    n_running = 0 if moves and moves[0].kind is NodeEventKind.started else 1
    since_s = None if n_running else -math.inf
    for event in moves:
        n_running += _STOPS[event.kind]
        if n_running <= 0 and since_s is None:
            since_s = event.at_s
        if n_running > 0 and since_s is not None:
            yield since_s, event.at_s
            since_s = None
    if since_s is not None:
        yield since_s, math.inf


def find_unplanned_spans(
    node_events: Iterable[NodeEvent],
) -> dict[str, list[Span]]:
    """Find the spans of pauses, kills and cut links of each node.

    A kill lasts until the next start. Starts and SIGTERM are planned.
    """
    by_node = defaultdict(list)
    for event in sorted(node_events, key=lambda one: one.at_s):
        by_node[event.node].append(event)
    return {
        node: [
            *_find_pairs(one),
            *_pair(one, NodeEventKind.killed, NodeEventKind.started),
        ]
        for node, one in by_node.items()
    }
