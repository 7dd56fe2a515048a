"""Read one kind of object of the store, and watch it for changes."""

import itertools
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, Protocol, TypeVar

from currantshore.errors import HistoryLostError
from currantshore.internal.entry.storereplica import StoreReplica
from currantshore.internal.revisions import restores_of
from currantshore.internal.steering.catalog import EvacuatedZones
from currantshore.platform.objects import (
    EvacuationPage,
    Page,
    StoredConfiguration,
)
from currantshore.platform.store import StoreConnection

# A watch is an HTTP long poll. The store answers it at the latest after the
# wait; the call fails if there is no answer within the margin after that. The
# longest wait and the margin leave a reader time to send others what it missed
# within the 4 s that the platform grants after a fault. A store that answers
# 150 times as late as usual stays within the margin.
_WATCH_MARGIN_S: Final = 0.6

# The store answers within 4 ms, or 100 times as late when it is slow; a page
# of a listing takes a few milliseconds more.
_READ_TIMEOUT_S: Final = 1.5

_PageT = TypeVar('_PageT', Page, EvacuationPage, StoredConfiguration)


class Subject(Protocol):
    """A kind of object that is read once and then watched."""

    name: str
    is_loaded: bool

    async def step(self, wait_s: float) -> None:
        """Make one call and apply its result; a watch waits ``wait_s``."""

    def is_watching(self) -> bool:
        """Return whether the next call is a watch."""

    def reset(self) -> None:
        """Read all objects again in the next step."""

    def is_behind(self) -> bool:
        """Return whether other hosts have a change that the watch lacks.

        False during a listing: it takes long if the store is slow, and each of
        its calls has a timeout.
        """

    def is_outdated(self) -> bool:
        """Return whether the store was restored since the last call.

        The store may have given out the revision again from which the watch
        started, and would not return what was written before it.
        """


class _KnownRestores:
    """The restores that the last listing showed, or that were known before it.

    A later one makes the watch after that listing outdated. One that was known
    before does not: the listing has the store's newest state, whatever a host
    says of it.
    """

    __slots__ = ('_at_listing', '_replica')

    def __init__(self, replica: StoreReplica) -> None:
        self._replica = replica
        self._at_listing = 0

    def begin_listing(self) -> None:
        self._at_listing = self._replica.newest_restores()

    def end_listing(self, revision: int) -> None:
        self._at_listing = max(self._at_listing, restores_of(revision))

    def are_newer_known(self) -> bool:
        return self._at_listing < self._replica.newest_restores()


class ConfigurationSubject:
    """Follows the configuration."""

    __slots__ = (
        '_replica',
        '_restores',
        '_revision',
        '_store',
        '_version',
        'is_loaded',
    )

    name = 'configuration'

    def __init__(self, replica: StoreReplica, store: StoreConnection) -> None:
        self._replica = replica
        self._restores = _KnownRestores(replica)
        self._store = store
        self._revision = 0
        self._version = 0
        self.is_loaded = False

    async def step(self, wait_s: float) -> None:
        if not self.is_watching():
            # A watch would not return a version that the store has lost.
            self.reset()
        if self._revision:
            update = await self._store.watch_configuration(
                self._revision, wait_s, wait_s + _WATCH_MARGIN_S
            )
        else:
            self._restores.begin_listing()
            known_version = self._replica.mirror.newest_version
            update = await self._read_all()
            # The read returns the store's newest version. A newer one that
            # other hosts knew before was lost.
            self._version = max(self._version, known_version)
            self._restores.end_listing(update.revision)
        self._revision = max(self._revision, update.revision)
        if update.table is None:
            # No new configuration, or an unreadable one: the configuration in
            # force stays.
            self._replica.log_unreadable(
                'configuration', update.faults, 'store'
            )
            return
        self.is_loaded = True
        self._version = max(self._version, update.table.version)
        self._replica.apply_configuration(
            update.table, update.body, 'store', update.revision, update.faults
        )

    def is_watching(self) -> bool:
        return self._revision > 0 and not self.is_behind()

    def reset(self) -> None:
        self._revision = 0

    def is_behind(self) -> bool:
        if not self._revision:
            return False
        return self._version < self._replica.mirror.newest_version

    def is_outdated(self) -> bool:
        return 0 < self._revision and self._restores.are_newer_known()

    async def _read_all(self) -> StoredConfiguration:
        """Return the newest configuration of all pages."""
        pages = await _read_pages(self._store.read_configuration)
        newest = max(pages, key=lambda page: page.version)
        faults = itertools.chain.from_iterable(page.faults for page in pages)
        # The watch starts at the revision of the first page, as for servers.
        return newest._replace(revision=pages[0].revision, faults=tuple(faults))


