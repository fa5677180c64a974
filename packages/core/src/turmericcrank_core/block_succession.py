"""Tells whether later blocks explain the crashes of an earlier one better."""

from collections.abc import Collection

from turmericcrank_core.crash_evidence import CrashHistory
from turmericcrank_core.crash_suspects import (
    is_request,
    limit_to_begun,
    list_carriers,
)

__all__ = ('is_superseded',)


def is_superseded(
    history: CrashHistory,
    group: frozenset[str],
    others: Collection[frozenset[str]],
) -> bool:
    """Return whether other culprits explain all crashes of a group better.

    Several parts may do so together. Of blocked requests one alone has to,
    since several of them with the same part speak for the part.
    """
    requests = [one for one in others if is_request(one, history.crashes)]
    parts = [one for one in others if one not in requests]
    return any(
        _explain_better(history, group, explaining)
        for explaining in (parts, *([one] for one in requests))
    )


def _explain_better(
    history: CrashHistory,
    group: frozenset[str],
    others: Collection[frozenset[str]],
) -> bool:
    """Return whether others are at all crashes of a group, and fit better.

    They do if in each crash the requests with one of them are among those
    with the group, and in one crash there are fewer of them.
    """
    is_narrower = False
    for crash in history.crashes:
        limited = limit_to_begun(history, crash)
        carriers = list_carriers(limited, group)
        shares = [list_carriers(limited, other) for other in others]
        fitting = [share for share in shares if share and share <= carriers]
        if carriers and not fitting:
            return False
        is_narrower |= any(share < carriers for share in fitting)
    return is_narrower
