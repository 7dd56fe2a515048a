"""What a host does with a list that a restored store gives from its copy."""

import dataclasses

import testtools

from currantshore.internal.revisions import (
    MAX_RESTORES,
    MAX_STORE_REVISION,
    build_revision,
    restores_of,
    store_revision_of,
)
from currantshore.internal.steering.catalog import BackendRemoved
from currantshore.internal.steering.directory import (
    RESTORE_GRACE_S,
    BackendDirectory,
    Standing,
)
from tests.cover import steering_kit as kit


def restored(revision, restores=1):
    return build_revision(restores, revision)


class RevisionTests(testtools.TestCase):
    """Guards against revisions that compare wrongly after a restore."""

    def test_a_revision_after_a_restore_is_newer_than_all_before(self):
        self.assertGreater(restored(0), MAX_STORE_REVISION)
        self.assertGreater(restored(5, restores=2), restored(900))

    def test_without_a_restore_it_is_the_stores_own_revision(self):
        self.assertEqual(17, build_revision(0, 17))

    def test_both_parts_are_found_again(self):
        revision = build_revision(MAX_RESTORES, MAX_STORE_REVISION)
        self.assertEqual(2**63 - 1, revision)
        self.assertEqual(MAX_RESTORES, restores_of(revision))
        self.assertEqual(MAX_STORE_REVISION, store_revision_of(revision))


class RolledBackServerTests(testtools.TestCase):
    """Guards against servers in use again that drained or had gone."""

    def setUp(self):
        super().setUp()
        entries = [kit.make_entry(1), kit.make_entry(2)]
        self.core = kit.make_core(entries, now_s=0)

    def listed(self, number, **changes):
        entry = kit.make_entry(number)
        revision = restored(entry.revision)
        return dataclasses.replace(entry, revision=revision, **changes)

    def restore(self, *entries, now_s):
        self.core.replace_backends(entries, restored(10), now_s)

    def opened_at(self, now_s):
        """Return the servers that get one of twelve new flows."""
        opened = set()
        for number in range(12):
            flow = f'{now_s} {number}'.encode()
            decision = self.core.on_opening(flow, kit.ADDRESS, b'', now_s)
            opened.add(decision.entry.backend_id)
        return opened

    def test_a_draining_server_gets_no_flow_from_an_older_list(self):
        draining = dataclasses.replace(
            kit.make_entry(1), is_draining=True, revision=500
        )
        self.core.apply_backend_changes([draining], 500, 1)
        self.restore(self.listed(1), self.listed(2), now_s=2)
        self.assertNotIn(draining.backend_id, self.opened_at(2))
        last_s = 2 + RESTORE_GRACE_S
        self.assertNotIn(draining.backend_id, self.opened_at(last_s - 0.1))
        # It did not report again that it drains.
        self.assertIn(draining.backend_id, self.opened_at(last_s))

    def test_a_second_restore_soon_after_keeps_it_back(self):
        draining = dataclasses.replace(
            kit.make_entry(1), is_draining=True, revision=500
        )
        self.core.apply_backend_changes([draining], 500, 1)
        self.restore(self.listed(1), self.listed(2), now_s=2)
        again = [
            dataclasses.replace(
                kit.make_entry(number), revision=restored(1, restores=2)
            )
            for number in (1, 2)
        ]
        self.core.replace_backends(again, restored(10, restores=2), 3)
        last_s = 3 + RESTORE_GRACE_S
        self.assertNotIn(draining.backend_id, self.opened_at(last_s - 0.1))

    def test_a_server_that_reports_after_the_restore_is_believed(self):
        draining = dataclasses.replace(
            kit.make_entry(1), is_draining=True, revision=500
        )
        self.core.apply_backend_changes([draining], 500, 1)
        self.restore(self.listed(1), self.listed(2), now_s=2)
        again = dataclasses.replace(kit.make_entry(1), revision=restored(11))
        self.core.apply_backend_changes([again], again.revision, 2)
        self.assertIn(again.backend_id, self.opened_at(2))

    def test_a_server_that_had_gone_is_the_last_choice(self):
        removal = BackendRemoved(kit.make_entry(1).backend_id, 500)
        self.core.apply_backend_changes([removal], 500, 1)
        self.restore(self.listed(1), self.listed(2), now_s=2)
        self.assertNotIn(removal.backend_id, self.opened_at(2))
        last_s = 2 + RESTORE_GRACE_S
        self.assertIn(removal.backend_id, self.opened_at(last_s))

    def test_an_entry_of_an_earlier_start_is_not_taken(self):
        # Its draining entry was in the copy; the store lost the new start.
        newer = dataclasses.replace(
            kit.make_entry(1), started_ms=9000, revision=500
        )
        self.core.apply_backend_changes([newer], 500, 1)
        old = self.listed(1, is_draining=True, started_ms=8000)
        self.restore(old, self.listed(2), now_s=2)
        found = self.core.directory.get(newer.backend_id)
        self.assertEqual(
            (9000, Standing.LAPSED), (found.entry.started_ms, found.standing)
        )


class RolledBackAddressTests(testtools.TestCase):
    """Guards against flows that end since a server left a list long ago."""

    def test_an_older_server_does_not_replace_the_one_at_its_address(self):
        directory = BackendDirectory(kit.ZONE)
        left = dataclasses.replace(kit.make_entry(1), started_ms=1000)
        owner = dataclasses.replace(
            kit.make_entry(2),
            endpoint=left.endpoint,
            started_ms=5000,
            revision=500,
        )
        changes = [left, BackendRemoved(left.backend_id, 400), owner]
        directory.apply(changes, 500, 1)
        listed = dataclasses.replace(left, revision=restored(left.revision))
        directory.replace_all([listed], restored(10), 2)
        self.assertFalse(directory.get(owner.backend_id).is_replaced)
        self.assertTrue(directory.get(left.backend_id).is_replaced)
