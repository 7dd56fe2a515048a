"""Refuses openings while all backends of a service are overloaded.

This is meant for floods of seconds, with more requests than the backends of a
service can process. Their queues then stay full: the backends serve as many
requests as with short queues, but nearly all of them late. At 8 times the usual
openings of one route, the backends refused only 13 of 971 requests in two
seconds, and 470 requests were late.

A flood is detected by the median wait of the latest answers. It has begun when
this median is a fifth of the time that the route's target leaves for waiting;
as long as slots are free for part of the time, more than half of the requests
have not waited at all. During a flood, openings above the usual rate of their
route are refused at random. The probability grows with the median wait, so that
queues get shorter but slots do not become idle. A few slow backends do not
change the median. A flood on one route does not cause refusals on another as
long as that one keeps its usual rate. Routes of lower priority are refused
first.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Container
from typing import Final, Protocol, TypeAlias

from currantshore.internal.steering.catalog import Route
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# The median is over the latest answers, up to this number and age. With fewer
# than the minimum, it counts as 0. A host gets enough answers in 0.2 s in a
# small pool and in 1 s in a large one.
_MAX_ANSWERS: Final = 16
_MIN_ANSWERS: Final = 8
_ANSWER_LIFE_S: Final = 1.0

# The arrival time of an answer, and its wait share (``steering/waiting.py``).
_Answer: TypeAlias = tuple[float, float]

# Median wait shares from which some openings above the usual rate are refused,
# and from which all of them are. A refusal shortens a queue only after a round
# trip and the time in the queue, and requests on open flows fill the same
# queues; so refusals begin well before answers are late. docs/decisions.md
# compares values from 0.1 to 0.45.
_REFUSE_FIRST_SHARE: Final = 0.2
_REFUSE_ALL_SHARE: Final = 0.3

# Refusals of a priority begin at the wait share at which the next less urgent
# priority is refused completely, so that the least urgent are refused first in
# a flood on all routes. The rank is limited so that refusals of every priority
# begin before requests wait for their whole target.
_MAX_RANK: Final = 3

# The usual rate of a route is its mean over about the last ten seconds without
# a flood. Floods last for seconds; daily changes of traffic take minutes.
_USUAL_OVER_S: Final = 10.0

# Rate and burst of openings that are admitted for each route on each host, also
# in a flood. Callers that check whether a new route works open flows at 1.6 to
# 2.5 per second and host.
_MIN_USUAL_PER_S: Final = 2.0
_MIN_BURST: Final = 4.0


@dataclasses.dataclass(slots=True)
class _RouteRate:
    """The rate of a route's openings and its token bucket.

    ``uncorrected_per_s`` is an exponentially weighted mean, which is too low
    until openings have been counted for some time; ``usual_per_s`` corrects
    that.
    """

    started_s: float
    updated_s: float
    uncorrected_per_s: float = 0.0
    tokens: float = _MIN_BURST

    def usual_per_s(self) -> float:
        observed_s = max(self.updated_s - self.started_s, 1.0)
        weight = 1 - math.exp(-observed_s / _USUAL_OVER_S)
        return max(self.uncorrected_per_s / weight, _MIN_USUAL_PER_S)

    def refill(self, now_s: float) -> None:
        usual_per_s = self.usual_per_s()
        self.tokens += (now_s - self.updated_s) * usual_per_s
        self.tokens = min(self.tokens, max(usual_per_s, _MIN_BURST))

    def count(self, now_s: float) -> None:
        passed_s = now_s - self.updated_s
        self.uncorrected_per_s *= math.exp(-passed_s / _USUAL_OVER_S)
        self.uncorrected_per_s += 1 / _USUAL_OVER_S


class Gate(Protocol):
    """Decides which new flows are admitted."""

    def record_answer(
        self,
        service_id: str,
        wait_share: float,
        now_s: float,
    ) -> None:
        """Record the wait share of an answer; 1 is just in time."""

    def admits(self, route: Route, service_id: str, now_s: float) -> bool:
        """Return whether a new flow of ``route`` may open at the service."""

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Forget routes not in ``routes``, services without recent answers."""


