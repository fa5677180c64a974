"""Tells whether later blocks explain the crashes of an earlier one better."""

from collections.abc import Collection

from turmericcrank_core.crash_evidence import CrashHistory
from turmericcrank_core.crash_suspects import is_request, list_carriers

__all__ = ('is_superseded',)


def is_superseded(
    history: CrashHistory,
    group: frozenset[str],
    others: Collection[frozenset[str]],
) -> bool:
    """Return whether other parts explain all crashes of a group better.

    They do if in each crash the requests with one of them are among those
    with the group, and in one crash there are fewer of them. Blocked requests
    explain no part: those with the same part speak for the part.
    """
    parts = [one for one in others if not is_request(one, history.crashes)]
    is_narrower = False
    for crash in history.crashes:
        carriers = list_carriers(crash, group)
        shares = [list_carriers(crash, part) for part in parts]
        fitting = [share for share in shares if share and share <= carriers]
        if carriers and not fitting:
            return False
        is_narrower |= any(share < carriers for share in fitting)
    return is_narrower
