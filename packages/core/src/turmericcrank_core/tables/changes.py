"""Computes, applies and describes patches between two raw tables."""

from collections.abc import Iterator, Mapping
from typing import Any

__all__ = ('apply_patch', 'describe_patch', 'plan_patch')

_TABLE_NAMES = ('routes', 'pools')

RawTables = Mapping[str, Mapping[str, Any]]


def plan_patch(before: RawTables, after: RawTables) -> dict[str, Any]:
    """Compute the patch between two revisions, row by row.

    Args:
        before: Raw tables of the older revision; may be empty.
        after: Raw tables of the newer revision.

    Returns:
        Changed rows by name for each table; None marks a deleted row.

    Example:
        >>> plan_patch({}, {'routes': {'r': {}}, 'pools': {}})
        {'routes': {'r': {}}, 'pools': {}}
    """
    patch: dict[str, Any] = {}
    for table in _TABLE_NAMES:
        old_rows = before.get(table, {})
        new_rows = after.get(table, {})
        changed = {
            name: row
            for name, row in new_rows.items()
            if old_rows.get(name) != row
        }
        deleted = dict.fromkeys(sorted(set(old_rows) - set(new_rows)))
        patch[table] = {**changed, **deleted}
    return patch


def apply_patch(before: RawTables, patch: RawTables) -> dict[str, Any]:
    """Apply a patch to the raw tables and return the result."""
    after: dict[str, Any] = {}
    for table in _TABLE_NAMES:
        merged = {**before.get(table, {}), **patch.get(table, {})}
        after[table] = {
            name: row for name, row in merged.items() if row is not None
        }
    return after


def describe_patch(before: RawTables, patch: RawTables) -> Iterator[str]:
    """Format a patch as lines for an operator, one per changed field."""
    for table in _TABLE_NAMES:
        for name, row in sorted(patch.get(table, {}).items()):
            old_row = before.get(table, {}).get(name)
            if row is None:
                yield f'- {table}.{name}'
            elif old_row is None:
                yield f'+ {table}.{name}: {row!r}'
            else:
                yield from _describe_row(f'{table}.{name}', old_row, row)


def _describe_row(
    row_path: str, old_row: Mapping[str, Any], row: Mapping[str, Any]
) -> Iterator[str]:
    for field in sorted(set(old_row) | set(row)):
        old, new = old_row.get(field), row.get(field)
        if old != new:
            yield f'~ {row_path}.{field}: {old!r} -> {new!r}'
