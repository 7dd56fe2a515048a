"""The clock of an entry process, which all ages and timeouts use."""

import contextlib
import time
from unittest import mock

import testtools

from currantshore.internal.entry.clock import SuspendAwareLoop

_SUSPENDED_S = 8.0


class SuspendAwareLoopTests(testtools.TestCase):
    """Guards against a host that trusts old messages after a suspension."""

    def test_a_suspension_is_time_that_passed(self):
        real = time.clock_gettime

        def wake(clock):
            # The monotonic clock does not count the suspension.
            return real(clock) + _SUSPENDED_S * (clock == time.CLOCK_BOOTTIME)

        with contextlib.closing(SuspendAwareLoop()) as loop:
            before_s = loop.time()
            with mock.patch('time.clock_gettime', wake):
                after_s = loop.time()
        self.assertGreaterEqual(after_s - before_s, _SUSPENDED_S)
