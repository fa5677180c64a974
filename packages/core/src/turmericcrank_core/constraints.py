"""Validates parameters against declared constraints."""

import numbers
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = (
    'Choice',
    'Container',
    'FieldError',
    'Flag',
    'Number',
    'Text',
    'check_fields',
)


@dataclass(slots=True, frozen=True)
class FieldError:
    """Validation error of one field.

    Attributes:
        table: Table or file that holds the field.
        row: Name of the row; empty for a setting or a whole table.
        field: Name of the field.
        got: Value found, as text; ``nothing`` for a missing field.
        allowed: Description of the allowed values, in English.
    """

    table: str
    row: str
    field: str
    got: str
    allowed: str

    def __str__(self) -> str:
        """Format table, row, field, value and range as one line."""
        where = '.'.join(
            part for part in (self.table, self.row, self.field) if part
        )
        return f'{where}: got {self.got}, allowed is {self.allowed}'


@dataclass(slots=True, frozen=True)
class Number:
    """A number between two inclusive bounds."""

    low: float
    high: float
    default: float | None = None
    whole: bool = False

    def describe(self) -> str:
        """Describe the type and the range."""
        kind = 'a whole number' if self.whole else 'a number'
        return f'{kind} from {self.low} to {self.high}'

    def accepts(self, candidate: Any) -> bool:
        """Return whether the value has the type and is in the range."""
        kind = numbers.Integral if self.whole else numbers.Real
        if isinstance(candidate, bool) or not isinstance(candidate, kind):
            return False
        return self.low <= candidate <= self.high


@dataclass(slots=True, frozen=True)
class Choice:
    """One of several strings."""

    options: tuple[str, ...]
    default: str | None = None

    def describe(self) -> str:
        """List the allowed strings."""
        return f'one of {", ".join(self.options)}'

    def accepts(self, candidate: Any) -> bool:
        """Return whether the value is one of the strings."""
        return candidate in self.options


@dataclass(slots=True, frozen=True)
class Text:
    """A non-empty string of bounded length."""

    max_length: int = 200
    default: str | None = None

    def describe(self) -> str:
        """Describe the allowed length."""
        return f'a text of 1 to {self.max_length} characters'

    def accepts(self, candidate: Any) -> bool:
        """Return whether the value is a string of allowed length."""
        return (
            isinstance(candidate, str) and 0 < len(candidate) <= self.max_length
        )


@dataclass(slots=True, frozen=True)
class Container:
    """A list or dict, whose content is validated separately."""

    kind: type
    default: Any = None

    def describe(self) -> str:
        """Describe the type."""
        return 'an object' if self.kind is dict else 'a list'

    def accepts(self, candidate: Any) -> bool:
        """Return whether the value has the type."""
        return isinstance(candidate, self.kind)


@dataclass(slots=True, frozen=True)
class Flag:
    """A boolean."""

    default: bool | None = None

    def describe(self) -> str:
        """Describe the two values."""
        return 'true or false'

    def accepts(self, candidate: Any) -> bool:
        """Return whether the value is a boolean."""
        return isinstance(candidate, bool)


Constraint = Flag | Number | Choice | Text | Container


def check_fields(
    found_by_name: Mapping[str, Any],
    constraints_by_name: Mapping[str, Constraint],
    table: str,
    row: str = '',
) -> Iterator[FieldError]:
    """Validate all fields; report missing required and unknown ones too.

    Args:
        found_by_name: Values by field.
        constraints_by_name: Constraints by allowed field; a field without a
            default is required.
        table: Name of the table in the messages.
        row: Name of the row in the messages.

    Yields:
        One error for each invalid, missing or unknown field.
    """
    for name, constraint in constraints_by_name.items():
        if name not in found_by_name:
            if constraint.default is None:
                yield FieldError(
                    table, row, name, 'nothing', constraint.describe()
                )
        elif not constraint.accepts(found_by_name[name]):
            yield FieldError(
                table,
                row,
                name,
                repr(found_by_name[name]),
                constraint.describe(),
            )
    for unknown_name in sorted(set(found_by_name) - set(constraints_by_name)):
        allowed = ', '.join(constraints_by_name)
        yield FieldError(
            table, row, unknown_name, 'an unknown field', f'only {allowed}'
        )
