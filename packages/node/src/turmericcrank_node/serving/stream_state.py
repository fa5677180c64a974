"""How far a stream has come, and how the work of one upstream on it ends."""

from dataclasses import dataclass, field

from turmericcrank_core.ladder import Ladder
from turmericcrank_core.sse import EventSplitter

from turmericcrank_node.upstreams.attempt import OpenResponse, AttemptFault

__all__ = (
    'Done',
    'Doubted',
    'Failed',
    'StreamTiming',
    'StreamOutcome',
    'StreamProgress',
)


@dataclass(slots=True)
class StreamTiming:
    """When the events of one upstream came, on trio's clock in seconds.

    Attributes:
        n_events: Events so far.
        first_s: When the first one came.
        last_s: When the last one came.
        head_s: Time from the sending to the head of the response.
        confidence: What the model thinks of its answer; None if unsaid.
        pauses_s: Pauses between events.
    """

    n_events: int = 0
    first_s: float = 0
    last_s: float = 0
    head_s: float = 0
    confidence: float | None = None
    gaps_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class StreamProgress:
    """How far the stream has come for the client.

    Attributes:
        ladder: Models of the request.
        last_event_id: Last event that the client has.
        is_client_gone: Whether the client has closed.
        splitter: Bytes of an event that is not whole.
        pace: Events of the current upstream.
    """

    ladder: Ladder
    last_event_id: str = ''
    is_client_gone: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    timing: StreamTiming = field(default_factory=StreamTiming)


@dataclass(slots=True, frozen=True)
class Done:
    """The stream ended as whole."""


@dataclass(slots=True, frozen=True)
class Doubted:
    """The model doubts its answer; a larger one is to answer.

    Attributes:
        step: Index of the larger model.
    """

    step: int


@dataclass(slots=True, frozen=True)
class Failed:
    """The upstream answered with a whole failure.

    Attributes:
        answering: Status and headers.
        body: The whole body.
    """

    open_response: OpenResponse
    body: bytes


StreamOutcome = Done | Doubted | Failed | AttemptFault
