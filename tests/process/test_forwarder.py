"""The packet socket of an entry process, on loopback."""

import asyncio
import socket
import struct

import testtools

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.forwarding import BATCH_LIMIT, Forwarder
from currantshore.wire import Endpoint
from currantshore.platform.packets import encode_address
from tests.cover.steering_kit import (
    make_core,
    make_entry,
    make_route,
    make_table,
)

_LOOPBACK = '127.0.0.1'
_WAITING = 3 * BATCH_LIMIT
_ADDRESS = encode_address('198.18.0.1', 443)
_SYN = 4


def opening_of(number):
    """Return the opening packet of a caller's port."""
    head = struct.pack('<HIIIHI', 0, 1, 0, 1, 1024 + number, 0x0A000001)
    return head + _ADDRESS + struct.pack('<IB', 0, _SYN)


class ClosingTests(testtools.TestCase):
    """Guards against openings that a stopping host took and did not pass on."""

    def test_what_waits_in_the_socket_is_forwarded_before_it_closes(self):
        asyncio.run(self.stop_under_load())

    async def stop_under_load(self):
        server = self.bind()
        probe = self.bind()
        address = probe.getsockname()
        probe.close()
        entry = make_entry(1, endpoint=Endpoint(*server.getsockname()))
        table = make_table(routes=[make_route(_ADDRESS)])
        core = make_core(
            [entry], table, now_s=asyncio.get_running_loop().time()
        )
        forwarder = Forwarder.open_at(core, Endpoint(*address), DecisionLog())
        caller = self.bind()
        for number in range(_WAITING):
            caller.sendto(opening_of(number), address)
        forwarder.close()
        self.assertEqual(_WAITING, forwarder.counts['openings'])
        self.assertEqual(_WAITING, len(self.read(server)))

    def bind(self):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(opened.close)
        opened.bind((_LOOPBACK, 0))
        opened.setblocking(False)
        return opened

    def read(self, opened):
        found = []
        while True:
            try:
                found.append(opened.recv(2048))
            except BlockingIOError:
                return found
