"""Follows the store's configuration and backend servers."""

import asyncio
import random
from collections import Counter
from typing import Final, Protocol

from currantshore.errors import (
    AnswerUnreadableError,
    CallFailedError,
    HistoryLostError,
    StoreRefusedError,
)
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.holdings import Holdings
from currantshore.internal.steering.catalog import BackendEntry
from currantshore.platform.store import StoreConnection
from currantshore.wire import Endpoint

# A watch is renewed this often. A connection that has gone silent is noticed
# when its answer is overdue: 3.2 s in all, so that a reader has told the others
# what it missed within the platform's window of 4 s. A store that answers 200
# times as late as usual is not overdue yet.
_WAIT_S: Final = 2.4
_OVERDUE_S: Final = 0.8

# The store answers in 4 ms, and 100 times as late when it is slow; a page of
# a listing takes a few more milliseconds.
_READ_TIMEOUT_S: Final = 1.5

# Pauses between failed calls; the store's rates allow each reader several
# calls a second.
_RETRY_MIN_S: Final = 0.1
_RETRY_MAX_S: Final = 0.6
_MAX_DOUBLINGS: Final = 4

# An answer that cannot be read will hardly be readable a moment later, so that
# this pause grows until asking costs next to nothing.
_UNREADABLE_MAX_S: Final = 30.0
_UNREADABLE_DOUBLINGS: Final = 9

# A watch that has not told within this time of a change that other hosts know
# is taken for silent; two watches of one store differ by milliseconds.
_BEHIND_S: Final = 0.4

# Pause after a change before the next watch: what changes meanwhile comes in
# one answer, and a burst of changes costs a bounded number of calls. It is a
# small part of the 3 s within which a change has to be in force.
_GATHER_S: Final = 0.2

# How often a host that does not read looks whether it should.
_IDLE_CHECK_S: Final = 0.1


class _Subject(Protocol):
    """One kind of object that is read once and then watched."""

    name: str
    is_known: bool

    async def step(self) -> None:
        """Make one call and take over what it returned."""

    def start_over(self) -> None:
        """Read everything again in the next step."""

    def is_behind(self) -> bool:
        """Tell whether other hosts know of what a watch has not told.

        False during a listing, which takes long while the store is slow and
        has its own timeouts.
        """


class _ConfigurationSubject:
    """Follows the configuration."""

    __slots__ = ('_holdings', '_revision', '_store', '_version', 'is_known')

    name = 'configuration'

    def __init__(self, holdings: Holdings, store: StoreConnection) -> None:
        self._holdings = holdings
        self._store = store
        self._revision = 0
        self._version = 0
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
            # One that cannot be read leaves what is in force.
            self._holdings.tell_unreadable(
                'configuration', found.faults, 'store'
            )
            return
        self.is_known = True
        self._version = max(self._version, found.table.version)
        self._holdings.take_configuration(
            found.table, found.body, 'store', found.revision, found.faults
        )

    def start_over(self) -> None:
        self._revision = 0

    def is_behind(self) -> bool:
        if not self._revision:
            return False
        return self._version < self._holdings.mirror.newest_version


class _BackendSubject:
    """Follows the backend servers."""

    __slots__ = ('_holdings', '_revision', '_store', 'is_known')

    name = 'backend_servers'

    def __init__(self, holdings: Holdings, store: StoreConnection) -> None:
        self._holdings = holdings
        self._store = store
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
        self._holdings.take_changes(seen.changes, seen.faults)

    def start_over(self) -> None:
        self._revision = 0

    def is_behind(self) -> bool:
        if not self._revision:
            return False
        return self._revision < self._holdings.mirror.passed_on_revision

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
        self._holdings.take_listing(entries, faults, revision)
        self.is_known = True


class _Watch:
    """One subject, the call under way and its failures."""

    __slots__ = ('_behind_s', 'call', 'failures', 'subject')

    def __init__(self, subject: _Subject) -> None:
        self.subject = subject
        self.call: asyncio.Task[None] | None = None
        self.failures = 0
        self._behind_s = 0.0

    def is_silent(self, now_s: float) -> bool:
        """Tell whether a call under way has missed what others know."""
        if not self.subject.is_behind():
            self._behind_s = 0
            return False
        self._behind_s = self._behind_s or now_s
        return now_s - self._behind_s > _BEHIND_S

    async def run_call(self) -> BaseException | None:
        """Make one call; return what ended it, None for a success.

        A call that ``check`` has given up ends with ``CancelledError``.
        """
        self._behind_s = 0
        call = asyncio.get_running_loop().create_task(self.subject.step())
        self.call = call
        try:
            await asyncio.wait((call,))
        except asyncio.CancelledError:
            # The task of this host ends, and the call must end with it.
            call.cancel()
            raise
        self.call = None
        if call.cancelled():
            return asyncio.CancelledError()
        return call.exception()


