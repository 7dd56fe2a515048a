"""An HTTP/1.1 client with one connection, based on h11.

Each object that calls a server has its own connection. It detects a silent
connection by its timeout and closes it without an effect on other calls.
"""

import asyncio
import contextlib
import socket
from collections.abc import Mapping
from typing import Final, NamedTuple, Self

import h11

from currantshore.errors import CallFailedError
from currantshore.wire import Endpoint

# The kernel probes a connection that is idle for this long, to detect a peer
# that lost power between two calls.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2

# Longest time the kernel waits for sent bytes to be acknowledged: the same as
# for the keep-alive probes.
_USER_TIMEOUT_MS: Final = 3000

# Covers several round trips between regions.
_CONNECT_TIMEOUT_S: Final = 0.5

_READ_SIZE_BYTES: Final = 65536

# One of these headers defines where a body ends.
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))


class HttpAnswer(NamedTuple):
    """Status and body of a complete response."""

    status: int
    body: bytes


class HttpConnection:
    """Calls one server over a persistent connection, one call at a time.

    A failed call closes the connection, and the next call opens a new one.
    Calls are not retried here, because a failed call may have had an effect.
    """

    __slots__ = (
        '_endpoint',
        '_is_secure',
        '_protocol',
        '_reader',
        '_writer',
        'headers',
    )

    def __init__(self, endpoint: Endpoint, *, is_secure: bool) -> None:
        """Use ``from_endpoint`` instead."""
        self._endpoint = endpoint
        self._is_secure = is_secure
        self._protocol = h11.Connection(h11.CLIENT)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Headers of the last response, with their names in lower case.
        self.headers: Mapping[bytes, bytes] = {}

    @classmethod
    def from_endpoint(
        cls,
        endpoint: Endpoint,
        *,
        is_secure: bool = False,
    ) -> Self:
        """Return a client for the server at ``endpoint``, not connected yet.

        With ``is_secure`` it uses TLS.
        """
        return cls(endpoint, is_secure=is_secure)

    async def get(self, target: str, timeout_s: float) -> HttpAnswer:
        """Return the response to ``GET target`` within ``timeout_s`` seconds.

        Raises:
            CallFailedError: no complete response arrived; the connection is
                closed.
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
        """Return the response to a call within ``timeout_s`` seconds.

        Raises:
            CallFailedError: no complete response arrived; the connection is
                closed.
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
            # Otherwise the response to the cancelled call would be returned
            # for the next one.
            self.close()
            raise
        return answer

    def close(self) -> None:
        """Abort the connection; the next call opens a new one."""
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
        """Return whether the connection may be used for another call.

        Between two calls a server may close the connection or send a second
        copy of its last response, which would be returned for the next call.
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
            set_tcp_timeouts(opened)
        self._protocol = h11.Connection(h11.CLIENT)
        return writer

    async def _read_answer(self) -> HttpAnswer:
        status = 0
        parts: list[bytes] = []
        while True:
            match await self._next_event():
                case h11.Response() as response:
                    status = response.status_code
                    self.headers = dict(response.headers)
                    _check_framed(response)
                case h11.Data() as part:
                    parts.append(bytes(part.data))
                case h11.EndOfMessage():
                    return HttpAnswer(status, b''.join(parts))
                case h11.ConnectionClosed():
                    raise ConnectionResetError(
                        'the connection was closed before a response'
                    )

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
    """Reject a response whose body ends when the connection is closed.

    A truncated body would look complete.
    """
    names = {name for name, _ in response.headers}
    if not names & _FRAMING_HEADERS:
        raise h11.RemoteProtocolError(
            'the response does not declare the size of its body'
        )


def set_tcp_timeouts(connected: socket.socket) -> None:
    """Make the kernel close a TCP connection whose peer does not respond."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    )
    for level, option, setting in options:
        connected.setsockopt(level, option, setting)
