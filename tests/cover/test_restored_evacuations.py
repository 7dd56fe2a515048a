"""Evacuated zones before a store that is restored from an older copy."""

import testtools

from currantshore.internal.revisions import build_revision
from currantshore.internal.steering.catalog import EvacuatedZones
from currantshore.internal.steering.directory import RESTORE_GRACE_S
from tests.cover import steering_kit as kit

_OTHER_ZONE = 'eastside'


def restored(revision):
    return build_revision(1, revision)


class RolledBackEvacuationTests(testtools.TestCase):
    """Guards against flows to an evacuated zone that the copy leaves out."""

    def setUp(self):
        super().setUp()
        self.core = kit.make_core(
            [kit.make_entry(1), kit.make_entry(2, zone=_OTHER_ZONE)], now_s=0
        )
        zones = frozenset((_OTHER_ZONE,))
        self.far_id = kit.make_entry(2).backend_id
        self.core.evacuate(EvacuatedZones(500, zones), 1)
        self.core.evacuate(EvacuatedZones(restored(10), frozenset()), 2)

    def is_offered(self):
        service_id = kit.make_entry(2).service_id
        return bool(self.core.directory.far(service_id))

    def test_the_zone_stays_evacuated_until_operators_have_written_again(self):
        self.core.tick(2 + RESTORE_GRACE_S - 0.1)
        self.assertFalse(self.is_offered())
        actions = self.core.tick(2 + RESTORE_GRACE_S)
        self.assertTrue(self.is_offered())
        self.assertTrue(actions.has_changed_zones)

    def test_a_later_list_does_not_end_the_evacuation_earlier(self):
        self.core.evacuate(EvacuatedZones(restored(11), frozenset()), 2.5)
        self.assertFalse(self.is_offered())

    def test_an_evacuation_that_is_written_again_lasts(self):
        zones = frozenset((_OTHER_ZONE,))
        self.core.evacuate(EvacuatedZones(restored(12), zones), 3)
        self.core.tick(2 + RESTORE_GRACE_S)
        self.assertFalse(self.is_offered())
        self.core.evacuate(EvacuatedZones(restored(13), frozenset()), 9)
        self.assertTrue(self.is_offered())
