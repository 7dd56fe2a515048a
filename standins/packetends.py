"""Stand-ins for the two ends of a flow: a backend server and a caller.

They use the platform's packet format over UDP on loopback: openings with their
answers, requests and answers of one packet each, and resets. Each caller of a
test has its own address (127.x.y.z); all share the port of the entry hosts'
packet address, as on the platform.
"""

import asyncio
import random
import struct
from typing import Any, Final, NamedTuple

from currantshore.platform import packets

_HEADER: Final = struct.Struct('<HIIIHIIHIB')
_SYN: Final = 4
_ACK: Final = 64
_FIN: Final = 8
_RST: Final = 32
_PREFIX_SIZE_BYTES: Final = 8

# Delay before a caller retransmits an opening or unanswered data.
_RETRANSMIT_S: Final = 0.2

# Servers count from here, so that 0 is far from what callers acknowledge.
_FIRST_SEQUENCE = 1_000_000

# A caller takes a reset of an open flow only this near its acknowledgement.
_RESET_WINDOW_BYTES = 76_800


class Packet:
    """A decoded packet."""

    def __init__(self, datagram: bytes) -> None:
        """Decode ``datagram``."""
        header = _HEADER.unpack_from(datagram)
        self.sequence: int = header[1]
        self.acknowledged: int = header[2]
        self.source: tuple[int, int] = (header[5], header[4])
        self.target: tuple[int, int] = (header[6], header[7])
        self.token: int = header[8]
        self.flags: int = header[9]
        self.body = datagram[_HEADER.size :]

    def answer(
        self,
        flags: int,
        sequence: int = 0,
        acknowledged: int = 0,
        body: bytes = b'',
    ) -> bytes:
        """Return the datagram of an answer to this packet."""
        return (
            _HEADER.pack(
                len(body),
                sequence,
                acknowledged,
                1,
                self.target[1],
                self.target[0],
                self.source[0],
                self.source[1],
                self.token,
                flags,
            )
            + body
        )


class Opening(NamedTuple):
    """An opening received by a backend: time, service port, entry host."""

    at_s: float
    service_port: int
    entry_host: str


