"""What a host holds of configuration and backend servers, and from whom.

Every source (the store, other hosts) hands over here, so that each change of
what the host believes is logged once, with its origin and revision.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Final, TypeAlias

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.mirror.core import MirrorCore, Sending
from currantshore.internal.mirror.messages import Listing
from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    RoutingTable,
)
from currantshore.internal.steering.core import SteeringCore

# Faults that are remembered as logged: an entry is written every heartbeat, and
# a fault in it would be logged as often. More faults are logged again.
_MAX_TOLD_FAULTS: Final = 256

SpreadHook: TypeAlias = Callable[[Iterable[Sending]], None]


class Holdings:
    """Takes over what sources deliver, and passes on what is new."""

    __slots__ = (
        '_log',
        '_loop',
        '_steering',
        '_told_faults',
        'completed',
        'configuration_body',
        'is_listed',
        'mirror',
        'on_news',
        'unreadable',
    )

    def __init__(
        self,
        steering: SteeringCore,
        mirror: MirrorCore,
        log: DecisionLog,
    ) -> None:
        """Start with nothing."""
        self._steering = steering
        self._log = log
        self._loop = asyncio.get_running_loop()
        self.mirror = mirror
        self.configuration_body = b''
        # Set once packets can be forwarded.
        self.completed = asyncio.Event()
        self.is_listed = False
        self.unreadable: Counter[str] = Counter()
        self._told_faults: set[str] = set()
        # Sends messages to other hosts; set when the sockets are open.
        self.on_news: SpreadHook = _send_nowhere

    def is_complete(self) -> bool:
        """Tell whether packets can be forwarded."""
        return bool(self.is_listed and self._steering.table.version)

    def take_configuration(
        self,
        table: RoutingTable,
        body: bytes,
        origin: str,
        revision: int = 0,
        faults: Iterable[str] = (),
    ) -> None:
        """Take a configuration that ``origin`` delivered."""
        if not self.mirror.take_configuration(table):
            return
        self.configuration_body = body
        self._note_complete()
        self.tell_unreadable('configuration', faults, origin)
        self._log.write(
            'configuration_in_force',
            version=table.version,
            revision=revision,
            routes=len(table.routes),
            origin=origin,
        )
        self.on_news(self.mirror.spread(self._loop.time()))

    def take_listing(
        self,
        entries: Sequence[BackendEntry],
        faults: Iterable[str],
        revision: int,
    ) -> None:
        """Take the store's complete list of backend servers."""
        changed = self.mirror.take_listing(entries, revision, self._loop.time())
        self._tell_listed(changed, 'store', faults)

    def take_changes(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
        faults: Iterable[str],
    ) -> None:
        """Take changes of backend servers from the store."""
        changed = self.mirror.take_changes(changes, self._loop.time())
        self.tell_changed(changed, 'store', faults)
        if changed:
            self.on_news(self.mirror.spread(self._loop.time()))

    def take_peer_listing(self, listing: Listing, host: str) -> None:
        """Take the complete list of another host."""
        changed = self.mirror.on_listing(listing, self._loop.time())
        self._tell_listed(changed, host)

    def _tell_listed(
        self,
        changed: Sequence[str],
        origin: str,
        faults: Iterable[str] = (),
    ) -> None:
        if self.is_listed:
            self.tell_changed(changed, origin, faults)
            return
        # The first list is one fact, not one for each server.
        self.is_listed = True
        self._note_complete()
        self.tell_changed((), origin, faults)
        self._log.write(
            'backend_servers_listed',
            count=len(changed),
            revision=self.mirror.revision,
            origin=origin,
        )

    def _note_complete(self) -> None:
        if self.is_complete():
            self.completed.set()

    def tell_unreadable(
        self,
        kind: str,
        faults: Iterable[str],
        origin: str,
    ) -> None:
        """Count what cannot be read, and log each fault once."""
        for fault in faults:
            self.unreadable[kind] += 1
            if fault in self._told_faults:
                continue
            if len(self._told_faults) >= _MAX_TOLD_FAULTS:
                self._told_faults.clear()
            self._told_faults.add(fault)
            self._log.write(
                'object_unreadable', kind=kind, fault=fault, origin=origin
            )

    def tell_changed(
        self,
        changed: Iterable[str],
        origin: str,
        faults: Iterable[str] = (),
    ) -> None:
        """Log what changed of the backend servers."""
        self.tell_unreadable('backend_server', faults, origin)
        for backend_id in changed:
            backend = self._steering.directory.get(backend_id)
            self._log.write(
                'backend_server_changed',
                backend_id=backend_id,
                service_id=backend.entry.service_id,
                standing=backend.standing.value,
                revision=backend.entry.revision,
                origin=origin,
            )


def _send_nowhere(_: Iterable[Sending]) -> None:
    """Drop messages until the sockets are open."""
