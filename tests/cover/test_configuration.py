"""Tests of merging snapshots, digests and the choice of fetch sources."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.virtualpool import build_pool, with_version
from currantshore.errors import InvalidArgumentError
from currantshore.internal.members import configuration
from currantshore.internal.members.fetching import ConfigurationFetcher
from currantshore.internal.snapshot import PoolMembers, PoolSnapshot

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_BASE = build_pool(3, 3, 1)
_versions = st.lists(st.integers(1, 5), min_size=3, max_size=3)


def _snapshot(versions):
    pool = _BASE
    for place, version in enumerate(versions):
        pool = with_version(pool, place, version)
    return pool


class MergeTests(testtools.TestCase):
    """Guards against an object that reverts to an older version."""

    @given(_versions, _versions)
    def test_each_object_keeps_its_highest_version(self, held, offered):
        merged = configuration.merge(_snapshot(held), _snapshot(offered))
        found = [service.version for service in merged.services]
        self.assertEqual([max(pair) for pair in zip(held, offered)], found)

    @given(st.lists(_versions, min_size=1, max_size=4), st.randoms())
    def test_any_order_of_arrival_gives_the_same_digest(self, parts, rng):
        digests = set()
        for _ in range(2):
            rng.shuffle(parts)
            held = None
            for part in parts:
                held = configuration.merge(held, _snapshot(part))
            digests.add(configuration.digest_of(held))
        self.assertEqual(1, len(digests))

    def test_nothing_newer_returns_the_held_snapshot_itself(self):
        held = _snapshot([2, 2, 2])
        self.assertIs(held, configuration.merge(held, _snapshot([1, 2, 1])))

    def test_a_missing_object_is_not_removed(self):
        held = _snapshot([1, 1, 1])
        part = PoolSnapshot(held.members, held.services[:1])
        self.assertIs(held, configuration.merge(held, part))

    def test_a_snapshot_of_another_pool_is_refused(self):
        other = PoolMembers('pool-2', 'user-1', ('zone-a',), (), 9)
        with testtools.ExpectedException(InvalidArgumentError):
            configuration.merge(_BASE, PoolSnapshot(other, ()))

    def test_no_configuration_has_a_digest_of_its_own(self):
        self.assertEqual(0, configuration.digest_of(None))
        self.assertNotEqual(0, configuration.digest_of(_BASE))


class FetcherTests(testtools.TestCase):
    """Guards against bursts of fetches and against missing fetches."""

    def setUp(self):
        super().setUp()
        self.fetcher = ConfigurationFetcher(random.Random(3))
        self.fetcher.update_own_digest(10)

    def fetches(self, until_s):
        found = []
        for step in range(int(until_s / 0.05)):
            chosen = self.fetcher.start_fetch(step * 0.05)
            if chosen:
                found.append((step * 0.05, *chosen))
        return found

    def test_the_held_digest_and_no_configuration_are_not_fetched(self):
        self.fetcher.offer('a', 10, 0.0)
        self.fetcher.offer('a', 0, 0.0)
        self.assertEqual([], self.fetches(5.0))

    def test_a_digest_held_before_is_not_fetched(self):
        self.fetcher.update_own_digest(11)
        self.fetcher.offer('a', 10, 0.0)
        self.assertEqual([], self.fetches(5.0))

    def test_an_unknown_digest_is_fetched_after_a_bounded_delay(self):
        self.fetcher.offer('a', 11, 0.0)
        first_s, host_id, is_retry = self.fetches(1.0)[0]
        self.assertLessEqual(first_s, 0.45)
        self.assertEqual(('a', False), (host_id, is_retry))

    def test_unanswered_fetches_back_off_and_are_marked_as_retries(self):
        self.fetcher.offer('a', 11, 0.0)
        found = self.fetches(30.0)
        self.assertTrue(8 <= len(found) <= 16, found)
        self.assertEqual(
            [False, *(True for _ in found[1:])],
            [is_retry for _, _, is_retry in found],
        )

    def test_its_state_follows_the_chart(self):
        states = [self.fetcher.state]
        self.fetcher.offer('a', 11, 0.0)
        self.fetcher.start_fetch(0.5)
        states.append(self.fetcher.state)
        self.fetcher.update_own_digest(11)
        states.append(self.fetcher.state)
        self.assertEqual(['held', 'fetching', 'held'], states)

    def test_an_answer_ends_the_fetching(self):
        self.fetcher.offer('a', 11, 0.0)
        self.fetcher.update_own_digest(11)
        self.assertEqual([], self.fetches(5.0))

    def test_a_withdrawn_digest_is_not_fetched(self):
        self.fetcher.offer('a', 11, 0.0)
        self.fetcher.withdraw('a', 12)
        self.assertEqual([], self.fetches(5.0))

    def test_many_digests_stay_bounded(self):
        for digest in range(100, 5000):
            self.fetcher.offer('a', digest, 0.0)
            self.fetcher.update_own_digest(digest + 10000)
        self.assertTrue(self.fetcher.digest_count <= 128)
