"""Hands over request ids to a successor and receives those of others."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, TypeAlias

from msgspec import structs

from currantshore.errors import WireFormatError
from currantshore.internal.events import (
    Action,
    HandOverRequests,
    RequestsHandedOver,
)
from currantshore.internal.hashing import ranked
from currantshore.internal.requests.requesthandover import (
    HandoverBody,
    codes_of,
    decode_body,
    encode_bodies,
    encode_body,
)
from currantshore.internal.requests.requestlogs import RequestLogs
from currantshore.internal.requests.requestroutes import ExecutorRoutes

# The handover has no acknowledgement, so the same bodies are sent again after
# these delays.
_RESEND_DELAYS_S: Final = (1.0, 2.0)

# Maximum number of incomplete handovers; the oldest is dropped above it.
_MAX_INCOMPLETE: Final = 256

_HandoverKey: TypeAlias = tuple[str, str, int]
_Resend: TypeAlias = tuple[float, list[Action]]


class Succession:
    """The handover of request ids when a balancer leaves.

    The leaving process keeps the requests whose ids it hands over and runs no
    other id from then on. The successor runs all other ids. Therefore at most
    one process may run an id at any time, except for repeatable requests.
    """

    __slots__ = (
        '_host_id',
        '_incarnation',
        '_logs',
        '_received',
        '_resends',
        '_routes',
        '_successor_incarnation',
        'is_leaving',
        'successor',
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        routes: ExecutorRoutes,
        logs: RequestLogs,
    ) -> None:
        """Initialize for the process (``host_id``, ``incarnation``)."""
        self._host_id = host_id
        self._incarnation = incarnation
        self._routes = routes
        self._logs = logs
        self._resends: list[_Resend] = []
        self._received: OrderedDict[_HandoverKey, set[int]] = OrderedDict()
        self._successor_incarnation = 0
        self.is_leaving = False
        self.successor = ''

    def leave(self, services: Iterable[str], now_s: float) -> list[Action]:
        """Choose a successor and hand over the ids of ``services``."""
        if self.is_leaving:
            return []
        self.is_leaving = True
        self.successor = self._choose_successor()
        if not self.successor:
            return []
        actions: list[Action] = []
        for service_id in services:
            actions.extend(self._hand_over(service_id))
        self._resends = [
            (now_s + delay_s, actions) for delay_s in _RESEND_DELAYS_S
        ]
        return list(actions)

    def tick(self, now_s: float) -> list[Action]:
        """Send the handover again when it is due."""
        due = [actions for at_s, actions in self._resends if at_s <= now_s]
        self._resends = [each for each in self._resends if each[0] > now_s]
        return [action for actions in due for action in actions]

    def on_handed_over(self, handed_over: RequestsHandedOver) -> list[Action]:
        """Store the ids of one body.

        This process runs requests of the sender's tokens once all bodies have
        arrived. While leaving, it also forwards the body to its successor.
        """
        try:
            body = decode_body(handed_over.body)
        except WireFormatError:
            return []
        if body.heir != self._incarnation:
            return []
        sender = (handed_over.sender, handed_over.sender_incarnation)
        # A repeated body lacks the requests that ran here since the first.
        if self._routes.is_predecessor(handed_over.service_id, sender):
            return []
        if self._merge(handed_over.service_id, body):
            self._record_body(handed_over, body)
        return self._forward(handed_over.service_id, body)

    def _forward(self, service_id: str, body: HandoverBody) -> list[Action]:
        if not self.successor:
            return []
        forwarded = structs.replace(body, heir=self._successor_incarnation)
        return [
            HandOverRequests(
                self.successor,
                service_id,
                encode_body(forwarded),
            ),
        ]

    def _choose_successor(self) -> str:
        view = self._routes.view
        if view is None:
            return ''
        others = [host for host in view.owners() if host != self._host_id]
        ordered = ranked(others, 'successor', self._host_id)
        if not ordered:
            return ''
        self._successor_incarnation = view.peers[ordered[0]].incarnation
        return ordered[0]

    def _hand_over(self, service_id: str) -> list[HandOverRequests]:
        processes = [
            (self._host_id, self._incarnation),
            *self._routes.predecessors(service_id),
        ]
        bodies = encode_bodies(
            self._successor_incarnation,
            processes,
            self._logs.of_service(service_id),
        )
        return [
            HandOverRequests(self.successor, service_id, body)
            for body in bodies
        ]

    def _merge(self, service_id: str, body: HandoverBody) -> bool:
        # Without room for all ids, none of the sender's tokens may be served,
        # because a dropped id could run again.
        return all(
            self._logs.merge(
                service_id,
                flow.flow_key,
                flow.floor,
                codes_of(flow),
            )
            for flow in body.flows
        )

    def _record_body(
        self,
        handed_over: RequestsHandedOver,
        body: HandoverBody,
    ) -> None:
        key = (
            handed_over.service_id,
            handed_over.sender,
            handed_over.sender_incarnation,
        )
        indexes = self._received.setdefault(key, set())
        indexes.add(body.index)
        if len(indexes) >= body.count:
            self._received.pop(key)
            for process in body.processes:
                self._routes.add_predecessor(handed_over.service_id, process)
        while len(self._received) > _MAX_INCOMPLETE:
            self._received.popitem(last=False)
