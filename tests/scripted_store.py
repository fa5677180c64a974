"""A store that responds to each call as a test says."""

import base64

import orjson
import trio
from turmericcrank_platform.store import make_store

STORED_PROGRESS = {
    'version': 'v2',
    'duration_s': 12,
    'number': 33,
    'phase': 2,
    'began_ms': 5.0,
}


class ScriptedStore:
    """Responds to each call with the next status and body.

    A third item is the era of the store, a fourth one the time after which it
    responds, in seconds. For None it closes the connection without a response.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        host, port = listeners[0].socket.getsockname()
        task_status.started(f'{host}:{port}')
        await trio.serve_listeners(self._respond, listeners)

    async def _respond(self, stream):
        raw = await stream.receive_some()
        self.calls.append(raw)
        response = self.responses.pop(0)
        if response is not None:
            status, body, *rest = response
            era, delay_s = rest[:1], rest[1:]
            await trio.sleep(sum(delay_s))
            text = orjson.dumps(body)
            lines = [
                f'HTTP/1.1 {status} X',
                f'Content-Length: {len(text)}',
                *(f'Store-Era: {one}' for one in era),
            ]
            head = '\r\n'.join((*lines, '', ''))
            await stream.send_all(head.encode('latin-1', 'replace') + text)
        await stream.aclose()


def call_scripted_store(operation, *responses):
    store = ScriptedStore(*responses)

    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(store.serve)
            outcome = await operation(make_store(address))
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main), store.calls


def make_row_page(*rows, **fields):
    return {'rows': list(rows), 'ver': 40, 'now-ms': 7, **fields}


def make_stored_row(key, version, body):
    text = base64.b64encode(orjson.dumps(body)).decode()
    return {'key': key, 'ver': version, 'value': text}
