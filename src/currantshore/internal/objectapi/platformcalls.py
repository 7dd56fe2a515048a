"""HTTP calls to the platform's object API: one answer or one exception."""

import types
from typing import Final

import aiohttp

from currantshore.codes import RetryReason
from currantshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from currantshore.internal.counters import Counters

_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_FIRST_SERVER_ERROR: Final = 500
_FIRST_ERROR: Final = 400


class MissingObjectError(PlatformError):
    """Raised when there is no such object."""


class PlatformCalls:
    """Makes calls over connections that stay open between them."""

    __slots__ = ('_base_url', '_counters', '_session', '_timeout_s')

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        counters: Counters,
    ) -> None:
        """Store the parts; the first call opens a connection."""
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s
        self._counters = counters
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        method: str,
        path: str,
        *,
        data: bytes | None = None,
        version: int | None = None,
        timeout_s: float = 0,
    ) -> bytes:
        """Return the body of a successful answer.

        ``version`` is sent as ``If-Match``; ``timeout_s`` replaces the limit
        of the settings.

        Raises:
            MissingObjectError: there is no such object.
            VersionConflictError: another version is in place.
            PlatformUnavailableError: no answer, so the outcome is unknown.
            PlatformError: any other refusal.
        """
        headers = {} if version is None else {'If-Match': str(version)}
        limit = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
        url = f'{self._base_url}{path}'
        sent = _Sent()
        try:
            async with self._open_session().request(
                method,
                url,
                data=data,
                headers=headers,
                timeout=limit,
                trace_request_ctx=sent,
            ) as response:
                return _check_answer(
                    path, response.status, await response.read()
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformUnavailableError(
                f'{method} {path}: {type(error).__name__}: {error}'
            ) from error
        finally:
            self._count_repeats(sent)

    def _count_repeats(self, sent: '_Sent') -> None:
        # The HTTP library repeats a call once on a connection that broke.
        for _ in range(1, sent.count):
            self._counters.retry(RetryReason.PLATFORM_UNAVAILABLE)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            trace = aiohttp.TraceConfig()
            trace.on_request_headers_sent.append(_note_sent)
            self._session = aiohttp.ClientSession(trace_configs=[trace])
        return self._session


class _Sent:
    """Counts how often the HTTP library sent one call."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0


async def _note_sent(
    _session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    _parameters: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    sent = context.trace_request_ctx
    if isinstance(sent, _Sent):
        sent.count += 1


def _check_answer(path: str, status: int, body: bytes) -> bytes:
    if status < _FIRST_ERROR:
        return body
    text = body.decode(errors='replace')
    if status == _NOT_FOUND:
        raise MissingObjectError(f'{path}: {text}')
    if status == _CONFLICT:
        raise VersionConflictError(f'{path}: {text}')
    if status >= _FIRST_SERVER_ERROR:
        raise PlatformUnavailableError(f'{path}: status {status}: {text}')
    raise PlatformError(f'{path}: status {status}: {text}')
