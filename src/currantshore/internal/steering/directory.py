"""Keeps a host's copy of the entries of backend servers."""

import enum
import math
from collections.abc import Container, Iterable, Mapping, Sequence
from typing import Final

from currantshore.internal.hashing import short_hash
from currantshore.internal.revisions import restores_of
from currantshore.internal.steering.catalog import BackendEntry, BackendRemoved
from currantshore.wire import Endpoint

# The token of a caller that has not received one yet.
_NO_TOKEN: Final = 0

# An entry has lapsed when the store no longer lists it. Entries that lapsed
# during an outage of the store are back within about 2 s of its return, as the
# platform specifies. A backend must not get new flows later than 3 s after it
# has gone. The grace period lies between the two.
LAPSE_GRACE_S: Final = 2.5

# The list of a store that was restored from an older copy may name servers as
# ready that drain or have gone. Writers repeat what was lost within about 2 s
# of the store's return, as with lapsed entries.
RESTORE_GRACE_S: Final = LAPSE_GRACE_S

# For up to the platform's flow lifetime of 60 s after a backend has gone,
# packets can carry its token.
_FORGET_AFTER_S: Final = 60.0

_MILLISECONDS: Final = 1000

# A backend that starts again gives no answers for at least this long.
RESTART_S: Final = 1.0


@enum.unique
class Standing(enum.Enum):
    """State of a backend's entry; decides whether it may get new flows."""

    READY = 'ready'
    DRAINING = 'draining'
    LAPSED = 'lapsed'


class Backend:
    """A backend server: its entry and the observations of its flows.

    ``pending_requests`` maps the keys of flows with an unanswered request to
    the time of the request. ``pending_openings`` maps the keys of flows with an
    unanswered opening to the time at which it was sent here last. Both are in
    the order in which the keys were added. ``mean_latency_s`` is 0
    before the first answer. ``latency_ratio`` is the mean of its latencies
    divided by the usual latency of their routes. The backend is cold until
    ``cold_until_s`` at the latest, and ``returned_s`` is when it last answered
    after a silence in which it may have started again. Until
    ``draining_until_s`` it counts as draining, whatever its entry says.
    ``updated_s`` is when its entry was applied, ``replaced_s`` when that of
    another backend with its address was, and ``alive_s`` when the newest packet
    that it answered was sent to it. ``is_shadowed`` is whether another backend
    has its token.
    """

    __slots__ = (
        'alive_s',
        'cold_until_s',
        'entry',
        'draining_until_s',
        'flow_count',
        'is_shadowed',
        'lapsed_s',
        'last_answer_s',
        'latency_ratio',
        'latency_updated_s',
        'mean_latency_s',
        'pending_openings',
        'pending_requests',
        'replaced_s',
        'returned_s',
        'standing',
        'suspect_until_s',
        'token',
        'updated_s',
    )

    def __init__(self, entry: BackendEntry, now_s: float) -> None:
        """Initialize a backend without observations."""
        self.token = backend_token(entry.backend_id)
        self.pending_requests: dict[bytes, float] = {}
        self.pending_openings: dict[bytes, float] = {}
        self.flow_count = 0
        self.last_answer_s = now_s
        self.suspect_until_s = 0.0
        self.mean_latency_s = 0.0
        self.latency_ratio = 1.0
        self.latency_updated_s = now_s
        self.replaced_s = -math.inf
        self.alive_s = -math.inf
        self.is_shadowed = False
        self.cold_until_s = 0.0
        self.returned_s = -math.inf
        self.draining_until_s = 0.0
        self.update(entry, now_s)

    @property
    def is_replaced(self) -> bool:
        """Whether another backend has announced its address.

        An answer to a packet that was sent after the announcement refutes it.
        """
        return self.replaced_s > self.alive_s

    def record_answer(self, now_s: float, sent_s: float | None = None) -> None:
        """Record that the backend answers, and whether it was silent before.

        ``sent_s`` is when the answered packet was sent, None if that is not
        known. ``returned_s`` is set if the backend was suspected and gave no
        answer for as long as a restart takes: the entry of its new start may
        not be known yet.
        """
        if sent_s is not None:
            self.alive_s = max(self.alive_s, sent_s)
        is_suspected = self.suspect_until_s > self.last_answer_s
        if is_suspected and now_s - self.last_answer_s > RESTART_S:
            self.returned_s = now_s
        self.last_answer_s = now_s

    def update(self, entry: BackendEntry, now_s: float) -> None:
        """Apply a newer entry of the same backend, received at ``now_s``.

        The entry may be old, so that the backend counts as cold for too long
        rather than too short a time.
        """
        self.entry = entry
        self.updated_s = now_s
        if entry.warmup_left_ms:
            left_s = entry.warmup_left_ms / _MILLISECONDS
            self.cold_until_s = max(self.cold_until_s, now_s + left_s)
        self.lapsed_s = 0.0
        self.draining_until_s = 0.0
        self.standing = (
            Standing.DRAINING if entry.is_draining else Standing.READY
        )


