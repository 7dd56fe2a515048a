"""Runs the processes and stand-ins of a soak and applies faults to them."""

import asyncio
import contextlib
import itertools
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Final

from currantshore.internal.steering.directory import backend_token
from soak.faults import (
    BackendFault,
    ChangedRoutes,
    ColdStart,
    Drain,
    Evacuation,
    Fault,
    HostFault,
    LostHistory,
    RestoredStore,
    SilencedConnections,
    StoreFault,
)
from soak.foreign import foreign_objects
from soak.guarantees import IN_FORCE_S, Disturbances, GuaranteeChecker
from soak.proxies import BackendProxy, Impairment, StoreProxy
from standins.entries import EntryProcess, free_port
from standins.objectstore import ObjectStore, StoreCopy, StoreServer
from standins.packetends import PacketBackend, PacketCaller

ADDRESS: Final = '198.18.0.1'
SERVICES: Final = ('dockwatch', 'incident-upload')
FIRST_PORT: Final = 443
_ADDED_PORT: Final = 8443
_FIRST_HOST_NUMBER: Final = 11
_BACKENDS_PER_SERVICE: Final = 3
ZONES: Final = ('zone-0', 'zone-1')

# What a cold backend server bears, as the configuration states it, and the
# openings that it may get in any second, by the settings of the processes.
_WARMUP_S: Final = 2.0
_WARMUP_PER_S: Final = 2.0
_MOST_COLD_OPENINGS: Final = 4.0

# A backend server that starts again is silent before for this long.
_RESTART_S: Final = 1.5

_COPY_INTERVAL_S: Final = 0.25

_MILLISECONDS: Final = 1000

# A process may use the platform's grace period to stop, and needs more time on
# a busy machine.
_STOP_TIMEOUT_S: Final = 10.0


