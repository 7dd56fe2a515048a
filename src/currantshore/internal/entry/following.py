"""Follow the store's configuration, backend servers and evacuated zones."""

import asyncio
import random
from collections import Counter
from typing import Final

from currantshore.errors import (
    CallFailedError,
    HistoryLostError,
    StoreRefusedError,
)
from currantshore.internal.entry.calltimes import (
    BATCHING_PAUSE_S,
    CallTimes,
    choose_wait_s,
)
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.storereplica import StoreReplica
from currantshore.internal.entry.subjects import (
    BackendSubject,
    ConfigurationSubject,
    EvacuationSubject,
    Subject,
)
from currantshore.platform.store import StoreConnection
from currantshore.wire import Endpoint

# Pauses after failed calls; the store's rate limits allow each reader several
# calls a second.
_RETRY_MIN_S: Final = 0.1
_RETRY_MAX_S: Final = 1.0
_MAX_DOUBLINGS: Final = 4

# An unreadable answer is unlikely to be readable soon after, so this pause
# grows until the retries cost almost nothing.
_UNREADABLE_RETRY_MAX_S: Final = 30.0
_UNREADABLE_MAX_DOUBLINGS: Final = 9

# A watch counts as silent if it has not returned a change this long after other
# hosts have it; two watches of one store differ only by milliseconds.
_SILENT_AFTER_S: Final = 0.4

# Delay of a host's first call for the evacuated zones.
_EVACUATIONS_DELAY_S: Final = 1.0

# How often a host that does not read the store checks its role.
_ROLE_CHECK_S: Final = 0.05

# A host that has not checked its calls for this long was paused.
_STALL_S: Final = 0.3


class _Watch:
    """A subject, its call in flight and its consecutive failures.

    The call is a listing, a read or a watch.
    """

    __slots__ = ('_behind_since_s', 'call', 'failures', 'subject', 'times')

    def __init__(self, subject: Subject) -> None:
        self.subject = subject
        self.times = CallTimes()
        self.call: asyncio.Task[None] | None = None
        self.failures = 0
        self._behind_since_s = 0.0

    def is_silent(self, now_s: float) -> bool:
        """Return whether the call in flight has missed a change."""
        if not self.subject.is_behind():
            self._behind_since_s = 0
            return False
        self._behind_since_s = self._behind_since_s or now_s
        return now_s - self._behind_since_s > _SILENT_AFTER_S

    async def run_call(self, wait_s: float) -> BaseException | None:
        """Make one call; return the error that ended it, None for success.

        A watch waits ``wait_s`` at the longest. A call that
        ``cancel_stale_calls`` has ended returns ``CancelledError``.
        """
        self._behind_since_s = 0
        call = asyncio.get_running_loop().create_task(self.subject.step(wait_s))
        self.call = call
        try:
            await asyncio.wait((call,))
        except asyncio.CancelledError:
            # The task that follows this subject ends, and so must its call.
            call.cancel()
            raise
        self.call = None
        if call.cancelled():
            return asyncio.CancelledError()
        return call.exception()


