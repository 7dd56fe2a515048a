"""Which openings are refused while every server of a service is full.

The load that this answers: more requests than the servers of a service can
work on, for seconds. Their queues then stand full: as many requests are served
as with short ones, and nearly all of them late (lmmu-bikes, 8 times the
checkouts: of 971 requests of two seconds the servers refused 13, and 470 were
late).

The sign of it: the middle one of the latest answers has waited for a fifth of
the time that its route's target leaves for waiting. While slots are free for
part of the time, more than half of the answers have not waited at all. Then
openings above the usual rate of their route are refused at random, the more the
longer answers wait, so that queues shrink and slots still never run empty. A
few slow servers do not move the middle one, and no kind of request is refused
for the flood of another. The less urgent are refused first.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Container
from typing import Final, Protocol, TypeAlias

from currantshore.internal.steering.catalog import Route
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# Answers that are looked at, no older than this, and how many are needed: a
# fifth of a second of a host in a small site, a second of one in a large site.
_MAX_ANSWERS: Final = 16
_MIN_ANSWERS: Final = 8
_ANSWER_LIFE_S: Final = 1.0

# When an answer came, and its share of waiting (``steering/waiting.py``).
_Answer: TypeAlias = tuple[float, float]

# Share of waiting from which openings are refused, and at which all but the
# usual ones are. Refusals act a round trip and a queue later, and requests on
# open flows fill the same queues, so that they begin well before answers are
# late; docs/decisions.md compares 0.1 to 0.45.
_FIRST_REFUSED_SHARE: Final = 0.2
_ALL_REFUSED_SHARE: Final = 0.3

# Each more urgent priority is refused from where the one below it is refused
# altogether, so that a flood of all kinds is paid for by the least urgent; no
# priority waits for the whole of its target.
_MAX_RANK: Final = 3

# The usual rate of a route is that of about the last ten seconds without a
# refusal: a flood is seconds long, a day's change of traffic minutes.
_USUAL_OVER_S: Final = 10.0

# Openings that each route may always make on a host, whatever was usual: the
# users' looks at new routes were 1.6 to 2.5 a second and host on their bench.
_LEAST_PER_S: Final = 2.0
_LEAST_BURST: Final = 4.0


@dataclasses.dataclass(slots=True)
class _RouteRate:
    """How often a route opens flows, and what it may open now.

    ``sum_per_s`` is the rate with exponentially falling weights, which is too
    low until the rate has been followed for some time.
    """

    first_s: float
    counted_s: float
    sum_per_s: float = 0.0
    left: float = _LEAST_BURST

    def usual_per_s(self) -> float:
        followed_s = max(self.counted_s - self.first_s, 1.0)
        weight = 1 - math.exp(-followed_s / _USUAL_OVER_S)
        return max(self.sum_per_s / weight, _LEAST_PER_S)

    def refill(self, now_s: float) -> None:
        usual_per_s = self.usual_per_s()
        self.left += (now_s - self.counted_s) * usual_per_s
        self.left = min(self.left, max(usual_per_s, _LEAST_BURST))

    def count(self, now_s: float) -> None:
        passed_s = now_s - self.counted_s
        self.sum_per_s *= math.exp(-passed_s / _USUAL_OVER_S)
        self.sum_per_s += 1 / _USUAL_OVER_S


class Gate(Protocol):
    """Decides which new flows may open."""

    def note_answer(
        self,
        service_id: str,
        wait_share: float,
        now_s: float,
    ) -> None:
        """Take the share of waiting of an answer; 1 is just in time."""

    def admits(self, route: Route, service_id: str, now_s: float) -> bool:
        """Tell whether a new flow of ``route`` may open at the service."""

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Forget routes that are not in ``routes``, and silent services."""


def build_gate(rng: random.Random, switched_off: SwitchedOff) -> Gate:
    """Build the gate that is in force."""
    if Mechanism.OPENING_GATE in switched_off:
        return OpenGate()
    return OpeningGate(rng)


class OpenGate:
    """Admits every flow and leaves refusals to the servers; the baseline."""

    __slots__ = ()

    def note_answer(
        self,
        service_id: str,
        wait_share: float,
        now_s: float,
    ) -> None:
        """Learn nothing."""

    def admits(self, route: Route, service_id: str, now_s: float) -> bool:
        """Admit."""
        return True

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Hold nothing that could be forgotten."""


class OpeningGate:
    """Refuses openings for services whose answers have become late."""

    __slots__ = ('_answers', '_priorities', '_rates', '_rng')

    def __init__(self, rng: random.Random) -> None:
        """Draw from ``rng`` which openings are refused."""
        self._answers: dict[str, collections.deque[_Answer]] = {}
        self._rates: dict[bytes, _RouteRate] = {}
        # Priorities of the routes that have opened flows, by service.
        self._priorities: dict[str, set[int]] = {}
        self._rng = rng

    def note_answer(
        self,
        service_id: str,
        wait_share: float,
        now_s: float,
    ) -> None:
        """Take the share of waiting of an answer; 1 is just in time."""
        answers = self._answers.get(service_id)
        if answers is None:
            answers = collections.deque(maxlen=_MAX_ANSWERS)
            self._answers[service_id] = answers
        answers.append((now_s, wait_share))

    def admits(self, route: Route, service_id: str, now_s: float) -> bool:
        """Tell whether a new flow of ``route`` may open at the service."""
        ratio = self._middle_share(service_id, now_s)
        is_flooded = ratio > _FIRST_REFUSED_SHARE
        rank = self._rank(route, service_id)
        if self._is_usual(route.address_key, now_s, is_flooded):
            return True
        reach = _ALL_REFUSED_SHARE - _FIRST_REFUSED_SHARE
        first = _FIRST_REFUSED_SHARE + rank * reach
        return self._rng.random() > (ratio - first) / reach

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Forget routes that are not in ``routes``, and silent services."""
        for address_key in tuple(self._rates):
            if address_key not in routes:
                self._rates.pop(address_key)
        for service_id, answers in tuple(self._answers.items()):
            if now_s - answers[-1][0] > _ANSWER_LIFE_S:
                self._answers.pop(service_id)
                self._priorities.pop(service_id, None)

    def sizes(self) -> tuple[int, int]:
        """Return how many routes and services are remembered."""
        return len(self._rates), len(self._answers)

    def _rank(self, route: Route, service_id: str) -> int:
        known = self._priorities.setdefault(service_id, set())
        known.add(route.priority)
        # A higher number is less urgent.
        less_urgent = sum(1 for one in known if one > route.priority)
        return min(less_urgent, _MAX_RANK)

    def _is_usual(
        self,
        address_key: bytes,
        now_s: float,
        is_flooded: bool,
    ) -> bool:
        rate = self._rates.get(address_key)
        if rate is None:
            rate = self._rates[address_key] = _RouteRate(now_s, now_s)
        rate.refill(now_s)
        if not is_flooded:
            rate.count(now_s)
        rate.counted_s = now_s
        is_usual = rate.left >= 1
        if is_usual:
            rate.left -= 1
        return is_usual

    def _middle_share(self, service_id: str, now_s: float) -> float:
        answers = self._answers.get(service_id, ())
        ratios = sorted(
            ratio
            for answered_s, ratio in answers
            if now_s - answered_s < _ANSWER_LIFE_S
        )
        if len(ratios) < _MIN_ANSWERS:
            return 0.0
        return ratios[len(ratios) // 2]
