"""When a host that has started may be sent packets."""

import testtools

from currantshore.internal.entry.readiness import (
    CONFIRM_PATIENCE_S,
    Readiness,
)


class ReadinessTests(testtools.TestCase):
    """Guards against a host that starts with servers that have left."""

    def setUp(self):
        super().setUp()
        self.readiness = Readiness()

    def decide(self, now_s, *, is_complete=True, is_current=False):
        return self.readiness.decide(
            is_complete=is_complete, is_current=is_current, now_s=now_s
        )

    def test_a_host_that_holds_nothing_waits_for_ever(self):
        self.assertFalse(self.decide(1000.0, is_complete=False))

    def test_a_host_waits_to_be_told_that_its_list_is_new(self):
        self.assertFalse(self.decide(10.0))
        self.assertTrue(self.decide(10.1, is_current=True))

    def test_a_host_that_nobody_can_tell_serves_all_the_same(self):
        self.assertFalse(self.decide(10.0))
        self.assertTrue(self.decide(10.0 + CONFIRM_PATIENCE_S))

    def test_a_store_that_goes_away_takes_no_host_out(self):
        self.decide(10.0, is_current=True)
        self.assertTrue(self.decide(20.0))
