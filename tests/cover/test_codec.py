"""Tests of the codecs of messages and tokens."""

import contextlib

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore import wire
from currantshore.errors import TokenError, WireFormatError
from currantshore.internal import peerwire
from currantshore.internal.tokens import FlowToken, TokenSealer

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_TOKEN = FlowToken('dockwatch', 'dw-1', 'harbor-1', 7, 1)


class WireTests(testtools.TestCase):
    """Guards against datagrams that raise unexpected errors."""

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_the_wire_error(self, noise):
        for decode in (
            wire.decode_from_caller,
            wire.decode_from_balancer,
            wire.decode_order,
            wire.decode_reply,
        ):
            with contextlib.suppress(WireFormatError):
                decode(wire.FRAME_MARK + noise)

    def test_a_request_survives_the_round_trip(self):
        request = wire.Request(9, 1, 'urgent', False, 500, b'x', b't')
        decoded = wire.decode_from_caller(wire.encode(request))
        self.assertEqual(request, decoded)


class PeerWireTests(testtools.TestCase):
    """Guards against accepting messages of hosts without the pool's key."""

    def test_another_key_does_not_unseal(self):
        sealed = peerwire.seal(peerwire.Lookup('a', 's', 1), b'key')
        with testtools.ExpectedException(WireFormatError):
            peerwire.unseal(sealed, b'other')

    def test_the_same_key_unseals(self):
        message = peerwire.Lookup('a', 's', 2**64 - 1)
        sealed = peerwire.seal(message, b'key')
        self.assertEqual(message, peerwire.unseal(sealed, b'key'))


class TokenTests(testtools.TestCase):
    """Guards against accepting tokens of another flow or service."""

    def setUp(self):
        super().setUp()
        self.sealer = TokenSealer(b'key')
        self.sealed = self.sealer.seal(_TOKEN, 5)

    def test_the_flow_of_the_token_can_unseal_it(self):
        opened = self.sealer.unseal(self.sealed, 5, 'dockwatch')
        self.assertEqual(_TOKEN, opened)

    def test_another_flow_cannot_use_it(self):
        with testtools.ExpectedException(TokenError):
            self.sealer.unseal(self.sealed, 6, 'dockwatch')

    def test_another_service_refuses_it(self):
        with testtools.ExpectedException(TokenError):
            self.sealer.unseal(self.sealed, 5, 'incident-upload')

    @given(st.binary(max_size=64))
    def test_random_bytes_are_a_token_error(self, noise):
        with testtools.ExpectedException(TokenError):
            self.sealer.unseal(noise, 5, 'dockwatch')
