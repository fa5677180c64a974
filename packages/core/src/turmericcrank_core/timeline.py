"""Merges the event logs of all processes into one ordered timeline.

Entries are ordered by their hybrid logical timestamps, so an effect comes
after its cause even when the clocks of the processes disagree.
"""

import html
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from turmericcrank_core.hybrid_logical_clock import check_stamp

__all__ = (
    'TimelineEntry',
    'draw_timeline',
    'filter_entries',
    'format_entry',
    'order_entries',
    'parse_entry',
)

_ENVELOPE_FIELDS = frozenset(
    ('stamp', 'process', 'event', 'name', 'message', 'taskName')
)
_LANE_WIDTH = 180
_ROW_HEIGHT = 22
_LEFT_WIDTH = 190
_TOP_HEIGHT = 40
_DOT_RADIUS = 5


@dataclass(slots=True, frozen=True)
class TimelineEntry:
    """One event of one process.

    Attributes:
        stamp: Hybrid timestamp as text; text order is time order.
        process: Name of the process.
        event: Number of the event.
        name: Name of the event.
        fields_by_name: Fields of the event.
    """

    stamp: str
    process: str
    event: int
    name: str
    fields_by_name: dict[str, Any]


def parse_entry(line: str) -> TimelineEntry | None:
    """Parse one line of a log; None when it is not an event.

    Example:
        >>> parse_entry('not an event') is None
        True
    """
    try:
        raw = json.loads(line)
    except ValueError:
        return None
    if not isinstance(raw, dict):
        return None
    stamp = raw.get('stamp')
    if not isinstance(stamp, str) or check_stamp(stamp) is None:
        return None
    fields = {
        name: field
        for name, field in raw.items()
        if name not in _ENVELOPE_FIELDS
    }
    return TimelineEntry(
        stamp,
        str(raw.get('process')),
        int(raw.get('event', 0)),
        str(raw.get('name')),
        fields,
    )


def order_entries(lines: Iterable[str]) -> list[TimelineEntry]:
    """Merge lines of any logs, in any order, into one ordered timeline."""
    entries = (parse_entry(line) for line in lines)
    valid = (entry for entry in entries if entry is not None)
    return sorted(valid, key=lambda entry: (entry.stamp, entry.process))


def filter_entries(
    entries: Iterable[TimelineEntry], wanted_by_name: dict[str, str]
) -> Iterator[TimelineEntry]:
    """Yield the entries whose fields have all wanted values.

    Args:
        entries: Entries to filter.
        wanted_by_name: Wanted value by field, such as ``request`` or
            ``revision``; ``node`` stands for the process.
    """
    for entry in entries:
        entry_fields = {**entry.fields_by_name, 'node': entry.process}
        if all(
            str(entry_fields.get(name)) == wanted
            for name, wanted in wanted_by_name.items()
        ):
            yield entry


def format_entry(entry: TimelineEntry) -> str:
    """Format one entry as a human-readable line."""
    fields = ' '.join(
        f'{name}={field}' for name, field in entry.fields_by_name.items()
    )
    return (
        f'{entry.stamp} {entry.process:<12} {entry.event} {entry.name} {fields}'
    ).rstrip()


def draw_timeline(entries: list[TimelineEntry]) -> str:
    """Render a self-contained HTML page with a lane for each process.

    Args:
        entries: Ordered entries.

    Returns:
        The page: an SVG diagram, followed by the entries as text.
    """
    lanes = sorted({entry.process for entry in entries})
    width = _LEFT_WIDTH + _LANE_WIDTH * max(1, len(lanes))
    height = _TOP_HEIGHT + _ROW_HEIGHT * (len(entries) + 1)
    elements = ''.join(
        [
            *_iter_lane_elements(lanes, height),
            *_iter_entry_elements(entries, lanes),
        ]
    )
    lines = html.escape('\n'.join(format_entry(entry) for entry in entries))
    return (
        '<!doctype html><html><head><meta charset="utf-8">'
        '<title>turmericcrank time line</title><style>'
        'body{font:13px sans-serif}text{font:12px sans-serif}'
        '.stamp{fill:#666;font:11px monospace}</style></head><body>'
        f'<svg width="{width}" height="{height}" role="img">{elements}</svg>'
        f'<pre>{lines}</pre></body></html>'
    )


def _iter_lane_elements(lanes: list[str], height: int) -> Iterator[str]:
    for index, lane in enumerate(lanes):
        left = _LEFT_WIDTH + index * _LANE_WIDTH
        yield f'<text x="{left}" y="20">{html.escape(lane)}</text>'
        yield (
            f'<line x1="{left}" y1="28" x2="{left}" y2="{height}" '
            'stroke="#bbb"/>'
        )


def _iter_entry_elements(
    entries: list[TimelineEntry], lanes: list[str]
) -> Iterator[str]:
    for index, entry in enumerate(entries):
        left = _LEFT_WIDTH + lanes.index(entry.process) * _LANE_WIDTH
        top = _TOP_HEIGHT + index * _ROW_HEIGHT
        label = html.escape(f'{entry.event} {entry.name}')
        yield (f'<text class="stamp" x="4" y="{top + 4}">{entry.stamp}</text>')
        yield (
            f'<circle cx="{left}" cy="{top}" r="{_DOT_RADIUS}" fill="#c80"/>'
        )
        yield f'<text x="{left + 9}" y="{top + 4}">{label}</text>'
