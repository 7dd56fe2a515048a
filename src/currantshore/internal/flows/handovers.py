"""Tracks handovers until they are acknowledged, and retries them."""

import dataclasses
from collections import Counter
from collections.abc import Mapping
from typing import Final

from currantshore.internal.events import HandOverFlows

# Longer than a call between availability zones with one retransmission.
_ANSWER_TIMEOUT_S: Final = 1.0
_RETRY_DELAY_S: Final = 0.2

# The settled version of a handover whose sender has not sent all exceptions of
# its service yet; equal to ``NO_VERSION``.
NOT_SETTLED: Final = -1


@dataclasses.dataclass(slots=True)
class Handover:
    """Exceptions, other flows or settled versions on their way to a peer.

    A handover with ``settled`` holds no flows, only the settled version of each
    service in it. Otherwise it is of one service, whose version is settled
    unless ``settled_version`` is ``NOT_SETTLED``.

    A change counts as prepared only after its blocking handovers are
    acknowledged.
    """

    host_id: str
    service_id: str
    flows: Mapping[str, bytes]
    settled_version: int
    is_blocking: bool
    settled: Mapping[str, int] = dataclasses.field(default_factory=dict)
    due_s: float = 0.0


class SettledNotices:
    """Settled versions of services without exceptions, to send to peers.

    A host that starts reports every service to every peer. One handover per
    peer replaces one per service and peer, which was over 15,000 at 244
    services and 64 hosts.
    """

    __slots__ = ('_by_host',)

    def __init__(self) -> None:
        """Initialize without notices."""
        self._by_host: dict[str, dict[str, int]] = {}

    def __len__(self) -> int:
        """Return the number of hosts with queued notices."""
        return len(self._by_host)

    def add(self, host_id: str, service_id: str, version: int) -> None:
        """Queue the notice for ``host_id`` that a version is settled."""
        self._by_host.setdefault(host_id, {})[service_id] = version

    def pop_handovers(self) -> list[Handover]:
        """Remove all notices and return one handover per host for them."""
        versions_by_host = self._by_host
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
            for host_id, versions in versions_by_host.items()
        ]


class HandoverLedger:
    """All handovers of one balancer that are not acknowledged yet."""

    __slots__ = ('_blocking', '_next_id', '_pending')

    def __init__(self) -> None:
        """Initialize without handovers."""
        self._next_id = 1
        self._pending: dict[int, Handover] = {}
        # Kept as a count because every service reads it in every tick.
        self._blocking: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of handovers in progress."""
        return len(self._pending)

    def send(self, handover: Handover, now_s: float) -> HandOverFlows:
        """Return the action that sends a handover and wait for its answer."""
        handover_id = self._next_id
        self._next_id += 1
        self._pending[handover_id] = handover
        self._blocking[handover.service_id] += handover.is_blocking
        return self._send_as(handover_id, handover, now_s)

    def acknowledge(self, handover_id: int) -> Handover | None:
        """Remove and return a handover that arrived."""
        handover = self._pending.pop(handover_id, None)
        if handover is not None:
            self._blocking[handover.service_id] -= handover.is_blocking
        return handover

    def fail(self, handover_id: int, now_s: float) -> None:
        """Schedule the retry of a failed handover after a short delay."""
        handover = self._pending.get(handover_id)
        if handover is not None:
            handover.due_s = now_s + _RETRY_DELAY_S

    def retries(self, now_s: float) -> list[HandOverFlows]:
        """Resend the handovers that failed or were not answered in time."""
        due = [
            handover_id
            for handover_id, handover in self._pending.items()
            if handover.due_s <= now_s
        ]
        return [
            self._send_as(handover_id, self._pending[handover_id], now_s)
            for handover_id in due
        ]

    def cancel(self, hosts: frozenset[str]) -> list[Handover]:
        """Cancel and return the handovers to hosts that are gone."""
        handover_ids = [
            handover_id
            for handover_id, handover in self._pending.items()
            if handover.host_id in hosts
        ]
        cancelled = [
            self.acknowledge(handover_id) for handover_id in handover_ids
        ]
        return [handover for handover in cancelled if handover is not None]

    def is_blocked(self, service_id: str) -> bool:
        """Return whether a service waits for an acknowledgement."""
        return self._blocking[service_id] > 0

    def has_blocking(self) -> bool:
        """Return whether any service waits for an acknowledgement."""
        return any(self._blocking.values())

    def _send_as(
        self,
        handover_id: int,
        handover: Handover,
        now_s: float,
    ) -> HandOverFlows:
        """Send under a given id.

        A retry keeps its id, so a late answer to an earlier attempt counts.
        """
        handover.due_s = now_s + _ANSWER_TIMEOUT_S
        return HandOverFlows(
            host_id=handover.host_id,
            service_id=handover.service_id,
            handover_id=handover_id,
            flows=handover.flows,
            settled_version=handover.settled_version,
            settled=handover.settled,
        )
