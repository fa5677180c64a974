"""State of one fake model engine."""

import uuid
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ('EngineFaults', 'EngineState', 'cache_prefix')

_MAX_PREFIXES = 64


@dataclass(slots=True)
class EngineFaults:
    """Injected faults.

    Attributes:
        mode: ``none``, ``error``, ``slow`` or ``poor``.
        die_after_tokens: Number of the token at which each stream is aborted;
            0 disables this.
        crash_on: The process exits when a prompt contains this text.
    """

    mode: str = 'none'
    die_after_tokens: int = 0
    crash_on: str = 'CRASH-THE-ENGINE'


@dataclass(slots=True)
class EngineState:
    """State of the engine.

    Attributes:
        model: Model name.
        version: Version name.
        quality: Quality of the answers, 0 to 100.
        token_delay_s: Time between tokens, in seconds.
        slots: Number of streams that run concurrently; others are queued.
        checks_fencing: Whether orders with an old fencing token are rejected.
        n_running: Number of running and queued streams.
        n_started: Number of streams since the start of the process.
        fencing_token: Highest fencing token received.
        faults: Injected faults.
        prefixes_by_hash: Cached prompt prefixes, least recently used first.
        orders: Executed orders, oldest first.
        instance: Unique id of this process.
    """

    model: str
    version: str
    quality: int
    token_delay_s: float
    slots: int
    checks_fencing: bool
    n_running: int = 0
    n_started: int = 0
    fencing_token: int = 0
    faults: EngineFaults = field(default_factory=EngineFaults)
    prefixes_by_hash: 'OrderedDict[int, None]' = field(
        default_factory=OrderedDict
    )
    orders: list[dict[str, object]] = field(default_factory=list)
    instance: str = field(default_factory=lambda: uuid.uuid4().hex)


def cache_prefix(state: EngineState, prefix: str) -> bool:
    """Put a prompt prefix into the LRU cache; True on a cache hit."""
    key = hash(prefix)
    is_cached = key in state.prefixes_by_hash
    state.prefixes_by_hash[key] = None
    state.prefixes_by_hash.move_to_end(key)
    if len(state.prefixes_by_hash) > _MAX_PREFIXES:
        state.prefixes_by_hash.popitem(last=False)
    return is_cached
