"""A stand-in for callers: opens flows, sends requests, checks answers.

``python -m standins.caller --service S --balancers HOST:PORT,...`` runs a load
and prints one JSON line with its counts.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import socket
from collections import Counter
from typing import Any, Final, TypeAlias

import msgspec

from currantshore import wire
from currantshore.codes import ResultCode, is_not_run
from currantshore.errors import WireFormatError
from currantshore.internal.process.settings import parse_endpoint
from standins.backend import RESET
from standins.network import Fabric, Faults

# Callers on a regional network retransmit after a few round trips.
RETRANSMIT_S: Final = 0.15

_READ_SIZE_BYTES: Final = 2048
_READ_LIMIT: Final = 64
_FIRST_ANSWER_S: Final = 10.0

_Parts: TypeAlias = dict[int, dict[int, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a request; ``code`` is None if no answer arrived."""

    request_id: int
    code: ResultCode | None
    payload: bytes = b''

    def is_refused_not_run(self) -> bool:
        """Return whether the refusal guarantees that it was not run."""
        return self.code is not None and is_not_run(self.code)


@dataclasses.dataclass(slots=True)
class _Waiting:
    future: asyncio.Future[Outcome]
    parts: _Parts = dataclasses.field(default_factory=dict)


class Flow:
    """One flow, with its own socket and therefore its own port."""

    __slots__ = (
        '_echo',
        '_fabric',
        '_loop',
        '_next_request_id',
        '_opened',
        '_requests',
        '_socket',
        'backend_id',
        'counts',
        'flow_id',
        'is_broken',
        'outcomes',
        'sequence',
        'service_id',
        'token',
    )

    def __init__(self, fabric: Fabric, service_id: str, flow_id: int) -> None:
        """Open a socket on loopback; ``close`` closes it."""
        self._fabric = fabric
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(('127.0.0.1', 0))
        self._loop.add_reader(self._socket.fileno(), self._read)
        self._requests: dict[int, _Waiting] = {}
        self._next_request_id = 1
        self._opened: asyncio.Future[bytes] | None = None
        self._echo: tuple[bytes, asyncio.Future[bytes]] | None = None
        self.service_id = service_id
        self.flow_id = flow_id
        self.sequence = 0
        self.backend_id = ''
        self.token = b''
        self.is_broken = False
        self.outcomes: list[Outcome] = []
        self.counts: Counter[str] = Counter()

    @property
    def address(self) -> str:
        """The caller's address as backend servers record it."""
        host, port = self._socket.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        """Close the socket; send ``Close`` first if the flow has a token."""
        if self.token:
            self._send(wire.encode(wire.Close(self.token)))
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    async def open_framed(self, timeout_s: float = _FIRST_ANSWER_S) -> bool:
        """Request a token; return whether one was received."""
        opened: asyncio.Future[bytes] = self._loop.create_future()
        self._opened = opened
        payload = wire.encode(wire.Open(self._next_request_id, self.token))
        token = await self._send_until_answered(payload, opened, timeout_s)
        # Without an answer, the previous token still identifies the backend.
        self.token = token or self.token
        return token is not None

    async def exchange(self, timeout_s: float = _FIRST_ANSWER_S) -> bool:
        """Send the next packet; return whether the flow is unbroken.

        The flow counts as broken if the answer comes from another backend than
        before, if the backend does not have the flow, or if no answer arrives.
        """
        text = f'hold:{self.flow_id}:{self.sequence}'.encode()
        answered: asyncio.Future[bytes] = self._loop.create_future()
        self._echo = (text, answered)
        payload = text
        if self.token:
            payload = wire.encode(wire.Data(text, self.token))
        answer = await self._send_until_answered(payload, answered, timeout_s)
        self.sequence += 1
        if answer is None:
            self.is_broken = True
            self.counts['flow_timeouts'] += 1
        return not self.is_broken

    async def request(
        self,
        priority_class: str,
        *,
        is_repeatable: bool = False,
        deadline_ms: int = 5000,
        timeout_s: float = _FIRST_ANSWER_S,
    ) -> Outcome:
        """Send a request until its complete answer or its refusal arrives."""
        request_id = self._next_request_id
        self._next_request_id += 1
        waiting = _Waiting(self._loop.create_future())
        self._requests[request_id] = waiting
        kind = 'repeatable' if is_repeatable else 'once'
        request = wire.Request(
            request_id,
            1,
            priority_class,
            is_repeatable,
            deadline_ms,
            f'{kind}:{self.flow_id}:{request_id};'.encode(),
            self.token,
        )
        outcome: Outcome | None = await self._send_until_answered(
            wire.encode(request), waiting.future, timeout_s
        )
        self._requests.pop(request_id)
        if outcome is None:
            outcome = Outcome(request_id, None)
        self._count(outcome, request.payload)
        self.outcomes.append(outcome)
        return outcome

    def cancel(self, request_id: int) -> None:
        """Send a cancellation; the request still gets an outcome."""
        self._send(wire.encode(wire.Cancel(request_id, self.token)))

    async def _send_until_answered(
        self,
        payload: bytes,
        answered: asyncio.Future[Any],
        timeout_s: float,
    ) -> Any:
        deadline_s = self._loop.time() + timeout_s
        while self._loop.time() < deadline_s and not answered.done():
            self._send(payload)
            await asyncio.wait((answered,), timeout=RETRANSMIT_S)
        return answered.result() if answered.done() else None

    def _send(self, payload: bytes) -> None:
        self._fabric.spray(self.service_id, payload, self._send_to)

    def _send_to(self, payload: bytes, target: wire.Endpoint) -> None:
        # A delayed packet may be sent after the flow was closed.
        with contextlib.suppress(OSError):
            self._socket.sendto(payload, (target.host, target.port))

    def _read(self) -> None:
        with contextlib.suppress(BlockingIOError):
            for _ in range(_READ_LIMIT):
                payload, source = self._socket.recvfrom(_READ_SIZE_BYTES)
                if self._fabric.delivers():
                    self._receive(payload, wire.Endpoint(*source))

    def _receive(self, payload: bytes, source: wire.Endpoint) -> None:
        if source not in self._fabric.addresses(self.service_id):
            self.counts['from_unknown_address'] += 1
        if wire.is_framed(payload):
            self._receive_framed(payload)
        else:
            self._on_echo(payload)

    def _receive_framed(self, payload: bytes) -> None:
        try:
            message = wire.decode_from_balancer(payload)
        except WireFormatError:
            self.counts['malformed'] += 1
            return
        match message:
            case wire.Opened():
                if self._opened is not None and not self._opened.done():
                    self._opened.set_result(message.token)
            case wire.Data():
                self._on_echo(message.payload)
            case wire.Answer():
                self._on_answer(message)
            case wire.Refusal():
                self._on_refusal(message)

    def _on_echo(self, payload: bytes) -> None:
        # Check every copy that arrives, also answers to retransmitted packets.
        self._check_echo(payload)
        if self._echo is None:
            return
        text, answered = self._echo
        is_own = payload.endswith((text, RESET))
        if is_own and not answered.done():
            answered.set_result(payload)

    def _on_answer(self, answer: wire.Answer) -> None:
        waiting = self._requests.get(answer.request_id)
        if waiting is None or waiting.future.done():
            self.counts['late_answers'] += 1
            return
        # Two runs of a repeatable request may answer: keep their parts apart.
        parts = waiting.parts.setdefault(answer.run_id, {})
        parts[answer.part] = answer.payload
        if len(parts) == answer.parts:
            whole = b''.join(parts[part] for part in range(answer.parts))
            waiting.future.set_result(
                Outcome(answer.request_id, ResultCode.OK, whole),
            )

    def _on_refusal(self, refusal: wire.Refusal) -> None:
        waiting = self._requests.get(refusal.request_id)
        if waiting is None or waiting.future.done():
            self.counts[f'flow_refused_{refusal.code}'] += 1
            return
        code = ResultCode(refusal.code)
        waiting.future.set_result(Outcome(refusal.request_id, code))

    def _check_echo(self, answer: bytes) -> None:
        service_id, backend_id, text = answer.split(b'/', 2)
        if service_id != self.service_id.encode():
            self.counts['answers_wrong_service'] += 1
        if text == RESET:
            self.is_broken = True
            self.counts['flow_resets'] += 1
            return
        if not text.startswith(f'hold:{self.flow_id}:'.encode()):
            self.counts['answers_wrong_flow'] += 1
        self.backend_id = self.backend_id or backend_id.decode()
        if backend_id != self.backend_id.encode():
            self.is_broken = True
            self.counts['flow_moves'] += 1

    def _count(self, outcome: Outcome, payload: bytes) -> None:
        self.counts['requests_sent'] += 1
        if outcome.code is None:
            self.counts['requests_timed_out'] += 1
        elif outcome.code is ResultCode.OK:
            self.counts[self._classify_answer(outcome, payload)] += 1
        else:
            self.counts[f'refused_{outcome.code.name.lower()}'] += 1

    def _classify_answer(self, outcome: Outcome, payload: bytes) -> str:
        service_id, _, text = outcome.payload.split(b'/', 2)
        if service_id != self.service_id.encode():
            return 'answers_wrong_service'
        if text.rstrip(b'.').startswith(payload):
            return 'answers_ok'
        return 'answers_wrong_request'


