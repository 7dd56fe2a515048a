"""Calls to the platform's store: paths, parameters and statuses."""

from collections.abc import Callable
from typing import Final, Self, TypeVar

from currantshore.errors import (
    AnswerUnreadableError,
    CallFailedError,
    HistoryLostError,
    StoreRefusedError,
)
from currantshore.internal.httpconnection import HttpConnection
from currantshore.internal.steering.catalog import BackendEntry
from currantshore.platform.objects import (
    Changes,
    Configured,
    Page,
    decode_backend_changes,
    decode_backend_page,
    decode_configuration_changes,
    decode_configuration_page,
)
from currantshore.wire import Endpoint

_BACKENDS: Final = '/v1/objects/servers'
_CONFIGURATION: Final = '/v1/objects/config'

_OK: Final = 200
_GONE: Final = 410
_MILLISECONDS: Final = 1000

_DecodedT = TypeVar('_DecodedT')


class StoreConnection:
    """Calls the store over one connection, one call at a time.

    Each method raises ``CallFailedError`` when no answer came,
    ``AnswerUnreadableError`` for an answer of another shape,
    ``StoreRefusedError`` for a refusal, and ``HistoryLostError`` for a watch
    whose start the store has forgotten.
    """

    __slots__ = ('_connection',)

    def __init__(self, connection: HttpConnection) -> None:
        """Prefer ``from_endpoint``."""
        self._connection = connection

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint) -> Self:
        """Return a client of the store at ``endpoint``."""
        return cls(HttpConnection.from_endpoint(endpoint))

    async def list_backends(self, after: str, timeout_s: float) -> Page:
        """Return the page of backend servers that follows name ``after``."""
        query = f'?after={after}' if after else ''
        target = f'{_BACKENDS}{query}'
        page = await self._get(target, timeout_s, decode_backend_page)
        is_next = all(entry.backend_id > after for entry in page.entries)
        self._check_own(target, is_own=is_next)
        return page

    async def watch_backends(
        self,
        revision: int,
        wait_s: float,
        timeout_s: float,
    ) -> Changes:
        """Wait up to ``wait_s`` for changes after ``revision``."""
        target = _watch_target(_BACKENDS, revision, wait_s)
        seen = await self._get(target, timeout_s, decode_backend_changes)
        is_newer = all(
            change.revision > revision
            for change in seen.changes
            if isinstance(change, BackendEntry)
        )
        self._check_own(target, is_own=is_newer and seen.revision >= revision)
        return seen

    async def read_configuration(self, timeout_s: float) -> Configured:
        """Return the newest configuration."""
        return await self._get(
            _CONFIGURATION, timeout_s, decode_configuration_page
        )

    async def watch_configuration(
        self,
        revision: int,
        wait_s: float,
        timeout_s: float,
    ) -> Configured:
        """Wait up to ``wait_s`` for a configuration after ``revision``."""
        target = _watch_target(_CONFIGURATION, revision, wait_s)
        found = await self._get(target, timeout_s, decode_configuration_changes)
        self._check_own(target, is_own=found.revision >= revision)
        return found

    def close(self) -> None:
        """Drop the connection; the next call opens another."""
        self._connection.close()

    def _check_own(self, target: str, *, is_own: bool) -> None:
        # HTTP/1.1 numbers no answers: a late copy of an earlier one is known
        # by what it holds.
        if not is_own:
            self._connection.close()
            raise CallFailedError(f'{target}: an answer to an earlier call')

    async def _get(
        self,
        target: str,
        timeout_s: float,
        decode: Callable[[bytes], _DecodedT],
    ) -> _DecodedT:
        answer = await self._connection.get(target, timeout_s)
        if answer.status == _GONE:
            raise HistoryLostError(target)
        if answer.status != _OK:
            raise StoreRefusedError(target, answer.status)
        try:
            return decode(answer.body)
        except ValueError as error:
            # The errors of msgspec are among them.
            raise AnswerUnreadableError(f'{target}: {error}') from error


def _watch_target(path: str, revision: int, wait_s: float) -> str:
    wait_ms = round(wait_s * _MILLISECONDS)
    return f'{path}?watch={revision}&wait-ms={wait_ms}'
