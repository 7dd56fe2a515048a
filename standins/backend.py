"""A stand-in for a backend server: slots, shedding, drain and cold start.

``python -m standins.backend --service-id S --backend-id B`` prints one JSON
line with its addresses when it is ready, and its record when SIGTERM ends it.

It answers ``Forwarded`` payloads with ``SERVICE/BACKEND/PAYLOAD``, so that a
caller can identify the backend. A payload ``hold:N:K`` is packet K of flow N.
If the flow is unknown and K is not 0, the answer is ``RESET`` and the flow
counts as broken. Every ``Run`` is executed, also a repeated one, so that the
record shows what ran twice.

HTTP on loopback: ``GET /record`` returns the record; ``POST /control`` sets the
fields of ``Control`` that its body contains.
"""

import argparse
import asyncio
import dataclasses
import signal
from collections import Counter
from typing import Any, Final, TypeAlias

import msgspec
from aiohttp import web

from currantshore import wire
from currantshore.errors import WireFormatError

ANSWER_PART_SIZE_BYTES: Final = 1000
RESET: Final = b'RESET'

_Address: TypeAlias = tuple[str, int]
_MS_PER_S: Final = 1000
_SHED_RETRY_MS: Final = 50


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches of a backend server; a field that is None keeps its value.

    ``false_load_ratio`` is reported instead of the true load when it is 0 or
    more; ``load_lag_ms`` delays the reported load. ``silent_callers`` lists,
    as ``host:port``, the callers whose flows get no more answers.
    ``is_silent`` drops everything, ``is_deaf_to_probes`` only probes.
    """

    is_draining: bool | None = None
    is_silent: bool | None = None
    is_deaf_to_probes: bool | None = None
    false_load_ratio: float | None = None
    load_lag_ms: int | None = None
    work_ms: int | None = None
    slot_count: int | None = None
    silent_callers: tuple[str, ...] | None = None


@dataclasses.dataclass(slots=True)
class Options:
    """Settings of a backend server."""

    service_id: str
    backend_id: str
    slot_count: int = 3
    connection_limit: int = 2000
    work_ms: int = 20
    cold_start_ms: int = 0
    answer_parts: int = 1
    is_draining: bool = False
    is_silent: bool = False
    is_deaf_to_probes: bool = False
    false_load_ratio: float = -1
    load_lag_ms: int = 0
    silent_callers: tuple[str, ...] = ()


class Record(msgspec.Struct):
    """What a backend server did.

    ``ran`` lists [caller, request id, attempt, run id, payload] of every run
    that was started; ``counts`` holds the counts of other events by name.
    """

    service_id: str
    backend_id: str
    ran: list[tuple[str, int, int, int, str]]
    counts: Counter[str]
    flows: list[str]


class BackendServer(asyncio.DatagramProtocol):
    """Runs requests in slots and echoes the packets of flows."""

    def __init__(self, options: Options) -> None:
        """Initialize a cold server with free slots and no flows."""
        self.options = options
        self.counts: Counter[str] = Counter()
        self.ran: list[tuple[str, int, int, int, str]] = []
        self.flows: set[str] = set()
        self._running: dict[tuple[_Address, int], asyncio.Task[None]] = {}
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for answers."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: _Address) -> None:
        """Handle one message from a balancer."""
        try:
            order = wire.decode_order(data)
        except WireFormatError:
            self.counts['malformed'] += 1
            return
        if self.options.is_silent:
            self.counts['ignored'] += 1
            return
        match order:
            case wire.Probe():
                self._answer_probe(order, addr)
            case wire.Forwarded():
                self._echo(order, addr)
            case wire.Run():
                self._accept(order, addr)
            case wire.CancelRun():
                self._cancel(order, addr)

    def record(self) -> Record:
        """Return what was done so far."""
        return Record(
            self.options.service_id,
            self.options.backend_id,
            self.ran,
            self.counts,
            sorted(self.flows),
        )

    def apply(self, control: Control) -> None:
        """Apply the fields of ``control`` that are not None."""
        for name in Control.__struct_fields__:
            switch = getattr(control, name)
            if switch is not None:
                setattr(self.options, name, switch)

    def _answer_probe(self, probe: wire.Probe, source: _Address) -> None:
        if self.options.is_deaf_to_probes:
            return
        self.counts['probes'] += 1
        load_ratio = self.options.false_load_ratio
        if load_ratio < 0:
            load_ratio = len(self._running) / self.options.slot_count
        state = 'draining' if self.options.is_draining else 'active'
        reply = wire.ProbeReply(
            probe.probe_id, self.options.service_id, load_ratio, state
        )
        self._loop.call_later(
            self.options.load_lag_ms / _MS_PER_S, self._send, reply, source
        )

    def _echo(self, order: wire.Forwarded, source: _Address) -> None:
        caller = _text(order.caller)
        if order.service_id != self.options.service_id:
            self.counts['wrong_service'] += 1
        if caller in self.options.silent_callers:
            self.counts['silenced'] += 1
            return
        if not self._accept_flow_packet(caller, order.payload):
            self._send_down(order, source, RESET)
            return
        self.counts['echoed'] += 1
        self._send_down(order, source, order.payload)

    def _accept_flow_packet(self, caller: str, payload: bytes) -> bool:
        if caller in self.flows:
            return True
        if payload.startswith(b'hold:') and not payload.endswith(b':0'):
            self.counts['broken_flows'] += 1
            return False
        if len(self.flows) >= self.options.connection_limit:
            self.counts['over_connection_limit'] += 1
            return False
        if self.options.is_draining:
            self.counts['new_flows_while_draining'] += 1
        self.flows.add(caller)
        return True

    def _send_down(
        self,
        order: wire.Forwarded,
        source: _Address,
        payload: bytes,
    ) -> None:
        self._send(
            wire.Downstream(
                order.service_id,
                order.caller,
                self._name() + payload,
            ),
            source,
        )

    def _accept(self, order: wire.Run, source: _Address) -> None:
        if order.service_id != self.options.service_id:
            self.counts['wrong_service'] += 1
        if len(self._running) >= self.options.slot_count:
            self.counts['shed'] += 1
            shed = wire.RunShed(order.service_id, order.run_id, _SHED_RETRY_MS)
            self._send(shed, source)
            return
        self.counts['started'] += 1
        if self.options.is_draining:
            self.counts['runs_while_draining'] += 1
        self.ran.append(
            (
                _text(order.caller),
                order.request_id,
                order.attempt,
                order.run_id,
                order.payload.decode(errors='replace'),
            ),
        )
        key = (source, order.run_id)
        task = self._loop.create_task(self._run(order, source))
        self._running[key] = task
        task.add_done_callback(lambda done: self._free(key, done))

    def _free(self, key: tuple[_Address, int], done: Any) -> None:
        if self._running.get(key) is done:
            self._running.pop(key)

    async def _run(self, order: wire.Run, source: _Address) -> None:
        work_ms = self.options.work_ms
        # After a cold start the caches are empty: work takes twice as long.
        age_ms = (self._loop.time() - self._started_s) * _MS_PER_S
        if age_ms < self.options.cold_start_ms:
            work_ms *= 2
        if work_ms > order.deadline_ms:
            await asyncio.sleep(order.deadline_ms / _MS_PER_S)
            self.counts['deadline_passed'] += 1
            return
        await asyncio.sleep(work_ms / _MS_PER_S)
        self.counts['finished'] += 1
        self._answer(order, source)

    def _answer(self, order: wire.Run, source: _Address) -> None:
        parts = self.options.answer_parts
        size = max(1, ANSWER_PART_SIZE_BYTES // 4) if parts > 1 else 0
        for part in range(parts):
            body = self._name() + order.payload + b'.' * size
            self._send(
                wire.RunAnswer(
                    order.service_id,
                    order.caller,
                    order.run_id,
                    part,
                    parts,
                    body,
                ),
                source,
            )

    def _cancel(self, order: wire.CancelRun, source: _Address) -> None:
        task = self._running.get((source, order.run_id))
        if task is not None:
            self.counts['cancelled'] += 1
            task.cancel()

    def _name(self) -> bytes:
        return f'{self.options.service_id}/{self.options.backend_id}/'.encode()

    def _send(self, message: wire.Message, target: _Address) -> None:
        self._transport.sendto(wire.encode(message), target)


class BackendStandin:
    """A backend server with its UDP socket and its HTTP port."""

    __slots__ = ('_runner', '_transport', 'http_address', 'server', 'udp')

    _transport: asyncio.DatagramTransport

    def __init__(self, options: Options) -> None:
        """Create without listening; use ``start`` instead."""
        self.server = BackendServer(options)
        self.udp = wire.Endpoint('', 0)
        self.http_address = wire.Endpoint('', 0)
        application = web.Application()
        application.router.add_get('/record', self._get_record)
        application.router.add_post('/control', self._post_control)
        self._runner = web.AppRunner(application, access_log=None)

    @classmethod
    async def start(
        cls,
        options: Options,
        address: wire.Endpoint,
    ) -> 'BackendStandin':
        """Listen on UDP ``address`` and on a free HTTP port."""
        standin = cls(options)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: standin.server,
            local_addr=(address.host, address.port),
        )
        standin._transport = transport
        standin.udp = wire.Endpoint(*transport.get_extra_info('sockname')[:2])
        await standin._runner.setup()
        await web.TCPSite(standin._runner, '127.0.0.1', 0).start()
        standin.http_address = wire.Endpoint(*standin._runner.addresses[0][:2])
        return standin

    async def stop(self) -> None:
        """Stop listening."""
        self._transport.close()
        await self._runner.cleanup()

    async def _get_record(self, request: web.Request) -> web.Response:
        return _json_response(self.server.record())

    async def _post_control(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            control = msgspec.json.decode(body, type=Control)
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self.server.apply(control)
        return _json_response({})


def _json_response(content: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content),
        content_type='application/json',
    )


def _text(endpoint: wire.Endpoint) -> str:
    return f'{endpoint.host}:{endpoint.port}'


async def _serve(options: Options, address: wire.Endpoint) -> None:
    standin = await BackendStandin.start(options, address)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    ready = {
        'udp': _text(standin.udp),
        'http': _text(standin.http_address),
    }
    print(msgspec.json.encode(ready).decode(), flush=True)
    await stopped.wait()
    await standin.stop()
    print(msgspec.json.encode(standin.server.record()).decode(), flush=True)


def main() -> None:
    """Run a backend server until SIGTERM."""
    parser = argparse.ArgumentParser(description='backend server stand-in')
    parser.add_argument('--service-id', required=True)
    parser.add_argument('--backend-id', required=True)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    for name, default in (
        ('slot-count', 3),
        ('connection-limit', 2000),
        ('work-ms', 20),
        ('cold-start-ms', 0),
        ('answer-parts', 1),
    ):
        parser.add_argument(f'--{name}', type=int, default=default)
    arguments = vars(parser.parse_args())
    address = wire.Endpoint(arguments.pop('host'), arguments.pop('port'))
    asyncio.run(_serve(Options(**arguments), address))


if __name__ == '__main__':
    main()
