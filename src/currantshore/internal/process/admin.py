"""The administrative HTTP interface: metrics and health."""

from collections.abc import Callable
from typing import Final, Self

from prometheus_client import CollectorRegistry, generate_latest

from currantshore.internal.httpserver import Page, PageServer
from currantshore.wire import Endpoint

_OK: Final = 200
_UNAVAILABLE: Final = 503
_TEXT: Final = 'text/plain; version=0.0.4'


class AdminServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``.

    ``/healthz`` answers as long as the event loop runs; ``/readyz`` answers
    200 only while this balancer should receive packets, and 503 otherwise.
    """

    __slots__ = ('_is_ready', '_registry', '_server', 'address')

    def __init__(
        self,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
    ) -> None:
        """Initialize; prefer ``start_at``, which also listens."""
        self._registry = registry
        self._is_ready = is_ready
        self._server: PageServer
        self.address = Endpoint('', 0)

    @classmethod
    async def start_at(
        cls,
        address: Endpoint,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
    ) -> Self:
        """Listen on ``address``; raises ``OSError``."""
        admin = cls(registry, is_ready)
        admin._server = await PageServer.start_at(
            address,
            {
                '/metrics': admin._serve_metrics,
                '/healthz': _serve_health,
                '/readyz': admin._serve_readiness,
            },
        )
        admin.address = admin._server.address
        return admin

    async def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def _serve_metrics(self) -> Page:
        return Page(_OK, _TEXT, generate_latest(self._registry))

    def _serve_readiness(self) -> Page:
        if self._is_ready():
            return Page(_OK, _TEXT, b'ready\n')
        return Page(_UNAVAILABLE, _TEXT, b'not ready\n')


def _serve_health() -> Page:
    return Page(_OK, _TEXT, b'ok\n')
