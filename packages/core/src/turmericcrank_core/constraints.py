"""Checks plain parameters against a declared table of constraints."""

import numbers
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = (
    'Choice',
    'FieldFault',
    'Flag',
    'Number',
    'Record',
    'Text',
    'check_fields',
)


@dataclass(slots=True, frozen=True)
class FieldFault:
    """One field that does not pass.

    Attributes:
        table: Table or file that holds the field.
        row: Name of the row, empty for a setting.
        field: Name of the field.
        got: What was found, as text.
        allowed: What is allowed, in English.
    """

    table: str
    row: str
    field: str
    got: str
    allowed: str

    def __str__(self) -> str:
        """Write table, row, field, value and range in one line."""
        where = '.'.join(
            part for part in (self.table, self.row, self.field) if part
        )
        return f'{where}: got {self.got}, allowed is {self.allowed}'


@dataclass(slots=True, frozen=True)
class Number:
    """A number between two bounds, both included."""

    low: float
    high: float
    default: float | None = None
    whole: bool = False

    def describe(self) -> str:
        """Name the range."""
        kind = 'a whole number' if self.whole else 'a number'
        return f'{kind} from {self.low} to {self.high}'

    def accepts(self, found: Any) -> bool:
        """Tell whether the value is of the kind and in the range."""
        kind = numbers.Integral if self.whole else numbers.Real
        if isinstance(found, bool) or not isinstance(found, kind):
            return False
        return self.low <= found <= self.high


@dataclass(slots=True, frozen=True)
class Choice:
    """One of several words."""

    words: tuple[str, ...]
    default: str | None = None

    def describe(self) -> str:
        """Name the words."""
        return f'one of {", ".join(self.words)}'

    def accepts(self, found: Any) -> bool:
        """Tell whether the value is one of the words."""
        return found in self.words


@dataclass(slots=True, frozen=True)
class Text:
    """A text of bounded length."""

    max_length: int = 200
    default: str | None = None

    def describe(self) -> str:
        """Name the length."""
        return f'a text of 1 to {self.max_length} characters'

    def accepts(self, found: Any) -> bool:
        """Tell whether the value is a text of allowed length."""
        return isinstance(found, str) and 0 < len(found) <= self.max_length


@dataclass(slots=True, frozen=True)
class Record:
    """A list or mapping, checked further by its owner."""

    kind: type
    default: Any = None

    def describe(self) -> str:
        """Name the kind."""
        return 'an object' if self.kind is dict else 'a list'

    def accepts(self, found: Any) -> bool:
        """Tell whether the value is of the kind."""
        return isinstance(found, self.kind)


@dataclass(slots=True, frozen=True)
class Flag:
    """True or false."""

    default: bool | None = None

    def describe(self) -> str:
        """Name the two values."""
        return 'true or false'

    def accepts(self, found: Any) -> bool:
        """Tell whether the value is true or false."""
        return isinstance(found, bool)


Constraint = Flag | Number | Choice | Text | Record


def check_fields(
    found_by_name: Mapping[str, Any],
    constraints_by_name: Mapping[str, Constraint],
    table: str,
    row: str = '',
) -> Iterator[FieldFault]:
    """Check every field and yield its faults; unknown fields are faults.

    Args:
        found_by_name: Fields as they were read.
        constraints_by_name: Allowed fields; no default means required.
        table: Name for the messages.
        row: Name for the messages.

    Yields:
        One fault for each field that does not pass.
    """
    for name, constraint in constraints_by_name.items():
        if name not in found_by_name:
            if constraint.default is None:
                yield FieldFault(
                    table, row, name, 'nothing', constraint.describe()
                )
        elif not constraint.accepts(found_by_name[name]):
            yield FieldFault(
                table,
                row,
                name,
                repr(found_by_name[name]),
                constraint.describe(),
            )
    for extra in sorted(set(found_by_name) - set(constraints_by_name)):
        allowed = ', '.join(constraints_by_name)
        yield FieldFault(
            table, row, extra, 'an unknown field', f'only {allowed}'
        )
