"""Handovers in progress: sent, waiting for an acknowledgement, retried."""

import dataclasses
from collections import Counter
from collections.abc import Mapping
from typing import Final

from currantshore.internal.events import HandOverFlows

# Longer than a call between availability zones with one retransmission.
_ANSWER_TIMEOUT_S: Final = 1.0
_RETRY_DELAY_S: Final = 0.2

# The settled version of a handover that says nothing about its service.
NOT_SETTLED: Final = -1


@dataclasses.dataclass(slots=True)
class Handover:
    """Exceptions on their way to one peer.

    A change is not prepared before its blocking handovers are acknowledged.
    """

    host_id: str
    service_id: str
    flows: Mapping[str, bytes]
    settled_version: int
    is_blocking: bool
    settled: Mapping[str, int] = dataclasses.field(default_factory=dict)
    due_s: float = 0.0


class SettledNotes:
    """Services without exceptions that peers are to be told of, by host.

    A host that starts tells each peer of each service. One handover for all of
    them replaces one for each, which was over 15,000 at 244 services and 64
    hosts.
    """

    __slots__ = ('_by_host',)

    def __init__(self) -> None:
        """Start without notes."""
        self._by_host: dict[str, dict[str, int]] = {}

    def __len__(self) -> int:
        """Return the number of hosts that wait for notes."""
        return len(self._by_host)

    def add(self, host_id: str, service_id: str, version: int) -> None:
        """Tell ``host_id`` that ``version`` of a service is settled."""
        self._by_host.setdefault(host_id, {})[service_id] = version

    def take(self) -> list[Handover]:
        """Return one handover for each host that waits."""
        noted = self._by_host
        self._by_host = {}
        return [
            Handover(
                host_id,
                service_id='',
                flows={},
                settled_version=NOT_SETTLED,
                is_blocking=False,
                settled=versions,
            )
            for host_id, versions in noted.items()
        ]


class HandoverLedger:
    """All handovers of one balancer that are not acknowledged yet."""

    __slots__ = ('_blocking', '_next_id', '_open')

    def __init__(self) -> None:
        """Start empty."""
        self._next_id = 1
        self._open: dict[int, Handover] = {}
        # Asked for each service in each tick, so it is not counted anew.
        self._blocking: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of handovers in progress."""
        return len(self._open)

    def send(self, handover: Handover, now_s: float) -> HandOverFlows:
        """Return the action that sends a handover and wait for its answer."""
        number = self._next_id
        self._next_id += 1
        self._open[number] = handover
        self._blocking[handover.service_id] += handover.is_blocking
        return self._send_as(number, handover, now_s)

    def acknowledge(self, handover_id: int) -> Handover | None:
        """Close a handover that arrived."""
        handover = self._open.pop(handover_id, None)
        if handover is not None:
            self._blocking[handover.service_id] -= handover.is_blocking
        return handover

    def fail(self, handover_id: int, now_s: float) -> None:
        """Retry a handover that did not arrive after a short delay."""
        handover = self._open.get(handover_id)
        if handover is not None:
            handover.due_s = now_s + _RETRY_DELAY_S

    def retries(self, now_s: float) -> list[HandOverFlows]:
        """Send again what failed or had no answer."""
        due = [
            number
            for number, handover in self._open.items()
            if handover.due_s <= now_s
        ]
        return [
            self._send_as(number, self._open[number], now_s) for number in due
        ]

    def cancel(self, hosts: frozenset[str]) -> list[Handover]:
        """Give up the handovers to hosts that are gone and return them."""
        numbers = [
            number
            for number, handover in self._open.items()
            if handover.host_id in hosts
        ]
        cancelled = [self.acknowledge(number) for number in numbers]
        return [handover for handover in cancelled if handover is not None]

    def is_blocked(self, service_id: str) -> bool:
        """Tell whether a service waits for an acknowledgement."""
        return self._blocking[service_id] > 0

    def is_any_blocking(self) -> bool:
        """Tell whether any service waits for an acknowledgement."""
        return any(self._blocking.values())

    def _send_as(
        self,
        number: int,
        handover: Handover,
        now_s: float,
    ) -> HandOverFlows:
        """Keep the number of a retry, so that a late answer counts."""
        handover.due_s = now_s + _ANSWER_TIMEOUT_S
        return HandOverFlows(
            host_id=handover.host_id,
            service_id=handover.service_id,
            handover_id=number,
            flows=handover.flows,
            settled_version=handover.settled_version,
            settled=handover.settled,
        )
