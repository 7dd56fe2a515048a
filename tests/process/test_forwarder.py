"""The packet socket of an entry process, on loopback."""

import asyncio
import socket
import struct

import testtools

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.forwarding import BATCH_LIMIT, Forwarder
from currantshore.wire import Endpoint
from currantshore.internal.steering.directory import backend_token
from currantshore.platform.packets import encode_address
from standins.entries import free_port
from tests.cover.steering_kit import (
    OTHER_SERVICE,
    make_core,
    make_entry,
    make_route,
    make_table,
)

_LOOPBACK = '127.0.0.1'
_WAITING = 3 * BATCH_LIMIT
_ADDRESS = encode_address('198.18.0.1', 443)
_SYN = 4
_ACK = 64
_RST = 32

# Callers take packets at the port number of the host's packet address.
_CALLER = '127.0.5.1'
_CALLER_NUMBER = int.from_bytes(socket.inet_aton(_CALLER), 'big')
_FLAGS_OFFSET = 30

# A silent server is given up after 150 ms, and a tick takes 15.
_GIVEN_UP_S = 2.0


def opening_of(number):
    """Return the opening packet of a caller's port."""
    head = struct.pack('<HIIIHI', 0, 1, 0, 1, 1024 + number, _CALLER_NUMBER)
    return head + _ADDRESS + struct.pack('<IB', 0, _SYN)


def request_of(token):
    """Return a packet of an open flow that asks for something."""
    head = struct.pack('<HIIIHI', 4, 9, 5, 1, 1024, _CALLER_NUMBER)
    return head + _ADDRESS + struct.pack('<IB4s', token, _ACK, b'GET ')


class ForwarderTestCase(testtools.TestCase):
    """Opens a forwarder between sockets of a caller and of a server."""

    def open_between(self, *entries):
        """Return a forwarder of a host that knows ``entries``."""
        table = make_table(routes=[make_route(_ADDRESS)])
        now_s = asyncio.get_running_loop().time()
        self.core = make_core(entries, table, now_s=now_s)
        self.address = (_LOOPBACK, free_port(_LOOPBACK))
        return Forwarder.open_at(
            self.core, Endpoint(*self.address), DecisionLog()
        )

    def bind(self, host=_LOOPBACK, port=0):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(opened.close)
        opened.bind((host, port))
        opened.setblocking(False)
        return opened

    def read(self, opened):
        found = []
        while True:
            try:
                found.append(opened.recv(2048))
            except BlockingIOError:
                return found


class ClosingTests(ForwarderTestCase):
    """Guards against openings that a stopping host took and did not pass on."""

    def test_what_waits_in_the_socket_is_forwarded_before_it_closes(self):
        asyncio.run(self.stop_under_load())

    async def stop_under_load(self):
        server = self.bind()
        entry = make_entry(1, endpoint=Endpoint(*server.getsockname()))
        forwarder = self.open_between(entry)
        caller = self.bind()
        for number in range(_WAITING):
            caller.sendto(opening_of(number), self.address)
        forwarder.close()
        self.assertEqual(_WAITING, forwarder.counts['openings'])
        self.assertEqual(_WAITING, len(self.read(server)))


class StartTests(ForwarderTestCase):
    """Guards against openings of a start that their callers must repeat."""

    def test_what_came_before_the_first_list_is_forwarded(self):
        asyncio.run(self.start_under_load())

    async def start_under_load(self):
        server = self.bind()
        forwarder = self.open_between()
        caller = self.bind()
        for number in range(_WAITING):
            caller.sendto(opening_of(number), self.address)
        await asyncio.sleep(0.05)
        now_s = asyncio.get_running_loop().time()
        endpoint = Endpoint(*server.getsockname())
        self.core.replace_backends([make_entry(1, endpoint=endpoint)], 2, now_s)
        running = asyncio.ensure_future(forwarder.run())
        async with asyncio.timeout(_GIVEN_UP_S):
            while forwarder.counts['openings'] < _WAITING:
                await asyncio.sleep(0.01)
        running.cancel()
        forwarder.close()
        self.assertEqual(_WAITING, len(self.read(server)))


class ReusedAddressTests(ForwarderTestCase):
    """Guards against a caller that waits for a server that was replaced."""

    def test_the_caller_of_a_replaced_silent_server_is_told(self):
        asyncio.run(self.ask_replaced_server())

    async def ask_replaced_server(self):
        owner = self.bind()
        endpoint = Endpoint(*owner.getsockname())
        silent = make_entry(1, endpoint=endpoint)
        forwarder = self.open_between(silent)
        owned = make_entry(2, 5, OTHER_SERVICE, endpoint=endpoint)
        now_s = asyncio.get_running_loop().time()
        self.core.apply_backend_changes([owned], 5, now_s)
        caller = self.bind(_CALLER, self.address[1])
        ticking = asyncio.ensure_future(forwarder.run())
        caller.sendto(request_of(backend_token('i-00000001')), self.address)
        async with asyncio.timeout(_GIVEN_UP_S):
            told = []
            while not told:
                await asyncio.sleep(0.02)
                told = self.read(caller)
        ticking.cancel()
        forwarder.close()
        self.assertEqual([_RST], [packet[_FLAGS_OFFSET] for packet in told])
