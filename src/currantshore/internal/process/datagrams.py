"""UDP sockets of a balancer, with batched reads and immediate sends.

Each socket has one task, which registers its reader and closes it. A wake-up of
the event loop reads up to ``BATCH_LIMIT`` datagrams and fires them as one
circuits event, because circuits dispatches fewer events per second than a
balancer must forward packets.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Final, TypeAlias

from circuits import Component, Event

from currantshore.wire import MAX_DATAGRAM_SIZE_BYTES, Endpoint

BATCH_LIMIT: Final = 64

# One byte more than is accepted, so that an oversized datagram is still
# recognized after the kernel has truncated it.
_READ_SIZE_BYTES: Final = MAX_DATAGRAM_SIZE_BYTES + 1

# The kernel default of about 200 KB holds 130 datagrams of full size, which is
# less than what arrives while the process is not scheduled for 10 ms.
_BUFFER_SIZE_BYTES: Final = 4 * 1024 * 1024

Batch: TypeAlias = list[tuple[bytes, tuple[str, int]]]
BatchHook: TypeAlias = Callable[[Batch], None]


class CallerBatch(Event):  # type: ignore[misc]
    """Datagrams (payload, source) that arrived on a service's address."""

    name = 'caller_batch'


class BackendBatch(Event):  # type: ignore[misc]
    """Datagrams that arrived from backend servers."""

    name = 'backend_batch'


class PeerBatch(Event):  # type: ignore[misc]
    """Datagrams that arrived from other balancers."""

    name = 'peer_batch'


class BatchSocket:
    """A non-blocking UDP socket, read in batches."""

    __slots__ = (
        '_closing',
        '_loop',
        '_on_batch',
        '_receive',
        '_send_to',
        '_socket',
        'address',
        'failed_sends',
        'received',
        'sent',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        udp_socket: socket.socket,
        on_batch: BatchHook,
    ) -> None:
        """Initialize with a bound socket; prefer ``open_at``."""
        self._loop = loop
        self._socket = udp_socket
        self._on_batch = on_batch
        # Bound methods are stored, because they are called for each packet.
        self._receive = udp_socket.recvfrom
        self._send_to = udp_socket.sendto
        self._closing = asyncio.Event()
        host, port = udp_socket.getsockname()[:2]
        self.address = Endpoint(host, port)
        self.received = 0
        self.sent = 0
        self.failed_sends = 0

    @classmethod
    def open_at(
        cls,
        loop: asyncio.AbstractEventLoop,
        address: Endpoint,
        on_batch: BatchHook,
    ) -> 'BatchSocket':
        """Bind to ``address`` (port 0 for any); raises ``OSError``."""
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        udp_socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            _configure_and_bind(udp_socket, address)
        except OSError:
            udp_socket.close()
            raise
        return cls(loop, udp_socket, on_batch)

    async def run_until_closed(self) -> None:
        """Read until ``close`` is called, then close the socket."""
        descriptor = self._socket.fileno()
        self._loop.add_reader(descriptor, self._read_batch)
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.closing(self._socket))
            stack.callback(self._loop.remove_reader, descriptor)
            await self._closing.wait()

    def close(self) -> None:
        """End ``run_until_closed``, which closes the socket."""
        self._closing.set()

    def send(self, payload: bytes, target: Endpoint) -> None:
        """Send at once; drop the datagram on a full buffer or a bad address.

        UDP does not guarantee delivery, so nothing is queued here: callers
        and balancers retransmit what was lost.
        """
        try:
            self._send_to(payload, (target.host, target.port))
        except (OSError, OverflowError):
            self.failed_sends += 1
        else:
            self.sent += 1

    def send_all(self, batch: Batch) -> None:
        """Send (payload, target) pairs at once; drop them as ``send`` does."""
        sendto = self._send_to
        failed = 0
        for payload, target in batch:
            try:
                sendto(payload, target)
            except (OSError, OverflowError):
                failed += 1
        self.failed_sends += failed
        self.sent += len(batch) - failed

    def _read_batch(self) -> None:
        batch: Batch = []
        receive = self._receive
        try:
            for _ in range(BATCH_LIMIT):
                batch.append(receive(_READ_SIZE_BYTES))
        except OSError:
            # No datagram is left, or the socket reports the error of an earlier
            # send.
            pass
        if batch:
            self.received += len(batch)
            self._on_batch(batch)


def _configure_and_bind(udp_socket: socket.socket, address: Endpoint) -> None:
    udp_socket.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        udp_socket.setsockopt(socket.SOL_SOCKET, option, _BUFFER_SIZE_BYTES)
    udp_socket.bind((address.host, address.port))


class Datagrams(Component):  # type: ignore[misc]
    """The sockets of a balancer; fires one event for each batch read."""

    channel = 'datagrams'

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialize without sockets; prefer ``from_addresses``."""
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()
        self.services: dict[str, BatchSocket] = {}
        # The requested addresses; for port 0, the bound address differs.
        self._addresses: dict[str, Endpoint] = {}
        self.backend: BatchSocket
        self.peer: BatchSocket
        super().__init__()

    @classmethod
    def from_addresses(
        cls,
        loop: asyncio.AbstractEventLoop,
        backend_address: Endpoint,
        peer_address: Endpoint,
    ) -> 'Datagrams':
        """Open the backend and peer sockets; raises ``OSError``."""
        datagrams = cls(loop)
        datagrams.backend = datagrams.open_socket(
            backend_address,
            lambda batch: datagrams.fire_batch(BackendBatch(batch)),
        )
        datagrams.peer = datagrams.open_socket(
            peer_address,
            lambda batch: datagrams.fire_batch(PeerBatch(batch)),
        )
        return datagrams

    def open_service(self, service_id: str, address: Endpoint) -> None:
        """Open the socket of a service unless it is open at ``address``.

        Raises OSError when the address cannot be bound.
        """
        if self._addresses.get(service_id) == address:
            return
        if service_id in self.services:
            self.close_service(service_id)
        self.services[service_id] = self.open_socket(
            address,
            lambda batch: self.fire_batch(CallerBatch(service_id, batch)),
        )
        self._addresses[service_id] = address

    def close_service(self, service_id: str) -> None:
        """Close the socket of a service that was removed."""
        self._addresses.pop(service_id)
        self.services.pop(service_id).close()

    def open_socket(
        self, address: Endpoint, on_batch: BatchHook
    ) -> BatchSocket:
        """Open a socket and start the task that reads it."""
        batch_socket = BatchSocket.open_at(self._loop, address, on_batch)
        task = self._loop.create_task(batch_socket.run_until_closed())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return batch_socket

    def fire_batch(self, event: Event) -> None:
        """Fire a batch event to the component that drives the core."""
        self.fire(event, 'core')

    def sockets(self) -> dict[str, BatchSocket]:
        """Return all open sockets by the name that they have in metrics."""
        sockets_by_name = {
            f'service:{service_id}': service_socket
            for service_id, service_socket in self.services.items()
        }
        return sockets_by_name | {'backend': self.backend, 'peer': self.peer}

    async def close(self) -> None:
        """Close all sockets and wait for their tasks."""
        for batch_socket in self.sockets().values():
            batch_socket.close()
        await asyncio.gather(*self._tasks)
