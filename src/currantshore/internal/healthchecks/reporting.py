"""Schedules when the verdicts of one balancer are sent to which peers."""

from collections.abc import Mapping, Sequence, Set
from typing import Final

from currantshore.internal import peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action, SendToPeer
from currantshore.internal.healthchecks.reports import Reports
from currantshore.internal.views import LiveView

_REPEAT_FANOUT: Final = 4
_MAX_FULL_MESH_PEERS: Final = 7
# Verdicts about one fault arise close together and share datagrams.
_REPORT_INTERVAL_S: Final = 1.0
# Compensates for lost reports. With 64 hosts, each peer receives a repetition
# every 80 s, which costs a prober less than 100 bytes a second while a backend
# server is down.
_REPEAT_INTERVAL_S: Final = 5.0


class ReportSender:
    """Sends changed verdicts to all peers, and repeats some of them.

    Down verdicts and recent recoveries are repeated: at once to a host that
    appears, and to the other hosts in turn, in case a report was lost.
    """

    __slots__ = (
        '_counters',
        '_host_id',
        '_new_peers',
        '_next_repeat_index',
        '_next_repeat_s',
        '_next_report_s',
        '_peer_key',
        '_reports',
        '_view',
    )

    def __init__(
        self, host_id: str, peer_key: bytes, counters: Counters
    ) -> None:
        """Initialize without peers and verdicts."""
        self._host_id = host_id
        self._peer_key = peer_key
        self._counters = counters
        self._reports = Reports(host_id)
        self._new_peers: set[str] = set()
        self._view: LiveView | None = None
        self._next_repeat_s = 0.0
        self._next_report_s = 0.0
        self._next_repeat_index = 0

    def peers(self) -> set[str]:
        """Return the live hosts except this one."""
        if self._view is None:
            return set()
        return set(self._view.peers) - {self._host_id}

    def on_live_view(self, view: LiveView) -> set[str]:
        """Apply the live hosts; return those whose process is new."""
        new_processes = _new_processes(self._view, view) - {self._host_id}
        self._view = view
        self._new_peers = (self._new_peers | new_processes) & view.peers.keys()
        return new_processes

    def forget(self, backend_id: str) -> None:
        """Drop the reported verdict on a backend server that was removed."""
        self._reports.forget(backend_id)

    def send_due(self, down: Set[str], now_s: float) -> list[Action]:
        """Send the due reports; ``down`` holds the servers that are down."""
        actions: list[Action] = []
        changed: Mapping[str, bool] = {}
        if now_s >= self._next_report_s:
            changed = self._reports.pop_changed(set(down), now_s)
        if changed:
            self._next_report_s = now_s + _REPORT_INTERVAL_S
            actions.extend(self._send(changed, sorted(self.peers())))
        if self._new_peers:
            repeated = self._reports.verdicts_to_repeat(now_s)
            actions.extend(self._send(repeated, sorted(self._new_peers)))
            self._new_peers = set()
        if now_s >= self._next_repeat_s:
            self._next_repeat_s = now_s + _REPEAT_INTERVAL_S
            repeated = self._reports.verdicts_to_repeat(now_s)
            actions.extend(self._send(repeated, self._next_repeat_targets()))
        return actions

    def _next_repeat_targets(self) -> list[str]:
        """Return some peers, in turn, that receive the repeated verdicts."""
        peers = sorted(self.peers())
        if len(peers) <= _MAX_FULL_MESH_PEERS:
            return peers
        start = self._next_repeat_index % len(peers)
        self._next_repeat_index += _REPEAT_FANOUT
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


def _new_processes(before: LiveView | None, after: LiveView) -> set[str]:
    """Return the hosts whose process was not in the view before."""
    known = {} if before is None else before.peers
    return {
        host_id
        for host_id, peer in after.peers.items()
        if host_id not in known
        or known[host_id].incarnation != peer.incarnation
    }
