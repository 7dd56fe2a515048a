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
    """This process is the executor or has received its request ids."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTo:
    """Another live host is the executor or its successor."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorLost:
    """The request ids of the executor are lost."""


Route: TypeAlias = RunHere | RelayTo | ExecutorLost

Process: TypeAlias = tuple[str, int]


class ExecutorRoutes:
    """Finds the executor of a token among live hosts and successors.

    Requests are relayed to a live host even if the token names another
    incarnation of it. This balancer's view may not include a restart yet, and
    only the host itself is certain of its incarnation.
    """

    __slots__ = ('_adopted', '_self', '_successors', '_view')

    def __init__(self, host_id: str, incarnation: int) -> None:
        """Initialize for the process (``host_id``, ``incarnation``)."""
        self._self = (host_id, incarnation)
        self._view: LiveView | None = None
        self._successors: OrderedDict[Process, Process] = OrderedDict()
        self._adopted: set[tuple[str, Process]] = set()

    @property
    def view(self) -> LiveView | None:
        """The live balancers; None before the first view."""
        return self._view

    def on_live_view(self, view: LiveView) -> None:
        """Apply a new view and record the successors that it announces."""
        self._view = view
        for peer in view.peers.values():
            if peer.successor:
                self._remember((peer.host_id, peer.incarnation), peer.successor)

    def adopt(self, service_id: str, process: Process) -> None:
        """Record that all request ids of ``process`` are known here."""
        self._adopted.add((service_id, process))

    def has_adopted(self, service_id: str, process: Process) -> bool:
        """Return whether the request ids of ``process`` are known here."""
        return (service_id, process) in self._adopted

    def adopted(self, service_id: str) -> list[Process]:
        """Return the processes whose ids of ``service_id`` are known here."""
        return sorted(
            process for held, process in self._adopted if held == service_id
        )

    def live_predecessor(self, token: FlowToken) -> str:
        """Return the token's executor if it is another live process, or ''."""
        process = (token.executor_id, token.executor_incarnation)
        if process == self._self or not self._serves_itself(process):
            return ''
        return token.executor_id

    def is_live(self, host_id: str) -> bool:
        """Return whether ``host_id`` is live."""
        return self._view is not None and host_id in self._view.peers

    def route(self, token: FlowToken) -> Route:
        """Return where the requests of ``token`` run."""
        process = (token.executor_id, token.executor_incarnation)
        if process == self._self:
            return RunHere()
        if self.has_adopted(token.service_id, process):
            return RunHere()
        return self._to_host(self._last_heir(process))

    def _last_heir(self, process: Process) -> str:
        # A process that has announced a successor still knows the requests
        # that it ran before, so it stays the target while it is live.
        for _ in range(_MAX_CHAIN):
            heir = self._successors.get(process)
            if heir is None or self._serves_itself(process):
                break
            process = heir
        return process[0]

    def _serves_itself(self, process: Process) -> bool:
        if self._view is None:
            return False
        peer = self._view.peers.get(process[0])
        return peer is not None and peer.incarnation == process[1]

    def _to_host(self, host_id: str) -> Route:
        if host_id != self._self[0] and self.is_live(host_id):
            return RelayTo(host_id)
        return ExecutorLost()

    def _remember(self, process: Process, successor: str) -> None:
        if process in self._successors or self._view is None:
            return
        heir = self._view.peers.get(successor)
        if heir is None:
            return
        self._successors[process] = (successor, heir.incarnation)
        while len(self._successors) > MAX_SUCCESSORS:
            self._successors.popitem(last=False)
