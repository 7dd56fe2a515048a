"""An HTTP/1.1 client of one connection, on h11.

A caller that shares no connection with others learns from its own timeout that
a connection has gone silent, and drops it without harm to other calls.
"""

import asyncio
import contextlib
import socket
from collections.abc import Mapping
from typing import Final, NamedTuple, Self

import h11

from currantshore.errors import CallFailedError
from currantshore.wire import Endpoint

# The kernel probes an idle connection after this long, so that a peer that
# lost power is noticed between two calls.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2

# Longest wait of the kernel for the acknowledgement of sent bytes; as long as
# the keep-alive probes take.
_USER_TIMEOUT_MS: Final = 3000

# Longest wait for a connection: several round trips between regions.
_CONNECT_TIMEOUT_S: Final = 0.5

_READ_SIZE_BYTES: Final = 65536

# One of these tells where a body ends.
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))


class HttpAnswer(NamedTuple):
    """Status and body of one complete answer."""

    status: int
    body: bytes


class HttpConnection:
    """Calls one server, one call at a time, over a connection kept open.

    After a failed call the connection is dropped, and the next call opens
    another one. No call is repeated here: its outcome may matter.
    """

    __slots__ = ('_endpoint', '_is_secure', '_protocol', '_reader', '_writer')

    def __init__(self, endpoint: Endpoint, *, is_secure: bool) -> None:
        """Prefer ``from_endpoint``."""
        self._endpoint = endpoint
        self._is_secure = is_secure
        self._protocol = h11.Connection(h11.CLIENT)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @classmethod
    def from_endpoint(
        cls,
        endpoint: Endpoint,
        *,
        is_secure: bool = False,
    ) -> Self:
        """Return a client of the server at ``endpoint``, not connected yet.

        ``is_secure`` calls it over TLS.
        """
        return cls(endpoint, is_secure=is_secure)

    async def get(self, target: str, timeout_s: float) -> HttpAnswer:
        """Return the answer to ``GET target`` within ``timeout_s`` seconds.

        Raises:
            CallFailedError: no complete answer came; the connection is closed.
        """
        return await self.call('GET', target, timeout_s)

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
    ) -> HttpAnswer:
        """Return the answer to a call within ``timeout_s`` seconds.

        Raises:
            CallFailedError: no complete answer came; the connection is closed.
        """
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                ('Host', f'{self._endpoint.host}:{self._endpoint.port}'),
                ('Content-Length', str(len(body))),
                *(headers or {}).items(),
            ],
        )
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(request, body)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            self.close()
            raise CallFailedError.from_call(
                f'{method} {target}', self._endpoint, error
            ) from error
        except asyncio.CancelledError:
            # The answer of a call given up would be taken for the next one's.
            self.close()
            raise
        return answer

    def close(self) -> None:
        """Drop the connection at once; the next call opens another."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None

    async def _exchange(self, request: h11.Request, body: bytes) -> HttpAnswer:
        writer = self._writer
        if writer is None or not await self._is_idle():
            writer = await self._open()
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        sent = [self._protocol.send(part) for part in parts]
        writer.write(b''.join(piece for piece in sent if piece))
        answer = await self._read_answer()
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        else:
            self.close()
        return answer

    async def _is_idle(self) -> bool:
        """Tell whether the connection may be used for another call.

        A server may close it between two calls, or send a second copy of its
        last answer, which would be taken for the answer of the next call.
        """
        if self._reader is None or self._protocol.trailing_data[0]:
            return False
        try:
            async with asyncio.timeout(0):
                await self._reader.read(1)
        except TimeoutError:
            return True
        return False

    async def _open(self) -> asyncio.StreamWriter:
        self.close()
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                self._endpoint.host,
                self._endpoint.port,
                ssl=self._is_secure or None,
            )
        self._reader = reader
        self._writer = writer
        opened = writer.get_extra_info('socket')
        with contextlib.suppress(OSError):
            limit_silence(opened)
        self._protocol = h11.Connection(h11.CLIENT)
        return writer

    async def _read_answer(self) -> HttpAnswer:
        status = 0
        parts: list[bytes] = []
        while True:
            match await self._next_event():
                case h11.Response() as response:
                    status = response.status_code
                    _check_framed(response)
                case h11.Data() as part:
                    parts.append(bytes(part.data))
                case h11.EndOfMessage():
                    return HttpAnswer(status, b''.join(parts))
                case h11.ConnectionClosed():
                    raise ConnectionResetError('closed before an answer')

    async def _next_event(self) -> object:
        assert self._reader is not None
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(
                await self._reader.read(_READ_SIZE_BYTES)
            )


def _check_framed(response: h11.Response) -> None:
    """Refuse a body that ends with its connection: half of it looks whole."""
    names = {name for name, _ in response.headers}
    if not names & _FRAMING_HEADERS:
        raise h11.RemoteProtocolError('the size of the body is not told')


def limit_silence(connected: socket.socket) -> None:
    """Let the kernel end a TCP connection whose peer does not answer."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    )
    for level, option, setting in options:
        connected.setsockopt(level, option, setting)
