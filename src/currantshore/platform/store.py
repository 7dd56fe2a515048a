"""Call the platform's store: paths, parameters and statuses."""

from collections.abc import Callable
from typing import Final, Self, TypeVar
from urllib.parse import quote

from currantshore.errors import (
    AnswerUnreadableError,
    CallFailedError,
    HistoryLostError,
    StoreRefusedError,
)
from currantshore.internal.httpconnection import HttpConnection
from currantshore.internal.revisions import (
    MAX_RESTORES,
    restores_of,
    store_revision_of,
)
from currantshore.internal.steering.catalog import BackendEntry
from currantshore.platform.objects import (
    Changes,
    EvacuationChanges,
    EvacuationPage,
    Page,
    StoredConfiguration,
    decode_backend_changes,
    decode_backend_page,
    decode_configuration_changes,
    decode_configuration_page,
    decode_evacuation_changes,
    decode_evacuation_page,
)
from currantshore.wire import Endpoint

_BACKENDS: Final = '/v1/objects/servers'
_CONFIGURATION: Final = '/v1/objects/config'
_EVACUATIONS: Final = '/v1/objects/evacuations'

_OK: Final = 200
_GONE: Final = 410
_MILLISECONDS: Final = 1000

# Counts the restores of the store from an older copy. A store that was never
# restored sends 1, and one that cannot be restored sends no such header.
_ERA_HEADER: Final = b'store-era'
_FIRST_ERA: Final = 1

_DecodedT = TypeVar('_DecodedT')
_WatchedT = TypeVar(
    '_WatchedT', Changes, StoredConfiguration, EvacuationChanges
)


class StoreConnection:
    """Calls the store over one connection, one call at a time.

    Each method raises ``CallFailedError`` if no answer arrives or the answer
    belongs to an earlier call, ``AnswerUnreadableError`` if it can't be
    decoded, ``StoreRefusedError`` if the store refuses the call, and
    ``HistoryLostError`` if it no longer has the changes that a watch starts
    from, or was restored since. Revisions are those of
    ``currantshore.internal.revisions``.
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
        """Return the page of backend servers after the name ``after``."""
        target = _list_target(_BACKENDS, after)
        page = await self._get(target, timeout_s, decode_backend_page)
        is_next = all(entry.backend_id > after for entry in page.entries)
        self._check_matches(target, is_match=is_next)
        return page

    async def watch_backends(
        self,
        revision: int,
        wait_s: float,
        timeout_s: float,
    ) -> Changes:
        """Wait up to ``wait_s`` for changes after ``revision``; return them."""
        changes = await self._watch(
            _BACKENDS, revision, wait_s, timeout_s, decode_backend_changes
        )
        is_newer = all(
            change.revision > revision
            for change in changes.changes
            if isinstance(change, BackendEntry)
        )
        self._check_matches(_BACKENDS, is_match=is_newer)
        return changes

    async def read_configuration(
        self, after: str, timeout_s: float
    ) -> StoredConfiguration:
        """Return the newest configuration of the page after ``after``."""
        return await self._get(
            _list_target(_CONFIGURATION, after),
            timeout_s,
            decode_configuration_page,
        )

    async def watch_configuration(
        self,
        revision: int,
        wait_s: float,
        timeout_s: float,
    ) -> StoredConfiguration:
        """Wait up to ``wait_s`` for a configuration after ``revision``."""
        return await self._watch(
            _CONFIGURATION,
            revision,
            wait_s,
            timeout_s,
            decode_configuration_changes,
        )

    async def list_evacuated_zones(
        self, after: str, timeout_s: float
    ) -> EvacuationPage:
        """Return the page of evacuated zones after the name ``after``."""
        target = _list_target(_EVACUATIONS, after)
        page = await self._get(target, timeout_s, decode_evacuation_page)
        is_next = all(zone > after for zone in page.zones)
        self._check_matches(target, is_match=is_next)
        return page

    async def watch_evacuated_zones(
        self,
        revision: int,
        wait_s: float,
        timeout_s: float,
    ) -> EvacuationChanges:
        """Wait up to ``wait_s`` for changes after ``revision``."""
        return await self._watch(
            _EVACUATIONS,
            revision,
            wait_s,
            timeout_s,
            decode_evacuation_changes,
        )

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._connection.close()

    def _check_matches(self, target: str, *, is_match: bool) -> None:
        # HTTP/1.1 does not number answers; the answer to an earlier call can
        # be detected only by its content.
        if not is_match:
            self._connection.close()
            raise CallFailedError(
                f'{target}: the answer belongs to an earlier call'
            )

    async def _watch(
        self,
        path: str,
        revision: int,
        wait_s: float,
        timeout_s: float,
        decode: Callable[[bytes, int], _WatchedT],
    ) -> _WatchedT:
        target = _watch_target(path, revision, wait_s)
        changes = await self._get(target, timeout_s, decode)
        if restores_of(changes.revision) != restores_of(revision):
            # The restored store has given out this revision again.
            raise HistoryLostError(target)
        self._check_matches(target, is_match=changes.revision >= revision)
        return changes

    async def _get(
        self,
        target: str,
        timeout_s: float,
        decode: Callable[[bytes, int], _DecodedT],
    ) -> _DecodedT:
        answer = await self._connection.get(target, timeout_s)
        if answer.status == _GONE:
            raise HistoryLostError(target)
        if answer.status != _OK:
            raise StoreRefusedError(target, answer.status)
        era = self._connection.headers.get(_ERA_HEADER, b'')
        try:
            return decode(answer.body, _decode_restores(era))
        except (ValueError, RecursionError) as error:
            # ValueError includes msgspec's errors.
            raise AnswerUnreadableError(f'{target}: {error}') from error


def _list_target(path: str, after: str) -> str:
    query = f'?after={quote(after, safe="")}' if after else ''
    return f'{path}{query}'


def _watch_target(path: str, revision: int, wait_s: float) -> str:
    wait_ms = round(wait_s * _MILLISECONDS)
    return f'{path}?watch={store_revision_of(revision)}&wait-ms={wait_ms}'


def _decode_restores(era: bytes) -> int:
    """Return how often the store has been restored; raises ``ValueError``."""
    if not era:
        return 0
    restores = max(0, int(era) - _FIRST_ERA)
    if restores > MAX_RESTORES:
        raise ValueError(f'the era {era!r} exceeds {MAX_RESTORES}')
    return restores
