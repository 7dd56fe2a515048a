"""Chooses backends for openings and for copies of late openings.

This combines the chooser of backends, the gate that refuses openings in floods,
and the budget of copies. The module of each says which load it is meant for.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.catalog import Route, ServiceShare
from currantshore.internal.steering.choosing import build_chooser
from currantshore.internal.steering.directory import (
    Backend,
    BackendDirectory,
)
from currantshore.internal.steering.flowrecords import FlowRecord, FlowRecords
from currantshore.internal.steering.lateopenings import (
    LateOpenings,
    late_after_s,
)
from currantshore.internal.steering.mechanisms import SwitchedOff
from currantshore.internal.steering.openinggate import Gate
from currantshore.internal.steering.routesinforce import RoutesInForce
from currantshore.internal.steering.warmup import WarmupLimiter

Decision: TypeAlias = Backend | FlowRefusal


class OpeningCopy(NamedTuple):
    """An opening to send to a second backend as well."""

    datagram: bytes
    backend: Backend


class OpeningPlacer:
    """Places openings on the backends of a host's directory.

    If a route has several services, one is drawn by weight for each opening.
    ``NO_BACKEND_SERVER`` means that the directory has no usable backend of this
    service, ``ZONE_EVACUATED`` that it has some in evacuated zones only, and
    ``SERVICE_WARMING`` that those that are left are cold and get no more now.
    The calling code decides whether the directory is current enough to refuse
    the opening.
    """

    __slots__ = (
        '_chooser',
        '_directory',
        '_gate',
        '_late_openings',
        '_records',
        '_rng',
        '_warmup',
    )

    def __init__(
        self,
        directory: BackendDirectory,
        records: FlowRecords,
        gate: Gate,
        warmup: WarmupLimiter,
        rng: random.Random,
        switched_off: SwitchedOff,
    ) -> None:
        """Place flows of ``records`` on backends of ``directory``."""
        self._directory = directory
        self._records = records
        self._gate = gate
        self._rng = rng
        self._warmup = warmup
        self._late_openings = LateOpenings.from_config(switched_off)
        self._chooser = build_chooser(
            directory.zone, rng, records.busy_shares, warmup, switched_off
        )

    def late_after_s(self) -> float:
        """Return the age from which an unanswered opening counts as late."""
        return late_after_s(self._records.usual_opening.estimate)

    def place(
        self,
        flow_key: bytes,
        route: Route,
        datagram: bytes,
        now_s: float,
        *,
        is_repeated: bool,
    ) -> Decision:
        """Choose the backend of the first opening that arrives for a flow.

        With ``is_repeated``, the caller sent the opening before, through
        another host, and the gate does not refuse it.
        """
        self._late_openings.refill()
        backend = self._choose(route, (), now_s)
        if backend is None:
            return self._refusal(route, now_s)
        if self._warmup.yields_to_urgent(route, backend, now_s):
            return FlowRefusal.SERVICE_WARMING
        service_id = backend.entry.service_id
        if not (is_repeated or self._gate.admits(route, service_id, now_s)):
            return FlowRefusal.SERVICE_FULL
        self._warmup.record_opening(backend, now_s)
        record = self._records.add_opening(flow_key, backend, now_s)
        record.address_key = route.address_key
        record.datagram = datagram
        self._late_openings.add(flow_key, now_s + self.late_after_s())
        return backend

    def place_again(
        self,
        flow_key: bytes,
        record: FlowRecord,
        route: Route,
        now_s: float,
    ) -> Decision:
        """Place a repeated opening, preferably on an untried backend."""
        backend = self._choose(route, record.tried, now_s)
        if backend is None:
            backend = self._choose(route, (), now_s)
        if backend is None:
            return self._refusal(route, now_s)
        self._warmup.record_opening(backend, now_s)
        self._records.add_attempt(flow_key, record, backend, now_s)
        return backend

    def copy_late(
        self,
        routes: RoutesInForce,
        now_s: float,
    ) -> list[OpeningCopy]:
        """Return copies of the openings that have become late by ``now_s``."""
        copies = []
        for flow_key in self._late_openings.pop_late(now_s):
            copy = self._copy(flow_key, routes, now_s)
            if copy is not None:
                copies.append(copy)
        return copies

    def _refusal(self, route: Route, now_s: float) -> FlowRefusal:
        """Return why no backend of any service of ``route`` is usable."""
        if any(
            self._warmup.refuses(route, share.service_id, now_s)
            for share in route.shares
        ):
            return FlowRefusal.SERVICE_WARMING
        if any(
            share.weight > 0 and self._directory.is_evacuated(share.service_id)
            for share in route.shares
        ):
            return FlowRefusal.ZONE_EVACUATED
        return FlowRefusal.NO_BACKEND_SERVER

    def _copy(
        self,
        flow_key: bytes,
        routes: RoutesInForce,
        now_s: float,
    ) -> OpeningCopy | None:
        record = self._records.find(flow_key)
        if record is None or record.is_open or len(record.tried) > 1:
            return None
        if not self._late_openings.may_copy():
            return None
        route = routes.find(record.address_key)
        if route is None:
            return None
        backend = self._choose(route, record.tried, now_s)
        if backend is None:
            return None
        self._late_openings.consume()
        self._warmup.record_opening(backend, now_s)
        self._records.add_attempt(flow_key, record, backend, now_s)
        return OpeningCopy(record.datagram, backend)

    def _choose(
        self,
        route: Route,
        tried: Sequence[Backend],
        now_s: float,
    ) -> Backend | None:
        service_id = self._choose_service(route.shares)
        if service_id is None:
            return None
        return self._chooser.choose(
            self._directory.near(service_id),
            self._directory.far(service_id),
            route.kind,
            tried,
            now_s,
        )

    def _choose_service(self, shares: Sequence[ServiceShare]) -> str | None:
        weights = [max(share.weight, 0) for share in shares]
        if not any(weights):
            return None
        return self._rng.choices(shares, weights)[0].service_id
