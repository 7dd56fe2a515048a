"""The administrative HTTP interface: metrics and health."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from currantshore.wire import Endpoint

_OK = 200
_UNAVAILABLE = 503


class AdminServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``.

    ``/healthz`` answers while the loop turns; ``/readyz`` answers 200 only
    while this balancer should get packets.
    """

    __slots__ = ('_is_ready', '_registry', '_runner', 'address')

    def __init__(
        self,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
    ) -> None:
        """Prefer ``start_at``, which listens."""
        self._registry = registry
        self._is_ready = is_ready
        self.address = Endpoint('', 0)
        application = web.Application()
        application.router.add_get('/metrics', self._metrics)
        application.router.add_get('/healthz', self._healthz)
        application.router.add_get('/readyz', self._readyz)
        self._runner = web.AppRunner(application, access_log=None)

    @classmethod
    async def start_at(
        cls,
        address: Endpoint,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
    ) -> 'AdminServer':
        """Listen on ``address``; raises ``OSError``."""
        server = cls(registry, is_ready)
        await server._runner.setup()
        site = web.TCPSite(server._runner, address.host, address.port)
        await site.start()
        host, port = server._runner.addresses[0][:2]
        server.address = Endpoint(host, port)
        return server

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _readyz(self, request: web.Request) -> web.Response:
        is_ready = self._is_ready()
        return web.Response(
            text='ready\n' if is_ready else 'not ready\n',
            status=_OK if is_ready else _UNAVAILABLE,
        )
