"""Follows the store's configuration and backend servers."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from currantshore.errors import (
    CallFailedError,
    HistoryLostError,
    StoreRefusedError,
)
from currantshore.internal.steering.catalog import BackendEntry
from currantshore.internal.steering.core import SteeringCore
from currantshore.platform.store import StoreConnection
from currantshore.wire import Endpoint

# A watch is renewed this often. A connection that has gone silent is noticed
# when its answer is overdue: 4.5 s in all, within the platform's window of 4 s
# and the 3 s that a change may take.
_WAIT_S: Final = 4.0
_OVERDUE_S: Final = 0.5

# The store answers in milliseconds; a listing of a page takes a few more.
_READ_TIMEOUT_S: Final = 1.0

# Pauses between failed calls; the store's rates allow each host several calls
# a second.
_RETRY_MIN_S: Final = 0.1
_RETRY_MAX_S: Final = 0.6
_MAX_DOUBLINGS: Final = 4

LogHook: TypeAlias = Callable[..., None]


class _Subject(Protocol):
    """One kind of object that is read once and then watched."""

    name: str

    async def step(self) -> None:
        """Make one call and take over what it returned."""

    def start_over(self) -> None:
        """Read everything again in the next step."""


class _ConfigurationSubject:
    """Follows the configuration."""

    __slots__ = ('_core', '_log', '_revision', '_store', 'is_known')

    name = 'configuration'

    def __init__(
        self,
        core: SteeringCore,
        store: StoreConnection,
        log: LogHook,
    ) -> None:
        self._core = core
        self._store = store
        self._log = log
        self._revision = 0
        self.is_known = False

    async def step(self) -> None:
        if self._revision:
            found = await self._store.watch_configuration(
                self._revision, _WAIT_S, _WAIT_S + _OVERDUE_S
            )
        else:
            found = await self._store.read_configuration(_READ_TIMEOUT_S)
        self._revision = max(self._revision, found.revision)
        if found.table is None:
            return
        self.is_known = True
        if self._core.configure(found.table):
            self._log(
                'configuration_in_force',
                version=found.table.version,
                revision=found.revision,
                routes=len(found.table.routes),
            )

    def start_over(self) -> None:
        self._revision = 0


class _BackendSubject:
    """Follows the backend servers."""

    __slots__ = ('_core', '_log', '_loop', '_revision', '_store', 'is_known')

    name = 'backend_servers'

    def __init__(
        self,
        core: SteeringCore,
        store: StoreConnection,
        log: LogHook,
    ) -> None:
        self._core = core
        self._store = store
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._revision = 0
        self.is_known = False

    async def step(self) -> None:
        if not self._revision:
            await self._list_all()
            return
        seen = await self._store.watch_backends(
            self._revision, _WAIT_S, _WAIT_S + _OVERDUE_S
        )
        self._revision = max(self._revision, seen.revision)
        changed = self._core.change_backends(
            seen.changes, seen.revision, self._loop.time()
        )
        self._tell(changed, seen.faults)

    def start_over(self) -> None:
        self._revision = 0

    async def _list_all(self) -> None:
        page = await self._store.list_backends('', _READ_TIMEOUT_S)
        # A later page may be newer; the watch starts at the first one.
        revision = page.revision
        entries: list[BackendEntry] = list(page.entries)
        faults = list(page.faults)
        while page.next_name:
            page = await self._store.list_backends(
                page.next_name, _READ_TIMEOUT_S
            )
            entries += page.entries
            faults += page.faults
        self._revision = revision
        changed = self._core.list_backends(entries, revision, self._loop.time())
        self.is_known = True
        self._tell(changed, faults)

    def _tell(self, changed: list[str], faults: list[str]) -> None:
        for fault in faults:
            self._log('backend_entry_unreadable', fault=fault)
        for backend_id in changed:
            backend = self._core.directory.get(backend_id)
            self._log(
                'backend_server_changed',
                backend_id=backend_id,
                service_id=backend.entry.service_id,
                standing=backend.standing.value,
                revision=self._revision,
            )


class StoreFollower:
    """Keeps the steering core up to date with the store."""

    __slots__ = ('_backends', '_configuration', '_log', '_rng')

    def __init__(
        self,
        core: SteeringCore,
        endpoint: Endpoint,
        log: LogHook,
        rng: random.Random,
    ) -> None:
        """Follow the store at ``endpoint``."""
        self._log = log
        self._rng = rng
        self._configuration = _ConfigurationSubject(
            core, StoreConnection.from_endpoint(endpoint), log
        )
        self._backends = _BackendSubject(
            core, StoreConnection.from_endpoint(endpoint), log
        )

    def is_ready(self) -> bool:
        """Tell whether both kinds of objects have been read once."""
        return self._configuration.is_known and self._backends.is_known

    async def follow_configuration(self) -> None:
        """Follow the configuration until cancelled."""
        await self._follow(self._configuration)

    async def follow_backends(self) -> None:
        """Follow the backend servers until cancelled."""
        await self._follow(self._backends)

    async def _follow(self, subject: _Subject) -> None:
        failures = 0
        while True:
            try:
                await subject.step()
            except HistoryLostError:
                self._log('history_lost', subject=subject.name)
                subject.start_over()
            except (CallFailedError, StoreRefusedError) as error:
                failures += 1
                self._tell_lost(subject, failures, error)
                await self._pause(failures)
            else:
                self._tell_regained(subject, failures)
                failures = 0

    def _tell_lost(
        self,
        subject: _Subject,
        failures: int,
        error: Exception,
    ) -> None:
        if failures == 1:
            self._log('store_lost', subject=subject.name, error=str(error))

    def _tell_regained(self, subject: _Subject, failures: int) -> None:
        if failures:
            self._log('store_regained', subject=subject.name, failures=failures)

    async def _pause(self, failures: int) -> None:
        doublings = min(failures, _MAX_DOUBLINGS)
        longest_s = min(_RETRY_MAX_S, _RETRY_MIN_S * 2**doublings)
        await asyncio.sleep(self._rng.uniform(_RETRY_MIN_S, longest_s))