class PacketBackend(asyncio.DatagramProtocol):
    """Answers openings and requests; counts packets of unknown flows.

    ``openings`` lists all received openings; ``strangers`` counts the packets
    of flows that it does not have.
    """

    def __init__(self, name: str, instance: int) -> None:
        """Initialize backend server ``name``."""
        self.name = name
        self.instance = instance
        self.is_silent = False
        self.opening_delay_s = 0.0
        self.openings: list[Opening] = []
        self.strangers = 0
        self.requests = 0
        self._flows: set[tuple[int, int]] = set()
        self._transport: asyncio.DatagramTransport
        self._caller_port = 0

    async def start(self, host: str, caller_port: int) -> int:
        """Listen on ``host``; return the port."""
        self._caller_port = caller_port
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, 0)
        )
        self._transport = transport
        port: int = transport.get_extra_info('sockname')[1]
        return port

    def stop(self) -> None:
        """Close the socket."""
        self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Receive a packet that an entry host forwarded."""
        instance = int.from_bytes(data[:_PREFIX_SIZE_BYTES], 'big')
        if self.is_silent or instance not in {0, self.instance}:
            return
        packet = Packet(data[_PREFIX_SIZE_BYTES:])
        if packet.flags & _SYN:
            loop = asyncio.get_running_loop()
            opening = Opening(loop.time(), packet.target[1], addr[0])
            self.openings.append(opening)
            self._flows.add(packet.source)
            answer = packet.answer(_SYN | _ACK, _FIRST_SEQUENCE, 1)
            loop.call_later(self.opening_delay_s, self._send, packet, answer)
        elif packet.source not in self._flows:
            self.strangers += 1
            self._send(packet, packet.answer(_RST, packet.acknowledged))
        elif packet.body:
            self.requests += 1
            body = f'{self.name}:'.encode() + packet.body
            acknowledged = packet.sequence + len(packet.body)
            self._send(
                packet,
                packet.answer(_ACK, packet.acknowledged, acknowledged, body),
            )

    def _send(self, packet: Packet, datagram: bytes) -> None:
        host = packets.caller_host(
            struct.pack('<HIIH', packet.source[1], packet.source[0], 0, 0)
        )
        if not self._transport.is_closing():
            self._transport.sendto(datagram, (host, self._caller_port))


class PacketCaller(asyncio.DatagramProtocol):
    """A client host with many flows; each packet may use any entry host."""

    def __init__(self, host: str, seed: int) -> None:
        """Use the loopback address ``host``."""
        self.host = host
        self._rng = random.Random(seed)
        self._transport: asyncio.DatagramTransport
        self._flows: dict[int, CallerFlow] = {}
        self._next_port = 20_000

    async def start(self, caller_port: int) -> None:
        """Listen on the port to which packets for callers are sent."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, caller_port)
        )
        self._transport = transport

    def stop(self) -> None:
        """Close the socket."""
        self._transport.close()

    def flow(self, service: tuple[str, int]) -> 'CallerFlow':
        """Return a new flow with its own port."""
        self._next_port += 1
        flow = CallerFlow(self, self._next_port, service)
        self._flows[self._next_port] = flow
        return flow

    def send(self, datagram: bytes, entry: tuple[str, int]) -> None:
        """Send a packet through an entry host."""
        self._transport.sendto(datagram, entry)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a packet to its flow."""
        packet = Packet(data)
        flow = self._flows.get(packet.target[1])
        if flow is not None:
            flow.take(packet)


class CallerFlow:
    """One flow of a caller."""

    def __init__(
        self,
        caller: PacketCaller,
        port: int,
        service: tuple[str, int],
    ) -> None:
        """Create a flow; use ``PacketCaller.flow`` instead."""
        self._caller = caller
        self.port = port
        self._service = service
        self._inbox: asyncio.Queue[Packet] = asyncio.Queue()
        self.token = 0
        self.sequence = 1
        self.acknowledged = 0
        self.is_reset = False

    def take(self, packet: Packet) -> None:
        """Receive a packet of the backend, or a reset."""
        if packet.flags & _RST:
            distance = abs(packet.sequence - self.acknowledged)
            if self.acknowledged and distance > _RESET_WINDOW_BYTES:
                # On an open flow, such a reset may be forged.
                return
            self.is_reset = True
        else:
            self.token = packet.token
        self._inbox.put_nowait(packet)

    async def open(self, entry: tuple[str, int], tries: int = 3) -> bool:
        """Open the flow through ``entry``; return whether it is open."""
        for copy in range(tries):
            self._send(entry, _SYN, 0, copy)
            packet = await self._receive()
            if self.is_reset:
                return False
            if packet is not None:
                self.acknowledged = packet.sequence + 1
                self._send(entry, _ACK, self.sequence, self.acknowledged)
                return True
        return False

    async def ask(
        self,
        entry: tuple[str, int],
        body: bytes,
        tries: int = 5,
    ) -> bytes:
        """Send a request through ``entry``; return the answer, if any."""
        for _ in range(tries):
            self._send(entry, _ACK, self.sequence, self.acknowledged, body)
            packet = await self._receive_answer(self.sequence + len(body))
            if self.is_reset:
                return b''
            if packet is not None:
                self.sequence += len(body)
                self.acknowledged += len(packet.body)
                self._send(entry, _ACK, self.sequence, self.acknowledged)
                return packet.body
        return b''

    async def _receive_answer(self, acknowledged: int) -> Packet | None:
        while True:
            packet = await self._receive()
            if packet is None or self.is_reset:
                return packet
            # A retransmitted request may get several answers: accept only
            # an answer to the newest request.
            if packet.body and packet.acknowledged == acknowledged:
                return packet

    async def _receive(self) -> Packet | None:
        try:
            return await asyncio.wait_for(self._inbox.get(), _RETRANSMIT_S)
        except TimeoutError:
            # The calling method retransmits.
            return None

    def _send(
        self,
        entry: tuple[str, int],
        flags: int,
        sequence: int,
        acknowledged: int,
        body: bytes = b'',
    ) -> None:
        source = packets.encode_address(self._caller.host, self.port)
        target = packets.encode_address(*self._service)
        datagram = _HEADER.pack(
            len(body),
            sequence,
            acknowledged,
            1,
            self.port,
            int.from_bytes(source[:4], 'little'),
            int.from_bytes(target[:4], 'little'),
            self._service[1],
            self.token,
            flags,
        )
        self._caller.send(datagram + body, entry)
