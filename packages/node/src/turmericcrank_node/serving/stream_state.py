"""Progress of a stream, and the possible outcomes of one attempt."""

from dataclasses import dataclass, field

from turmericcrank_core.inbound import ByteHold, ReadPace
from turmericcrank_core.model_escalation import EscalationState
from turmericcrank_core.sse import EventSplitter

from turmericcrank_node.upstreams.attempt import AttemptFault, OpenResponse

__all__ = (
    'Done',
    'Doubted',
    'Failed',
    'StreamOutcome',
    'StreamProgress',
    'StreamTiming',
)


@dataclass(slots=True)
class StreamTiming:
    """Timing of the events of one upstream, on trio's clock in seconds.

    Attributes:
        n_events: Number of events so far.
        first_s: Arrival of the first event.
        last_s: Arrival of the last event.
        head_s: Time from sending the request to the response head.
        confidence: Confidence that the model reports; None if it reports
            none.
        gaps_s: Average time between events, one entry for each read.
    """

    n_events: int = 0
    first_s: float = 0
    last_s: float = 0
    head_s: float = 0
    confidence: float | None = None
    gaps_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class StreamProgress:
    """Progress of the stream as the client sees it.

    Attributes:
        escalation: Models that may answer the request, and the current model.
        hold: Memory that an incomplete event or an error response takes.
        last_event_id: Id of the last event sent to the client.
        is_client_gone: Whether the client has disconnected.
        splitter: Buffer for the bytes of an incomplete event.
        timing: Event timing of the current upstream.
        pace: What it may read freely.
    """

    escalation: EscalationState
    hold: ByteHold
    last_event_id: str = ''
    is_client_gone: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    timing: StreamTiming = field(default_factory=StreamTiming)
    pace: ReadPace = field(default_factory=ReadPace)


@dataclass(slots=True, frozen=True)
class Done:
    """The stream ended and is complete."""


@dataclass(slots=True, frozen=True)
class Doubted:
    """The model reported low confidence, and a larger model is to answer.

    Attributes:
        step: Index of the larger model.
    """

    step: int


@dataclass(slots=True, frozen=True)
class Failed:
    """The upstream sent a complete error response.

    Attributes:
        open_response: Response with its status and headers.
        body: Complete body.
    """

    open_response: OpenResponse
    body: bytes | bytearray


StreamOutcome = Done | Doubted | Failed | AttemptFault