class StoreFollower:
    """Reads the store while this host is a reader."""

    __slots__ = (
        '_backends',
        '_checked_s',
        '_configuration',
        '_evacuations',
        '_followed',
        '_log',
        '_loop',
        '_replica',
        '_rng',
        '_watches',
        'calls',
    )

    def __init__(
        self,
        replica: StoreReplica,
        endpoint: Endpoint,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        """Initialize for the store at ``endpoint``; nothing is called yet."""
        self._replica = replica
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._checked_s = self._loop.time()
        self.calls: Counter[str] = Counter()
        self._backends = _Watch(
            BackendSubject(replica, StoreConnection.from_endpoint(endpoint))
        )
        self._configuration = _Watch(
            ConfigurationSubject(
                replica, StoreConnection.from_endpoint(endpoint)
            )
        )
        self._evacuations = _Watch(
            EvacuationSubject(replica, StoreConnection.from_endpoint(endpoint))
        )
        self._watches = (self._backends, self._configuration, self._evacuations)
        # The watches of the subjects that are followed, of which some platforms
        # lack one.
        self._followed: list[_Watch] = []

    def is_served(self) -> bool:
        """Return whether all objects are loaded and the store answers.

        A host that has stopped reading counts as served. Evacuated zones do not
        have to be loaded: other hosts report them in each message, and some
        platforms have none.
        """
        required = (self._backends.subject, self._configuration.subject)
        is_loaded = all(subject.is_loaded for subject in required)
        now_s = self._loop.time()
        return is_loaded and all(
            watch.times.is_served(now_s) for watch in self._watches
        )

    def answered_s(self) -> float:
        """Return when the store last answered a call, 0 if it never did."""
        return max(watch.times.answered_s for watch in self._watches)

    async def follow_backends(self) -> None:
        """Follow the backend servers until cancelled."""
        await self._follow(self._backends)

    async def follow_configuration(self) -> None:
        """Follow the configuration until cancelled."""
        await self._follow(self._configuration)

    async def follow_evacuated_zones(self) -> None:
        """Follow the evacuated zones until cancelled.

        Most hosts that have just started stop reading soon, and learn the
        evacuated zones from others before their first own call.
        """
        self._mark_followed(self._evacuations)
        await asyncio.sleep(_EVACUATIONS_DELAY_S)
        await self._follow(self._evacuations)

    def cancel_stale_calls(self) -> None:
        """Cancel silent or outdated calls, and all calls of a non-reader."""
        is_reader = self._replica.mirror.role.is_reader
        now_s = self._loop.time()
        is_stalled = now_s - self._checked_s > _STALL_S
        self._checked_s = now_s
        for watch in self._watches:
            if watch.call is None:
                continue
            if is_stalled:
                watch.times.record_stall(now_s)
            is_silent = watch.is_silent(now_s)
            if is_silent:
                self._log.write('watch_silent', subject=watch.subject.name)
            if is_silent or watch.subject.is_outdated() or not is_reader:
                watch.call.cancel()

    def _mark_followed(self, watch: _Watch) -> None:
        if watch not in self._followed:
            self._followed.append(watch)

    async def _follow(self, watch: _Watch) -> None:
        self._mark_followed(watch)
        was_reader = True
        while True:
            is_reader = self._replica.mirror.role.is_reader
            if is_reader != was_reader:
                was_reader = is_reader
                self._change_role(watch, is_reader=is_reader)
            if is_reader:
                await self._make_call(watch)
            else:
                await asyncio.sleep(_ROLE_CHECK_S)

    def _change_role(self, watch: _Watch, *, is_reader: bool) -> None:
        # Read all objects again instead of the changes since the last call.
        watch.subject.reset()
        watch.failures = 0
        watch.times.clear_failures()
        self._log.write(
            'reader_role', subject=watch.subject.name, is_reader=is_reader
        )

    async def _make_call(self, watch: _Watch) -> None:
        self.calls[watch.subject.name] += 1
        match await watch.run_call(self._begin_call(watch)):
            case None:
                self._log_regained(watch)
                watch.failures = 0
                watch.times.record_answer(self._loop.time())
                await asyncio.sleep(BATCHING_PAUSE_S)
            case HistoryLostError():
                self._list_again(watch)
            case asyncio.CancelledError() if watch.subject.is_outdated():
                self._list_again(watch)
            case CallFailedError() | StoreRefusedError() as error:
                self._record_failure(watch, may_pass=True)
                self._log_lost(watch, error)
                await self._pause(watch.failures)
            case asyncio.CancelledError():
                # Cancelled as silent, or because this host is no reader any
                # more. After a silent watch, the store does not serve this host
                # until a later call succeeds.
                self._record_failure(watch, may_pass=False)
                await self._pause(watch.failures)
            case Exception() as error:
                # An unreadable answer, or one that could not be applied. A
                # watch would return it again.
                watch.subject.reset()
                self._record_failure(watch, may_pass=False)
                self._log_lost(watch, error)
                await self._pause_unreadable(watch.failures)
            case BaseException() as error:
                raise error

    def _begin_call(self, watch: _Watch) -> float:
        """Record the call; return how long it waits if it is a watch."""
        now_s = self._loop.time()
        if not watch.subject.is_watching():
            watch.times.begin_listing(now_s)
            return 0
        wait_s = choose_wait_s(
            now_s, self._followed.index(watch), len(self._followed)
        )
        watch.times.begin_watch(now_s + wait_s)
        return wait_s

    def _record_failure(self, watch: _Watch, *, may_pass: bool) -> None:
        watch.failures += 1
        watch.times.record_failure(self._loop.time(), may_pass=may_pass)

    def _list_again(self, watch: _Watch) -> None:
        self._log.write('history_lost', subject=watch.subject.name)
        watch.subject.reset()

    def _log_lost(self, watch: _Watch, error: Exception) -> None:
        if watch.failures == 1:
            self._log.write(
                'store_lost',
                subject=watch.subject.name,
                error=f'{type(error).__name__}: {error}',
            )

    def _log_regained(self, watch: _Watch) -> None:
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
        doublings = min(failures, _UNREADABLE_MAX_DOUBLINGS)
        longest_s = min(_UNREADABLE_RETRY_MAX_S, _RETRY_MIN_S * 2**doublings)
        await asyncio.sleep(self._rng.uniform(longest_s / 2, longest_s))
