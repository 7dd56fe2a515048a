"""The conditions under which a host's replica is complete."""

import asyncio

import testtools

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.storereplica import StoreReplica
from currantshore.internal.mirror.core import MirrorConfig, MirrorCore
from currantshore.internal.steering.core import SteeringCore
from tests.cover.steering_kit import ZONE, make_entry, make_table


class CompletionTests(testtools.TestCase):
    """Guards against reading packets before they can be forwarded."""

    def test_a_host_is_complete_with_a_list_and_a_configuration(self):
        asyncio.run(self.complete())

    async def complete(self):
        steering = SteeringCore.from_config(ZONE, 1)
        config = MirrorConfig('10.1.0.1', ZONE, 100, 1, (), 1)
        mirror = MirrorCore.from_config(config, steering)
        replica = StoreReplica(steering, mirror, DecisionLog())
        replica.apply_listing([make_entry(1)], (), 1)
        self.assertFalse(replica.completed.is_set())
        replica.apply_configuration(make_table(), b'', 'store')
        self.assertTrue(replica.completed.is_set())
