"""Client of the platform's object API.

Reads are tried again with jittered, bounded backoff. A conditional write whose
answer was lost is settled by reading the object back and looking for its
writer id (see ``internal/objectapi/objects``).
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, Self, TypeVar
from urllib.parse import quote

import msgspec

from currantshore.codes import RetryReason
from currantshore.errors import (
    InvalidArgumentError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from currantshore.internal.counters import Counters
from currantshore.internal.objectapi.objects import (
    Changes,
    Listing,
    PlatformHost,
    PlatformObject,
    Written,
    check_value,
    check_writer,
    extend_trail,
    newest_writer,
)
from currantshore.internal.objectapi.platformcalls import (
    MissingObjectError,
    PlatformCalls,
)

# A watch is answered at its timeout; the rest is for a slow platform.
_WATCH_MARGIN_S: Final = 5.0

# Calls made before the platform counts as unavailable: an operator's change
# outlives five writes in a row that are lost on their way, within 4 s.
_ATTEMPTS: Final = 8

_ResultT = TypeVar('_ResultT')


class _Hosts(msgspec.Struct, frozen=True):
    hosts: tuple[PlatformHost, ...]


class _Version(msgspec.Struct, frozen=True):
    version: int


class _Put(msgspec.Struct, frozen=True):
    writer: str
    value: msgspec.Raw


class PlatformClient:
    """Calls the object API; use it as an asynchronous context manager."""

    __slots__ = (
        '_attempts',
        '_backoff_max_s',
        '_backoff_s',
        '_calls',
        '_counters',
        '_rng',
    )

    def __init__(
        self,
        calls: PlatformCalls,
        rng: random.Random,
        counters: Counters,
    ) -> None:
        """Store the parts; ``from_config`` checks them."""
        self._calls = calls
        self._rng = rng
        self._counters = counters
        self._attempts = _ATTEMPTS
        self._backoff_s = 0.05
        self._backoff_max_s = 1.0

    @classmethod
    def from_config(
        cls,
        base_url: str,
        *,
        timeout_s: float = 2.0,
        rng: random.Random | None = None,
        counters: Counters | None = None,
        attempts: int = _ATTEMPTS,
        backoff_s: float = 0.05,
        backoff_max_s: float = 1.0,
    ) -> Self:
        """Build a client; no connection is opened yet.

        Args:
            base_url: ``http://HOST:PORT`` of the object API.
            timeout_s: longest wait for one answer, above 0.
            rng: source of the backoff's jitter.
            counters: where retries are counted.
            attempts: calls made before the platform counts as unavailable.
            backoff_s: longest wait before the second attempt; it doubles.
            backoff_max_s: limit of the doubling.

        Raises:
            InvalidArgumentError: for an argument out of range.
        """
        if not base_url.startswith(('http://', 'https://')):
            raise InvalidArgumentError.from_value(
                'base_url', base_url, 'a URL that starts with http://'
            )
        if timeout_s <= 0:
            raise InvalidArgumentError.from_value(
                'timeout_s', timeout_s, 'a number of seconds above 0'
            )
        if attempts < 1:
            raise InvalidArgumentError.from_value(
                'attempts', attempts, 'an integer of at least 1'
            )
        counted = counters or Counters()
        calls = PlatformCalls(base_url, timeout_s)
        client = cls(calls, rng or random.Random(), counted)
        client._attempts = attempts
        client._backoff_s = backoff_s
        client._backoff_max_s = backoff_max_s
        return client

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._calls.close()

    async def get(self, key: str) -> PlatformObject | None:
        """Return the object at ``key``, or None when there is none.

        Raises:
            PlatformUnavailableError: after the last attempt.
        """
        return await self._again(lambda: self._get_once(key))

    async def list_objects(self, prefix: str) -> Listing:
        """Return the objects below ``prefix`` and the store's revision.

        Raises:
            PlatformUnavailableError: after the last attempt.
        """
        path = f'/objects?prefix={quote(prefix)}'
        body = await self._again(lambda: self._calls.call('GET', path))
        return _decode(body, Listing)

    async def hosts(self) -> tuple[PlatformHost, ...]:
        """Return the platform's list of hosts, which lags.

        Raises:
            PlatformUnavailableError: after the last attempt.
        """
        body = await self._again(lambda: self._calls.call('GET', '/hosts'))
        return _decode(body, _Hosts).hosts

    async def watch(
        self,
        prefix: str,
        after: int,
        timeout_s: float,
    ) -> Changes:
        """Wait for changes below ``prefix`` after revision ``after``.

        The call is made once; ``changes`` is empty when the time is over.

        Raises:
            PlatformUnavailableError: when the watch broke off.
        """
        wait_ms = round(timeout_s * 1000)
        path = f'/watch?prefix={quote(prefix)}&after={after}'
        body = await self._calls.call(
            'GET',
            f'{path}&timeout_ms={wait_ms}',
            timeout_s=timeout_s + _WATCH_MARGIN_S,
        )
        return _decode(body, Changes)

    async def put_if(
        self,
        key: str,
        value: bytes,
        version: int,
        writer: str,
    ) -> int:
        """Write ``value`` once if ``version`` is in place; 0 creates.

        Returns the new version.

        Raises:
            VersionConflictError: another version is in place. When an answer
                was lost below this call, it may be this write's own; use
                ``put_settled`` where that matters.
            PlatformUnavailableError: the outcome is unknown.
        """
        check_value(value)
        body = await self._calls.call(
            'PUT',
            _object_path(key),
            data=msgspec.json.encode(_Put(writer, msgspec.Raw(value))),
            version=version,
        )
        return _decode(body, _Version).version

    async def delete_if(self, key: str, version: int, writer: str) -> int:
        """Delete the object once if ``version`` is in place.

        Raises:
            VersionConflictError: another version, or none, is in place.
            PlatformUnavailableError: the outcome is unknown.
        """
        path = f'{_object_path(key)}?writer={quote(writer)}'
        body = await self._calls.call('DELETE', path, version=version)
        return _decode(body, _Version).version

    async def put_settled(
        self,
        key: str,
        value: bytes,
        version: int,
        writer: str,
        previous: PlatformObject | None = None,
    ) -> Written:
        """Write ``value`` if ``version`` is in place and settle lost answers.

        Args:
            key: object key.
            value: JSON text of at most 1 MB.
            version: the version in place; 0 creates the object.
            writer: an id that no other write has ever used.
            previous: the object that is replaced; its trail is carried on.

        Raises:
            VersionConflictError: another version is in place and this write
                was not accepted.
            PlatformUnavailableError: after the last attempt; the outcome is
                unknown, and the same call may be made again.
        """
        check_writer(writer)
        mark = extend_trail(writer, previous)
        settled: Written | None = None
        attempt = 0
        while settled is None:
            attempt += 1
            settled = await self._try_put(
                key, value, version, mark, is_last=attempt >= self._attempts
            )
            if settled is None:
                await self._back_off(attempt)
                settled = await self._find_write(key, writer)
        return settled

    async def _try_put(
        self,
        key: str,
        value: bytes,
        version: int,
        mark: str,
        *,
        is_last: bool,
    ) -> Written | None:
        try:
            return Written(await self.put_if(key, value, version, mark))
        except VersionConflictError as conflict:
            # The answer to an earlier attempt may have been lost, so a
            # conflict can be with this very write.
            return await self._settle_conflict(key, mark, conflict)
        except PlatformUnavailableError:
            if is_last:
                raise
        return None

    async def _settle_conflict(
        self,
        key: str,
        mark: str,
        conflict: VersionConflictError,
    ) -> Written:
        writer = newest_writer(mark)
        settled = await self._find_write(key, writer)
        if settled is None:
            raise conflict
        return settled

    async def _find_write(self, key: str, writer: str) -> Written | None:
        found = await self.get(key)
        if found is None or writer not in found.trail():
            return None
        newest = found.trail()[0]
        return Written(found.version, '' if newest == writer else newest)

    async def _get_once(self, key: str) -> PlatformObject | None:
        try:
            body = await self._calls.call('GET', _object_path(key))
        except MissingObjectError:
            return None
        return _decode(body, PlatformObject)

    async def _again(
        self,
        call: Callable[[], Awaitable[_ResultT]],
    ) -> _ResultT:
        attempt = 1
        while attempt < self._attempts:
            try:
                return await call()
            except PlatformUnavailableError:
                await self._back_off(attempt)
            attempt += 1
        return await call()

    async def _back_off(self, attempt: int) -> None:
        self._counters.retry(RetryReason.PLATFORM_UNAVAILABLE)
        doubled_s = self._backoff_s * 2 ** (attempt - 1)
        longest_s = min(self._backoff_max_s, doubled_s)
        # Half of the wait is random: clients that failed together spread out.
        wait_ratio = 0.5 + self._rng.random() / 2
        await asyncio.sleep(longest_s * wait_ratio)


def _decode(body: bytes, kind: type[_ResultT]) -> _ResultT:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformError(f'unreadable answer: {error}') from error


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'
