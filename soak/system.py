"""The processes and stand-ins of a soak, and the faults that strike them."""

import asyncio
import contextlib
import signal
import time
from pathlib import Path
from typing import Final

from currantshore.internal.steering.directory import backend_token
from soak.faults import (
    BackendFault,
    ChangedRoutes,
    Drain,
    Fault,
    HostFault,
    LostHistory,
    SilencedConnections,
    StoreFault,
)
from soak.promises import IN_FORCE_S, Disturbances, Promises
from soak.proxies import BackendProxy, Harm, StoreProxy
from standins.entries import EntryProcess, free_port
from standins.objectstore import ObjectStore, StoreServer
from standins.packetends import PacketBackend, PacketCaller

ADDRESS: Final = '198.18.0.1'
SERVICES: Final = ('dockwatch', 'incident-upload')
FIRST_PORT: Final = 443
_ADDED_PORT: Final = 8443
_FIRST_HOST_NUMBER: Final = 11
_BACKENDS_PER_SERVICE: Final = 3
_ZONES: Final = 2

# A stopped process may take the platform's grace, and some time of a busy
# machine.
_STOP_LIMIT_S: Final = 10.0


class SoakWorld:
    """Starts everything, applies faults, and ends what it started."""

    def __init__(self, host_count: int, seed: int) -> None:
        """Prepare for so many hosts."""
        self.disturbances = Disturbances()
        self.promises = Promises(self.disturbances)
        self.entries: list[EntryProcess] = []
        self.backends: list[PacketBackend] = []
        self.ports: dict[str, set[int]] = {}
        # Servers by the token that a flow's packets carry.
        self.names: dict[int, str] = {}
        self.store = ObjectStore()
        self.caller = PacketCaller('127.0.1.1', seed)
        self._seed = seed
        # Soaks that run side by side share no address of a server.
        self._backend_host = f'127.0.{2 + seed % 250}.1'
        self._host_count = host_count
        self._proxies: list[StoreProxy] = []
        self._fronts: list[BackendProxy] = []
        self._stack = contextlib.AsyncExitStack()
        self._version = 1
        self._has_added_route = False
        self._busy: set[int] = set()
        self._done: list[str] = []
        self._drained: set[int] = set()
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Start the stand-ins, then the processes."""
        server = StoreServer(self.store)
        await server.start()
        self._stack.push_async_callback(server.stop)
        ports = [free_port('127.0.0.11') for _ in range(3)]
        await self.caller.start(ports[0])
        self._stack.callback(self.caller.stop)
        await self._start_backends(ports[0])
        await self._configure()
        for place in range(self._host_count):
            proxy = StoreProxy(server.port)
            await proxy.start()
            self._stack.callback(proxy.stop)
            entry = EntryProcess(
                _FIRST_HOST_NUMBER + place,
                f'zone-{place % _ZONES}',
                ports,
                proxy.port,
            )
            self._proxies.append(proxy)
            self.entries.append(entry)
            self._stack.push_async_callback(entry.end)
            await entry.start()
            self._touch_host(place)
        await asyncio.gather(*(entry.wait_ready() for entry in self.entries))

    async def stop(self) -> None:
        """End all that was started, processes by their ids."""
        await self._stack.aclose()

    def write_logs(self, directory: Path) -> None:
        """Write what each process has logged, and what was done to it."""
        directory.mkdir(parents=True, exist_ok=True)
        for entry in self.entries:
            (directory / f'{entry.host}.log').write_bytes(entry.output)
        (directory / 'faults.log').write_text('\n'.join(self._done))

    def is_up(self, place: int) -> bool:
        """Tell whether routers would send packets to a host."""
        return place not in self._busy

    async def apply(self, fault: Fault) -> None:
        """Apply a fault and undo it when its time is over."""
        self._done.append(f'{self._loop.time():.3f} {time.time():.3f} {fault}')
        match fault:
            case HostFault(kind=kind, hosts=hosts, for_s=for_s):
                await asyncio.gather(
                    *(self._strike(place, kind, for_s) for place in hosts)
                )
            case StoreFault(harm=harm, hosts=hosts, for_s=for_s):
                await self._harm_store(harm, hosts, for_s)
            case SilencedConnections(hosts=hosts):
                for place in hosts:
                    self._touch_host(place)
                    self._proxies[place].silence_open()
            case LostHistory():
                self.disturbances.store_s = self._loop.time()
                self.store.forget_history()
            case BackendFault(kind=kind, backend=backend, for_s=for_s):
                await self._harm_backend(kind, backend, for_s)
            case Drain(backend=backend, for_s=for_s):
                await self._drain(backend, for_s)
            case ChangedRoutes():
                await self._change_routes()

    async def _strike(self, place: int, kind: str, for_s: float) -> None:
        entry = self.entries[place]
        if place in self._busy:
            return
        self._touch_host(place)
        if kind == 'hang_up':
            entry.send_signal(signal.SIGHUP)
            return
        self._busy.add(place)
        if kind == 'freeze':
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            entry.send_signal(signal.SIGCONT)
        elif kind == 'kill':
            await entry.stop(signal.SIGKILL)
            await asyncio.sleep(for_s)
            await entry.start()
        else:
            await self._terminate(entry)
            await entry.start()
        self._touch_host(place)
        await entry.wait_ready()
        self._touch_host(place)
        self._busy.discard(place)

    async def _terminate(self, entry: EntryProcess) -> None:
        entry.send_signal(signal.SIGTERM)
        status = await asyncio.wait_for(entry.wait(), _STOP_LIMIT_S)
        self.promises.check(
            status == 0, f'{entry.host}: ended with {status} after SIGTERM'
        )

    async def _harm_store(
        self,
        harm: Harm,
        hosts: tuple[int, ...],
        for_s: float,
    ) -> None:
        for place in hosts:
            self._proxies[place].harm = harm
            if harm is Harm.RESET:
                self._proxies[place].reset_open()
        until_s = self._loop.time() + for_s
        while self._loop.time() < until_s:
            for place in hosts:
                self._touch_host(place)
            await asyncio.sleep(0.1)
        for place in hosts:
            self._proxies[place].harm = Harm.NONE
            self._touch_host(place)

    async def _harm_backend(self, kind: str, number: int, for_s: float) -> None:
        front = self._fronts[number]
        if kind == 'silent':
            front.fall_silent()
        elif kind == 'lossy':
            front.loss_ratio = 0.3
        else:
            front.delay_s = 0.3
        until_s = self._loop.time() + for_s
        while self._loop.time() < until_s:
            self._touch_backend(number)
            await asyncio.sleep(0.1)
        front.loss_ratio = 0
        front.delay_s = 0
        if kind == 'silent':
            await front.listen()
        self._touch_backend(number)

    async def _drain(self, number: int, for_s: float) -> None:
        if number in self._drained:
            return
        self._drained.add(number)
        backend = self.backends[number]
        await self._list(number, 'draining')
        accepted_s = self._loop.time()
        await asyncio.sleep(for_s)
        until_s = self._loop.time()
        await self._list(number, 'ready')
        self.promises.judge_drain(backend, accepted_s, until_s)
        self._drained.discard(number)

    async def _change_routes(self) -> None:
        self._has_added_route = not self._has_added_route
        is_added = self._has_added_route
        self._version += 1
        version = self._version
        await self._configure()
        accepted_s = self._loop.time()
        await asyncio.sleep(IN_FORCE_S)
        for place, entry in enumerate(self.entries):
            if version != self._version or not self.is_up(place):
                continue
            flow = self.caller.flow((ADDRESS, _ADDED_PORT))
            is_open = await flow.open(entry.packet_address)
            now_s = self._loop.time()
            is_calm = self.disturbances.is_host_calm(
                entry.host, accepted_s, now_s
            )
            if is_calm and version == self._version:
                self.promises.check(
                    is_open is is_added,
                    f'{entry.host}: version {version}, added {is_added}, '
                    f'opened {is_open}',
                )

    async def _start_backends(self, caller_port: int) -> None:
        for number in range(_BACKENDS_PER_SERVICE * len(SERVICES)):
            backend = PacketBackend(f'i-{number + 1:08x}', number + 1)
            await backend.start(self._backend_host, caller_port)
            self._stack.callback(backend.stop)
            front = BackendProxy(backend, self._seed + number)
            await front.start(self._backend_host)
            self._stack.callback(front.stop)
            place = number % len(SERVICES)
            extra = {_ADDED_PORT} if place == 0 else set()
            self.ports[backend.name] = {FIRST_PORT + place} | extra
            self.backends.append(backend)
            self.names[backend_token(backend.name)] = backend.name
            self._fronts.append(front)
            await self._list(number, 'ready')

    async def _list(self, number: int, state: str) -> None:
        spec = {
            'service': SERVICES[number % len(SERVICES)],
            'address': f'{self._backend_host}:{self._fronts[number].port}',
            'zone': f'zone-{number % _ZONES}',
            'version': 'v1',
            'slots': 3,
            'state': state,
            'warmup-left-ms': 0,
            'sequence': 1,
            'born': 1,
        }
        await self.store.put('servers', self.backends[number].name, spec)

    async def _configure(self) -> None:
        routes = {
            FIRST_PORT + place: service
            for place, service in enumerate(SERVICES)
        }
        if self._has_added_route:
            routes[_ADDED_PORT] = SERVICES[0]
        listed = [
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
            'routes': listed,
            'limits': {'idle-timeout-ms': 15000},
        }
        await self.store.put('config', 'main', spec)

    def _touch_host(self, place: int) -> None:
        host = self.entries[place].host
        self.disturbances.hosts_s[host] = self._loop.time()

    def _touch_backend(self, number: int) -> None:
        name = self.backends[number].name
        self.disturbances.backends_s[name] = self._loop.time()
