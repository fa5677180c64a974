"""What a simulation of crashing upstreams records, and counts of it."""

from dataclasses import dataclass

from turmericcrank_node.serving.in_flight_request import InFlightRequest

__all__ = (
    'Arrival',
    'SimulatedAttempt',
    'SimulatedRequest',
    'count_late_arrivals',
    'share_begun_at_first',
)


@dataclass(eq=False, repr=False)
class SimulatedRequest:
    """A client request.

    Attributes:
        in_flight: The request as its node sees it.
        node: Node that the client chose.
        parts: Ids of the shared parts of its prompt.
        sent_s: When the client sent it.
        n_runs: Attempts that reached an upstream.
        begun_at: Number of the attempt that began to answer; 0 for none.
        is_rejected: Whether the node had no upstream for it.
    """

    in_flight: InFlightRequest
    node: object
    parts: tuple[str, ...]
    sent_s: float
    n_runs: int = 0
    begun_at: int = 0
    is_rejected: bool = False


@dataclass(eq=False, repr=False)
class SimulatedAttempt:
    """A request at an upstream."""

    request: SimulatedRequest
    upstream_id: str
    has_begun: bool = False


@dataclass(eq=False, repr=False)
class Arrival:
    """A request that reached an upstream."""

    at_s: float
    request: SimulatedRequest
    upstream_id: str


def count_late_arrivals(simulation, part, contact_s, n_crashes=5):
    """Count the runs of a crashing part after its fifth crash.

    Only requests that are sent later than ``contact_s`` after that crash
    count, as the users' rule says.
    """
    if len(simulation.crashes) < n_crashes:
        return 0
    since_s = simulation.crashes[n_crashes - 1][0] + contact_s
    return sum(
        part in arrival.request.parts and arrival.at_s > since_s
        for arrival in simulation.arrivals
    )


def share_begun_at_first(simulation, first_part, since_s, until_s):
    """Return the share of sound requests that began at the first attempt."""
    sound = [
        request
        for request in simulation.requests
        if request.parts[0] == first_part
        and since_s <= request.sent_s < until_s
        and not simulation.crashing_per_s.keys() & set(request.parts)
    ]
    return sum(request.begun_at == 1 for request in sound) / max(1, len(sound))
