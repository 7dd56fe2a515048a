"""A stand-in for the platform's object API: HTTP and JSON, state in memory.

``python -m standins.platform --port 0`` prints ``{"url": ..., "port": ...}`` as
one line on standard output when it is ready; SIGTERM ends it.

Protocol:

* An object is ``{"key", "version", "writer", "value"}``; ``value`` is any JSON
  value of up to 1 MB. The version of an object is the store's revision at its
  last write, so versions rise even when an object is deleted and created
  again.
* ``GET /objects/KEY`` answers the object, or 404.
* ``GET /objects?prefix=P`` answers ``{"revision", "objects"}``.
* ``PUT /objects/KEY`` with ``If-Match: VERSION`` (0 creates) and the body
  ``{"writer", "value"}`` answers ``{"version"}``, or 409 with
  ``{"version", "writer"}`` of the object in place.
* ``DELETE /objects/KEY?writer=W`` with ``If-Match: VERSION`` answers
  ``{"version"}``, or 409.
* ``GET /watch?prefix=P&after=REVISION&timeout_ms=T`` waits until an object
  below ``P`` has a version above ``after`` or the time is over; it answers
  ``{"revision", "changes"}``, where each change is an object with
  ``is_deleted``. A watch that is behind gets the last state of each object.
* ``GET /hosts`` answers ``{"hosts": [{"host_id", "zone", "state"}]}`` with
  states ``live`` and ``leaving``; ``PUT /hosts`` with ``{"hosts", "lag_ms"}``
  sets the list, which is visible ``lag_ms`` later.
* ``GET /calls`` answers the counts by kind since the start (a waiting watch
  counts as a call), the refused writes as ``conflict`` and the watches that
  are waiting now as ``waiting``; it is not counted itself.
* ``POST /faults`` sets the switches that its body names: ``outage`` (true
  drops every connection without an answer, waiting watches included),
  ``slow_ms`` (delay before each call is run), ``lose_answers`` (the next N
  writes are applied and then the connection is dropped) and ``lose_writes``
  (the next N writes are dropped without being applied).
"""

import argparse
import asyncio
import contextlib
import functools
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import msgspec
from aiohttp import web

MAX_VALUE_SIZE_BYTES: Final = 1_000_000
# Room for the key, the writer id and JSON punctuation around a value.
_MAX_BODY_SIZE_BYTES: Final = MAX_VALUE_SIZE_BYTES + 65536
_MAX_WATCH_TIMEOUT_MS: Final = 60_000
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_TOO_LARGE: Final = 413

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_BodyT = TypeVar('_BodyT')


class StoredObject(msgspec.Struct, frozen=True):
    """One object; a deleted object is kept as a tombstone for watches."""

    key: str
    version: int
    writer: str
    value: msgspec.Raw
    is_deleted: bool = False


class PutBody(msgspec.Struct, frozen=True):
    """The body of a conditional write."""

    writer: str
    value: msgspec.Raw


class HostEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A host as the platform lists it."""

    host_id: str
    zone: str = ''
    state: str = 'live'


class HostsBody(msgspec.Struct, frozen=True):
    """The body that sets the list of hosts."""

    hosts: tuple[HostEntry, ...]
    lag_ms: int = 0


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to set; a field that is None keeps its value."""

    outage: bool | None = None
    slow_ms: int | None = None
    lose_answers: int | None = None
    lose_writes: int | None = None


class ObjectTable:
    """Objects by key with the store's revision and waiting watches."""

    __slots__ = ('_changed', '_objects', 'revision')

    def __init__(self) -> None:
        """Initialize an empty table at revision 0."""
        self.revision = 0
        self._objects: dict[str, StoredObject] = {}
        self._changed = asyncio.Event()

    def find(self, key: str) -> StoredObject | None:
        """Return the object unless it is missing or deleted."""
        found = self._objects.get(key)
        return None if found is None or found.is_deleted else found

    def below(self, prefix: str) -> list[StoredObject]:
        """Return the objects below ``prefix``, ordered by key."""
        return [
            stored
            for key, stored in sorted(self._objects.items())
            if key.startswith(prefix) and not stored.is_deleted
        ]

    def changes(self, prefix: str, after: int) -> list[StoredObject]:
        """Return the last state of the objects changed after a revision."""
        return [
            stored
            for key, stored in sorted(self._objects.items())
            if stored.version > after and key.startswith(prefix)
        ]

    def write(
        self,
        key: str,
        body: PutBody,
        *,
        is_deleted: bool = False,
    ) -> StoredObject:
        """Store an object at the next revision and wake the watches."""
        self.revision += 1
        stored = StoredObject(
            key, self.revision, body.writer, body.value, is_deleted
        )
        self._objects[key] = stored
        self.wake()
        return stored

    def wake(self) -> None:
        """Wake every waiting watch to check for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Return after the next write or ``wake``."""
        await self._changed.wait()


