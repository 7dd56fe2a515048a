"""Forward packets of callers to backend servers over one socket.

Backend servers answer callers directly. One object owns the socket and calls
the steering core. Each wake-up reads a bounded batch, so that timers and other
sockets are served during a flood.
"""

import asyncio
import socket
from collections import Counter
from collections.abc import Iterable
from typing import Final, Self

from circuits import Component, handler

from currantshore.codes import FlowRefusal
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.events import CheckRequested
from currantshore.internal.revisions import store_revision_of
from currantshore.internal.steering.core import (
    FlowReset,
    SteeringCore,
    TICK_INTERVAL_S,
)
from currantshore.internal.steering.directory import Backend
from currantshore.platform import packets
from currantshore.wire import Endpoint

BATCH_LIMIT: Final = 64

# Batches that a stopping host still forwards: enough for the openings in a full
# socket buffer of 1 MB.
_LAST_BATCHES: Final = 512

# Header and data of the largest packet, and one byte to detect larger ones.
_READ_SIZE_BYTES: Final = packets.HEADER_SIZE_BYTES + 1200 + 1

# Holds about one second of packets while the process has used up its CPU quota,
# for the busiest host. Each zone's uploads send it 1 Mbit/s.
_BUFFER_SIZE_BYTES: Final = 1024 * 1024


