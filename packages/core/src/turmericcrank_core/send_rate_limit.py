"""Rate limit for messages between nodes on the network link of a VM.

Responses to clients use the same link. A burst of changes makes each node
send to many others at once, so these messages are limited to a share of the
link on average and to a small burst.

The limit is the generic cell rate algorithm (ITU-T I.371), whose cost per
message is constant.
"""

from dataclasses import dataclass

__all__ = (
    'SendRateLimiter',
    'plan_report_bytes',
    'plan_send_delay_s',
    'record_sent',
)

# With this share and this tolerance, a response queued behind the messages is
# delayed by less than the delay at which an event counts as late.
_LINK_SHARE = 0.2
_BURST_TOLERANCE_S = 0.06
# Share of a gossip round's bytes that reports of events may take.
_REPORT_SHARE = 0.25
_MAX_REPORT_BYTES = 8000


@dataclass(slots=True)
class SendRateLimiter:
    """State of the rate limiter of one node.

    Attributes:
        link_bytes_per_s: Capacity of the link, in bytes per second.
        theoretical_arrival_s: Theoretical arrival time of the algorithm: the
            time at which all messages so far would have been sent at the
            permitted average rate, in seconds.
    """

    link_bytes_per_s: float
    theoretical_arrival_s: float = 0


def record_sent(limiter: SendRateLimiter, n_bytes: int, now_s: float) -> None:
    """Record a message that was sent."""
    send_duration_s = n_bytes / (limiter.link_bytes_per_s * _LINK_SHARE)
    limiter.theoretical_arrival_s = (
        max(limiter.theoretical_arrival_s, now_s) + send_duration_s
    )


def plan_send_delay_s(limiter: SendRateLimiter, now_s: float) -> float:
    """Return the delay before the next message may be sent, in seconds.

    Example:
        >>> limiter = SendRateLimiter(link_bytes_per_s=1000)
        >>> record_sent(limiter, n_bytes=100, now_s=0)
        >>> plan_send_delay_s(limiter, now_s=0)
        0.44
    """
    return max(0, limiter.theoretical_arrival_s - now_s - _BURST_TOLERANCE_S)


def plan_report_bytes(
    link_bytes_per_s: float, n_receivers: int, interval_s: float
) -> float:
    """Return how many bytes of reports one gossip message may hold.

    Args:
        link_bytes_per_s: Capacity of the link, in bytes per second.
        n_receivers: Messages of a gossip round.
        interval_s: Interval between two rounds, in seconds.
    """
    round_bytes = link_bytes_per_s * _LINK_SHARE * interval_s
    share = round_bytes * _REPORT_SHARE / max(1, n_receivers)
    return min(_MAX_REPORT_BYTES, share)
