"""Exchange messages with other entry hosts.

Messages are datagrams; configurations and complete lists, which are larger, are
fetched as pages by HTTP.
"""

import asyncio
import socket
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final, Self

from circuits import Component, handler

from currantshore.errors import CallFailedError, WireFormatError
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.events import AnnouncementsReady
from currantshore.internal.entry.storereplica import StoreReplica
from currantshore.internal.httpconnection import HttpConnection
from currantshore.internal.httpserver import Page, PageHandler
from currantshore.internal.mirror.core import MirrorActions, OutgoingMessage
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

# Eight entries with the longest names need more than one packet.
_READ_SIZE_BYTES: Final = 4 * MAX_MESSAGE_SIZE_BYTES

# A configuration of 1 MB takes 0.8 s over a link of 10 Mbit/s.
_FETCH_TIMEOUT_S: Final = 2.0

TICK_INTERVAL_S: Final = 0.1

# An uncompressed configuration of 1,300 routes has 250 kB, which takes 0.2 s
# over a link of 10 Mbit/s. Its routes are so similar that the fastest level
# saves most of it.
_FAST_COMPRESSION: Final = 1

_FETCH_ERRORS: Final = (
    CallFailedError,
    WireFormatError,
    ValueError,
    zlib.error,
)


class Peering(Component):  # type: ignore[misc]
    """Sends and receives messages for the mirror core."""

    channel = 'peers'

    def __init__(
        self,
        replica: StoreReplica,
        port: int,
        log: DecisionLog,
    ) -> None:
        """Prefer ``open_at``, which binds the socket."""
        self._replica = replica
        self._port = port
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._fetching: set[str] = set()
        self._compressed_source = b''
        self._compressed = b''
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()
        super().__init__()

    @classmethod
    def open_at(
        cls,
        replica: StoreReplica,
        address: Endpoint,
        log: DecisionLog,
    ) -> Self:
        """Bind to ``address``; other hosts use the same port number.

        Raises ``OSError`` when the address is taken.
        """
        peering = cls(replica, address.port, log)
        peering._socket.setblocking(False)
        peering._socket.bind((address.host, address.port))
        peering._loop.add_reader(peering._socket.fileno(), peering._read_batch)
        replica.send_announcements = peering.queue_announcements
        return peering

    def pages(self) -> dict[str, PageHandler]:
        """Return the pages that other hosts fetch, by path."""
        return {
            CONFIGURATION_PATH: self._configuration_page,
            BACKENDS_PATH: self._backends_page,
        }

    def queue_announcements(self, outgoing: Iterable[OutgoingMessage]) -> None:
        """Queue messages that announce changes."""
        self.fire(AnnouncementsReady(outgoing), 'peers')

    @handler('announcements_ready')  # type: ignore[untyped-decorator]
    def on_announcements_ready(
        self, outgoing: Iterable[OutgoingMessage]
    ) -> None:
        """Send messages that announce changes."""
        self.send_all(outgoing)

    def send_all(self, outgoing: Iterable[OutgoingMessage]) -> None:
        """Send messages; later digests make up for lost ones."""
        for addressed in outgoing:
            payload = encode_message(addressed.message)
            try:
                self._socket.sendto(payload, (addressed.host, self._port))
            except OSError:
                self.counts['send_errors'] += 1
            else:
                self.counts['sent'] += 1
                self.counts['sent_bytes'] += len(payload)

    def execute(self, host: str, actions: MirrorActions) -> None:
        """Send the messages and start the fetches that the core requests.

        ``host`` is the source of the message that led to ``actions``.
        """
        self.send_all(actions.outgoing)
        if actions.fetch_configuration_from:
            self._fetch(host, CONFIGURATION_PATH, self._apply_configuration)
        if actions.fetch_listing_from:
            self._fetch(host, BACKENDS_PATH, self._apply_listing)

    def close(self) -> None:
        """Close the socket and cancel all fetches."""
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
            self._handle_datagram(payload, source[0])

    def _handle_datagram(self, payload: bytes, host: str) -> None:
        self.counts['received'] += 1
        try:
            message = decode_message(payload)
        except WireFormatError:
            self.counts['malformed'] += 1
            return
        mirror = self._replica.mirror
        actions = mirror.on_message(host, message, self._loop.time())
        if actions.changed_ids:
            self._replica.log_changed(actions.changed_ids, host)
        if actions.has_changed_zones:
            self._replica.log_evacuated_zones(host)
        self.execute(host, actions)

    def _fetch(
        self,
        host: str,
        path: str,
        apply: Callable[[str, bytes], None],
    ) -> None:
        if path in self._fetching:
            return
        self._fetching.add(path)
        task = self._loop.create_task(self._run_fetch(host, path, apply))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_fetch(
        self,
        host: str,
        path: str,
        apply: Callable[[str, bytes], None],
    ) -> None:
        connection = HttpConnection.from_endpoint(Endpoint(host, self._port))
        try:
            answer = await connection.get(path, _FETCH_TIMEOUT_S)
            if answer.status == _OK:
                apply(host, answer.body)
        except _FETCH_ERRORS as error:
            self._log.write(
                'fetch_failed', host=host, path=path, error=str(error)
            )
        finally:
            connection.close()
            self._fetching.discard(path)

    def _apply_configuration(self, host: str, compressed: bytes) -> None:
        body = zlib.decompress(compressed)
        found = decode_configuration(body)
        self._replica.apply_configuration(
            found.table, body, host, faults=found.faults
        )

    def _apply_listing(self, host: str, body: bytes) -> None:
        self._replica.apply_peer_listing(decode_listing(body), host)

    def _configuration_page(self) -> Page:
        body = self._replica.configuration_body
        if not body:
            return Page(_UNAVAILABLE, 'text/plain', b'not known yet\n')
        if body is not self._compressed_source:
            self._compressed_source = body
            self._compressed = zlib.compress(body, _FAST_COMPRESSION)
        return Page(_OK, 'application/zlib', self._compressed)

    def _backends_page(self) -> Page:
        status = _OK if self._replica.is_listed else _UNAVAILABLE
        body = encode_listing(self._replica.mirror.listing())
        return Page(status, 'application/msgpack', body)
