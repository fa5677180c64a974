"""Coalesces the events of a response stream into blocks.

The HTTP library yields each chunk of the upstream separately. A dedicated
task buffers them, so that the costly write to the client happens once for
all events that arrive within the block interval. An event that arrives
after a longer pause is yielded at once, so no event is delayed by more than
the block interval.
"""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import trio

__all__ = ('StreamReader',)

_BLOCK_INTERVAL_S = 0.015
_EVENT_END = b'\n\n'
_MAX_BUFFERED_BYTES = 262144


class StreamReader:
    """Buffers the chunks of one response in a task that owns it.

    Args:
        response: Response whose body has not been read yet.
        deadline_s: Monotonic time after which the stream fails.
    """

    __slots__ = (
        '_data_ready',
        '_error',
        '_is_over',
        '_response',
        '_scope',
        '_drained',
        '_buffer',
    )

    def __init__(self, response: httpx.Response, deadline_s: float) -> None:
        self._response = response
        self._scope = trio.CancelScope(deadline=deadline_s)
        self._buffer = bytearray()
        self._data_ready = trio.Event()
        self._drained = trio.Event()
        self._error: Exception | None = None
        self._is_over = False

    async def serve(self, _ctx: Any) -> None:
        """Read until the stream ends, breaks, times out or is stopped."""
        try:
            with self._scope:
                await self._read_all()
        except httpx.HTTPError as error:
            self._error = error
        if self._scope.cancelled_caught:
            self._error = TimeoutError('the deadline has passed')
        self._is_over = True
        self._data_ready.set()

    def stop(self) -> None:
        """Stop reading the response."""
        self._scope.cancel()

    async def iter_blocks(self) -> AsyncIterator[bytes]:
        """Yield blocks, each of all complete events that are buffered.

        Raises:
            httpx.HTTPError: When the stream breaks.
            TimeoutError: When the deadline passes.
        """
        yielded_s = 0.0
        while True:
            await self._data_ready.wait()
            wait_s = yielded_s + _BLOCK_INTERVAL_S - trio.current_time()
            if wait_s > 0 and not self._is_over:
                await trio.sleep(wait_s)
            is_over = self._is_over
            block = self._take_complete_events()
            if block:
                yielded_s = trio.current_time()
                yield block
            if is_over:
                break
        if self._error is not None:
            raise self._error

    async def _read_all(self) -> None:
        async for chunk in self._response.aiter_raw():
            self._buffer += chunk
            if not self._data_ready.is_set():
                self._data_ready.set()
            if len(self._buffer) > _MAX_BUFFERED_BYTES:
                self._drained = trio.Event()
                await self._drained.wait()

    def _take_complete_events(self) -> bytes:
        if not self._is_over:
            self._data_ready = trio.Event()
        end = self._buffer.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            return b''
        block = bytes(self._buffer[:end])
        self._buffer = self._buffer[end:]
        self._drained.set()
        return block
