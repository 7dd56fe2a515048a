"""Runs the backends and balancers of one workspace as loopback processes."""

import asyncio
import dataclasses
import re
import socket
from collections.abc import Mapping
from typing import Any, Final

import aiohttp
import msgspec

from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.process.settings import parse_endpoint
from currantshore.internal.snapshot import (
    BackendServer,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
    pool_key,
    service_key,
)
from currantshore.wire import Endpoint
from standins.processes import ChildProcess, Reservation, loopback_host

PEER_KEY: Final = 'c5' * 32
_READY_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05
_OK: Final = 200
_SAMPLE: Final = re.compile(
    r'^(?P<name>\w+)(?P<labels>\{[^}]*\})? (?P<number>\S+)$',
    re.MULTILINE,
)


class ClusterError(RuntimeError):
    """Raised when a process ends early or a wait times out."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """The addresses of one balancer."""

    host_id: str
    zone: str
    peer: Endpoint
    rpc: Endpoint
    admin: Endpoint
    services: Mapping[str, Endpoint]
    reservation: Reservation

    def declared(self) -> PoolHost:
        """Return the host's entry in the pool object."""
        return PoolHost(self.host_id, self.zone, self.peer, self.rpc)


class Cluster:
    """Balancers and backends of one workspace, started as processes."""

    __slots__ = (
        '_first_host',
        '_http',
        '_platform',
        '_platform_url',
        'backends',
        'balancers',
        'hosts',
        'pool',
        'versions',
    )

    def __init__(
        self,
        pool: PoolSnapshot,
        platform_url: str,
        first_host: int = 1,
    ) -> None:
        """Plan the processes of ``pool``; ``start`` starts them.

        The endpoints in ``pool`` are replaced by free ones on loopback.
        ``first_host`` keeps the loopback addresses of two workspaces apart.
        """
        self.pool = pool
        self._platform_url = platform_url
        self._first_host = first_host
        self._platform = PlatformClient.from_config(platform_url)
        self._http = aiohttp.ClientSession()
        self.versions: dict[str, int] = {}
        self.backends: dict[str, ChildProcess] = {}
        self.balancers: dict[str, ChildProcess] = {}
        self.hosts: dict[str, HostPlan] = {}

    @property
    def pool_id(self) -> str:
        """The pool's id."""
        return self.pool.members.pool_id

    async def start(self) -> None:
        """Start everything, declare it and wait until it is ready."""
        await self.start_backends()
        self.plan_hosts()
        await self.declare()
        await asyncio.gather(
            *(self.start_balancer(host_id) for host_id in self.hosts),
        )
        await self.wait_until_ready()

    async def start_backends(self) -> None:
        """Start the backend servers and record their addresses."""
        servers = [
            (service.service_id, backend)
            for service in self.pool.services
            for backend in service.backend_servers
        ]
        endpoints = await asyncio.gather(
            *(self._start_backend(*server) for server in servers),
        )
        found = {
            server.backend_id: endpoint
            for (_, server), endpoint in zip(servers, endpoints, strict=True)
        }
        services = [
            _with_endpoints(service, found) for service in self.pool.services
        ]
        self.pool = PoolSnapshot(self.pool.members, tuple(services))

    def plan_hosts(self) -> None:
        """Reserve the addresses of all balancers."""
        for number, host in enumerate(self.pool.members.hosts):
            reservation = Reservation(loopback_host(self._first_host + number))
            self.hosts[host.host_id] = HostPlan(
                host.host_id,
                host.zone,
                reservation.take(socket.SOCK_DGRAM),
                reservation.take(socket.SOCK_STREAM),
                reservation.take(socket.SOCK_STREAM),
                {
                    service.service_id: reservation.take(socket.SOCK_DGRAM)
                    for service in self.pool.services
                },
                reservation,
            )
        declared = tuple(plan.declared() for plan in self.hosts.values())
        members = msgspec.structs.replace(self.pool.members, hosts=declared)
        self.pool = PoolSnapshot(members, self.pool.services)

    async def declare(self) -> None:
        """Write the pool and its services to the platform."""
        await self.write(pool_key(self.pool_id), self.pool.members)
        await asyncio.gather(
            *(self.write_service(service) for service in self.pool.services),
        )

    async def write_service(self, service: ServiceSnapshot) -> int:
        """Write a service object; return its new version."""
        key = service_key(self.pool_id, service.service_id)
        return await self.write(key, service)

    async def write(
        self, key: str, record: PoolMembers | ServiceSnapshot
    ) -> int:
        """Replace the last version that this cluster wrote; return the new."""
        body = msgspec.json.encode(record)
        known = self.versions.get(key, 0)
        version = await self._platform.put_if(key, body, known, 'cluster')
        self.versions[key] = version
        return version

    async def start_balancer(self, host_id: str, *extra: str) -> ChildProcess:
        """Start one balancer at its planned addresses."""
        plan = self.hosts[host_id]
        plan.reservation.release()
        listed = ','.join(
            f'{service_id}={text(address)}'
            for service_id, address in plan.services.items()
        )
        seeds = ','.join(
            text(other.rpc)
            for other in self.hosts.values()
            if other.host_id != host_id
        )
        child = await ChildProcess.start(
            host_id,
            '-m',
            'currantshore.internal.process.daemon',
            f'--host-id={host_id}',
            f'--zone={plan.zone}',
            f'--pool-id={self.pool_id}',
            f'--peer-key={PEER_KEY}',
            f'--platform-url={self._platform_url}',
            f'--peer-address={text(plan.peer)}',
            f'--rpc-address={text(plan.rpc)}',
            f'--admin-address={text(plan.admin)}',
            '--backend-address=127.0.0.1:0',
            f'--service-addresses={listed}',
            f'--seed-peers={seeds}',
            '--leave-linger-s=1',
            *extra,
        )
        self.balancers[host_id] = child
        return child

    async def kill_balancer(self, host_id: str) -> None:
        """Kill a balancer; it may be started again."""
        await self.balancers.pop(host_id).kill()

    async def wait_until_ready(self) -> None:
        """Wait until every running balancer reports that it is ready."""
        await self.wait_for('all balancers to be ready', self._all_ready)

    async def wait_for(self, what: str, check: Any) -> None:
        """Poll ``check`` until it is true; raises ``ClusterError``."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + _READY_TIMEOUT_S
        while not await check():
            if loop.time() > deadline_s:
                raise ClusterError(f'timed out while waiting for {what}')
            await asyncio.sleep(_POLL_S)

    async def is_ready(self, host_id: str) -> bool:
        """Request ``/readyz``; raises ``ClusterError`` if the process ended."""
        child = self.balancers[host_id]
        if not child.is_running:
            raise ClusterError(f'{host_id} ended:\n{child.log_tail()}')
        address = text(self.hosts[host_id].admin)
        try:
            async with self._http.get(f'http://{address}/readyz') as answer:
                return answer.status == _OK
        except aiohttp.ClientError:
            return False

    async def metrics(self, host_id: str) -> dict[str, float]:
        """Return the metric samples of a balancer by name and labels."""
        address = text(self.hosts[host_id].admin)
        async with self._http.get(f'http://{address}/metrics') as answer:
            page = await answer.text()
        return {
            found['name'] + (found['labels'] or ''): float(found['number'])
            for found in _SAMPLE.finditer(page)
        }

    async def record(self, backend_id: str) -> Any:
        """Return the record of a backend server."""
        address = self.backends[backend_id].ready['http']
        async with self._http.get(f'http://{address}/record') as answer:
            return msgspec.json.decode(await answer.read())

    async def control(self, backend_id: str, **switches: object) -> None:
        """Set switches of a backend server."""
        address = self.backends[backend_id].ready['http']
        body = msgspec.json.encode(switches)
        url = f'http://{address}/control'
        async with self._http.post(url, data=body) as answer:
            answer.raise_for_status()

    def running(self) -> list[str]:
        """Return the ids of the balancers whose process runs."""
        return [
            host_id
            for host_id, child in self.balancers.items()
            if child.is_running
        ]

    def routes(self) -> dict[str, dict[str, Endpoint]]:
        """Return each service's address on each balancer."""
        return {
            service.service_id: {
                plan.host_id: plan.services[service.service_id]
                for plan in self.hosts.values()
            }
            for service in self.pool.services
        }

    def service(self, service_id: str) -> ServiceSnapshot:
        """Return a service as it was last declared."""
        found = {one.service_id: one for one in self.pool.services}
        return found[service_id]

    async def replace_service(self, service: ServiceSnapshot) -> int:
        """Declare a changed service; return its version."""
        services = [
            service if one.service_id == service.service_id else one
            for one in self.pool.services
        ]
        self.pool = PoolSnapshot(self.pool.members, tuple(services))
        return await self.write_service(service)

    async def stop(self) -> None:
        """End all processes by their ids."""
        children = [*self.balancers.values(), *self.backends.values()]
        await asyncio.gather(*(child.stop() for child in children))
        await self._http.close()
        await self._platform.close()

    async def _all_ready(self) -> bool:
        ready = await asyncio.gather(
            *(self.is_ready(host_id) for host_id in self.balancers),
        )
        return all(ready)

    async def _start_backend(
        self,
        service_id: str,
        backend: BackendServer,
    ) -> Endpoint:
        child = await ChildProcess.start(
            backend.backend_id,
            '-m',
            'standins.backend',
            f'--service-id={service_id}',
            f'--backend-id={backend.backend_id}',
            f'--slot-count={backend.slot_count}',
            f'--connection-limit={backend.connection_limit}',
        )
        self.backends[backend.backend_id] = child
        child.ready = await child.read_line()
        return parse_endpoint(child.ready['udp'])


async def start_platform() -> ChildProcess:
    """Start the platform stand-in; ``ready`` of the result has the URL."""
    child = await ChildProcess.start('platform', '-m', 'standins.platform')
    child.ready = await child.read_line()
    return child


def text(address: Endpoint) -> str:
    """Return ``host:port``."""
    return f'{address.host}:{address.port}'


def _with_endpoints(
    service: ServiceSnapshot,
    found: Mapping[str, Endpoint],
) -> ServiceSnapshot:
    servers = tuple(
        msgspec.structs.replace(server, endpoint=found[server.backend_id])
        for server in service.backend_servers
    )
    return msgspec.structs.replace(service, backend_servers=servers)