async def run_load(
    fabric: Fabric,
    service_id: str,
    flow_count: int,
    rounds: int,
    classes: tuple[str, ...],
) -> Counter[str]:
    """Open flows, every other one framed, use them and return the counts."""
    flows = [Flow(fabric, service_id, number) for number in range(flow_count)]
    counts: Counter[str] = Counter(flows_opened=flow_count)
    with contextlib.ExitStack() as stack:
        for opened in flows:
            stack.callback(opened.close)
        await asyncio.gather(
            *(_use_flow(flow, rounds, classes) for flow in flows),
        )
    for flow in flows:
        counts.update(flow.counts)
        counts['flows_broken'] += flow.is_broken
    return counts


async def _use_flow(flow: Flow, rounds: int, classes: tuple[str, ...]) -> None:
    is_framed = flow.flow_id % 2 == 0
    if is_framed and not await flow.open_framed():
        flow.counts['opens_timed_out'] += 1
        return
    while flow.sequence < rounds:
        await flow.exchange()
        if is_framed and classes:
            await flow.request(classes[flow.sequence % len(classes)])


async def _main_load(arguments: argparse.Namespace) -> None:
    addresses = {
        text: parse_endpoint(text) for text in arguments.balancers.split(',')
    }
    faults = Faults(arguments.loss, arguments.duplicates, arguments.reordering)
    fabric = Fabric({arguments.service: addresses}, faults, arguments.seed)
    classes = tuple(name for name in arguments.classes.split(',') if name)
    counts = await run_load(
        fabric, arguments.service, arguments.flows, arguments.rounds, classes
    )
    summary = {'seed': arguments.seed, **counts, **fabric.counts}
    print(msgspec.json.encode(summary).decode(), flush=True)


def main() -> None:
    """Run a load against balancers."""
    parser = argparse.ArgumentParser(description='caller stand-in')
    parser.add_argument('--service', required=True)
    parser.add_argument('--balancers', required=True)
    parser.add_argument('--flows', type=int, default=20)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--classes', default='')
    parser.add_argument('--seed', type=int, default=1)
    for name in ('loss', 'duplicates', 'reordering'):
        parser.add_argument(f'--{name}', type=float, default=0)
    asyncio.run(_main_load(parser.parse_args()))


if __name__ == '__main__':
    main()
