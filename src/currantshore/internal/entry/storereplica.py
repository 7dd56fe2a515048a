"""Hold a host's replica of the configuration and the backend servers.

Data of the store, and configurations and complete lists of other hosts, are
applied here; changes in other hosts' messages are applied by the mirror core
and logged here. Thus each change is logged once, with its origin and revision.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final, TypeAlias

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.mirror.core import MirrorCore, OutgoingMessage
from currantshore.internal.mirror.messages import (
    MAX_EVACUATED_ZONES,
    MAX_ZONES_SIZE_BYTES,
    Listing,
)
from currantshore.internal.revisions import restores_of, store_revision_of
from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    EvacuatedZones,
    RoutingTable,
)
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.directory import Backend

# The number of faults that are logged only once. A server writes its entry with
# each of its own heartbeats, and a fault in it would be logged as often. Beyond
# this number, the set is cleared and faults are logged again.
_MAX_LOGGED_FAULTS: Final = 256

SendHook: TypeAlias = Callable[[Iterable[OutgoingMessage]], None]


class StoreReplica:
    """Applies and logs data; announces new configurations and store changes."""

    __slots__ = (
        '_log',
        '_logged_faults',
        '_logged_restores',
        '_loop',
        '_steering',
        'completed',
        'configuration_body',
        'is_listed',
        'mirror',
        'send_announcements',
        'unreadable',
    )

    def __init__(
        self,
        steering: SteeringCore,
        mirror: MirrorCore,
        log: DecisionLog,
    ) -> None:
        """Initialize without a configuration and a list of servers."""
        self._steering = steering
        self._log = log
        self._loop = asyncio.get_running_loop()
        self.mirror = mirror
        self.configuration_body = b''
        # Set once packets can be forwarded; never cleared.
        self.completed = asyncio.Event()
        self.is_listed = False
        self.unreadable: Counter[str] = Counter()
        self._logged_faults: set[str] = set()
        self._logged_restores = 0
        # Sends messages to other hosts; set when the sockets are open.
        self.send_announcements: SendHook = _discard_messages

    def is_complete(self) -> bool:
        """Return whether packets can be forwarded."""
        return bool(self.is_listed and self._steering.table.version)

    def apply_configuration(
        self,
        table: RoutingTable,
        body: bytes,
        origin: str,
        revision: int = 0,
        faults: Iterable[str] = (),
    ) -> None:
        """Apply a configuration from ``origin``, if it is newer.

        ``origin`` is ``'store'`` or the IP address of a host.
        """
        if not self.mirror.apply_configuration(table):
            return
        self.configuration_body = body
        self._update_completed()
        self.log_unreadable('configuration', faults, origin)
        self._log.write(
            'configuration_in_force',
            version=table.version,
            revision=store_revision_of(revision),
            routes=len(table.routes),
            origin=origin,
        )
        self._log_unnamed(self._steering.directory.unnamed(), origin)
        self.send_announcements(self.mirror.announce(self._loop.time()))

    def apply_listing(
        self,
        entries: Sequence[BackendEntry],
        faults: Iterable[str],
        revision: int,
    ) -> None:
        """Apply the store's complete list of backend servers."""
        changed = self.mirror.apply_listing(
            entries, revision, self._loop.time()
        )
        self._log_listing(changed, 'store', faults)

    def apply_changes(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
        faults: Iterable[str],
    ) -> None:
        """Apply changes of backend servers from the store."""
        changed = self.mirror.apply_changes(changes, self._loop.time())
        self.log_changed(changed, 'store', faults)
        if changed:
            self.send_announcements(self.mirror.announce(self._loop.time()))

    def apply_evacuated_zones(
        self, evacuated: EvacuatedZones, faults: Iterable[str]
    ) -> None:
        """Apply the evacuated zones from the store."""
        self.log_unreadable('evacuated_zone', faults, 'store')
        now_s = self._loop.time()
        if self.mirror.apply_evacuated_zones(evacuated, now_s):
            self.log_evacuated_zones('store')
            self.send_announcements(self.mirror.announce(now_s))

    def limit_zones(self, zones: frozenset[str]) -> frozenset[str]:
        """Return the evacuated zones that messages to other hosts can hold.

        These are all, unless another writer has left objects of their kind.
        Then zones without servers are left out first.
        """
        if _fits_digest(zones):
            return zones
        used = {
            backend.entry.zone
            for backend in self._steering.directory.all_backends()
        }
        kept: list[str] = []
        ordered = sorted(zones & used) + sorted(zones - used)
        for zone in ordered:
            if not _fits_digest((*kept, zone)):
                break
            kept.append(zone)
        fault = f'{len(zones) - len(kept)} zones are left out, of {len(zones)}'
        self.log_unreadable('evacuated_zone', [fault], 'store')
        return frozenset(kept)

    def newest_restores(self) -> int:
        """Return the most restores of the store that any host has reported."""
        return restores_of(self.mirror.newest_revision)

    def evacuated_zones(self) -> EvacuatedZones:
        """Return the evacuated zones that are in force on this host."""
        return self._steering.evacuated

    def log_evacuated_zones(self, origin: str) -> None:
        """Log the evacuated zones after a change that came from ``origin``."""
        self._log.write(
            'evacuated_zones_changed',
            zones=sorted(self._steering.directory.evacuated_zones),
            revision=store_revision_of(self._steering.evacuated.revision),
            origin=origin,
        )

    def apply_peer_listing(self, listing: Listing, host: str) -> None:
        """Apply the complete list of another host."""
        changed = self.mirror.apply_peer_listing(listing, self._loop.time())
        self._log_listing(changed, host)

    def _log_listing(
        self,
        changed: Sequence[str],
        origin: str,
        faults: Iterable[str] = (),
    ) -> None:
        if self.is_listed:
            self.log_changed(changed, origin, faults)
            return
        # The first list is logged as one event, not as one for each server.
        self.is_listed = True
        self._update_completed()
        self.log_changed((), origin, faults)
        self._log.write(
            'backend_servers_listed',
            count=len(changed),
            revision=store_revision_of(self.mirror.revision),
            origin=origin,
        )

    def _log_restored(self, origin: str) -> None:
        restores = restores_of(self.mirror.revision)
        if restores > self._logged_restores:
            self._logged_restores = restores
            self._log.write('store_restored', restores=restores, origin=origin)

    def _update_completed(self) -> None:
        if self.is_complete():
            self.completed.set()

    def log_unreadable(
        self,
        kind: str,
        faults: Iterable[str],
        origin: str,
    ) -> None:
        """Count the faults of unreadable objects, and log each fault once."""
        for fault in faults:
            self.unreadable[kind] += 1
            if fault in self._logged_faults:
                continue
            if len(self._logged_faults) >= _MAX_LOGGED_FAULTS:
                self._logged_faults.clear()
            self._logged_faults.add(fault)
            self._log.write(
                'object_unreadable', kind=kind, fault=fault, origin=origin
            )

    def _log_unnamed(self, backends: Iterable[Backend], origin: str) -> None:
        faults = (
            f'{backend.entry.backend_id}: no configuration names the service'
            f' {backend.entry.service_id!r}'
            for backend in backends
        )
        self.log_unreadable('backend_server', faults, origin)

    def log_changed(
        self,
        changed: Iterable[str],
        origin: str,
        faults: Iterable[str] = (),
    ) -> None:
        """Log the backend servers that changed, and the faults."""
        self._log_restored(origin)
        self.log_unreadable('backend_server', faults, origin)
        directory = self._steering.directory
        for backend_id in changed:
            backend = directory.get(backend_id)
            if not directory.is_named(backend):
                self._log_unnamed((backend,), origin)
            self._log.write(
                'backend_server_changed',
                backend_id=backend_id,
                service_id=backend.entry.service_id,
                standing=backend.standing.value,
                revision=store_revision_of(backend.entry.revision),
                origin=origin,
            )


def _fits_digest(zones: Collection[str]) -> bool:
    size_bytes = sum(len(zone.encode()) for zone in zones)
    return (
        len(zones) <= MAX_EVACUATED_ZONES and size_bytes <= MAX_ZONES_SIZE_BYTES
    )


def _discard_messages(_: Iterable[OutgoingMessage]) -> None:
    """Discard messages while the sockets are not open."""
