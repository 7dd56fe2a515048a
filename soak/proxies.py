"""Loopback proxies that harm what passes between a process and the others."""

import asyncio
import enum
import random
from typing import Any, Final

from standins.entries import free_port
from standins.packetends import PacketBackend

_READ_SIZE_BYTES: Final = 65536


@enum.unique
class Harm(enum.Enum):
    """What a proxy does to what passes."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CUT_ANSWERS = 'cut_answers'


class StoreProxy:
    """A TCP proxy between one entry process and the store.

    ``SILENCE`` stops open connections for good without ending them, while new
    ones work; ``CUT_ANSWERS`` lets requests pass and loses the answers.
    """

    def __init__(self, target_port: int) -> None:
        """Pass to ``target_port`` on loopback."""
        self.harm = Harm.NONE
        self.port = 0
        self._target_port = target_port
        self._silenced: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(
            self._pass, '127.0.0.1', 0, limit=_READ_SIZE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and drop what is open."""
        self._server.close()
        self.reset_open()

    def reset_open(self) -> None:
        """Reset all open connections."""
        for writer in self._open:
            writer.transport.abort()

    def silence_open(self) -> None:
        """Have the connections that are open now carry nothing any more."""
        self._silenced |= self._open

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            # The store is down: its callers see the same.
            writer.transport.abort()
            return
        self._open |= {writer, far_writer}
        await asyncio.gather(
            self._copy(reader, far_writer, writer, is_answer=False),
            self._copy(far_reader, writer, writer, is_answer=True),
            return_exceptions=True,
        )
        self._open -= {writer, far_writer}
        writer.transport.abort()
        far_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        near: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while True:
            part = await reader.read(_READ_SIZE_BYTES)
            if not part:
                writer.transport.abort()
                return
            if self.harm is Harm.DELAY:
                await asyncio.sleep(0.3)
            is_lost = is_answer and self.harm is Harm.CUT_ANSWERS
            is_lost = is_lost or near in self._silenced
            if not (is_lost or self.harm is Harm.SILENCE):
                writer.write(part)


class BackendProxy(asyncio.DatagramProtocol):
    """A proxy before one backend server, for datagrams and connections.

    It loses or delays datagrams, or is silent to both.
    """

    def __init__(self, backend: PacketBackend, seed: int) -> None:
        """Hand datagrams to ``backend`` with the address they came from."""
        self.loss_ratio = 0.0
        self.delay_s = 0.0
        self.port = 0
        self._backend = backend
        self._rng = random.Random(seed)
        self._host = ''
        self._transport: asyncio.DatagramTransport
        self._listener: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on ``host``, at one port for both."""
        loop = asyncio.get_running_loop()
        self._host = host
        self.port = free_port(host)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self.port)
        )
        self._transport = transport
        await self.listen()

    async def listen(self) -> None:
        """Take connections, as a server does that lives."""
        self._backend.is_silent = False
        if self._listener is not None:
            # The end of another silence that overlapped has come first.
            return
        self._listener = await asyncio.start_server(
            _end_connection, self._host, self.port
        )

    def fall_silent(self) -> None:
        """Take nothing any more."""
        self._backend.is_silent = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def stop(self) -> None:
        """Close the sockets."""
        self.fall_silent()
        self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on, late or not at all."""
        if self._rng.random() < self.loss_ratio:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.delay_s, self._backend.datagram_received, data, addr
        )


async def _end_connection(
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.transport.abort()
