"""The sockets between entry hosts: datagrams, and pages for what is larger."""

import asyncio
import socket
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final, Self

from circuits import Component, handler

from currantshore.errors import CallFailedError, WireFormatError
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.events import NewsReady
from currantshore.internal.entry.holdings import Holdings
from currantshore.internal.httpconnection import HttpConnection
from currantshore.internal.httpserver import Page, PageHandler
from currantshore.internal.mirror.core import MirrorActions, Sending
from currantshore.internal.mirror.messages import (
    MAX_MESSAGE_SIZE_BYTES,
    decode_listing,
    decode_message,
    encode_listing,
    encode_message,
)
from currantshore.platform.objects import decode_configuration
from currantshore.wire import Endpoint

CONFIGURATION_PATH: Final = '/peer/configuration'
BACKENDS_PATH: Final = '/peer/backends'

_OK: Final = 200
_UNAVAILABLE: Final = 503
_BATCH_LIMIT: Final = 32

# Eight entries with the longest names take more than one packet of a link.
_READ_SIZE_BYTES: Final = 4 * MAX_MESSAGE_SIZE_BYTES

# A configuration of 1 MB takes 0.8 s over a link of 10 Mbit/s.
_FETCH_TIMEOUT_S: Final = 2.0

TICK_INTERVAL_S: Final = 0.1

# A configuration of 1,300 routes has 250 kB, which takes 0.2 s of a link of
# 10 Mbit/s; its routes are so alike that the fastest level saves most of it.
_FAST_COMPRESSION: Final = 1

_FETCH_ERRORS: Final = (
    CallFailedError,
    WireFormatError,
    ValueError,
    zlib.error,
)


class Peering(Component):  # type: ignore[misc]
    """Talks to other hosts for the mirror core."""

    channel = 'peers'

    def __init__(
        self,
        holdings: Holdings,
        port: int,
        log: DecisionLog,
    ) -> None:
        """Prefer ``open_at``, which binds the socket."""
        self._holdings = holdings
        self._port = port
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._fetching: set[str] = set()
        self._packed_body = b''
        self._packed = b''
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()
        super().__init__()

    @classmethod
    def open_at(
        cls,
        holdings: Holdings,
        address: Endpoint,
        log: DecisionLog,
    ) -> Self:
        """Bind to ``address``; other hosts use the same port number.

        Raises ``OSError`` when the address is taken.
        """
        peering = cls(holdings, address.port, log)
        peering._socket.setblocking(False)
        peering._socket.bind((address.host, address.port))
        peering._loop.add_reader(peering._socket.fileno(), peering._read_batch)
        holdings.on_news = peering.announce
        return peering

    def pages(self) -> dict[str, PageHandler]:
        """Return the pages that other hosts fetch."""
        return {
            CONFIGURATION_PATH: self._show_configuration,
            BACKENDS_PATH: self._show_backends,
        }

    def announce(self, sendings: Iterable[Sending]) -> None:
        """Queue messages that tell of something new."""
        self.fire(NewsReady(sendings), 'peers')

    @handler('news_ready')  # type: ignore[untyped-decorator]
    def on_news_ready(self, sendings: Iterable[Sending]) -> None:
        """Send what is new to other hosts."""
        self.send_all(sendings)

    def send_all(self, sendings: Iterable[Sending]) -> None:
        """Send messages; what is lost is repaired by later digests."""
        for sending in sendings:
            payload = encode_message(sending.message)
            try:
                self._socket.sendto(payload, (sending.host, self._port))
            except OSError:
                self.counts['send_errors'] += 1
            else:
                self.counts['sent'] += 1
                self.counts['sent_bytes'] += len(payload)

    def carry_out(self, host: str, actions: MirrorActions) -> None:
        """Send and fetch what the core asks for."""
        self.send_all(actions.sendings)
        if actions.configuration_from:
            self._fetch(host, CONFIGURATION_PATH, self._take_configuration)
        if actions.listing_from:
            self._fetch(host, BACKENDS_PATH, self._take_backends)

    def close(self) -> None:
        """Close the socket and end all fetches."""
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        for task in self._tasks:
            task.cancel()

    def _read_batch(self) -> None:
        for _ in range(_BATCH_LIMIT):
            try:
                payload, source = self._socket.recvfrom(_READ_SIZE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self.counts['socket_errors'] += 1
                continue
            self._take(payload, source[0])

    def _take(self, payload: bytes, host: str) -> None:
        self.counts['received'] += 1
        try:
            message = decode_message(payload)
        except WireFormatError:
            self.counts['malformed'] += 1
            return
        mirror = self._holdings.mirror
        actions = mirror.on_message(host, message, self._loop.time())
        if actions.changed:
            self._holdings.tell_changed(actions.changed, host)
        self.carry_out(host, actions)

    def _fetch(
        self,
        host: str,
        path: str,
        take: Callable[[str, bytes], None],
    ) -> None:
        if path in self._fetching:
            return
        self._fetching.add(path)
        task = self._loop.create_task(self._run_fetch(host, path, take))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_fetch(
        self,
        host: str,
        path: str,
        take: Callable[[str, bytes], None],
    ) -> None:
        connection = HttpConnection.from_endpoint(Endpoint(host, self._port))
        try:
            answer = await connection.get(path, _FETCH_TIMEOUT_S)
            if answer.status == _OK:
                take(host, answer.body)
        except _FETCH_ERRORS as error:
            self._log.write(
                'fetch_failed', host=host, path=path, error=str(error)
            )
        finally:
            connection.close()
            self._fetching.discard(path)

    def _take_configuration(self, host: str, packed: bytes) -> None:
        body = zlib.decompress(packed)
        found = decode_configuration(body)
        self._holdings.take_configuration(
            found.table, body, host, faults=found.faults
        )

    def _take_backends(self, host: str, body: bytes) -> None:
        self._holdings.take_peer_listing(decode_listing(body), host)

    def _show_configuration(self) -> Page:
        body = self._holdings.configuration_body
        if not body:
            return Page(_UNAVAILABLE, 'text/plain', b'not known yet\n')
        if body is not self._packed_body:
            self._packed_body = body
            self._packed = zlib.compress(body, _FAST_COMPRESSION)
        return Page(_OK, 'application/zlib', self._packed)

    def _show_backends(self) -> Page:
        status = _OK if self._holdings.is_listed else _UNAVAILABLE
        body = encode_listing(self._holdings.mirror.listing())
        return Page(status, 'application/msgpack', body)
