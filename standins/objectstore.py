"""A stand-in for the platform's object store, for the entry process.

``python -m standins.objectstore --port 0`` prints ``{"url", "port"}`` as one
line when it is ready; SIGTERM ends it. It implements the published
protocol: paged listings, single objects, watches from a revision, conditional
writes, the status codes 404, 409, 410, 429 and 503, and the header that counts
restores. ``POST /faults`` sets the fields of ``Faults``; ``GET /calls`` returns
the counts of calls by kind.
"""

import argparse
import asyncio
import collections
import functools
import signal
from typing import Any, Final, NamedTuple, TypeAlias

import msgspec
from aiohttp import web

_GONE: Final = 410
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_MS_PER_S: Final = 1000
_MAX_WAIT_MS: Final = 30_000


# Objects of one kind by name, as they are sent.
_Objects: TypeAlias = dict[str, dict[str, Any]]


def _encode(content: Any) -> str:
    """Encode JSON; ``msgspec.Raw`` stands for text that is sent as it is."""
    return msgspec.json.encode(content).decode()


_respond: Final = functools.partial(web.json_response, dumps=_encode)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the store injects.

    ``refuse_status`` answers every call of ``refused_hosts`` (all hosts when
    empty) with that status; ``is_silent`` never answers them. ``lose_writes``
    is the number of next writes that are applied but not answered.
    """

    refuse_status: int = 0
    refused_hosts: tuple[str, ...] = ()
    is_silent: bool = False
    slow_ms: int = 0
    lose_writes: int = 0

    def affect(self, host: str | None) -> bool:
        """Return whether calls of ``host`` are refused or not answered."""
        return not self.refused_hosts or host in self.refused_hosts


class _Event(msgspec.Struct):
    revision: int
    kind: str
    found: dict[str, Any]
    is_removed: bool


class StoreCopy(NamedTuple):
    """The state of a store at one moment, from which it can be restored."""

    revision: int
    kinds: dict[str, _Objects]
    events: tuple[_Event, ...]
    discarded_revision: int


class ObjectStore:
    """Objects by kind and name with one revision counter."""

    def __init__(self, page_size: int = 50, history: int = 1000) -> None:
        """Initialize an empty store with ``page_size`` objects a page."""
        self.revision = 1
        # Rises by one with each restore.
        self.era = 1
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._page_size = page_size
        self._objects: dict[str, _Objects] = {}
        # What was written last, in the order of the writes; no restore loses
        # it.
        self._written: dict[tuple[str, str], Any] = {}
        self._events: collections.deque[_Event] = collections.deque(
            maxlen=history
        )
        self._discarded_revision = 0
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return the store's revision."""
        self._written.pop((kind, name), None)
        self._written[kind, name] = spec
        objects_of_kind = self._objects.setdefault(kind, {})
        old = objects_of_kind.get(name)
        if old is not None and old['spec'] == spec:
            return self.revision
        self.revision += 1
        created = old['meta']['create-revision'] if old else self.revision
        found = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'create-revision': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        objects_of_kind[name] = found
        await self._publish(
            _Event(self.revision, kind, found, is_removed=False)
        )
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        self._written.pop((kind, name), None)
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            removed = {**found, 'meta': {**found['meta']}}
            removed['meta']['revision'] = self.revision
            await self._publish(
                _Event(self.revision, kind, removed, is_removed=True)
            )

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None if it does not exist."""
        return self._objects.get(kind, {}).get(name)

    def forget_history(self) -> None:
        """Discard all events, as the platform may at any time."""
        self._events.clear()
        self._discarded_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the state, as a backup of the store would be."""
        return StoreCopy(
            self.revision,
            {kind: dict(found) for kind, found in self._objects.items()},
            tuple(self._events),
            self._discarded_revision,
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Return to an older state, whose revisions are given out again."""
        self.era += 1
        self.revision = copy.revision
        self._objects = {
            kind: dict(found) for kind, found in copy.kinds.items()
        }
        self._events = collections.deque(copy.events, self._events.maxlen)
        self._discarded_revision = copy.discarded_revision
        async with self._changed:
            self._changed.notify_all()

    async def write_again(self) -> None:
        """Write what a restore has lost, as the writers of the objects do."""
        written = list(self._written.items())
        for kind, found in self.copy().kinds.items():
            for name in found:
                if (kind, name) not in self._written:
                    await self.remove(kind, name)
        for (kind, name), spec in written:
            await self.put(kind, name, spec)

    def page(self, kind: str, after: str) -> dict[str, Any]:
        """Return the page of objects whose names follow ``after``."""
        objects_of_kind = self._objects.get(kind, {})
        names = sorted(name for name in objects_of_kind if name > after)
        listed = names[: self._page_size]
        return {
            'items': [objects_of_kind[name] for name in listed],
            'has-more': len(names) > len(listed),
            'as-of': self.revision,
        }

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
    ) -> dict[str, Any] | None:
        """Return events after ``revision``; None if they are not known."""
        deadline_s = asyncio.get_running_loop().time() + wait_ms / _MS_PER_S
        while True:
            if not self._discarded_revision <= revision <= self.revision:
                return None
            events = [
                {'object': event.found, 'removed': event.is_removed}
                for event in self._events
                if event.kind == kind and event.revision > revision
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return {'events': events, 'as-of': self.revision}
            await self._wait(left_s)

    async def _wait(self, longest_s: float) -> None:
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait(), longest_s)
            except TimeoutError:
                # The caller checks the deadline.
                return

    async def _publish(self, event: _Event) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()


class StoreServer:
    """Serves an ``ObjectStore`` over HTTP."""

    def __init__(self, store: ObjectStore) -> None:
        """Serve ``store``; ``start`` listens."""
        self.store = store
        self.port = 0
        application = web.Application(middlewares=[self._inject_faults])
        path = '/v1/objects/{kind}'
        application.router.add_get(path, self._list)
        application.router.add_get(f'{path}/{{name}}', self._get)
        application.router.add_put(f'{path}/{{name}}', self._put)
        application.router.add_post(path, self._create)
        application.router.add_delete(f'{path}/{{name}}', self._delete)
        application.router.add_post('/faults', self._set_faults)
        application.router.add_get('/calls', self._show_calls)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )

    async def start(self, port: int = 0, host: str = '127.0.0.1') -> None:
        """Listen on loopback."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()

    async def _stay_silent(self, request: web.Request) -> None:
        """Wait for long if the store is silent, also since a watch began."""
        faults = self.store.faults
        if faults.is_silent and faults.affect(request.remote):
            await asyncio.sleep(_MAX_WAIT_MS)

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        faults = self.store.faults
        is_control = request.path in {'/faults', '/calls'}
        is_refused = faults.affect(request.remote)
        if not is_control:
            self.store.calls[request.method] += 1
            await asyncio.sleep(faults.slow_ms / _MS_PER_S)
            await self._stay_silent(request)
            if is_refused and faults.refuse_status:
                return web.Response(
                    status=faults.refuse_status, headers=self._headers()
                )
        answer = await handler(request)
        if not is_control:
            await self._stay_silent(request)
        answer.headers.update(self._headers())
        if request.method != 'GET' and not is_control and faults.lose_writes:
            faults.lose_writes -= 1
            assert request.transport is not None
            request.transport.abort()
        return answer

    def _headers(self) -> dict[str, str]:
        return {'Store-Era': str(self.store.era)}

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        if 'watch' not in request.query:
            return _respond(
                self.store.page(kind, request.query.get('after', ''))
            )
        wait_ms = min(int(request.query.get('wait-ms', 0)), _MAX_WAIT_MS)
        revision = int(request.query['watch'])
        changes = await self.store.watch(kind, revision, wait_ms)
        if changes is None:
            return web.Response(status=_GONE)
        return _respond(changes)

    async def _get(self, request: web.Request) -> web.Response:
        found = self.store.find(**request.match_info)
        if found is None:
            return web.Response(status=_NOT_FOUND)
        return _respond(found)

    async def _put(self, request: web.Request) -> web.Response:
        content = await request.json()
        found = self.store.find(**request.match_info)
        expected = content['meta'].get('revision')
        if found is None:
            return web.Response(status=_NOT_FOUND)
        if expected is not None and expected != found['meta']['revision']:
            return _respond(found, status=_CONFLICT)
        await self.store.put(**request.match_info, spec=content['spec'])
        return _respond(self.store.find(**request.match_info))

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        content = await request.json()
        name = content['meta']['name']
        if self.store.find(kind, name) is not None:
            return web.Response(status=_CONFLICT)
        await self.store.put(kind, name, content['spec'])
        return _respond(self.store.find(kind, name))

    async def _delete(self, request: web.Request) -> web.Response:
        await self.store.remove(**request.match_info)
        return _respond({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.store.faults = msgspec.json.decode(
            await request.read(), type=Faults
        )
        return _respond({})

    async def _show_calls(self, _: web.Request) -> web.Response:
        return _respond(dict(self.store.calls))


async def _serve(port: int) -> None:
    server = StoreServer(ObjectStore())
    await server.start(port)
    shown = {'url': f'http://127.0.0.1:{server.port}', 'port': server.port}
    print(msgspec.json.encode(shown).decode(), flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await server.stop()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    asyncio.run(_serve(parser.parse_args().port))


if __name__ == '__main__':
    main()
