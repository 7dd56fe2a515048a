"""Loopback proxies that impair the traffic to the store and to backends."""

import asyncio
import enum
import random
from typing import Any, Final

from standins.entries import free_port
from standins.packetends import PacketBackend

_READ_SIZE_BYTES: Final = 65536


@enum.unique
class Impairment(enum.Enum):
    """How a proxy impairs the traffic that it relays."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CUT_ANSWERS = 'cut_answers'


class StoreProxy:
    """A TCP proxy between one entry process and the store.

    ``SILENCE`` drops the data of all connections without closing them;
    ``CUT_ANSWERS`` relays requests and drops the answers.
    """

    def __init__(self, target_port: int) -> None:
        """Relay connections to ``target_port`` on loopback."""
        self.impairment = Impairment.NONE
        self.port = 0
        self._target_port = target_port
        self._silenced_writers: set[asyncio.StreamWriter] = set()
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(
            self._relay, '127.0.0.1', 0, limit=_READ_SIZE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in self._open_writers:
            writer.transport.abort()

    def silence_connections(self) -> None:
        """Drop all further data of the connections that are open now.

        Connections opened later work.
        """
        self._silenced_writers |= self._open_writers

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.impairment is Impairment.RESET:
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            # The store is down: close the connection, as its clients would
            # see without the proxy.
            writer.transport.abort()
            return
        self._open_writers |= {writer, store_writer}
        await asyncio.gather(
            self._copy(reader, store_writer, writer, is_answer=False),
            self._copy(store_reader, writer, writer, is_answer=True),
            return_exceptions=True,
        )
        self._open_writers -= {writer, store_writer}
        writer.transport.abort()
        store_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        entry_writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while True:
            chunk = await reader.read(_READ_SIZE_BYTES)
            if not chunk:
                writer.transport.abort()
                return
            if self.impairment is Impairment.DELAY:
                await asyncio.sleep(0.3)
            is_dropped = is_answer and self.impairment is Impairment.CUT_ANSWERS
            is_dropped = is_dropped or entry_writer in self._silenced_writers
            if not (is_dropped or self.impairment is Impairment.SILENCE):
                writer.write(chunk)


class BackendProxy(asyncio.DatagramProtocol):
    """A proxy in front of one backend server, for datagrams and connections.

    It drops or delays datagrams, or goes silent for both.
    """

    def __init__(self, backend: PacketBackend, seed: int) -> None:
        """Pass datagrams to ``backend`` with the address of their sender."""
        self.loss_ratio = 0.0
        self.delay_s = 0.0
        self.port = 0
        self._backend = backend
        self._rng = random.Random(seed)
        self._host = ''
        self._transport: asyncio.DatagramTransport
        self._listener: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on ``host``, on one port for datagrams and connections."""
        loop = asyncio.get_running_loop()
        self._host = host
        self.port = free_port(host)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self.port)
        )
        self._transport = transport
        await self.listen()

    async def listen(self) -> None:
        """Accept connections, as a live backend server does."""
        self._backend.is_silent = False
        if self._listener is not None:
            # Another, overlapping silence has already ended.
            return
        self._listener = await asyncio.start_server(
            _abort_connection, self._host, self.port
        )

    def go_silent(self) -> None:
        """Refuse connections and leave datagrams unanswered."""
        self._backend.is_silent = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def stop(self) -> None:
        """Close the sockets."""
        self.go_silent()
        self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the backend after the delay, or drop it."""
        if self._rng.random() < self.loss_ratio:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.delay_s, self._backend.datagram_received, data, addr
        )


async def _abort_connection(
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.transport.abort()
