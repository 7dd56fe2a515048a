"""Client of the platform's object API.

Reads are retried with bounded, jittered backoff. When the answer to a
conditional write is lost, the client reads the object back and searches its
trail for the writer id to find out whether the write was accepted (see
``internal/objectapi/objects``).
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

# The platform answers a watch at its timeout at the latest; this margin allows
# for a slow platform.
_WATCH_MARGIN_S: Final = 5.0

# Calls made before the platform counts as unavailable. An operator's change
# survives at least five lost writes in a row, and the waits between the calls
# add up to less than 4 s.
_ATTEMPTS: Final = 8

_ResultT = TypeVar('_ResultT')


class _HostList(msgspec.Struct, frozen=True):
    hosts: tuple[PlatformHost, ...]


class _NewVersion(msgspec.Struct, frozen=True):
    version: int


class _WriteBody(msgspec.Struct, frozen=True):
    writer: str
    value: msgspec.Raw


class PlatformClient:
    """Client of the object API; an asynchronous context manager."""

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
        """Initialize without checks; prefer ``from_config``."""
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
            rng: random source of the backoff jitter.
            counters: counts the retries.
            attempts: calls made before the platform counts as unavailable.
            backoff_s: longest wait before the second attempt; the limit doubles
                with each attempt.
            backoff_max_s: upper limit of the doubled wait.

        Raises:
            InvalidArgumentError: an argument is out of range.
        """
        if not base_url.startswith(('http://', 'https://')):
            raise InvalidArgumentError.from_value(
                'base_url',
                base_url,
                'a URL that starts with http:// or https://',
            )
        if timeout_s <= 0:
            raise InvalidArgumentError.from_value(
                'timeout_s', timeout_s, 'a number of seconds above 0'
            )
        if attempts < 1:
            raise InvalidArgumentError.from_value(
                'attempts', attempts, 'an integer of at least 1'
            )
        used_counters = counters or Counters()
        calls = PlatformCalls(base_url, timeout_s)
        client = cls(calls, rng or random.Random(), used_counters)
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
        """Return the object at ``key``, or None if it does not exist.

        Raises:
            PlatformUnavailableError: after the last attempt.
        """
        return await self._retry(lambda: self._get_once(key))

    async def list_objects(self, prefix: str) -> Listing:
        """Return all objects with the key prefix and the store's revision.

        Raises:
            PlatformUnavailableError: after the last attempt.
        """
        path = f'/objects?prefix={quote(prefix)}'
        body = await self._retry(lambda: self._calls.call('GET', path))
        return _decode(body, Listing)

    async def hosts(self) -> tuple[PlatformHost, ...]:
        """Return the platform's list of hosts, which may be out of date.

        Raises:
            PlatformUnavailableError: after the last attempt.
        """
        body = await self._retry(lambda: self._calls.call('GET', '/hosts'))
        return _decode(body, _HostList).hosts

    async def watch(
        self,
        prefix: str,
        after: int,
        timeout_s: float,
    ) -> Changes:
        """Wait for changes to keys with ``prefix`` after revision ``after``.

        The call is not retried; ``changes`` is empty after the timeout.

        Raises:
            PlatformUnavailableError: the watch was interrupted.
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
        """Write ``value`` if the object has ``version``; 0 creates it.

        The call is not retried. ``writer`` is stored with the object: one
        writer id or a trail of them. Returns the new version.

        Raises:
            VersionConflictError: the object has another version. If the answer
                to an earlier attempt was lost, it may be the version of that
                attempt; use ``put_with_retry`` where that matters.
            PlatformUnavailableError: the outcome is unknown.
        """
        check_value(value)
        body = await self._calls.call(
            'PUT',
            _object_path(key),
            data=msgspec.json.encode(_WriteBody(writer, msgspec.Raw(value))),
            version=version,
        )
        return _decode(body, _NewVersion).version

    async def delete_if(self, key: str, version: int, writer: str) -> int:
        """Delete the object if it has ``version``; the call is not retried.

        Raises:
            VersionConflictError: the object has another version or does not
                exist.
            PlatformUnavailableError: the outcome is unknown.
        """
        path = f'{_object_path(key)}?writer={quote(writer)}'
        body = await self._calls.call('DELETE', path, version=version)
        return _decode(body, _NewVersion).version

    async def put_with_retry(
        self,
        key: str,
        value: bytes,
        version: int,
        writer: str,
        previous: PlatformObject | None = None,
    ) -> Written:
        """Write ``value`` if the object has ``version``; resolve lost answers.

        Args:
            key: object key.
            value: JSON text of at most 1 MB.
            version: the object's expected version; 0 creates the object.
            writer: a writer id that no other write of the object has used.
            previous: the object that is replaced; its trail is continued.

        Raises:
            VersionConflictError: the object has another version and this
                write was not accepted.
            PlatformUnavailableError: after the last attempt; the outcome is
                unknown, and the same call may be repeated.
        """
        check_writer(writer)
        trail = extend_trail(writer, previous)
        written: Written | None = None
        attempt = 0
        while written is None:
            attempt += 1
            written = await self._try_put(
                key, value, version, trail, is_last=attempt >= self._attempts
            )
            if written is None:
                await self._back_off(attempt)
                written = await self._find_write(key, writer)
        return written

    async def _try_put(
        self,
        key: str,
        value: bytes,
        version: int,
        trail: str,
        *,
        is_last: bool,
    ) -> Written | None:
        try:
            return Written(await self.put_if(key, value, version, trail))
        except VersionConflictError as conflict:
            # If the answer to an earlier attempt was lost, the conflict can be
            # with that attempt.
            return await self._resolve_conflict(key, trail, conflict)
        except PlatformUnavailableError:
            if is_last:
                raise
        return None

    async def _resolve_conflict(
        self,
        key: str,
        trail: str,
        conflict: VersionConflictError,
    ) -> Written:
        writer = newest_writer(trail)
        written = await self._find_write(key, writer)
        if written is None:
            raise conflict
        return written

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

    async def _retry(
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
        # Half of the wait is random, so that clients that failed at the same
        # time do not retry at the same time.
        wait_ratio = 0.5 + self._rng.random() / 2
        await asyncio.sleep(longest_s * wait_ratio)


def _decode(body: bytes, kind: type[_ResultT]) -> _ResultT:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f'the platform sent an answer that cannot be decoded: {error}'
        ) from error


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'