class SoakSystem:
    """Starts processes and stand-ins, applies faults, and stops them all."""

    def __init__(self, host_count: int, seed: int) -> None:
        """Prepare ``host_count`` hosts."""
        self.disturbances = Disturbances()
        self.guarantees = GuaranteeChecker(self.disturbances)
        self.entries: list[EntryProcess] = []
        self.backends: list[PacketBackend] = []
        self.service_ports: dict[str, set[int]] = {}
        # Backend names by the token in a flow's packets.
        self.backend_names: dict[int, str] = {}
        self.store = ObjectStore()
        self.caller = PacketCaller('127.0.1.1', seed)
        self._seed = seed
        # Soaks that run at the same time use different backend addresses.
        self._backend_ip = f'127.0.{2 + seed % 250}.1'
        self._host_count = host_count
        self._store_copies: list[tuple[float, StoreCopy]] = []
        self._store_proxies: list[StoreProxy] = []
        self._server_proxies: list[BackendProxy] = []
        self._stack = contextlib.AsyncExitStack()
        self._version = 1
        self._has_added_route = False
        self._unavailable_hosts: set[int] = set()
        self._applied_faults: list[str] = []
        self._draining_backends: set[int] = set()
        self._evacuated_zones: set[str] = set()
        self._returned_s: dict[str, float] = {}
        self._cold_starts: Counter[int] = Counter()
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Start the stand-ins, then the entry processes."""
        server = StoreServer(self.store)
        await server.start()
        self._stack.push_async_callback(server.stop)
        ports = [free_port('127.0.0.11') for _ in range(3)]
        await self.caller.start(ports[0])
        self._stack.callback(self.caller.stop)
        await self._start_backends(ports[0])
        await self._write_configuration()
        addresses = [
            f'{self._backend_ip}:{proxy.port}' for proxy in self._server_proxies
        ]
        self._foreign_objects = foreign_objects(addresses)
        for foreign in itertools.islice(self._foreign_objects, 16):
            await self.store.put(*foreign)
        copying = self._loop.create_task(self._copy_store())
        self._stack.callback(copying.cancel)
        for host_index in range(self._host_count):
            proxy = StoreProxy(server.port)
            await proxy.start()
            self._stack.callback(proxy.stop)
            entry = EntryProcess(
                _FIRST_HOST_NUMBER + host_index,
                ZONES[host_index % len(ZONES)],
                ports,
                proxy.port,
            )
            self._store_proxies.append(proxy)
            self.entries.append(entry)
            self._stack.push_async_callback(entry.end)
            await entry.start()
            self._record_host_disturbance(host_index)
        await asyncio.gather(*(entry.wait_ready() for entry in self.entries))

    async def stop(self) -> None:
        """Stop all stand-ins and end the started processes by their ids."""
        await self._stack.aclose()

    def write_logs(self, directory: Path) -> None:
        """Write the log of each process and the list of applied faults."""
        directory.mkdir(parents=True, exist_ok=True)
        for entry in self.entries:
            (directory / f'{entry.host}.log').write_bytes(entry.output)
        (directory / 'faults.log').write_text('\n'.join(self._applied_faults))

    async def check_beliefs(self) -> None:
        """Check that each host has the newest configuration and history."""
        expected = {
            'configuration_version': self._version,
            'store_restores': self.store.era - 1,
            'is_current': 1,
        }
        for entry in self.entries:
            page = (await entry.fetch_metrics()).decode()
            for name, number in expected.items():
                line = f'currantshore_entry_{name} {float(number)}\n'
                self.guarantees.check(
                    line in page, f'{entry.host}: expected {line.strip()}'
                )

    def is_up(self, host_index: int) -> bool:
        """Return whether routers would send packets to a host."""
        return host_index not in self._unavailable_hosts

    async def apply(self, fault: Fault) -> None:
        """Apply a fault and undo it when its duration has passed."""
        self._applied_faults.append(
            f'{self._loop.time():.3f} {time.time():.3f} {fault}'
        )
        for foreign in itertools.islice(self._foreign_objects, 2):
            await self.store.put(*foreign)
        match fault:
            case HostFault(kind=kind, hosts=hosts, for_s=for_s):
                await asyncio.gather(
                    *(
                        self._disturb_host(host_index, kind, for_s)
                        for host_index in hosts
                    )
                )
            case StoreFault(impairment=impairment, hosts=hosts, for_s=for_s):
                await self._impair_store(impairment, hosts, for_s)
            case SilencedConnections(hosts=hosts):
                for host_index in hosts:
                    self._record_host_disturbance(host_index)
                    self._store_proxies[host_index].silence_connections()
            case LostHistory():
                self.disturbances.store_s = self._loop.time()
                self.store.forget_history()
            case RestoredStore():
                await self._restore_store(fault)
            case BackendFault(kind=kind, backend=backend, for_s=for_s):
                await self._impair_backend(kind, backend, for_s)
            case Drain(backend=backend, for_s=for_s):
                await self._drain(backend, for_s)
            case ChangedRoutes():
                await self._change_routes()
            case Evacuation(zone=zone, for_s=for_s):
                await self._evacuate(zone, for_s)
            case ColdStart(backend=backend):
                await self._start_cold(backend)

    async def _disturb_host(
        self, host_index: int, kind: str, for_s: float
    ) -> None:
        entry = self.entries[host_index]
        if host_index in self._unavailable_hosts:
            return
        self._record_host_disturbance(host_index)
        if kind == 'hang_up':
            entry.send_signal(signal.SIGHUP)
            return
        self._unavailable_hosts.add(host_index)
        if kind == 'freeze':
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            entry.send_signal(signal.SIGCONT)
        elif kind == 'kill':
            await entry.stop(signal.SIGKILL)
            await asyncio.sleep(for_s)
            await entry.start()
        else:
            await self._terminate_entry(entry)
            await entry.start()
        self._record_host_disturbance(host_index)
        await entry.wait_ready()
        self._record_host_disturbance(host_index)
        self._unavailable_hosts.discard(host_index)

    async def _terminate_entry(self, entry: EntryProcess) -> None:
        entry.send_signal(signal.SIGTERM)
        status = await asyncio.wait_for(entry.wait(), _STOP_TIMEOUT_S)
        self.guarantees.check(
            status == 0, f'{entry.host}: ended with {status} after SIGTERM'
        )

    async def _impair_store(
        self,
        impairment: Impairment,
        hosts: tuple[int, ...],
        for_s: float,
    ) -> None:
        for host_index in hosts:
            self._store_proxies[host_index].impairment = impairment
            if impairment is Impairment.RESET:
                self._store_proxies[host_index].reset_connections()
        until_s = self._loop.time() + for_s
        while self._loop.time() < until_s:
            for host_index in hosts:
                self._record_host_disturbance(host_index)
            await asyncio.sleep(0.1)
        for host_index in hosts:
            self._store_proxies[host_index].impairment = Impairment.NONE
            self._record_host_disturbance(host_index)

    async def _copy_store(self) -> None:
        while True:
            self._store_copies.append((self._loop.time(), self.store.copy()))
            await asyncio.sleep(_COPY_INTERVAL_S)

    async def _restore_store(self, fault: RestoredStore) -> None:
        hosts = tuple(range(self._host_count)) if fault.away_s else ()
        taken_s = self._loop.time() - fault.age_s
        copy = next(
            kept
            for at_s, kept in reversed(self._store_copies)
            if at_s <= taken_s or at_s == self._store_copies[0][0]
        )
        self.disturbances.store_s = self._loop.time()
        await self._impair_store(Impairment.RESET, hosts, fault.away_s)
        await self.store.restore(copy)
        self.disturbances.store_s = self._loop.time()
        await asyncio.sleep(fault.rewrite_s)
        await self.store.write_again()
        self.disturbances.store_s = self._loop.time()

    async def _impair_backend(
        self, kind: str, backend_index: int, for_s: float
    ) -> None:
        proxy = self._server_proxies[backend_index]
        if kind == 'silent':
            proxy.go_silent()
        elif kind == 'lossy':
            proxy.loss_ratio = 0.3
        else:
            proxy.delay_s = 0.3
        until_s = self._loop.time() + for_s
        while self._loop.time() < until_s:
            self._record_backend_disturbance(backend_index)
            await asyncio.sleep(0.1)
        proxy.loss_ratio = 0
        proxy.delay_s = 0
        if kind == 'silent':
            await proxy.listen()
        self._record_backend_disturbance(backend_index)

    async def _drain(self, backend_index: int, for_s: float) -> None:
        if backend_index in self._draining_backends:
            return
        self._draining_backends.add(backend_index)
        backend = self.backends[backend_index]
        await self._register_backend(backend_index, 'draining')
        accepted_s = self._loop.time()
        await asyncio.sleep(for_s)
        until_s = self._loop.time()
        await self._register_backend(backend_index, 'ready')
        self.guarantees.check_out_of_use(
            backend, 'its drain', accepted_s, until_s
        )
        self._draining_backends.discard(backend_index)

    async def _evacuate(self, zone: str, for_s: float) -> None:
        if zone in self._evacuated_zones:
            return
        self._evacuated_zones.add(zone)
        await self.store.put('evacuations', zone, {})
        accepted_s = self._loop.time()
        await asyncio.sleep(for_s)
        until_s = self._loop.time()
        await self.store.remove('evacuations', zone)
        self._returned_s[zone] = self._loop.time()
        for index, backend in enumerate(self.backends):
            if ZONES[index % len(ZONES)] == zone:
                self.guarantees.check_out_of_use(
                    backend, f'{zone} was evacuated', accepted_s, until_s
                )
        self._evacuated_zones.discard(zone)

    async def _start_cold(self, backend_index: int) -> None:
        if backend_index in self._draining_backends:
            return
        # It keeps its flows: the check is about new ones.
        self._draining_backends.add(backend_index)
        await self._impair_backend('silent', backend_index, _RESTART_S)
        self._cold_starts[backend_index] += 1
        await self._register_backend(backend_index, 'ready', _WARMUP_S)
        started_s = self._loop.time()
        await asyncio.sleep(_WARMUP_S)
        backend = self.backends[backend_index]
        self.guarantees.check_warmup(
            backend, started_s, self._loop.time(), _MOST_COLD_OPENINGS
        )
        await self._register_backend(backend_index, 'ready')
        self._draining_backends.discard(backend_index)

    async def _change_routes(self) -> None:
        self._has_added_route = not self._has_added_route
        is_added = self._has_added_route
        self._version += 1
        version = self._version
        await self._write_configuration()
        accepted_s = self._loop.time()
        await asyncio.sleep(IN_FORCE_S)
        for host_index, entry in enumerate(self.entries):
            if version == self._version and self.is_up(host_index):
                await self._check_route(entry, version, accepted_s, is_added)

    async def _check_route(
        self,
        entry: EntryProcess,
        version: int,
        accepted_s: float,
        is_added: bool,
    ) -> None:
        flow = self.caller.flow((ADDRESS, _ADDED_PORT))
        is_open = await flow.open(entry.packet_address)
        now_s = self._loop.time()
        is_undisturbed = self.disturbances.is_host_undisturbed(
            entry.host, accepted_s, now_s
        )
        # All servers of the route's service are in the first zone, so that
        # openings are refused while it is evacuated.
        is_refusal_allowed = is_added and self._is_evacuated_since(
            ZONES[0], accepted_s
        )
        if is_refusal_allowed or version != self._version:
            return
        if is_undisturbed:
            self.guarantees.check(
                is_open is is_added,
                f'{entry.host}: version {version}, added {is_added}, '
                f'opened {is_open}',
            )

    def _is_evacuated_since(self, zone: str, since_s: float) -> bool:
        """Return whether a zone was evacuated or returned after ``since_s``."""
        returned_s = self._returned_s.get(zone, 0)
        return zone in self._evacuated_zones or returned_s > since_s

    async def _start_backends(self, caller_port: int) -> None:
        for backend_index in range(_BACKENDS_PER_SERVICE * len(SERVICES)):
            backend = PacketBackend(
                f'i-{backend_index + 1:08x}', backend_index + 1
            )
            await backend.start(self._backend_ip, caller_port)
            self._stack.callback(backend.stop)
            proxy = BackendProxy(backend, self._seed + backend_index)
            await proxy.start(self._backend_ip)
            self._stack.callback(proxy.stop)
            service_index = backend_index % len(SERVICES)
            extra = {_ADDED_PORT} if service_index == 0 else set()
            self.service_ports[backend.name] = {
                FIRST_PORT + service_index
            } | extra
            self.backends.append(backend)
            self.backend_names[backend_token(backend.name)] = backend.name
            self._server_proxies.append(proxy)
            await self._register_backend(backend_index, 'ready')

    async def _register_backend(
        self, index: int, state: str, warmup_left_s: float = 0
    ) -> None:
        spec = {
            'service': SERVICES[index % len(SERVICES)],
            'address': f'{self._backend_ip}:{self._server_proxies[index].port}',
            'zone': ZONES[index % len(ZONES)],
            'version': 'v1',
            'slots': 3,
            'state': state,
            'warmup-left-ms': round(warmup_left_s * _MILLISECONDS),
            'sequence': 1,
            'born': 1 + self._cold_starts[index],
        }
        await self.store.put('servers', self.backends[index].name, spec)

    async def _write_configuration(self) -> None:
        routes = {
            FIRST_PORT + service_index: service
            for service_index, service in enumerate(SERVICES)
        }
        if self._has_added_route:
            routes[_ADDED_PORT] = SERVICES[0]
        route_specs = [
            {
                'name': f'route-{port}',
                'host': ADDRESS,
                'path-prefix': f'/{port}/',
                'route-type': 'safe',
                'timeout-ms': 1200,
                'target-latency-ms': 250,
                'service': service,
            }
            for port, service in routes.items()
        ]
        spec = {
            'version': self._version,
            'routes': route_specs,
            'services': [
                {
                    'name': service,
                    'warmup-s': _WARMUP_S,
                    'warmup-per-s': _WARMUP_PER_S,
                }
                for service in SERVICES
            ],
            'limits': {'idle-timeout-ms': 15000},
        }
        await self.store.put('config', 'main', spec)

    def _record_host_disturbance(self, host_index: int) -> None:
        host = self.entries[host_index].host
        self.disturbances.hosts_s[host] = self._loop.time()

    def _record_backend_disturbance(self, backend_index: int) -> None:
        name = self.backends[backend_index].name
        self.disturbances.backends_s[name] = self._loop.time()
