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
from currantshore.platform.objects import Configured, Page
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

# The first watch after a listing returns at once, with what has changed since.
_CONFIRM_WAIT_S: Final = 0.001

# When all hosts start at once, those that are no seed leave the first watch to
# the seeds for this long: one to two rounds of digests, in which they learn
# whether another host reads.
_CONFIRM_DELAY_MIN_S: Final = 0.3
_CONFIRM_DELAY_MAX_S: Final = 0.9

# How often a host that does not read looks whether it should.
_IDLE_CHECK_S: Final = 0.1


class _Subject(Protocol):
    """One kind of object that is listed once and then watched."""

    name: str
    # Whether something of this kind has been read.
    is_known: bool

    async def list_all(self, *, may_be_stale: bool) -> int:
        """Read and take over everything; return its revision."""

    async def watch(self, revision: int, wait_s: float) -> int:
        """Take over what changed since; return the revision reached."""

    def is_behind(self, revision: int) -> bool:
        """Tell whether other hosts know of what the store has not told."""


class _ConfigurationSubject:
    """Reads the configuration."""

    __slots__ = ('_holdings', '_store', '_version', 'is_known')

    name = 'configuration'

    def __init__(self, holdings: Holdings, store: StoreConnection) -> None:
        self._holdings = holdings
        self._store = store
        self._version = 0
        self.is_known = False

    async def list_all(self, *, may_be_stale: bool) -> int:
        return self._take(
            await self._store.read_configuration(
                _READ_TIMEOUT_S, may_be_stale=may_be_stale
            )
        )

    async def watch(self, revision: int, wait_s: float) -> int:
        return self._take(
            await self._store.watch_configuration(
                revision, wait_s, wait_s + _OVERDUE_S
            )
        )

    def is_behind(self, revision: int) -> bool:
        return self._version < self._holdings.mirror.newest_version

    def _take(self, found: Configured) -> int:
        if found.table is None:
            # One that cannot be read leaves what is in force.
            self._holdings.tell_unreadable(
                'configuration', found.faults, 'store'
            )
            return found.revision
        self.is_known = True
        self._version = max(self._version, found.table.version)
        self._holdings.take_configuration(
            found.table, found.body, 'store', found.revision, found.faults
        )
        return found.revision


class _BackendSubject:
    """Reads the backend servers."""

    __slots__ = ('_holdings', '_store', 'is_known')

    name = 'backend_servers'

    def __init__(self, holdings: Holdings, store: StoreConnection) -> None:
        self._holdings = holdings
        self._store = store
        self.is_known = False

    async def list_all(self, *, may_be_stale: bool) -> int:
        pages: list[Page] = []
        next_name = ''
        while next_name or not pages:
            pages.append(
                await self._store.list_backends(
                    next_name, _READ_TIMEOUT_S, may_be_stale=may_be_stale
                )
            )
            next_name = pages[-1].next_name
        # Pages may be of different ages; the whole holds at the oldest.
        revision = min(page.revision for page in pages)
        entries = [entry for page in pages for entry in page.entries]
        faults = [fault for page in pages for fault in page.faults]
        self._holdings.take_listing(entries, faults, revision)
        self.is_known = True
        return revision

    async def watch(self, revision: int, wait_s: float) -> int:
        seen = await self._store.watch_backends(
            revision, wait_s, wait_s + _OVERDUE_S
        )
        self._holdings.take_changes(seen.changes, seen.faults)
        return seen.revision

    def is_behind(self, revision: int) -> bool:
        return revision < self._holdings.mirror.passed_on_revision


