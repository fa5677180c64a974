"""Endpoints of the node itself.

Clients query the addresses to connect to, the platform runs a readiness
check, and a scraper collects the metrics.
"""

from http import HTTPStatus

from turmericcrank_core.codes import CODES, ResultCode
from turmericcrank_core.membership import list_client_addresses

from turmericcrank_node.serving.client_exchange import ClientExchange
from turmericcrank_node.serving.connection_state import ClientRequest
from turmericcrank_node.state.node_state import (
    NodeState,
    describe_self,
    read_boottime_s,
)
from turmericcrank_node.state.router_metrics import write_metrics

__all__ = (
    'handle_address_query',
    'handle_health_check',
    'handle_metrics_scrape',
)

_ADDRESS_CACHE_S = 1
_JSON = (b'content-type', b'application/json')
_TEXT = (b'content-type', b'text/plain; version=0.0.4')


async def handle_address_query(
    state: NodeState, request: ClientRequest, exchange: ClientExchange
) -> None:
    """Send the node addresses for a client and how long to cache them."""
    data_centre = state.platform.decode_address_query(request)
    if data_centre is None:
        await _reject_unknown_route(exchange)
        return
    addresses = list_client_addresses(
        state.members, describe_self(state), data_centre, read_boottime_s()
    )
    keep_s = min(_ADDRESS_CACHE_S, state.settings.bounds.keep_s)
    body = state.platform.encode_addresses(addresses, keep_s)
    await exchange.send_response(HTTPStatus.OK, [_JSON], body)


async def handle_health_check(
    state: NodeState, request: ClientRequest, exchange: ClientExchange
) -> None:
    """Report to the platform whether this node is ready for clients."""
    if not state.platform.is_health_check(request):
        await _reject_unknown_route(exchange)
        return
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if state.is_ready:
        status = HTTPStatus.OK
    await exchange.send_response(status, [], b'')


async def handle_metrics_scrape(
    state: NodeState, request: ClientRequest, exchange: ClientExchange
) -> None:
    """Send the metrics of this node."""
    if request.method != b'GET':
        await _reject_unknown_route(exchange)
        return
    body = write_metrics(state.metrics)
    await exchange.send_response(HTTPStatus.OK, [_TEXT], body)


async def _reject_unknown_route(exchange: ClientExchange) -> None:
    code = CODES[ResultCode.unknown_route]
    await exchange.send_response(code.http_status, [], code.text.encode())
