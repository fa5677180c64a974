"""Keeps the messages between nodes from filling the link of a VM.

Answers to clients leave by the same link. A burst of changes makes each
node tell many others at once, so what it tells is spread over time: at most
a part of the link in the long run, and little at once.

The rule is the generic cell rate algorithm (ITU-T I.371), at constant cost
a message.
"""

from dataclasses import dataclass

__all__ = ('LinkBudget', 'note_sent', 'plan_send_pause_s')

# Little enough that answers wait shorter than a late event does.
_LINK_SHARE = 0.2
_BURST_S = 0.06


@dataclass(slots=True)
class LinkBudget:
    """What the messages of one node may use of its link.

    Attributes:
        link_bytes_per_s: Capacity of the link.
        sent_until_s: When all that was sent would have left, had it been
            sent evenly at the share of the link, in seconds.
    """

    link_bytes_per_s: float
    sent_until_s: float = 0


def note_sent(budget: LinkBudget, n_bytes: int, now_s: float) -> None:
    """Note a message that was sent."""
    needed_s = n_bytes / (budget.link_bytes_per_s * _LINK_SHARE)
    budget.sent_until_s = max(budget.sent_until_s, now_s) + needed_s


def plan_send_pause_s(budget: LinkBudget, now_s: float) -> float:
    """Plan how long the next message waits, in seconds.

    Example:
        >>> budget = LinkBudget(link_bytes_per_s=1000)
        >>> note_sent(budget, n_bytes=100, now_s=0)
        >>> plan_send_pause_s(budget, now_s=0)
        0.44
    """
    return max(0, budget.sent_until_s - now_s - _BURST_S)
