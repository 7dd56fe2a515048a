"""Tracks the health of backend servers as one balancer of the pool sees it.

Outcomes of real traffic have priority over probes. The load that a backend
server reports is ignored, because load endpoints lag and mislead.
"""

import random
from collections.abc import Mapping
from typing import Final

import msgspec

from currantshore import wire
from currantshore.codes import DropReason, ResultCode
from currantshore.internal import peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    Action,
    SendToBackend,
    SendToCaller,
)
from currantshore.internal.healthchecks import probing
from currantshore.internal.healthchecks.reporting import ReportSender
from currantshore.internal.healthchecks.silence import (
    SilenceTracker,
    SilentFlow,
)
from currantshore.internal.healthchecks.suspicion import SelfSuspicion
from currantshore.internal.healthchecks.verdicts import Verdict
from currantshore.internal.healthchecks.votes import QUORUM, Votes
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    PoolSnapshot,
)
from currantshore.internal.views import LiveView

_EXPIRY_INTERVAL_S: Final = 1.0
# An evaluation reads every verdict; a failure triggers one at the next tick.
_SUSPICION_INTERVAL_S: Final = 0.25
# An own success, of traffic or a probe, overrides peers' votes for this long.
_OWN_SUCCESS_PRIORITY_S: Final = 2.0
# Two failures of one service within this time raise its probe rate.
_FAILURE_CLUSTER_S: Final = 2.0
_RETRY_SILENT_FLOW_MS: Final = 100