def build_gate(rng: random.Random, switched_off: SwitchedOff) -> Gate:
    """Build the gate, or its baseline where the gate is switched off."""
    if Mechanism.OPENING_GATE in switched_off:
        return AdmitAllGate()
    return OpeningGate(rng)


class AdmitAllGate:
    """Admits every flow, so that only backends refuse; the baseline."""

    __slots__ = ()

    def record_answer(
        self,
        service_id: str,
        wait_share: float,
        now_s: float,
    ) -> None:
        """Ignore the answer."""

    def admits(self, route: Route, service_id: str, now_s: float) -> bool:
        """Return True."""
        return True

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Do nothing."""


class OpeningGate:
    """Refuses openings at services whose requests wait too long."""

    __slots__ = ('_answers', '_priorities', '_rates', '_rng')

    def __init__(self, rng: random.Random) -> None:
        """Initialize the gate; ``rng`` draws which openings are refused."""
        self._answers: dict[str, collections.deque[_Answer]] = {}
        self._rates: dict[bytes, _RouteRate] = {}
        # Priorities of all routes with openings so far, by service.
        self._priorities: dict[str, set[int]] = {}
        self._rng = rng

    def record_answer(
        self,
        service_id: str,
        wait_share: float,
        now_s: float,
    ) -> None:
        """Record the wait share of an answer; 1 is just in time."""
        answers = self._answers.get(service_id)
        if answers is None:
            answers = collections.deque(maxlen=_MAX_ANSWERS)
            self._answers[service_id] = answers
        answers.append((now_s, wait_share))

    def admits(self, route: Route, service_id: str, now_s: float) -> bool:
        """Return whether a new flow of ``route`` may open at the service."""
        wait_share = self._median_share(service_id, now_s)
        is_flooded = wait_share > _REFUSE_FIRST_SHARE
        rank = self._rank(route, service_id)
        if self._consume_token(route.address_key, now_s, is_flooded):
            return True
        span = _REFUSE_ALL_SHARE - _REFUSE_FIRST_SHARE
        first_refused = _REFUSE_FIRST_SHARE + rank * span
        return self._rng.random() > (wait_share - first_refused) / span

    def forget_gone(self, routes: Container[bytes], now_s: float) -> None:
        """Forget routes not in ``routes``, services without recent answers."""
        for address_key in tuple(self._rates):
            if address_key not in routes:
                self._rates.pop(address_key)
        for service_id, answers in tuple(self._answers.items()):
            if now_s - answers[-1][0] > _ANSWER_LIFE_S:
                self._answers.pop(service_id)
                self._priorities.pop(service_id, None)

    def sizes(self) -> tuple[int, int]:
        """Return the numbers of stored routes and services."""
        return len(self._rates), len(self._answers)

    def _rank(self, route: Route, service_id: str) -> int:
        priorities = self._priorities.setdefault(service_id, set())
        priorities.add(route.priority)
        # A higher number is less urgent.
        less_urgent = sum(1 for other in priorities if other > route.priority)
        return min(less_urgent, _MAX_RANK)

    def _consume_token(
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
        rate.updated_s = now_s
        is_within_rate = rate.tokens >= 1
        if is_within_rate:
            rate.tokens -= 1
        return is_within_rate

    def _median_share(self, service_id: str, now_s: float) -> float:
        answers = self._answers.get(service_id, ())
        wait_shares = sorted(
            wait_share
            for answered_s, wait_share in answers
            if now_s - answered_s < _ANSWER_LIFE_S
        )
        if len(wait_shares) < _MIN_ANSWERS:
            return 0.0
        return wait_shares[len(wait_shares) // 2]