def backend_token(backend_id: str) -> int:
    """Return the 32-bit token of a backend's flows, never 0.

    Every host computes it from the id alone, so that any host can forward any
    packet of a flow, also if it receives no earlier packet of the flow.
    """
    return short_hash(backend_id) or 1


class BackendDirectory:
    """Backend servers by id, by token and by service.

    An entry is applied only if its revision is newer than that of the stored
    one, so that the order in which the store and peers deliver entries does
    not matter. A backend that has gone keeps its token for a minute, so that
    packets of its last flows still reach it. The platform's ids are unique, so
    that no other backend gets the same id and token; tokens of different ids
    are rarely equal.

    Backends of evacuated zones are left out where backends for new flows are
    looked up, so that the choice of a backend does not have to check them.

    Once the services are named, entries of other services are kept, to be
    passed on to other hosts, but name no backend: they have no token, get no
    flow and replace no other backend.

    The cost of a change depends on the number of backends in it. All backends
    are sorted again only when two ids have the same token, a backend changes
    its zone or service, the evacuated zones or the named services change, or
    expired backends are dropped.
    """

    __slots__ = (
        '_by_endpoint',
        '_by_id',
        '_by_token',
        '_evacuated_services',
        'evacuated_zones',
        '_far',
        '_is_index_stale',
        '_named_services',
        '_near',
        'revision',
        'zone',
    )

    def __init__(self, zone: str) -> None:
        """Initialize an empty directory for a host in ``zone``."""
        self.zone = zone
        # The backend that announced itself last at each address.
        self._by_endpoint: dict[Endpoint, Backend] = {}
        self._by_id: dict[str, Backend] = {}
        self._by_token: dict[int, Backend] = {}
        self._near: dict[str, list[Backend]] = {}
        self._far: dict[str, list[Backend]] = {}
        self._is_index_stale = False
        self.evacuated_zones: frozenset[str] = frozenset()
        # Services with a backend in an evacuated zone.
        self._evacuated_services: set[str] = set()
        # None until the first configuration is known.
        self._named_services: frozenset[str] | None = None
        self.revision = 0

    def get(self, backend_id: str) -> Backend:
        """Return the backend of an id; raise ``KeyError`` without one."""
        return self._by_id[backend_id]

    def find(self, token: int) -> Backend | None:
        """Return the backend of ``token``, or None."""
        return self._by_token.get(token)

    def near(self, service_id: str) -> Sequence[Backend]:
        """Return the backends of a service in this host's zone.

        Empty while the zone is evacuated.
        """
        return self._near.get(service_id, ())

    def far(self, service_id: str) -> Sequence[Backend]:
        """Return the backends of a service in other zones.

        Those of evacuated zones are left out.
        """
        return self._far.get(service_id, ())

    def is_evacuated(self, service_id: str) -> bool:
        """Return whether a service has backends in evacuated zones."""
        return service_id in self._evacuated_services

    def in_zones(self, zones: Container[str]) -> Iterable[Backend]:
        """Return the backends of ``zones``, including lapsed ones."""
        return (
            backend
            for backend in self._by_id.values()
            if backend.entry.zone in zones
        )

    def name_services(self, service_ids: frozenset[str]) -> None:
        """Use the backends of ``service_ids`` and of services named before.

        The flows of a service that is no longer named stay open.
        """
        named = service_ids.union(self._named_services or ())
        if named == self._named_services:
            return
        self._named_services = named
        self._by_endpoint = {}
        for backend in self._by_id.values():
            backend.replaced_s = -math.inf
            self._update_endpoint(backend)
        self._rebuild_index()

    def is_named(self, backend: Backend) -> bool:
        """Return whether the service of a backend is named."""
        named = self._named_services
        return named is None or backend.entry.service_id in named

    def unnamed(self) -> Iterable[Backend]:
        """Return the backends of services that are not named."""
        return (
            backend
            for backend in self._by_id.values()
            if not self.is_named(backend)
        )

    def evacuate(self, zones: frozenset[str]) -> bool:
        """Offer no backends of ``zones``; return whether the set changed.

        Evacuated backends keep their flows and are found by their tokens.
        """
        if zones == self.evacuated_zones:
            return False
        self.evacuated_zones = zones
        self._rebuild_index()
        return True

    def all_backends(self) -> Iterable[Backend]:
        """Return all backends, including lapsed ones."""
        return self._by_id.values()

    def entries(self) -> Mapping[str, BackendEntry]:
        """Return the entries of all backends that have not lapsed, by id."""
        return {
            backend_id: backend.entry
            for backend_id, backend in self._by_id.items()
            if backend.standing is not Standing.LAPSED
        }

    def replace_all(
        self,
        entries: Iterable[BackendEntry],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Apply the complete listing of ``revision``; return changed ids.

        Backends that are missing in it have lapsed, unless their entries are
        newer than the listing. After a restore of the store, an entry may be
        older than the known one.
        """
        usable = {
            entry.backend_id: entry
            for entry in entries
            if not self._is_of_earlier_start(entry)
        }
        changed = [
            entry.backend_id
            for entry in usable.values()
            if self._apply_listed(entry, now_s)
        ]
        for backend_id, backend in self._by_id.items():
            is_newer = backend.entry.revision > revision
            if backend_id not in usable and not is_newer:
                if self._lapse(backend, now_s):
                    changed.append(backend_id)
        self._finish_update(revision)
        return changed

    def apply(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Apply changes up to ``revision``; return the changed ids."""
        changed: list[str] = []
        for change in changes:
            match change:
                case BackendEntry(backend_id=backend_id):
                    has_changed = self._apply_entry(change, now_s)
                case BackendRemoved(backend_id=backend_id):
                    has_changed = self._remove(change, now_s)
            if has_changed:
                changed.append(backend_id)
        self._finish_update(revision)
        return changed

    def forget_old(self, now_s: float) -> None:
        """Drop backends that lapsed longer ago than the lifetime of a flow."""
        expired = [
            backend
            for backend in self._by_id.values()
            if backend.standing is Standing.LAPSED
            and now_s - backend.lapsed_s > _FORGET_AFTER_S
        ]
        for backend in expired:
            self._by_id.pop(backend.entry.backend_id)
            if self._by_token.get(backend.token) is backend:
                self._by_token.pop(backend.token)
            endpoint = backend.entry.endpoint
            if self._by_endpoint.get(endpoint) is backend:
                self._by_endpoint.pop(endpoint)
        if expired:
            self._rebuild_index()

    def _is_of_earlier_start(self, entry: BackendEntry) -> bool:
        """Return whether a restore lost a later start of the backend."""
        known = self._by_id.get(entry.backend_id)
        return (
            known is not None
            and _is_restored_between(known.entry, entry)
            and entry.started_ms < known.entry.started_ms
        )

    def _apply_listed(self, entry: BackendEntry, now_s: float) -> bool:
        """Apply an entry of a listing; hold back what only a copy says."""
        known = self._by_id.get(entry.backend_id)
        if (
            known is None
            or known.entry.started_ms != entry.started_ms
            or not _is_restored_between(known.entry, entry)
        ):
            return self._apply_entry(entry, now_s)
        was_lapsed = known.standing is Standing.LAPSED
        was_draining = (
            known.standing is Standing.DRAINING
            or now_s < known.draining_until_s
        )
        has_changed = self._apply_entry(entry, now_s)
        if was_lapsed:
            known.suspect_until_s = now_s + RESTORE_GRACE_S
        if was_draining:
            known.draining_until_s = now_s + RESTORE_GRACE_S
        return has_changed

    def _apply_entry(self, entry: BackendEntry, now_s: float) -> bool:
        backend = self._by_id.get(entry.backend_id)
        if backend is None:
            self._add(Backend(entry, now_s))
            return True
        if backend.entry.revision >= entry.revision:
            return False
        if backend.entry.started_ms != entry.started_ms:
            # A backend that restarts under the same id loses its flows.
            backend.pending_requests.clear()
            backend.pending_openings.clear()
            backend.last_answer_s = now_s
            backend.suspect_until_s = 0
            backend.latency_ratio = 1
            backend.cold_until_s = 0
        if _index_key(backend.entry) != _index_key(entry):
            self._is_index_stale = True
        backend.update(entry, now_s)
        self._update_endpoint(backend)
        return True

    def _remove(self, removal: BackendRemoved, now_s: float) -> bool:
        backend = self._by_id.get(removal.backend_id)
        if backend is None or backend.entry.revision > removal.revision:
            return False
        return self._lapse(backend, now_s)

    def _lapse(self, backend: Backend, now_s: float) -> bool:
        if backend.standing is Standing.LAPSED:
            return False
        backend.standing = Standing.LAPSED
        backend.lapsed_s = now_s
        return True

    def _add(self, backend: Backend) -> None:
        self._by_id[backend.entry.backend_id] = backend
        if not self.is_named(backend):
            return
        self._update_endpoint(backend)
        owner = self._by_token.setdefault(backend.token, backend)
        if owner is backend:
            self._add_to_service(backend)
        else:
            self._is_index_stale = True

    def _update_endpoint(self, backend: Backend) -> None:
        # An address is reused only after its backend has ended, and a backend
        # that has ended does not announce itself. The newest announcement
        # therefore names the owner, and after a restore the latest start. It
        # names none if its server did not start later than the other one: such
        # an entry is a copy.
        if not self.is_named(backend):
            return
        backend.replaced_s = -math.inf
        endpoint = backend.entry.endpoint
        owner = self._by_endpoint.setdefault(endpoint, backend)
        if owner is backend:
            return
        if owner.entry.endpoint != endpoint:
            self._by_endpoint[endpoint] = backend
        elif _replaces(backend.entry, owner.entry):
            self._by_endpoint[endpoint] = backend
            owner.replaced_s = backend.updated_s
        elif _replaces(owner.entry, backend.entry):
            backend.replaced_s = owner.updated_s

    def _add_to_service(self, backend: Backend) -> None:
        if backend.entry.zone in self.evacuated_zones:
            self._evacuated_services.add(backend.entry.service_id)
            return
        is_near = backend.entry.zone == self.zone
        services = self._near if is_near else self._far
        services.setdefault(backend.entry.service_id, []).append(backend)

    def _finish_update(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        if self._is_index_stale:
            self._rebuild_index()

    def _rebuild_index(self) -> None:
        self._is_index_stale = False
        self._near = {}
        self._far = {}
        self._evacuated_services.clear()
        # Sorted by id, so that if two ids have the same token, every host
        # assigns it to the same backend. The other one gets no new flows.
        self._by_token = {}
        for _, backend in sorted(self._by_id.items()):
            if not self.is_named(backend):
                continue
            owner = self._by_token.setdefault(backend.token, backend)
            backend.is_shadowed = owner is not backend
            if not backend.is_shadowed:
                self._add_to_service(backend)


def _is_restored_between(known: BackendEntry, entry: BackendEntry) -> bool:
    return restores_of(known.revision) < restores_of(entry.revision)


def _is_announced_after(entry: BackendEntry, other: BackendEntry) -> bool:
    is_same_history = restores_of(entry.revision) == restores_of(other.revision)
    if is_same_history or entry.started_ms == other.started_ms:
        return entry.revision >= other.revision
    return entry.started_ms > other.started_ms


def _replaces(entry: BackendEntry, other: BackendEntry) -> bool:
    # 0 is the start of a server that does not state it.
    is_start_known = entry.started_ms and other.started_ms
    if is_start_known and entry.started_ms <= other.started_ms:
        return False
    return _is_announced_after(entry, other)


def _index_key(entry: BackendEntry) -> tuple[str, str]:
    return entry.zone, entry.service_id
