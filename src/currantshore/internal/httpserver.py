"""A small HTTP/1.1 server for readiness, metrics and peers, based on h11.

It is imported before the process is ready. To keep the start short it does not
use the web framework of the balancer's administrative interface.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, TypeAlias

import h11

from currantshore.wire import Endpoint

_OK: Final = 200
_NOT_FOUND: Final = 404

# A connection is closed if no complete request arrives within this time.
_REQUEST_TIMEOUT_S: Final = 10.0


class Page(NamedTuple):
    """Response of a handler."""

    status: int
    content_type: str
    body: bytes


PageHandler: TypeAlias = Callable[[], Page]

_NOT_FOUND_PAGE: Final = Page(_NOT_FOUND, 'text/plain', b'not found\n')


class PageServer:
    """Answers ``GET`` for a fixed set of paths, other requests with 404."""

    __slots__ = ('_handlers', '_server', 'address')

    def __init__(self, handlers: Mapping[str, PageHandler]) -> None:
        """Use ``start_at`` instead, which also listens."""
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self.address = Endpoint('', 0)

    @classmethod
    async def start_at(
        cls,
        address: Endpoint,
        handlers: Mapping[str, PageHandler],
    ) -> 'PageServer':
        """Listen on ``address`` (port 0 for any); raises ``OSError``."""
        server = cls(handlers)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(
            lambda: _ClientConnection(loop, handlers),
            address.host,
            address.port,
        )
        host, port = listening.sockets[0].getsockname()[:2]
        server.address = Endpoint(host, port)
        server._server = listening
        return server

    def close(self) -> None:
        """Stop listening; open connections end with the process."""
        if self._server is not None:
            self._server.close()


class _ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    __slots__ = ('_handlers', '_loop', '_protocol', '_timer', '_transport')

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handlers: Mapping[str, PageHandler],
    ) -> None:
        self._loop = loop
        self._handlers = handlers
        self._protocol = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._protocol.receive_data(data)
            self._answer_all()
        except h11.ProtocolError:
            self._transport.close()

    def _answer_all(self) -> None:
        while True:
            match self._protocol.next_event():
                case h11.Request() as request:
                    self._answer(request)
                case h11.ConnectionClosed():
                    self._transport.close()
                    return
                case h11.NEED_DATA | h11.PAUSED:
                    return

    def _answer(self, request: h11.Request) -> None:
        path = request.target.decode('ascii').partition('?')[0]
        handler = self._handlers.get(path)
        is_get = request.method == b'GET' and handler is not None
        page = handler() if is_get and handler is not None else _NOT_FOUND_PAGE
        # Reads the rest of this request before the next one.
        event: object = h11.Data(data=b'')
        while isinstance(event, h11.Data):
            event = self._protocol.next_event()
        self._send(page)

    def _send(self, page: Page) -> None:
        response = h11.Response(
            status_code=page.status,
            headers=[
                ('Content-Type', page.content_type),
                ('Content-Length', str(len(page.body))),
            ],
        )
        parts = (response, h11.Data(data=page.body), h11.EndOfMessage())
        self._transport.write(
            b''.join(self._protocol.send(part) or b'' for part in parts)
        )
        if self._protocol.our_state is h11.MUST_CLOSE:
            self._transport.close()
        elif self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
            self._restart_timer()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(
            _REQUEST_TIMEOUT_S, self._transport.abort
        )
