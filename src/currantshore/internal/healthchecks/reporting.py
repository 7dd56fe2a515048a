"""When the verdicts of one balancer go to which peers."""

from collections.abc import Mapping, Sequence, Set
from typing import Final

from currantshore.internal import peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action, SendToPeer
from currantshore.internal.healthchecks.reports import Reports
from currantshore.internal.views import LiveView

_REPEAT_FANOUT: Final = 4
_MAX_FULL_MESH_PEERS: Final = 7
# Verdicts of one fault come close together and share datagrams.
_REPORT_INTERVAL_S: Final = 1.0
# Makes good lost reports. Each peer of 64 hears it every 80 s, which costs a
# prober less than 100 bytes a second while a backend server is down.
_REPEAT_INTERVAL_S: Final = 5.0


class ReportSender:
    """Sends changed verdicts to all peers and repeats lasting ones.

    A host that appears is told at once; the others hear lasting verdicts in
    turn, so that a lost report is made good.
    """

    __slots__ = (
        '_counters',
        '_host_id',
        '_newcomers',
        '_peer_key',
        '_repeat_s',
        '_report_s',
        '_reports',
        '_turn',
        '_view',
    )

    def __init__(
        self, host_id: str, peer_key: bytes, counters: Counters
    ) -> None:
        """Start without peers and verdicts."""
        self._host_id = host_id
        self._peer_key = peer_key
        self._counters = counters
        self._reports = Reports(host_id)
        self._newcomers: set[str] = set()
        self._view: LiveView | None = None
        self._repeat_s = 0.0
        self._report_s = 0.0
        self._turn = 0

    def peers(self) -> set[str]:
        """Return the live hosts but this one."""
        if self._view is None:
            return set()
        return set(self._view.peers) - {self._host_id}

    def on_live_view(self, view: LiveView) -> set[str]:
        """Follow the live hosts; return those whose process is new."""
        newcomers = _newcomers(self._view, view) - {self._host_id}
        self._view = view
        self._newcomers = (self._newcomers | newcomers) & view.peers.keys()
        return newcomers

    def forget(self, backend_id: str) -> None:
        """Drop what was reported of a backend server that was removed."""
        self._reports.forget(backend_id)

    def send_due(self, down: Set[str], now_s: float) -> list[Action]:
        """Send what is due about the backend servers in ``down``."""
        actions: list[Action] = []
        changed: Mapping[str, bool] = {}
        if now_s >= self._report_s:
            changed = self._reports.take_changed(set(down), now_s)
        if changed:
            self._report_s = now_s + _REPORT_INTERVAL_S
            actions.extend(self._send(changed, sorted(self.peers())))
        if self._newcomers:
            held = self._reports.lasting(now_s)
            actions.extend(self._send(held, sorted(self._newcomers)))
            self._newcomers = set()
        if now_s >= self._repeat_s:
            self._repeat_s = now_s + _REPEAT_INTERVAL_S
            held = self._reports.lasting(now_s)
            actions.extend(self._send(held, self._next_listeners()))
        return actions

    def _next_listeners(self) -> list[str]:
        """Return some peers, in turn, to repeat lasting verdicts to."""
        peers = sorted(self.peers())
        if len(peers) <= _MAX_FULL_MESH_PEERS:
            return peers
        start = self._turn % len(peers)
        self._turn += _REPEAT_FANOUT
        return (peers + peers)[start : start + _REPEAT_FANOUT]

    def _send(
        self,
        verdicts: Mapping[str, bool],
        targets: Sequence[str],
    ) -> list[Action]:
        own = self._view.peers.get(self._host_id) if self._view else None
        incarnation = own.incarnation if own else 0
        actions: list[Action] = []
        for report in self._reports.build(verdicts, incarnation):
            payload = peerwire.seal(report, self._peer_key)
            self._counters.count(
                Count.CONTROL_SENT_BYTES,
                len(payload) * len(targets),
            )
            actions.extend(SendToPeer(name, payload) for name in targets)
        return actions


def _newcomers(before: LiveView | None, after: LiveView) -> set[str]:
    """Return the hosts whose process was not in the view before."""
    known = {} if before is None else before.peers
    return {
        host_id
        for host_id, peer in after.peers.items()
        if host_id not in known
        or known[host_id].incarnation != peer.incarnation
    }
