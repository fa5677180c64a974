"""Tests of peer messages, peer authentication, settings and streams."""

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_dev.site_data import NodePorts, build_node_settings
from turmericcrank_node.api.engine_answers import TokenUsage
from turmericcrank_node.api.model_stream import StreamState, extract_relayable
from turmericcrank_node.membership import peer_messages
from turmericcrank_node.membership.peer_messages import unpack_message
from turmericcrank_node.membership.peer_stream import (
    PeerStream,
    PeerStreamError,
    authenticate_as_client,
    authenticate_as_server,
)
from turmericcrank_node.settings import check_settings, read_settings

_arbitrary_values = st.recursive(
    st.none() | st.integers() | st.binary(), st.lists
)
_USAGE = b'data: {"choices": [], "usage": {"completion_tokens": 3}}\n\n'
_DONE = b'data: [DONE]\n\n'


def _token(number):
    return b'data: {"t": %d}\n\n' % number


@given(st.text(max_size=9), st.integers(0, 2**40), st.text(max_size=9))
def test_a_message_is_read_back(node_id, revision, stamp):
    ping = peer_messages.Ping(node_id, revision, stamp)

    async def send_and_receive():
        left, right = trio.testing.memory_stream_pair()
        await PeerStream(left).send(ping)
        return await PeerStream(right).receive()

    assert trio.run(send_and_receive) == ping


@given(_arbitrary_values)
def test_nonsense_is_no_message(raw):
    with pytest.raises(ValueError):
        unpack_message(raw)


@given(st.binary(min_size=1, max_size=40))
def test_random_bytes_end_a_connection_and_nothing_else(sent):
    async def receive():
        left, right = trio.testing.memory_stream_pair()
        await left.send_all(sent)
        await left.aclose()
        try:
            return await PeerStream(right).receive()
        except PeerStreamError:
            return None

    assert trio.run(receive) is None


def _authenticate_pair(client_secret, server_secret):
    async def both():
        left, right = trio.testing.memory_stream_pair()
        authenticated_ids = []

        async def serve():
            try:
                peer = PeerStream(right)
                authenticated_ids.append(
                    await authenticate_as_server(peer, server_secret)
                )
            except PeerStreamError:
                await right.aclose()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            try:
                await authenticate_as_client(
                    PeerStream(left), 'n1', client_secret
                )
            except PeerStreamError:
                await left.aclose()
        return authenticated_ids

    return trio.run(both)


def test_only_nodes_that_know_the_secret_authenticate():
    assert _authenticate_pair('secret', 'secret') == ['n1']
    assert _authenticate_pair('wrong', 'secret') == []
    assert _authenticate_pair('secret', 'wrong') == []


@given(st.integers(0, 6), st.lists(st.integers(1, 200)))
def test_the_end_of_a_stream_is_held_back_however_it_is_cut(n_tokens, cuts):
    tokens = b''.join(_token(number) for number in range(n_tokens))
    stream = tokens + _USAGE + _DONE
    state = StreamState()
    relayed = b''.join(
        extract_relayable(state, block)
        for block in _split_into_blocks(stream, cuts)
    )
    assert relayed == tokens
    assert state.n_events == n_tokens
    assert state.usage_event == _USAGE
    assert state.done
    assert state.usage == TokenUsage(completion_tokens=3)


def _split_into_blocks(stream, cuts):
    """Yield blocks of complete events, as the stream reader does."""
    rest = b''
    position = 0
    for cut in [*cuts, len(stream)]:
        part = stream[position : position + cut]
        position += cut
        block, end, rest = (rest + part).rpartition(b'\n\n')
        if end:
            yield block + end


def _list_errors(**changed):
    ports = NodePorts('n1', 'dc1', 7001, 7002)
    raw = build_node_settings(ports, 7000, '-', **changed)
    raw = {name: found for name, found in raw.items() if found is not None}
    return [str(field_error) for field_error in check_settings(raw).error]


def test_an_invalid_setting_is_reported_with_its_range():
    assert _list_errors(keep_s=-1) == [
        'settings.keep_s: got -1, allowed is a number from 0.1 to 3600'
    ]
    assert _list_errors(peer_address='here') == [
        "settings.peer_address: got 'here', allowed is IP:port with a port "
        'from 1 to 65535'
    ]
    assert _list_errors(node_id=None) == [
        'settings.node_id: got nothing, allowed is a text of 1 to 200 '
        'characters'
    ]
    assert _list_errors(session_keys=[]) == [
        'settings.session_keys: got [], allowed is one or more keys'
    ]


def test_settings_are_json_with_comments(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{ // a comment\n "node_id": }', encoding='utf-8')
    assert 'JSON with comments' in str(read_settings(str(path)).error[0])
    missing = read_settings(str(tmp_path / 'none.json')).error[0]
    assert 'a readable file' in str(missing)
