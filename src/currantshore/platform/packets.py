"""Decode and build the packets that callers and backend servers exchange.

A packet is one datagram: a header of 31 bytes, little-endian, then data.
Packets to a backend server have 8 more bytes before the header, which are the
server's instance number, big-endian.

| bytes | wire name | content |
| --- | --- | --- |
| 0-1 | len | size of the data |
| 2-5 | seq | sequence number |
| 6-9 | ack | acknowledgement number; of an opening, the number of its copy |
| 10-13 | sum | keyed sum that only the two ends can compute |
| 14-15 | sport | port of the sender's end |
| 16-19 | src | IP address of the sender's end |
| 20-23 | dst | IP address of the other end |
| 24-25 | dport | port of the other end |
| 26-29 | echo | the flow's token |
| 30 | flags | see below |
"""

import socket
import struct
from typing import Final

from currantshore.internal.addresses import pack_ipv4
from currantshore.internal.steering.flowrecords import Segment

_HEADER: Final = struct.Struct('<HIIIHIIHIB')
HEADER_SIZE_BYTES: Final = _HEADER.size

_SYN: Final = 4
_ACK: Final = 64
_FIN: Final = 8
_RST: Final = 32
_END: Final = _FIN | _RST

MAX_PORT: Final = 65_535

_FLAGS_OFFSET: Final = 30
_FLOW_START: Final = 14
_ADDRESS_START: Final = 20
_TOKEN_START: Final = 26
_SEGMENT: Final = struct.Struct('<HII')
_INSTANCE: Final = struct.Struct('>Q')
_TOKEN: Final = struct.Struct('<I')
_FLOW: Final = struct.Struct('<HIIH')
_ADDRESS: Final = struct.Struct('<IH')


def has_stated_size(datagram: bytes) -> bool:
    """Return whether a datagram is a packet of the size that it states."""
    size_bytes = len(datagram) - HEADER_SIZE_BYTES
    if size_bytes < 0:
        return False
    return size_bytes == datagram[0] | datagram[1] << 8


def is_opening(datagram: bytes) -> bool:
    """Return whether a packet opens a flow."""
    return datagram[_FLAGS_OFFSET] & (_SYN | _ACK | _END) == _SYN


def is_opening_copy(opening: bytes) -> bool:
    """Return whether an opening is a retransmission by the caller."""
    copy_number: int = _SEGMENT.unpack_from(opening)[2]
    return copy_number > 0


def is_from_backend(datagram: bytes) -> bool:
    """Return whether only a backend server can have sent a packet."""
    both = _SYN | _ACK
    return datagram[_FLAGS_OFFSET] & both == both


def flow_key(datagram: bytes) -> bytes:
    """Return the bytes that identify a flow: both ends' addresses and ports."""
    return datagram[_FLOW_START:_TOKEN_START]


def address_key(datagram: bytes) -> bytes:
    """Return the bytes of the destination, the route's address and port."""
    return datagram[_ADDRESS_START:_TOKEN_START]


def encode_address(host: str, port: int) -> bytes:
    """Return the address key of ``host`` and ``port``.

    Raises ``ValueError`` for an invalid port and ``OSError`` for an invalid IP
    number.
    """
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f'port={port!r} is not between 0 and {MAX_PORT}')
    number = int.from_bytes(pack_ipv4(host), 'big')
    return _ADDRESS.pack(number, port)


def read_segment(datagram: bytes) -> Segment:
    """Decode a packet that follows the opening of its flow."""
    size_bytes, sequence, acknowledged = _SEGMENT.unpack_from(datagram)
    token = int.from_bytes(datagram[_TOKEN_START:_FLAGS_OFFSET], 'little')
    flags = datagram[_FLAGS_OFFSET]
    return Segment(
        token,
        sequence,
        acknowledged,
        size_bytes,
        flags & _FIN != 0,
        flags & _RST != 0,
    )


def for_backend(datagram: bytes, instance: int) -> bytes:
    """Return a packet in the form for a backend server.

    ``instance`` is the server's instance number.
    """
    return _INSTANCE.pack(instance) + datagram


def for_backend_with_token(datagram: bytes, instance: int, token: int) -> bytes:
    """Return a packet for a backend server, with ``token``.

    The token replaces the packet's own; later packets of the flow carry it.
    """
    return b''.join(
        (
            _INSTANCE.pack(instance),
            datagram[:_TOKEN_START],
            _TOKEN.pack(token),
            datagram[_FLAGS_OFFSET:],
        )
    )


def build_reset(key: bytes, sequence: int) -> bytes:
    """Return a reset of the flow ``key``, sent from the route's address.

    ``sequence`` is the caller's last acknowledgement number, or any number if
    the flow is not open.
    """
    caller_port, caller, service, service_port = _FLOW.unpack(key)
    return _HEADER.pack(
        0, sequence, 0, 0, service_port, service, caller, caller_port, 0, _RST
    )


def caller_host(key: bytes) -> str:
    """Return the IP address of the caller of the flow ``key``."""
    _, caller, _, _ = _FLOW.unpack(key)
    return _host(caller)


def describe_flow(key: bytes) -> str:
    """Return both ends of the flow ``key`` as text for a log line."""
    caller_port, caller, service, service_port = _FLOW.unpack(key)
    return f'{_host(caller)}:{caller_port}>{_host(service)}:{service_port}'


def _host(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, 'big'))
