"""Finds the balancer that may run the requests of a token."""

import dataclasses
from collections import OrderedDict
from typing import Final, TypeAlias

from currantshore.internal.tokens import FlowToken
from currantshore.internal.views import LiveView

# Covers 16 restarts of each host in a pool of at most 64 hosts.
MAX_SUCCESSORS: Final = 1024

# In a rolling restart, the successor of one host may be the next to leave.
_MAX_CHAIN: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class RunHere:
    """This process is the executor or has received the executor's ids."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTo:
    """Another live host is the executor or its successor."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorLost:
    """Neither the executor nor a successor of it is live in this view."""


Route: TypeAlias = RunHere | RelayTo | ExecutorLost

Process: TypeAlias = tuple[str, int]


class ExecutorRoutes:
    """Finds the executor of a token among live hosts and successors.

    Requests are relayed to a live host even if the token names another
    incarnation of it. This balancer's view may not include a restart yet, and
    only the host itself is certain of its incarnation.
    """

    __slots__ = ('_own_process', '_predecessors', '_successors', '_view')

    def __init__(self, host_id: str, incarnation: int) -> None:
        """Initialize for the process (``host_id``, ``incarnation``)."""
        self._own_process = (host_id, incarnation)
        self._view: LiveView | None = None
        self._successors: OrderedDict[Process, Process] = OrderedDict()
        self._predecessors: set[tuple[str, Process]] = set()

    @property
    def view(self) -> LiveView | None:
        """The live balancers; None before the first view."""
        return self._view

    def on_live_view(self, view: LiveView) -> None:
        """Apply a new view and record the successors that it announces."""
        self._view = view
        for peer in view.peers.values():
            if peer.successor:
                self._record_successor(
                    (peer.host_id, peer.incarnation), peer.successor
                )

    def add_predecessor(self, service_id: str, process: Process) -> None:
        """Record that all request ids of ``process`` are known here."""
        self._predecessors.add((service_id, process))

    def is_predecessor(self, service_id: str, process: Process) -> bool:
        """Return whether the request ids of ``process`` are known here."""
        return (service_id, process) in self._predecessors

    def predecessors(self, service_id: str) -> list[Process]:
        """Return the processes whose ids of ``service_id`` are known here."""
        return sorted(
            process
            for known_service, process in self._predecessors
            if known_service == service_id
        )

    def live_executor(self, token: FlowToken) -> str:
        """Return the token's executor if it is another live process, or ''."""
        process = (token.executor_id, token.executor_incarnation)
        if process == self._own_process or not self._is_live_process(process):
            return ''
        return token.executor_id

    def is_live(self, host_id: str) -> bool:
        """Return whether ``host_id`` is live."""
        return self._view is not None and host_id in self._view.peers

    def route(self, token: FlowToken) -> Route:
        """Return where the requests of ``token`` run."""
        process = (token.executor_id, token.executor_incarnation)
        if process == self._own_process:
            return RunHere()
        if self.is_predecessor(token.service_id, process):
            return RunHere()
        return self._route_to(self._last_successor_host(process))

    def _last_successor_host(self, process: Process) -> str:
        # A process that has announced a successor still has the outcomes of
        # the requests that it ran before, so it stays the target while live.
        for _ in range(_MAX_CHAIN):
            successor = self._successors.get(process)
            if successor is None or self._is_live_process(process):
                break
            process = successor
        return process[0]

    def _is_live_process(self, process: Process) -> bool:
        if self._view is None:
            return False
        peer = self._view.peers.get(process[0])
        return peer is not None and peer.incarnation == process[1]

    def _route_to(self, host_id: str) -> Route:
        if host_id != self._own_process[0] and self.is_live(host_id):
            return RelayTo(host_id)
        return ExecutorLost()

    def _record_successor(self, process: Process, successor: str) -> None:
        if process in self._successors or self._view is None:
            return
        peer = self._view.peers.get(successor)
        if peer is None:
            return
        self._successors[process] = (successor, peer.incarnation)
        while len(self._successors) > MAX_SUCCESSORS:
            self._successors.popitem(last=False)
