"""Builders of requests that are not bound to a connection."""

import math

from turmericcrank_core.routing import Team
from turmericcrank_node.platform_port import DecodedRequest
from turmericcrank_node.serving.connection_state import ClientRequest
from turmericcrank_node.serving.in_flight_request import InFlightRequest
from turmericcrank_node.upstreams.poison_detection import make_suspect
from turmericcrank_node.upstreams.upstream_selection import UpstreamRequirements

from tests.router_builders import make_route


def make_in_flight(request_id, now_s, parts=(), fingerprint=None):
    """Make a request in flight, whose fingerprint is its id if none is given.

    ``parts`` are the ids of the shared parts of its prompt.
    """
    request = ClientRequest(b'POST', b'/quotes/1', [], b'{}', now_s)
    call = DecodedRequest(
        request, request_id, 'h', '/quotes/1', '', None, '', parts, '', True
    )
    requirements = UpstreamRequirements('engine', request_id, '', call.prefix)
    return InFlightRequest(
        call,
        make_route(),
        Team('planners'),
        requirements,
        math.inf,
        suspect=make_suspect('engine', fingerprint or request_id, parts),
    )