class StoreFollower:
    """Reads the store while this host's role is to read it."""

    __slots__ = ('_holdings', '_log', '_loop', '_rng', '_watches', 'calls')

    def __init__(
        self,
        holdings: Holdings,
        endpoint: Endpoint,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        """Follow the store at ``endpoint``."""
        self._holdings = holdings
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.calls: Counter[str] = Counter()
        self._watches = (
            _Watch(
                _BackendSubject(
                    holdings, StoreConnection.from_endpoint(endpoint)
                ),
            ),
            _Watch(
                _ConfigurationSubject(
                    holdings, StoreConnection.from_endpoint(endpoint)
                ),
            ),
        )

    def is_served(self) -> bool:
        """Tell whether the store answers the calls of this host."""
        return all(
            watch.subject.is_known and not watch.failures
            for watch in self._watches
        )

    async def follow_backends(self) -> None:
        """Follow the backend servers until cancelled."""
        await self._follow(self._watches[0])

    async def follow_configuration(self) -> None:
        """Follow the configuration until cancelled."""
        await self._follow(self._watches[1])

    def check(self) -> None:
        """End calls that are needless or that have gone silent."""
        is_reader = self._holdings.mirror.role.is_reader
        for watch in self._watches:
            if watch.call is None:
                continue
            is_silent = watch.is_silent(self._loop.time())
            if is_silent:
                self._log.write('watch_silent', subject=watch.subject.name)
            if is_silent or not is_reader:
                watch.call.cancel()

    async def _follow(self, watch: _Watch) -> None:
        was_reader = True
        while True:
            is_reader = self._holdings.mirror.role.is_reader
            if is_reader != was_reader:
                was_reader = is_reader
                self._change_role(watch, is_reader=is_reader)
            if is_reader:
                await self._call(watch)
            else:
                await asyncio.sleep(_IDLE_CHECK_S)

    def _change_role(self, watch: _Watch, *, is_reader: bool) -> None:
        # What changed since the last call is read anew, not from history.
        watch.subject.start_over()
        watch.failures = 0
        self._log.write(
            'reader_role', subject=watch.subject.name, is_reader=is_reader
        )

    async def _call(self, watch: _Watch) -> None:
        self.calls[watch.subject.name] += 1
        match await watch.run_call():
            case None:
                self._tell_regained(watch)
                watch.failures = 0
                await asyncio.sleep(_GATHER_S)
            case HistoryLostError():
                self._log.write('history_lost', subject=watch.subject.name)
                watch.subject.start_over()
            case AnswerUnreadableError() as error:
                # A watch would return the same answer again.
                watch.subject.start_over()
                watch.failures += 1
                self._tell_lost(watch, error)
                await self._pause_unreadable(watch.failures)
            case CallFailedError() | StoreRefusedError() as error:
                watch.failures += 1
                self._tell_lost(watch, error)
                await self._pause(watch.failures)
            case asyncio.CancelledError():
                # Given up as silent: the store does not serve this host until
                # a later call succeeds.
                watch.failures += 1
                await self._pause(watch.failures)
            case BaseException() as error:
                raise error

    def _tell_lost(self, watch: _Watch, error: Exception) -> None:
        if watch.failures == 1:
            self._log.write(
                'store_lost', subject=watch.subject.name, error=str(error)
            )

    def _tell_regained(self, watch: _Watch) -> None:
        if watch.failures:
            self._log.write(
                'store_regained',
                subject=watch.subject.name,
                failures=watch.failures,
            )

    async def _pause(self, failures: int) -> None:
        doublings = min(failures, _MAX_DOUBLINGS)
        longest_s = min(_RETRY_MAX_S, _RETRY_MIN_S * 2**doublings)
        await asyncio.sleep(self._rng.uniform(_RETRY_MIN_S, longest_s))

    async def _pause_unreadable(self, failures: int) -> None:
        doublings = min(failures, _UNREADABLE_DOUBLINGS)
        longest_s = min(_UNREADABLE_MAX_S, _RETRY_MIN_S * 2**doublings)
        await asyncio.sleep(self._rng.uniform(longest_s / 2, longest_s))
