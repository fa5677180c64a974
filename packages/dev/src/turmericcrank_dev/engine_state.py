"""State of one stand-in model engine."""

import uuid
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ('EngineFaults', 'EngineState', 'touch_prefix')

_MAX_PREFIXES = 64


@dataclass(slots=True)
class EngineFaults:
    """Faults that a test has asked for.

    Attributes:
        mode: ``none``, ``error``, ``slow`` or ``poor``.
        die_after_tokens: Break each stream after so many tokens; 0 for not.
        crash_on: End the process when a prompt holds this text.
    """

    mode: str = 'none'
    die_after_tokens: int = 0
    crash_on: str = 'CRASH-THE-ENGINE'


@dataclass(slots=True)
class EngineState:
    """What the engine holds.

    Attributes:
        model: Model name.
        version: Version name.
        quality: Quality of its answers, 0 to 100.
        token_delay_s: Time between tokens, in seconds.
        slots: Streams that run at once; the rest waits.
        checks_fencing: Whether it refuses an old fencing number.
        n_running: Streams in progress.
        n_started: Streams since the start.
        fence: Highest fencing number seen.
        prefixes_by_hash: Cached prompt prefixes, oldest first.
        orders: Orders that were obeyed, in order.
        instance: Unique name of this start of the process.
    """

    model: str
    version: str
    quality: int
    token_delay_s: float
    slots: int
    checks_fencing: bool
    n_running: int = 0
    n_started: int = 0
    fence: int = 0
    faults: EngineFaults = field(default_factory=EngineFaults)
    prefixes_by_hash: 'OrderedDict[int, None]' = field(
        default_factory=OrderedDict
    )
    orders: list[dict[str, object]] = field(default_factory=list)
    instance: str = field(default_factory=lambda: uuid.uuid4().hex)


def touch_prefix(state: EngineState, prefix: str) -> bool:
    """Use a prompt prefix; True when it was cached."""
    key = hash(prefix)
    hit = key in state.prefixes_by_hash
    state.prefixes_by_hash[key] = None
    state.prefixes_by_hash.move_to_end(key)
    if len(state.prefixes_by_hash) > _MAX_PREFIXES:
        state.prefixes_by_hash.popitem(last=False)
    return hit