class PlatformStandin:
    """Handlers of the object API with call counts and injected faults."""

    __slots__ = (
        '_runner',
        '_stopping',
        'calls',
        'hosts',
        'lose_answers',
        'lose_writes',
        'outage',
        'port',
        'slow_ms',
        'table',
        'waiting',
    )

    def __init__(self) -> None:
        """Initialize an empty store without faults."""
        self.table = ObjectTable()
        self.calls: Counter[str] = Counter()
        self.hosts: tuple[HostEntry, ...] = ()
        self.outage = False
        self.slow_ms = 0
        self.lose_answers = 0
        self.lose_writes = 0
        self.waiting = 0
        self.port = 0
        self._stopping = asyncio.Event()
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The base URL for clients."""
        return f'http://127.0.0.1:{self.port}'

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; ``port`` 0 chooses a free port."""
        app = web.Application(client_max_size=_MAX_BODY_SIZE_BYTES)
        app.add_routes(
            [
                web.get('/objects', self._counted('list', self._list)),
                web.get('/objects/{key:.+}', self._counted('get', self._get)),
                web.put('/objects/{key:.+}', self._counted('put', self._put)),
                web.delete(
                    '/objects/{key:.+}',
                    self._counted('delete', self._delete),
                ),
                web.get('/watch', self._counted('watch', self._watch)),
                web.get('/hosts', self._counted('hosts', self._get_hosts)),
                web.put('/hosts', self._put_hosts),
                web.get('/calls', self._get_calls),
                web.post('/faults', self._post_faults),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and drop the connections."""
        self._stopping.set()
        if self._runner is not None:
            await self._runner.cleanup()

    def set_faults(self, faults: Faults) -> None:
        """Apply the fields of ``faults`` that are not None."""
        for name in Faults.__struct_fields__:
            switch = getattr(faults, name)
            if switch is not None:
                setattr(self, name, switch)
        self.table.wake()

    def _counted(self, kind: str, handler: _Handler) -> _Handler:
        return functools.partial(self._run_handler, kind, handler)

    async def _run_handler(
        self,
        kind: str,
        handler: _Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        self.calls[kind] += 1
        if self.slow_ms:
            # A delayed call must not outlive the server.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._stopping.wait(), self.slow_ms / 1000
                )
        if self.outage:
            return _drop(request)
        return await handler(request)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        prefix = request.query.get('prefix', '')
        found = self.table.below(prefix)
        return _json({'revision': self.table.revision, 'objects': found})

    async def _get(self, request: web.Request) -> web.StreamResponse:
        found = self.table.find(request.match_info['key'])
        if found is None:
            return _json({'error': 'not found'}, _NOT_FOUND)
        return _json(found)

    async def _put(self, request: web.Request) -> web.StreamResponse:
        body = await _decode(request, PutBody)
        if len(bytes(body.value)) > MAX_VALUE_SIZE_BYTES:
            return _json({'error': 'value over 1 MB'}, _TOO_LARGE)
        return self._write(request, body, is_deleted=False)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        writer = request.query.get('writer', '')
        body = PutBody(writer, msgspec.Raw(b'null'))
        return self._write(request, body, is_deleted=True)

    def _write(
        self,
        request: web.Request,
        body: PutBody,
        *,
        is_deleted: bool,
    ) -> web.StreamResponse:
        expected = _integer(request.headers.get('If-Match', ''), 'If-Match')
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return _drop(request)
        key = request.match_info['key']
        found = self.table.find(key)
        current_version = 0 if found is None else found.version
        if expected != current_version:
            self.calls['conflict'] += 1
            return _conflict(found)
        stored = self.table.write(key, body, is_deleted=is_deleted)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return _drop(request)
        return _json({'version': stored.version})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        prefix = request.query.get('prefix', '')
        after = _integer(request.query.get('after', ''), 'after')
        timeout_ms = _integer(request.query.get('timeout_ms', ''), 'timeout_ms')
        with contextlib.ExitStack() as stack:
            self.waiting += 1
            stack.callback(self._end_wait)
            stack.enter_context(contextlib.suppress(TimeoutError))
            await asyncio.wait_for(
                self._wait_for_change(prefix, after),
                min(timeout_ms, _MAX_WATCH_TIMEOUT_MS) / 1000,
            )
        if self.outage:
            return _drop(request)
        changes = self.table.changes(prefix, after)
        return _json({'revision': self.table.revision, 'changes': changes})

    def _end_wait(self) -> None:
        self.waiting -= 1

    async def _wait_for_change(self, prefix: str, after: int) -> None:
        while not (self.outage or self.table.changes(prefix, after)):
            await self.table.wait()

    async def _get_hosts(self, _request: web.Request) -> web.StreamResponse:
        return _json({'hosts': self.hosts})

    async def _put_hosts(self, request: web.Request) -> web.StreamResponse:
        body = await _decode(request, HostsBody)
        loop = asyncio.get_running_loop()
        loop.call_later(body.lag_ms / 1000, self._set_hosts, body.hosts)
        return _json({})

    def _set_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        self.hosts = hosts

    async def _get_calls(self, _request: web.Request) -> web.StreamResponse:
        return _json({**self.calls, 'waiting': self.waiting})

    async def _post_faults(self, request: web.Request) -> web.StreamResponse:
        self.set_faults(await _decode(request, Faults))
        return _json({})


def _json(content: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type='application/json',
    )


def _conflict(found: StoredObject | None) -> web.Response:
    if found is None:
        return _json({'version': 0, 'writer': ''}, _CONFLICT)
    return _json({'version': found.version, 'writer': found.writer}, _CONFLICT)


def _drop(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _integer(text: str, name: str) -> int:
    if not text.isdecimal():
        raise web.HTTPBadRequest(
            text=f'{name}={text!r} is not accepted; expected an integer'
        )
    return int(text)


async def _decode(request: web.Request, kind: type[_BodyT]) -> _BodyT:
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def _serve(port: int) -> None:
    standin = PlatformStandin()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await standin.start(port)
    ready = {'url': standin.url, 'port': standin.port}
    print(msgspec.json.encode(ready).decode(), flush=True)
    await stopped.wait()
    await standin.stop()


def main() -> None:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(description='object API stand-in')
    parser.add_argument('--port', type=int, default=0)
    asyncio.run(_serve(parser.parse_args().port))


if __name__ == '__main__':
    main()