class BackendSubject:
    """Follows the backend servers."""

    __slots__ = ('_replica', '_restores', '_revision', '_store', 'is_loaded')

    name = 'backend_servers'

    def __init__(self, replica: StoreReplica, store: StoreConnection) -> None:
        self._replica = replica
        self._restores = _KnownRestores(replica)
        self._store = store
        self._revision = 0
        self.is_loaded = False

    async def step(self, wait_s: float) -> None:
        if not self._revision:
            await self._list_all()
            return
        update = await self._store.watch_backends(
            self._revision, wait_s, wait_s + _WATCH_MARGIN_S
        )
        self._revision = max(self._revision, update.revision)
        self._replica.apply_changes(update.changes, update.faults)

    def is_watching(self) -> bool:
        return self._revision > 0

    def reset(self) -> None:
        self._revision = 0

    def is_behind(self) -> bool:
        if not self._revision:
            return False
        return self._revision < self._replica.mirror.peer_revision

    def is_outdated(self) -> bool:
        return 0 < self._revision and self._restores.are_newer_known()

    async def _list_all(self) -> None:
        self._restores.begin_listing()
        pages = await _read_pages(self._store.list_backends)
        # Later pages may be newer, so the watch starts at the first page's
        # revision.
        self._revision = pages[0].revision
        self._restores.end_listing(self._revision)
        entries = [entry for page in pages for entry in page.entries]
        faults = [fault for page in pages for fault in page.faults]
        self._replica.apply_listing(entries, faults, self._revision)
        self.is_loaded = True


class EvacuationSubject:
    """Follows the evacuated zones."""

    __slots__ = (
        '_replica',
        '_restores',
        '_revision',
        '_store',
        '_zones',
        'is_loaded',
    )

    name = 'evacuated_zones'

    def __init__(self, replica: StoreReplica, store: StoreConnection) -> None:
        self._replica = replica
        self._restores = _KnownRestores(replica)
        self._revision = 0
        self._store = store
        self._zones: frozenset[str] = frozenset()
        self.is_loaded = False

    async def step(self, wait_s: float) -> None:
        faults = await (
            self._watch(wait_s) if self._revision else self._list_all()
        )
        self.is_loaded = True
        zones = self._replica.limit_zones(self._zones)
        self._replica.apply_evacuated_zones(
            EvacuatedZones(self._revision, zones), faults
        )

    def is_watching(self) -> bool:
        return self._revision > 0

    def reset(self) -> None:
        self._revision = 0

    def is_behind(self) -> bool:
        if not self._revision:
            return False
        # The revision alone also grows with changes of other objects.
        newest = self._replica.evacuated_zones()
        is_older = self._revision < newest.revision
        return is_older and newest.zones != self._replica.limit_zones(
            self._zones
        )

    def is_outdated(self) -> bool:
        return 0 < self._revision and self._restores.are_newer_known()

    async def _watch(self, wait_s: float) -> Iterable[str]:
        update = await self._store.watch_evacuated_zones(
            self._revision, wait_s, wait_s + _WATCH_MARGIN_S
        )
        self._revision = max(self._revision, update.revision)
        changed = update.is_evacuated
        self._zones = frozenset(
            zone
            for zone in self._zones | changed.keys()
            if changed.get(zone, True)
        )
        return update.faults

    async def _list_all(self) -> Iterable[str]:
        self._restores.begin_listing()
        pages = await _read_pages(self._store.list_evacuated_zones)
        # The watch starts at the revision of the first page, as for servers.
        self._revision = pages[0].revision
        self._restores.end_listing(self._revision)
        self._zones = frozenset().union(*(page.zones for page in pages))
        return [fault for page in pages for fault in page.faults]


async def _read_pages(
    read_page: Callable[[str, float], Awaitable[_PageT]],
) -> list[_PageT]:
    """Read the pages of a listing from the first to the last.

    Raises ``HistoryLostError`` if the store is restored between two pages.
    """
    pages = [await read_page('', _READ_TIMEOUT_S)]
    restores = restores_of(pages[0].revision)
    while pages[-1].next_name:
        page = await read_page(pages[-1].next_name, _READ_TIMEOUT_S)
        if restores_of(page.revision) != restores:
            raise HistoryLostError(page.next_name)
        pages.append(page)
    return pages
