"""Simulates servers with slots and queues behind the gates of many hosts.

The clock is virtual. Each flow carries one request, as for callers that open a
flow per request. A host receives only the answers of its own flows.
"""

import collections
import dataclasses
import heapq
import random
from typing import NamedTuple

from currantshore.internal.steering.catalog import Route
from currantshore.internal.steering.mechanisms import NOTHING_OFF
from currantshore.internal.steering.openinggate import build_gate
from currantshore.internal.steering.waiting import WaitShares
from tests.cover.steering_kit import SERVICE

# Number of servers that a host compares for a flow.
_COMPARED = 4


class Load(NamedTuple):
    """Requests of one route, sent at random times to random hosts."""

    route: Route
    per_s: float
    work_s: float


class Server:
    """Processes one request per slot, in order of arrival."""

    __slots__ = ('_free_s', '_queue')

    def __init__(self, slots, queue):
        self._free_s = [0 for _ in range(slots)]
        self._queue = queue

    def waiting_s(self, now_s):
        return max(min(self._free_s) - now_s, 0)

    def submit(self, now_s, work_s):
        """Return the time when the request is done, or None if it is shed."""
        pending_s = sum(max(free_s - now_s, 0) for free_s in self._free_s)
        if pending_s > (len(self._free_s) + self._queue) * work_s:
            return None
        started_s = max(heapq.heappop(self._free_s), now_s)
        heapq.heappush(self._free_s, started_s + work_s)
        return started_s + work_s


@dataclasses.dataclass(order=True, slots=True)
class _Answer:
    """An answer in transit to the host that forwarded the request."""

    at_s: float
    host: int
    route: Route = dataclasses.field(compare=False)
    latency_s: float = dataclasses.field(compare=False)


class QueueWorld:
    """Sends loads through gates to servers and counts the outcomes."""

    def __init__(
        self, hosts, servers, link_latency_s, switched_off=NOTHING_OFF
    ):
        self._rng = random.Random(hosts)
        self._gates = [
            build_gate(random.Random(number), switched_off)
            for number in range(hosts)
        ]
        self._waits = [WaitShares() for _ in range(hosts)]
        self._servers = servers
        # Latency that the links add to a request.
        self._link_latency_s = link_latency_s
        self._answers = []
        self._now_s = 100

    def simulate(self, seconds, *loads):
        """Simulate ``loads``; return a counter of outcomes for each."""
        end_s = self._now_s + seconds
        arrivals = sorted(
            (at_s, number)
            for number, load in enumerate(loads)
            for at_s in self._arrival_times(load.per_s, end_s)
        )
        outcomes = [collections.Counter() for _ in loads]
        for at_s, number in arrivals:
            self._now_s = at_s
            self._deliver()
            outcomes[number][self._send_request(loads[number])] += 1
        self._now_s = end_s
        return outcomes

    def _arrival_times(self, per_s, end_s):
        at_s = self._now_s + self._rng.expovariate(per_s)
        while at_s < end_s:
            yield at_s
            at_s += self._rng.expovariate(per_s)

    def _deliver(self):
        while self._answers and self._answers[0].at_s <= self._now_s:
            answer = heapq.heappop(self._answers)
            share = self._waits[answer.host].record(
                answer.route, answer.latency_s, answer.at_s
            )
            self._gates[answer.host].record_answer(SERVICE, share, answer.at_s)

    def _send_request(self, load):
        host = self._rng.randrange(len(self._gates))
        if not self._gates[host].admits(load.route, SERVICE, self._now_s):
            return 'refused'
        compared = self._rng.sample(self._servers, _COMPARED)
        server = min(compared, key=self._waiting_s)
        work_s = load.work_s * self._rng.uniform(0.5, 1.5)
        done_s = server.submit(self._now_s, work_s)
        if done_s is None:
            return 'shed'
        latency_s = done_s - self._now_s + self._link_latency_s
        answered_s = self._now_s + latency_s
        heapq.heappush(
            self._answers, _Answer(answered_s, host, load.route, latency_s)
        )
        in_aim = latency_s <= load.route.target_latency_s
        return 'in_aim' if in_aim else 'late'

    def _waiting_s(self, server):
        return server.waiting_s(self._now_s)
