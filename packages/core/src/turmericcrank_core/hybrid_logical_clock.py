"""Hybrid logical clock: orders events of processes whose clocks disagree.

The clock stays close to physical time and never runs behind a timestamp it
has received, so the timestamp of an effect is always after its cause's.
Source: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

from dataclasses import dataclass

__all__ = ('ClockState', 'Stamp', 'advance_clock', 'check_stamp')


@dataclass(slots=True, frozen=True, order=True)
class Stamp:
    """A hybrid logical timestamp.

    Attributes:
        time_ms: Physical part, milliseconds since the epoch.
        counter: Logical part, which orders events within a millisecond.
    """

    time_ms: int
    counter: int

    def __str__(self) -> str:
        """Format the timestamp so that text order is time order."""
        return f'{self.time_ms:015d}.{self.counter:06d}'


@dataclass(slots=True)
class ClockState:
    """The last timestamp that a process created or received."""

    last: Stamp = Stamp(0, 0)


def advance_clock(
    state: ClockState, now_ms: int, received: Stamp | None = None
) -> Stamp:
    """Return the next timestamp, after the last and any received one.

    Args:
        state: Clock of this process; modified in place.
        now_ms: Physical time, milliseconds since the epoch.
        received: Timestamp of the message that caused the event.

    Returns:
        A timestamp greater than all earlier ones of this clock.

    Example:
        >>> str(advance_clock(ClockState(), 5, Stamp(9, 1)))
        '000000000000009.000002'
    """
    latest = state.last
    if received is not None:
        latest = max(latest, received)
    if now_ms > latest.time_ms:
        state.last = Stamp(now_ms, 0)
    else:
        state.last = Stamp(latest.time_ms, latest.counter + 1)
    return state.last


def check_stamp(text: str) -> Stamp | None:
    """Parse a timestamp; None when the text is not one."""
    time_text, _, counter_text = text.partition('.')
    if not (time_text.isdigit() and counter_text.isdigit()):
        return None
    return Stamp(int(time_text), int(counter_text))
