"""Decides when and from which peer to fetch newer configuration.

A different digest shows that a peer has other versions, but not whether they
are newer. Digests that this host had before are older. Others are fetched
after a random delay, one at a time, with backoff per digest, so that the end
of a partition or a restart of the pool does not cause a burst of fetches.
"""

import random
from collections import OrderedDict
from typing import Final

from currantshore.internal import chartloader
from currantshore.internal.members.configuration import NO_CONFIGURATION

_CHART: Final = chartloader.load('configuration')
_FETCHING: Final = frozenset(('fetching', 'fetching_first'))

# Spreads the first fetches of a pool after a configuration change.
_MAX_DELAY_S: Final = 0.4
# A fetch takes one round trip and a few KB. After this time it has failed.
_ANSWER_TIMEOUT_S: Final = 1.0
# Hosts agree on the configuration within a few seconds after a partition.
_MAX_BACKOFF_S: Final = 4.0
# More than the distinct digests in a pool of 64 hosts during a roll-out.
_MAX_DIGESTS: Final = 64
_MAX_SOURCES: Final = 8


class _Offer:
    """A digest that peers have and this host does not."""

    __slots__ = ('attempts', 'not_before_s', 'sources')

    def __init__(self, not_before_s: float) -> None:
        self.attempts = 0
        self.not_before_s = not_before_s
        self.sources: list[str] = []


class ConfigurationFetcher:
    """Chooses the peer to fetch from; its user executes the fetch."""

    __slots__ = (
        '_earlier',
        '_offers',
        '_own_digest',
        '_rng',
        '_timeout_s',
        'state',
    )

    def __init__(self, rng: random.Random) -> None:
        """Initialize without configuration."""
        self._rng = rng
        self._own_digest = NO_CONFIGURATION
        self._earlier: OrderedDict[int, None] = OrderedDict()
        self._offers: OrderedDict[int, _Offer] = OrderedDict()
        self._timeout_s = float('-inf')
        self.state = _CHART.initial

    @property
    def digest_count(self) -> int:
        """Number of stored digests."""
        return len(self._earlier) + len(self._offers)

    def update_own_digest(self, digest: int) -> None:
        """Record ``digest`` as that of this host's configuration."""
        if digest == self._own_digest:
            return
        self._earlier[self._own_digest] = None
        self._earlier.pop(digest, None)
        if len(self._earlier) > _MAX_DIGESTS:
            self._earlier.popitem(last=False)
        self._own_digest = digest
        self._offers.pop(digest, None)
        self._apply_event('hold')

    def offer(self, host_id: str, digest: int, now_s: float) -> None:
        """Record that ``host_id`` has ``digest``."""
        if (
            digest in {self._own_digest, NO_CONFIGURATION}
            or digest in self._earlier
        ):
            return
        offer = self._offers.get(digest)
        if offer is None:
            delay_s = self._rng.uniform(0, _MAX_DELAY_S)
            offer = _Offer(now_s + delay_s)
            self._offers[digest] = offer
            if len(self._offers) > _MAX_DIGESTS:
                self._offers.popitem(last=False)
        if host_id in offer.sources:
            return
        offer.sources.append(host_id)
        if len(offer.sources) > _MAX_SOURCES:
            offer.sources.pop(0)

    def withdraw(self, host_id: str, digest: int) -> None:
        """Remove ``host_id`` as a source of all digests except ``digest``."""
        for offered, offer in self._offers.items():
            if offered != digest and host_id in offer.sources:
                offer.sources.remove(host_id)

    def start_fetch(self, now_s: float) -> tuple[str, bool] | None:
        """Start a due fetch; return its source and whether it is a retry.

        Returns None if no fetch is due.
        """
        if self.state in _FETCHING:
            if now_s < self._timeout_s:
                return None
            self._apply_event('timeout')
        due = [
            offer
            for offer in self._offers.values()
            if offer.not_before_s <= now_s and offer.sources
        ]
        if not due:
            return None
        chosen = min(due, key=lambda offer: offer.attempts)
        self._apply_event('fetch')
        self._timeout_s = now_s + _ANSWER_TIMEOUT_S
        is_retry = chosen.attempts > 0
        chosen.attempts += 1
        chosen.not_before_s = now_s + self._backoff_s(chosen.attempts)
        return self._rng.choice(chosen.sources), is_retry

    def _apply_event(self, event: str) -> None:
        self.state = _CHART.next_state(self.state, event)

    def _backoff_s(self, attempts: int) -> float:
        ceiling_s = min(_MAX_BACKOFF_S, _ANSWER_TIMEOUT_S * 2**attempts)
        return self._rng.uniform(ceiling_s / 2, ceiling_s)
