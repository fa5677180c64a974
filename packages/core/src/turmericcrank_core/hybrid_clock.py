"""Orders events over processes whose clocks disagree.

A hybrid logical clock keeps close to physical time and never runs behind a
stamp it has received, so an effect is always stamped after its cause.
Source: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

from dataclasses import dataclass

__all__ = ('ClockState', 'Stamp', 'advance_clock', 'check_stamp')


@dataclass(slots=True, frozen=True, order=True)
class Stamp:
    """A point of the hybrid clock.

    Attributes:
        time_ms: Physical part, milliseconds since the epoch.
        counter: Logical part, orders events within one millisecond.
    """

    time_ms: int
    counter: int

    def __str__(self) -> str:
        """Write the stamp so that text order is time order."""
        return f'{self.time_ms:015d}.{self.counter:06d}'


@dataclass(slots=True)
class ClockState:
    """The last stamp that a process gave or received."""

    last: Stamp = Stamp(0, 0)


def advance_clock(
    state: ClockState, now_ms: int, received: Stamp | None = None
) -> Stamp:
    """Give the next stamp, after the last one and after a received one.

    Args:
        state: Clock of this process; changed in place.
        now_ms: Physical time, milliseconds since the epoch.
        received: Stamp of the message that caused the event.

    Returns:
        A stamp greater than every stamp seen before.

    Example:
        >>> str(advance_clock(ClockState(), 5, Stamp(9, 1)))
        '000000000000009.000002'
    """
    floor = state.last
    if received is not None:
        floor = max(floor, received)
    if now_ms > floor.time_ms:
        state.last = Stamp(now_ms, 0)
    else:
        state.last = Stamp(floor.time_ms, floor.counter + 1)
    return state.last


def check_stamp(text: str) -> Stamp | None:
    """Read a stamp from its text form; None when it is not one."""
    time_text, _, counter_text = text.partition('.')
    if not (time_text.isdigit() and counter_text.isdigit()):
        return None
    return Stamp(int(time_text), int(counter_text))
