"""The packet format, tested with the platform's documented examples."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from currantshore.platform import packets

_SYN = bytes.fromhex(
    '00004433221100000000d5c3b2a1419c070040640100 12c6bb010000000004'
)
_RESET = bytes.fromhex(
    '0000000000000000000000000000bb01010012c607004064419c0000000020'
)


class PageExampleTests(testtools.TestCase):
    """Guards against a field read at a wrong offset or in wrong byte order."""

    def test_the_opening_of_the_page_is_read_field_by_field(self):
        self.assertTrue(packets.has_stated_size(_SYN))
        self.assertTrue(packets.is_opening(_SYN))
        key = packets.flow_key(_SYN)
        self.assertEqual(
            '100.64.0.7:40001>198.18.0.1:443', packets.describe_flow(key)
        )
        self.assertEqual(
            packets.encode_address('198.18.0.1', 443),
            packets.address_key(_SYN),
        )
        self.assertEqual('100.64.0.7', packets.caller_host(key))

    def test_the_copy_number_identifies_retransmitted_openings(self):
        self.assertFalse(packets.is_opening_copy(_SYN))
        for number in (1, 2):
            copy = b''.join((_SYN[:6], bytes((number, 0, 0, 0)), _SYN[10:]))
            self.assertTrue(packets.is_opening_copy(copy))

    def test_the_reset_of_the_page_is_built_byte_for_byte(self):
        key = packets.flow_key(_SYN)
        self.assertEqual(_RESET, packets.build_reset(key, 0))

    def test_a_reset_carries_the_callers_acknowledgement(self):
        built = packets.build_reset(packets.flow_key(_SYN), 0x01020304)
        self.assertEqual(bytes.fromhex('04030201'), built[2:6])

    def test_an_opening_gets_the_instance_before_it_and_the_token_in_it(self):
        sent = packets.for_backend_with_token(_SYN, 0x7F3A91C2, 0xA1B2C3D4)
        self.assertEqual(bytes.fromhex('000000007f3a91c2'), sent[:8])
        self.assertEqual(_SYN[:26], sent[8:34])
        self.assertEqual(bytes.fromhex('d4c3b2a1'), sent[34:38])
        self.assertEqual(_SYN[30:], sent[38:])

    def test_a_later_packet_is_not_changed(self):
        datagram = b''.join((_SYN[:26], b'\x01\x02\x03\x04@'))
        self.assertEqual(datagram, packets.for_backend(datagram, 7)[8:])
        segment = packets.read_segment(datagram)
        self.assertEqual(0x04030201, segment.token)
        self.assertEqual(0x11223344, segment.sequence)
        self.assertFalse(segment.is_end)


class KindTests(testtools.TestCase):
    """Guards against a packet that is mistaken for one of another kind."""

    def test_flags_determine_the_kind(self):
        cases = (
            ('opening', 4, True, False, False),
            ('opening answered', 68, False, True, False),
            ('acknowledgement', 64, False, False, False),
            ('end', 72, False, False, False),
            ('reset', 32, False, False, True),
            ('opening and end', 12, False, False, False),
        )
        for name, flags, is_opening, is_from_backend, is_end in cases:
            datagram = _SYN[:30] + bytes([flags])
            self.assertEqual(is_opening, packets.is_opening(datagram), name)
            self.assertEqual(
                is_from_backend, packets.is_from_backend(datagram), name
            )
            segment = packets.read_segment(datagram)
            self.assertEqual(is_end, segment.is_end, name)
            self.assertEqual(flags & 8 != 0, segment.is_closing, name)

    @given(st.binary(max_size=80))
    def test_only_datagrams_of_the_stated_size_are_whole(self, datagram):
        stated = int.from_bytes(datagram[:2], 'little')
        self.assertEqual(
            len(datagram) >= 31 and len(datagram) == 31 + stated,
            packets.has_stated_size(datagram),
        )
