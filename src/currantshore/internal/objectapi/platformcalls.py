"""HTTP calls to the platform's object API.

Each call returns the body of one answer or raises one exception.
"""

from typing import Final
from urllib.parse import urlsplit

from currantshore.errors import (
    CallFailedError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from currantshore.internal.httpconnection import HttpAnswer, HttpConnection
from currantshore.wire import Endpoint

_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_FIRST_SERVER_ERROR: Final = 500
_FIRST_ERROR: Final = 400

_DEFAULT_PORTS: Final = {'http': 80, 'https': 443}


class MissingObjectError(PlatformError):
    """Raised when the object does not exist."""


class PlatformCalls:
    """Makes calls over persistent connections.

    Overlapping calls use one connection each; idle connections are reused.
    """

    __slots__ = ('_base_path', '_endpoint', '_idle', '_is_secure', '_timeout_s')

    def __init__(self, base_url: str, timeout_s: float) -> None:
        """Initialize; the first call opens a connection."""
        parts = urlsplit(base_url.rstrip('/'))
        port = parts.port or _DEFAULT_PORTS[parts.scheme]
        self._endpoint = Endpoint(parts.hostname or '', port)
        self._base_path = parts.path
        self._is_secure = parts.scheme == 'https'
        self._timeout_s = timeout_s
        self._idle: list[HttpConnection] = []

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

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

        ``version`` is sent as ``If-Match``; a ``timeout_s`` above 0 replaces
        the default timeout.

        Raises:
            MissingObjectError: the object does not exist.
            VersionConflictError: the object has another version.
            PlatformUnavailableError: no answer or a server error, so the
                outcome is unknown.
            PlatformError: any other error status.
        """
        headers = {} if version is None else {'If-Match': str(version)}
        connection = self._acquire_connection()
        try:
            answer = await connection.call(
                method,
                f'{self._base_path}{path}',
                timeout_s or self._timeout_s,
                headers=headers,
                body=data or b'',
            )
        except CallFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        self._idle.append(connection)
        return _check_answer(path, answer)

    def _acquire_connection(self) -> HttpConnection:
        if self._idle:
            return self._idle.pop()
        return HttpConnection.from_endpoint(
            self._endpoint, is_secure=self._is_secure
        )


def _check_answer(path: str, answer: HttpAnswer) -> bytes:
    status = answer.status
    if status < _FIRST_ERROR:
        return answer.body
    text = answer.body.decode(errors='replace')
    if status == _NOT_FOUND:
        raise MissingObjectError(f'{path}: {text}')
    if status == _CONFLICT:
        raise VersionConflictError(f'{path}: {text}')
    if status >= _FIRST_SERVER_ERROR:
        raise PlatformUnavailableError(f'{path}: status {status}: {text}')
    raise PlatformError(f'{path}: status {status}: {text}')