class HealthPlane:
    """Maintains verdicts, probes, shared reports and silent flows."""

    __slots__ = (
        '_backends',
        '_by_endpoint',
        '_failing',
        '_host_id',
        '_hosts',
        '_is_suspicion_due',
        '_last_failure',
        '_next_expiry_s',
        '_next_suspicion_s',
        '_pool',
        '_probe_id',
        '_probers',
        '_returning',
        '_rng',
        '_schedule',
        '_sender',
        '_service_by_backend',
        '_silence',
        '_sole_prober_for',
        '_suspicion',
        '_unusable',
        '_verdicts',
        '_view',
        '_votes',
        '_weights',
        'counters',
    )

    def __init__(
        self,
        host_id: str,
        counters: Counters,
        peer_key: bytes,
        rng: random.Random,
    ) -> None:
        """Initialize the plane; use ``from_config`` instead."""
        self._host_id = host_id
        self.counters = counters
        self._rng = rng
        self._view: LiveView | None = None
        self._pool: PoolSnapshot | None = None
        self._backends: dict[str, BackendServer] = {}
        self._service_by_backend: dict[str, str] = {}
        self._by_endpoint: dict[wire.Endpoint, str] = {}
        self._verdicts: dict[str, Verdict] = {}
        # Backend servers whose newest outcomes failed or that are down.
        self._failing: set[str] = set()
        self._returning: set[str] = set()
        self._unusable: frozenset[str] = frozenset()
        self._weights: dict[str, float] = {}
        self._sender = ReportSender(host_id, peer_key, counters)
        self._hosts: frozenset[tuple[str, str]] = frozenset()
        self._probers: dict[tuple[str, str], list[str]] = {}
        self._sole_prober_for: frozenset[str] = frozenset()
        self._last_failure: dict[str, tuple[float, str]] = {}
        self._schedule = probing.ProbeSchedule()
        self._silence = SilenceTracker()
        self._suspicion = SelfSuspicion()
        self._votes = Votes()
        self._probe_id = 0
        self._next_suspicion_s = 0.0
        self._is_suspicion_due = False
        self._next_expiry_s = 0.0

    @classmethod
    def from_config(
        cls,
        host_id: str,
        counters: Counters,
        peer_key: bytes,
        rng: random.Random,
    ) -> 'HealthPlane':
        """Build the plane of balancer ``host_id``."""
        return cls(host_id, counters, peer_key, rng)

    @property
    def silent_flows(self) -> Mapping[str, int]:
        """The number of silent flows found, by backend id."""
        return self._silence.silent_flows

    def is_usable(self, backend_id: str) -> bool:
        """Return whether packets may be sent; unknown ids are usable."""
        return backend_id not in self._unusable

    def weight_ratio(self, backend_id: str) -> float:
        """Return 1.0, or less during a slow start."""
        return self._weights.get(backend_id, 1.0)

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Apply the backend servers of ``pool``."""
        before = self._backends
        is_first = self._pool is None
        self._pool = pool
        self._index(pool)
        for backend_id, backend in self._backends.items():
            verdict = self._verdicts.setdefault(backend_id, Verdict())
            if not is_first and _needs_slow_start(
                before.get(backend_id), backend
            ):
                verdict.begin_slow_start(now_s)
                self._returning.add(backend_id)
        for backend_id in set(self._verdicts) - set(self._backends):
            self._verdicts.pop(backend_id)
            self._failing.discard(backend_id)
            self._returning.discard(backend_id)
            self._sender.forget(backend_id)
        self._votes.expire(self._sender.peers(), self._backends, now_s)
        self._silence.forget_backends(frozenset(self._backends))
        self._assign_probes(now_s)
        self._refresh(now_s)
        return []

    def on_live_view(self, view: LiveView, now_s: float) -> list[Action]:
        """Redistribute the probes among the live balancers."""
        self._votes.forget(self._sender.on_live_view(view))
        self._view = view
        hosts = frozenset(
            (peer.host_id, peer.zone)
            for peer in view.peers.values()
            if not peer.is_leaving
        )
        if hosts != self._hosts:
            self._hosts = hosts
            self._probers = {}
            self._assign_probes(now_s)
        return []

    def record_success(self, backend_id: str, now_s: float) -> None:
        """Record an answer or a downstream packet."""
        verdict = self._verdicts.get(backend_id)
        if verdict is not None:
            verdict.succeed(now_s, is_passive=True)
            if backend_id in self._failing:
                self._apply_outcome(backend_id, verdict, now_s)

    def record_failure(self, backend_id: str, now_s: float) -> None:
        """Record a request that timed out."""
        self._fail(backend_id, now_s, is_passive=True)

    def backend_at(self, source: wire.Endpoint) -> str | None:
        """Return the id of the backend server at an endpoint, if any."""
        return self._by_endpoint.get(source)

    def record_upstream(
        self,
        service_id: str,
        flow_key: int,
        backend_id: str,
        now_s: float,
        framed_caller: wire.Endpoint | None = None,
    ) -> list[Action]:
        """Record a packet of a flow on its way to its backend server.

        ``framed_caller`` is the caller of a framed flow, which can receive a
        refusal if the flow is silent; None for an opaque flow.
        """
        silent = self._silence.record_sent(
            (service_id, flow_key),
            backend_id,
            now_s,
            framed_caller,
        )
        return [] if silent is None else self._report_silent(silent)

    def record_downstream(
        self,
        service_id: str,
        flow_key: int,
        backend_id: str,
        now_s: float,
    ) -> list[Action]:
        """Record a packet of a flow that came from its backend server."""
        self._silence.record_answered((service_id, flow_key), backend_id, now_s)
        self.record_success(backend_id, now_s)
        return []

    def on_probe_reply(
        self,
        source: wire.Endpoint,
        reply: wire.ProbeReply,
        now_s: float,
    ) -> list[Action]:
        """Record a probe reply; the load and state in it are ignored."""
        backend_id = self._schedule.pop_in_flight(reply.probe_id)
        if backend_id is None or self._by_endpoint.get(source) != backend_id:
            self.counters.drop(DropReason.REPLY_UNMATCHED)
            return []
        verdict = self._verdicts[backend_id]
        verdict.succeed(now_s, is_passive=False)
        self._apply_outcome(backend_id, verdict, now_s)
        return []

    def on_health_report(
        self,
        report: peerwire.HealthReport,
        now_s: float,
    ) -> list[Action]:
        """Apply the verdicts of a peer."""
        if report.sender == self._host_id:
            return []
        known = {
            backend_id: report.verdicts[backend_id]
            for backend_id in self._backends.keys() & report.verdicts.keys()
        }
        report = msgspec.structs.replace(report, verdicts=known)
        if not self._votes.record(report, now_s):
            return []
        for backend_id, is_usable in known.items():
            if not (is_usable or self._verdicts[backend_id].is_down):
                # An early probe adds a second vote or disproves the fault.
                self._schedule.update_uncertain(
                    backend_id, now_s, is_uncertain=True
                )
        self._refresh(now_s)
        return []

    def tick(self, now_s: float) -> list[Action]:
        """Send due probes and reports; count expired probes as failures."""
        for backend_id in self._schedule.pop_expired(now_s):
            self._fail(backend_id, now_s, is_passive=False)
        self._silence.tick(now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + _EXPIRY_INTERVAL_S
            self._votes.expire(self._sender.peers(), self._backends, now_s)
        self._update_suspicion(now_s)
        self._refresh(now_s)
        actions = self._probe(now_s)
        actions.extend(self._report(now_s))
        return actions

    def _index(self, pool: PoolSnapshot) -> None:
        self._backends = {}
        self._service_by_backend = {}
        for service in pool.services:
            for backend in service.backend_servers:
                if backend.state is not BackendState.REMOVED:
                    self._backends[backend.backend_id] = backend
                    self._service_by_backend[backend.backend_id] = (
                        service.service_id
                    )
        self._by_endpoint = {
            known.endpoint: known.backend_id
            for known in self._backends.values()
        }

    def _assign_probes(self, now_s: float) -> None:
        """Assign the own share of the probes, and of servers seen as down.

        No other balancer would detect the recovery of a backend server that
        only this one considers down.
        """
        view = self._view
        if view is None:
            return
        assigned: dict[str, str] = {}
        sole: set[str] = set()
        for backend_id, backend in self._backends.items():
            is_down = self._verdicts[backend_id].is_down
            probers = self._probers_of(backend, view)
            if is_down or self._host_id in probers:
                assigned[backend_id] = self._service_by_backend[backend_id]
            if probers == [self._host_id]:
                sole.add(backend_id)
        self._sole_prober_for = frozenset(sole)
        self._schedule.assign(assigned, now_s)

    def _probers_of(self, backend: BackendServer, view: LiveView) -> list[str]:
        """Return the cached probers; ranking takes 64 hashes for 64 hosts."""
        key = (backend.backend_id, backend.zone)
        if key not in self._probers:
            self._probers[key] = probing.probers(backend, view)
        return self._probers[key]

    def _fail(self, backend_id: str, now_s: float, *, is_passive: bool) -> None:
        verdict = self._verdicts.get(backend_id)
        if verdict is None:
            return
        verdict.fail(now_s, is_passive=is_passive)
        self._is_suspicion_due = True
        service_id = self._service_by_backend[backend_id]
        previous = self._last_failure.get(service_id)
        self._last_failure[service_id] = (now_s, backend_id)
        if previous is not None and now_s - previous[0] <= _FAILURE_CLUSTER_S:
            self._schedule.raise_rate(service_id, now_s)
        self._apply_outcome(backend_id, verdict, now_s)

    def _apply_outcome(
        self,
        backend_id: str,
        verdict: Verdict,
        now_s: float,
    ) -> None:
        if verdict.is_returning:
            self._returning.add(backend_id)
        if verdict.is_failing:
            self._failing.add(backend_id)
        elif not verdict.is_down:
            self._failing.discard(backend_id)
        if verdict.is_down and not self._schedule.is_assigned(backend_id):
            self._assign_probes(now_s)
        self._schedule.update_uncertain(
            backend_id,
            now_s,
            is_uncertain=verdict.is_uncertain,
        )

    def _update_suspicion(self, now_s: float) -> None:
        if not self._failing and not self._suspicion.is_active:
            return
        if not self._is_suspicion_due and now_s < self._next_suspicion_s:
            return
        self._is_suspicion_due = False
        self._next_suspicion_s = now_s + _SUSPICION_INTERVAL_S
        interval_s = self._schedule.usual_interval_s
        suspected_by_peers = self._votes.suspected()
        if self._suspicion.update(
            self._verdicts, suspected_by_peers, interval_s, now_s
        ):
            self.counters.count(Count.SELF_SUSPICIONS)

    def _refresh(self, now_s: float) -> None:
        """Recompute the results of ``is_usable`` and ``weight_ratio``."""
        self._unusable = frozenset(
            backend_id
            for backend_id in self._failing | self._votes.suspected()
            if self._is_unusable(backend_id, now_s)
        )
        self._weights = {
            backend_id: self._verdicts[backend_id].weight_ratio(now_s)
            for backend_id in self._returning
        }
        self._returning = {
            backend_id
            for backend_id in self._returning
            if self._verdicts[backend_id].is_returning
        }

    def _is_unusable(self, backend_id: str, now_s: float) -> bool:
        """Combine the own verdict with the votes of the peers.

        Failing own traffic is sufficient. Failing probes need the vote of a
        second balancer, because a fault between one prober and the backend
        server looks the same; a sole prober decides alone.
        """
        verdict = self._verdicts[backend_id]
        votes = self._votes.down_count(backend_id)
        if not self._suspicion.is_active:
            votes += self._own_votes(backend_id, verdict)
        if votes >= QUORUM and verdict.is_down:
            return True
        if now_s - verdict.last_success_s < _OWN_SUCCESS_PRIORITY_S:
            return False
        return votes >= QUORUM

    def _own_votes(self, backend_id: str, verdict: Verdict) -> int:
        """Return how many votes the own verdict counts for."""
        if not verdict.is_down:
            return 1 if verdict.is_failing else 0
        is_enough = (
            verdict.is_from_traffic or backend_id in self._sole_prober_for
        )
        return QUORUM if is_enough else 1

    def _report_silent(self, silent: SilentFlow) -> list[Action]:
        self.counters.count(Count.FLOWS_SILENT)
        if silent.caller is None:
            return []
        self.counters.refuse(ResultCode.FLOW_SILENT)
        refusal = wire.Refusal(
            request_id=0,
            code=ResultCode.FLOW_SILENT,
            retry_after_ms=_RETRY_SILENT_FLOW_MS,
        )
        return [
            SendToCaller(
                silent.service_id,
                silent.caller,
                wire.encode(refusal),
            ),
        ]

    def _probe(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for backend_id in self._schedule.pop_due(now_s):
            self._probe_id += 1
            self._schedule.record_probe(self._probe_id, backend_id, now_s)
            payload = wire.encode(wire.Probe(self._probe_id))
            self.counters.count(Count.CONTROL_SENT_BYTES, len(payload))
            target = self._backends[backend_id].endpoint
            actions.append(SendToBackend(target, payload))
        return actions

    def _report(self, now_s: float) -> list[Action]:
        if self._suspicion.is_active:
            return []
        return self._sender.send_due(self._locally_down(), now_s)

    def _locally_down(self) -> set[str]:
        return {
            backend_id
            for backend_id in self._failing
            if self._verdicts[backend_id].is_down
        }


def _needs_slow_start(
    before: BackendServer | None, after: BackendServer
) -> bool:
    """Return whether a backend server has just begun to get new flows."""
    if after.state is not BackendState.ACTIVE:
        return False
    return before is None or before.state is BackendState.JOINING
