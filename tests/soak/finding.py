"""A broken line of a rule, as a judge of the soak reports it."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ('Finding', 'list_ids')

_MAX_IDS = 5


@dataclass(slots=True, frozen=True)
class Finding:
    """A broken line of a rule.

    Attributes:
        rule: Name of the rule.
        line: Short name of the line of the rule.
        text: Figures, and the ids of a few requests.
    """

    rule: str
    line: str
    text: str


def list_ids(request_ids: Iterable[str]) -> str:
    """Name a few requests."""
    unique = list(dict.fromkeys(request_ids))
    names = ', '.join(unique[:_MAX_IDS])
    n_more = len(unique) - _MAX_IDS
    return f'{names} and {n_more} more' if n_more > 0 else names