class _Watch:
    """One subject, what has been read of it, and the call under way.

    A listing may be a stale read: it costs a tenth, and hundreds of hosts list
    when all start at once. The first watch goes on from there and returns at
    once; with its answer the host holds what the store holds.
    """

    __slots__ = (
        '_behind_s',
        '_must_be_fresh',
        '_revision',
        'call',
        'failures',
        'is_confirmed',
        'subject',
    )

    def __init__(self, subject: _Subject) -> None:
        self.subject = subject
        self.call: asyncio.Task[None] | None = None
        self.failures = 0
        self.is_confirmed = False
        self._behind_s = 0.0
        self._must_be_fresh = False
        self._revision = 0

    def is_listed(self) -> bool:
        """Tell whether a listing has been read that a watch can go on from."""
        return bool(self._revision)

    def is_served(self) -> bool:
        """Tell whether the store answers, and all that it holds is known."""
        return self.subject.is_known and self.is_confirmed and not self.failures

    def is_silent(self, now_s: float) -> bool:
        """Tell whether a watch under way has missed what others know.

        A listing of a slow store takes longer than that, and has its timeouts.
        """
        if not self._revision or not self.subject.is_behind(self._revision):
            self._behind_s = 0
            return False
        self._behind_s = self._behind_s or now_s
        return now_s - self._behind_s > _BEHIND_S

    def start_over(self) -> None:
        """List everything again in the next call."""
        self._revision = 0
        self.is_confirmed = False

    def forget_history(self) -> None:
        """List again: the store cannot tell what changed since."""
        # A stale listing may be of a time whose history has gone as well.
        self._must_be_fresh = True
        self.start_over()

    async def run_call(self) -> BaseException | None:
        """Make one call; return what ended it, None for a success.

        A call that ``check`` has given up ends with ``CancelledError``.
        """
        self._behind_s = 0
        call = asyncio.get_running_loop().create_task(self._step())
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

    async def _step(self) -> None:
        if not self._revision:
            self._revision = await self.subject.list_all(
                may_be_stale=not self._must_be_fresh
            )
            self.is_confirmed = self._must_be_fresh
            self._must_be_fresh = False
            return
        wait_s = _WAIT_S if self.is_confirmed else _CONFIRM_WAIT_S
        reached = await self.subject.watch(self._revision, wait_s)
        self._revision = max(self._revision, reached)
        self.is_confirmed = True


class StoreFollower:
    """Reads the store while this host's role is to read it."""

    __slots__ = (
        '_holdings',
        '_log',
        '_loop',
        '_may_wait',
        '_rng',
        '_watches',
        'calls',
    )

    def __init__(
        self,
        holdings: Holdings,
        endpoint: Endpoint,
        log: DecisionLog,
        rng: random.Random,
        *,
        is_first: bool = True,
    ) -> None:
        """Follow the store at ``endpoint``.

        A host that ``is_first`` confirms its first listing at once; others
        wait a moment to learn whether they have to read.
        """
        self._may_wait = not is_first
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
        return all(watch.is_served() for watch in self._watches)

    def is_listed(self) -> bool:
        """Tell whether this host has read the store since it may."""
        return all(watch.is_listed() for watch in self._watches)

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
        watch.start_over()
        watch.failures = 0
        self._may_wait = False
        self._log.write(
            'reader_role', subject=watch.subject.name, is_reader=is_reader
        )

    async def _call(self, watch: _Watch) -> None:
        self.calls[watch.subject.name] += 1
        match await watch.run_call():
            case None:
                self._tell_regained(watch)
                watch.failures = 0
                await self._gather(watch)
            case HistoryLostError():
                self._log.write('history_lost', subject=watch.subject.name)
                watch.forget_history()
            case AnswerUnreadableError() as error:
                # A watch would return the same answer again.
                watch.start_over()
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

    async def _gather(self, watch: _Watch) -> None:
        if watch.is_confirmed:
            self._may_wait = False
            await asyncio.sleep(_GATHER_S)
        elif self._may_wait:
            await asyncio.sleep(
                self._rng.uniform(_CONFIRM_DELAY_MIN_S, _CONFIRM_DELAY_MAX_S)
            )

    async def _pause(self, failures: int) -> None:
        doublings = min(failures, _MAX_DOUBLINGS)
        longest_s = min(_RETRY_MAX_S, _RETRY_MIN_S * 2**doublings)
        await asyncio.sleep(self._rng.uniform(_RETRY_MIN_S, longest_s))

    async def _pause_unreadable(self, failures: int) -> None:
        doublings = min(failures, _UNREADABLE_DOUBLINGS)
        longest_s = min(_UNREADABLE_MAX_S, _RETRY_MIN_S * 2**doublings)
        await asyncio.sleep(self._rng.uniform(longest_s / 2, longest_s))