class Forwarder(Component):  # type: ignore[misc]
    """Reads packets and forwards them as the core decides.

    Packets are passed by method calls; only rare occurrences are events.
    """

    channel = 'packets'

    def __init__(
        self,
        core: SteeringCore,
        address: Endpoint,
        log: DecisionLog,
    ) -> None:
        """Prefer ``open_at``, which binds the socket."""
        self._core = core
        self._loop = asyncio.get_running_loop()
        self._log = log
        # Resets go to the caller's host, at the port number of this socket.
        self._caller_port = address.port
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.counts: Counter[str] = Counter()
        self.refusals: Counter[FlowRefusal] = Counter()
        self.last_packet_s = self._loop.time()
        super().__init__()

    @classmethod
    def open_at(
        cls,
        core: SteeringCore,
        address: Endpoint,
        log: DecisionLog,
    ) -> Self:
        """Bind to ``address``, so that packets are buffered until ``run``.

        Raises ``OSError`` if the address is not available.
        """
        forwarder = cls(core, address, log)
        opened = forwarder._socket
        opened.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            opened.setsockopt(socket.SOL_SOCKET, option, _BUFFER_SIZE_BYTES)
        opened.bind((address.host, address.port))
        return forwarder

    async def run(self) -> None:
        """Forward packets and tick the core until cancelled."""
        self._loop.add_reader(self._socket.fileno(), self.read_batch)
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            # Read first: the tick would treat flows whose acknowledgements
            # still wait in the socket as unanswered by their servers.
            self.read_batch()
            actions = self._core.tick(self._loop.time())
            for copy in actions.copies:
                self.counts['opening_copies'] += 1
                key = packets.flow_key(copy.datagram)
                self._open(key, copy.datagram, copy.backend)
            for replaced in actions.replaced:
                self._log.write(
                    'backend_server_replaced',
                    backend_id=replaced.entry.backend_id,
                    entry_revision=store_revision_of(replaced.entry.revision),
                )
            if actions.has_changed_zones:
                self._log_returned_zones()
            self.on_flows_lost(actions.resets)
            for backend in actions.checks:
                self.fire(CheckRequested(backend), 'checks')

    def _log_returned_zones(self) -> None:
        """Log that zones returned which a restored store leaves out."""
        self._log.write(
            'evacuated_zones_changed',
            zones=sorted(self._core.directory.evacuated_zones),
            revision=store_revision_of(self._core.evacuated.revision),
            origin='restore',
        )

    @handler('flows_lost')  # type: ignore[untyped-decorator]
    def on_flows_lost(self, resets: Iterable[FlowReset]) -> None:
        """Reset flows whose backend server is gone."""
        for reset in resets:
            self._refuse(
                reset.flow_key,
                FlowRefusal.BACKEND_SERVER_GONE,
                reset.acknowledged,
            )

    def close(self) -> None:
        """Forward the packets that wait in the socket, and close it."""
        self._loop.remove_reader(self._socket.fileno())
        for _ in range(_LAST_BATCHES):
            if not self.read_batch():
                break
        self._socket.close()

    def read_batch(self) -> bool:
        """Forward a batch of packets; return whether more may be waiting."""
        receive = self._socket.recv
        now_s = self._loop.time()
        for _ in range(BATCH_LIMIT):
            try:
                datagram = receive(_READ_SIZE_BYTES)
            except BlockingIOError:
                return False
            except OSError:
                # The error of an earlier send; the next read works again.
                self.counts['socket_errors'] += 1
                continue
            self.last_packet_s = now_s
            if packets.has_stated_size(datagram):
                self._forward(datagram, now_s)
            else:
                self.counts['malformed'] += 1
        return True

    def _forward(self, datagram: bytes, now_s: float) -> None:
        key = packets.flow_key(datagram)
        address_key = packets.address_key(datagram)
        if packets.is_opening(datagram):
            decision = self._core.on_opening(
                key,
                address_key,
                datagram,
                now_s,
                is_repeated=packets.is_opening_copy(datagram),
            )
            if isinstance(decision, Backend):
                self._open(key, datagram, decision)
            else:
                self._refuse(key, decision, 0)
            return
        if packets.is_from_backend(datagram):
            self.counts['malformed'] += 1
            return
        segment = packets.read_segment(datagram)
        decision = self._core.on_segment(key, address_key, segment, now_s)
        if isinstance(decision, Backend):
            self._forward_segment(datagram, segment.token, decision)
        else:
            self._refuse(key, decision, segment.acknowledged)

    def _open(self, key: bytes, datagram: bytes, backend: Backend) -> None:
        entry = backend.entry
        self.counts['openings'] += 1
        self._log.write_flow(
            'flow_placed',
            flow=packets.describe_flow(key),
            backend_id=entry.backend_id,
            entry_revision=store_revision_of(entry.revision),
            version=self._core.table.version,
            requests=len(backend.pending_requests),
            flows=backend.flow_count,
        )
        self._send(
            packets.for_backend_with_token(
                datagram, entry.instance, backend.token
            ),
            entry.endpoint.host,
            entry.endpoint.port,
        )

    def _forward_segment(
        self, datagram: bytes, token: int, backend: Backend
    ) -> None:
        entry = backend.entry
        if token == backend.token:
            payload = packets.for_backend(datagram, entry.instance)
        else:
            self.counts['foreign_tokens'] += 1
            payload = packets.for_backend_with_token(
                datagram, entry.instance, backend.token
            )
        self._send(payload, entry.endpoint.host, entry.endpoint.port)

    def _refuse(self, key: bytes, refusal: FlowRefusal, sequence: int) -> None:
        self.refusals[refusal] += 1
        self._log.write_flow(
            'flow_refused',
            flow=packets.describe_flow(key),
            reason=refusal.name.lower(),
            code=refusal.value,
            is_told=refusal.is_told,
            version=self._core.table.version,
            is_current=self._core.is_current(self._loop.time()),
        )
        if refusal.is_told:
            self._reset(key, sequence)

    def _reset(self, key: bytes, sequence: int) -> None:
        self._send(
            packets.build_reset(key, sequence),
            packets.caller_host(key),
            self._caller_port,
        )

    def _send(self, payload: bytes, host: str, port: int) -> None:
        try:
            self._socket.sendto(payload, (host, port))
        except (OSError, OverflowError):
            # The packet is dropped: both ends of a flow retransmit.
            self.counts['send_errors'] += 1
