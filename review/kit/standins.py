"""Stand-ins of the users' platform, backend servers and clients, on loopback.

They follow PROTOCOL.md and use the standard library only. All of them run in
the process of the script; the entry processes are separate ones.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]

HEADER = struct.Struct('<HIIIHIIHIB')
INSTANCE = struct.Struct('>Q')
SYN, ACK, FIN, RST = 4, 64, 8, 32
MASK = 0xFFFFFFFF

HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_GIVEN_UP_S = 1.4
RESET_WINDOW = 76_800


class Record:
    """The lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path):
        self.started_s = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def now_s(self):
        return time.monotonic() - self.started_s

    def write(self, event, **fields):
        parts = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{self.now_s():9.4f} {event} {parts}\n')
        self._file.flush()


def number(host):
    """The address as the packets carry it (see the example of the page)."""
    return int.from_bytes(socket.inet_aton(host), 'big')


def dotted(value):
    return socket.inet_ntoa(value.to_bytes(4, 'big'))


class Packet:
    """One packet; ``sum`` is keyed over all fields but the token."""

    key = b'only the two ends know this key'

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0,
                 body=b''):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo = flags, seq, ack, echo
        self.body = body
        self.sum = self.keyed_sum()

    def keyed_sum(self):
        fields = (self.src, self.sport, self.dst, self.dport, self.flags,
                  self.seq, self.ack, self.body)
        return zlib.crc32(self.key + repr(fields).encode()) or 1

    @classmethod
    def decode(cls, datagram):
        size, seq, ack, total, sport, src, dst, dport, echo, flags = (
            HEADER.unpack_from(datagram)
        )
        body = datagram[HEADER.size:]
        if len(body) != size:
            raise ValueError('stated size')
        packet = cls(dotted(src), sport, dotted(dst), dport, flags, seq, ack,
                     echo, body)
        packet.is_forged = total != packet.sum
        packet.sum = total
        return packet

    def encode(self):
        return HEADER.pack(
            len(self.body), self.seq, self.ack, self.sum, self.sport,
            number(self.src), number(self.dst), self.dport, self.echo,
            self.flags,
        ) + self.body


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    return head.decode('latin-1').split('\r\n')


class Store:
    """The platform's store: listings and watches of objects by kind."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.revision = 100
        self.objects = collections.defaultdict(dict)
        self.events = []
        self.calls = collections.Counter()
        self._changed = asyncio.Condition()
        # Addresses at which the store answers nothing; each entry host has
        # its own one.
        self.silent = set()
        # The time of the last watch at each address.
        self.watched_s = {}
        self._servers = []
        self._writers = set()

    async def start(self, host):
        self._servers.append(await asyncio.start_server(
            self._serve, host, self.port
        ))

    async def close(self):
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)

    async def write(self, kind, name, spec):
        """Write an object; ``spec`` is JSON text or a value.

        Returns the time of the store's acknowledgement.
        """
        text = spec if isinstance(spec, str) else json.dumps(spec)
        old = self.objects[kind].get(name)
        if old is None or old[2] != text:
            self.revision += 1
            created = old[1] if old else self.revision
            self.objects[kind][name] = (self.revision, created, text)
            await self._publish(kind, name, is_removed=False)
        await asyncio.sleep(STORE_ANSWER_S)
        acknowledged_s = self.record.now_s()
        self.record.write('store_acknowledged', kind=kind, name=name,
                          revision=self.revision, spec=text[:400])
        return acknowledged_s

    async def remove(self, kind, name):
        old = self.objects[kind].pop(name, None)
        if old is not None:
            self.revision += 1
            await self._publish(kind, name, is_removed=True, last=old)
        self.record.write('store_removed', kind=kind, name=name,
                          revision=self.revision)

    async def _publish(self, kind, name, is_removed, last=None):
        revision, created, text = last or self.objects[kind][name]
        found = self._object(name, self.revision, created, text)
        event = '{"removed":%s,"object":%s}' % (
            'true' if is_removed else 'false', found
        )
        self.events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    @staticmethod
    def _object(name, revision, created, text):
        meta = json.dumps({
            'name': name, 'revision': revision, 'create-revision': created,
            'finalizers': [], 'deleting': False,
        })
        return '{"meta":%s,"spec":%s,"status":null}' % (meta, text)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        address = writer.get_extra_info('sockname')[0]
        try:
            while True:
                lines = await read_head(reader)
                target = lines[0].split(' ')[1]
                if 'watch=' in target:
                    self.watched_s[address] = self.record.now_s()
                status, body = await self._answer(target)
                if address in self.silent:
                    # Nothing comes back on this connection any more.
                    await reader.read()
                    raise ConnectionResetError
                content = body.encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Store-Era: 1\r\nContent-Length: %d\r\n\r\n'
                    % (status, len(content)) + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target):
        path, _, query = target.partition('?')
        fields = dict(
            part.partition('=')[::2] for part in query.split('&') if part
        )
        await asyncio.sleep(STORE_ANSWER_S)
        parts = path.strip('/').split('/')
        if parts[:2] != ['v1', 'objects'] or len(parts) not in {3, 4}:
            return 404, '{}'
        kind = parts[2]
        self.calls[kind] += 1
        if len(parts) == 4:
            found = self.objects[kind].get(parts[3])
            return (200, self._object(parts[3], *found)) if found else (
                404, '{}')
        if 'watch' in fields:
            return await self._watch(
                kind, int(fields['watch']), int(fields.get('wait-ms', 0))
            )
        after = fields.get('after', '')
        items = [
            self._object(name, *self.objects[kind][name])
            for name in sorted(self.objects[kind]) if name > after
        ]
        return 200, '{"items":[%s],"has-more":false,"as-of":%d}' % (
            ','.join(items), self.revision
        )

    async def _watch(self, kind, revision, wait_ms):
        ends_s = self.record.now_s() + wait_ms / 1000
        while True:
            events = [event for at, of, event in self.events
                      if of == kind and at > revision]
            left_s = ends_s - self.record.now_s()
            if events or left_s <= 0:
                return 200, '{"events":[%s],"as-of":%d}' % (
                    ','.join(events), self.revision
                )
            try:
                async with asyncio.timeout(left_s):
                    async with self._changed:
                        await self._changed.wait()
            except TimeoutError:
                continue


class _Held:
    """A flow as its backend server holds it."""

    def __init__(self, packet, seq, entry):
        self.opening, self.entry = packet, entry
        self.first_seq = seq
        self.seq = (seq + 1) & MASK
        self.expected = (packet.seq + 1) & MASK
        self.echo = packet.echo
        self.is_open = False
        self.is_closed = False
        self.received = b''
        self.sent = []


class Backend(asyncio.DatagramProtocol):
    """A backend server, with its entry in the store and its health check."""

    def __init__(self, world, name, service, host, port, zone, slots=3,
                 work_s=0.05):
        self.world, self.name, self.service = world, name, service
        self.host, self.port, self.zone = host, port, zone
        digits = re.sub('[^0-9a-f]', '', name)
        self.instance = int(digits, 16)
        self.work_s = work_s
        self.state = 'ready'
        self.born = round(time.time() * 1000)
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.flows = {}
        # (time, entry host, flow) of each opening that was answered.
        self.openings = []
        # (time, id, entry host, time of the opening) of each request run.
        self.runs = []
        self.forged = 0
        self.strangers = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )
        await asyncio.start_server(self._health, self.host, self.port)
        return await self.announce()

    async def announce(self):
        return await self.world.store.write('servers', self.name, {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone, 'version': 'v1', 'slots': self.slot_count,
            'state': self.state, 'warmup-left-ms': 0, 'sequence': 1,
            'born': self.born,
        })

    async def drain(self):
        """Report draining; return the time of the acknowledgement."""
        self.state = 'draining'
        return await self.announce()

    async def _health(self, reader, writer):
        try:
            await read_head(reader)
            is_good = self.state == 'ready'
            writer.write(b'HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n'
                         % (200 if is_good else 503))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def datagram_received(self, data, addr):
        (instance,) = INSTANCE.unpack_from(data)
        if instance not in {0, self.instance}:
            return
        packet = Packet.decode(data[INSTANCE.size:])
        if packet.is_forged:
            self.forged += 1
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        held = self.flows.get(key)
        if packet.flags & SYN:
            self._take_opening(key, held, packet, addr[0])
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if held is None or not self._continues(held, packet):
            self.strangers += 1
            self.world.record.write('stranger', server=self.name, flow=key,
                                    entry=addr[0])
            self._send(Packet(packet.dst, packet.dport, packet.src,
                              packet.sport, RST, packet.ack, packet.seq,
                              packet.echo))
            return
        held.echo = packet.echo
        held.entry = addr[0]
        if not held.is_open:
            held.is_open = True
            self.world.record.write('flow_open', server=self.name, flow=key)
        if packet.body:
            self._take_body(key, held, packet)
        if packet.flags & FIN:
            held.is_closed = True
            self._reply(held, ACK | FIN)

    def _take_opening(self, key, held, packet, entry):
        if held is None:
            held = _Held(packet, self.world.rng.getrandbits(32), entry)
            self.flows[key] = held
            self.openings.append((self.world.record.now_s(), entry, key))
            self.world.record.write('opening_taken', server=self.name,
                                    flow=key, entry=entry, state=self.state)
        if not held.is_open:
            held.echo = packet.echo
            self._send(Packet(packet.dst, packet.dport, packet.src,
                              packet.sport, SYN | ACK, held.first_seq,
                              held.expected, held.echo))

    def _continues(self, held, packet):
        if held.is_open:
            return True
        return packet.ack == (held.first_seq + 1) & MASK

    def _take_body(self, key, held, packet):
        if packet.seq == held.expected:
            held.expected = (held.expected + len(packet.body)) & MASK
            held.received += packet.body
            while b'\r\n\r\n' in held.received:
                head, _, held.received = held.received.partition(b'\r\n\r\n')
                asyncio.ensure_future(self._run(key, held, head))
        else:
            for sent in held.sent:
                self._send(sent)
        self._reply(held, ACK)

    async def _run(self, key, held, head):
        request_id = re.search(rb'Attempt-Id: (\S+)', head)[1].decode()
        async with self.slots:
            self.runs.append((self.world.record.now_s(), request_id,
                              held.entry, key))
            self.world.record.write('run', server=self.name, id=request_id,
                                    service=self.service, state=self.state,
                                    entry=held.entry)
            work = re.search(rb'X-Work-Ms: (\d+)', head)
            await asyncio.sleep(int(work[1]) / 1000 if work else self.work_s)
        body = f'{self.name} ran {request_id}'.encode()
        answer = (b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n'
                  b'X-Currantshore-Response-Signature: s\r\n\r\n'
                  % len(body)) + body
        self.world.record.write('answer_sent', server=self.name,
                                id=request_id)
        self._reply(held, ACK, answer)

    def _reply(self, held, flags, body=b''):
        opening = held.opening
        packet = Packet(opening.dst, opening.dport, opening.src,
                        opening.sport, flags, held.seq, held.expected,
                        held.echo, body)
        if body:
            held.seq = (held.seq + len(body)) & MASK
            held.sent.append(packet)
        self._send(packet)

    def _send(self, packet):
        self.transport.sendto(
            packet.encode(), (packet.dst, self.world.packet_port)
        )


class Flow:
    """One flow of a client."""

    def __init__(self, client, sport, route):
        self.client, self.sport, self.route = client, sport, route
        self.key = (client.host, sport, *route)
        self.inbox = asyncio.Queue()
        self.seq = client.world.rng.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        # '' or who has reset the flow: 'system' or 'server'.
        self.reset_by = ''
        self.opening_sent_s = 0.0
        self.entry = None

    def take(self, packet):
        if packet.flags & RST:
            is_system = packet.sum == 0 and not packet.body
            distance = (packet.seq - self.ack) & MASK
            is_near = min(distance, MASK - distance) <= RESET_WINDOW
            if is_system and self.is_open and not is_near:
                return
            if not is_system and packet.is_forged:
                return
            self.reset_by = 'system' if is_system else 'server'
            self.client.world.record.write('reset', flow=self.key,
                                           by=self.reset_by,
                                           is_open=self.is_open)
        elif packet.is_forged:
            return
        else:
            # The last echo that was received on the flow.
            self.echo = packet.echo
        self.inbox.put_nowait(packet)

    async def open(self):
        """Open the flow; return whether it is open."""
        started_s = self.client.world.record.now_s()
        self.opening_sent_s = started_s
        for copy, after_s in enumerate(SYN_COPIES_S):
            entry = self._send(SYN, self.seq, copy)
            if copy == 0:
                self.entry = entry
                self.client.world.record.write('opening_sent', flow=self.key,
                                               entry=entry)
            next_s = (*SYN_COPIES_S, SYN_GIVEN_UP_S)[copy + 1]
            packet = await self._next(started_s + next_s)
            if self.reset_by:
                return False
            if packet is not None:
                self.ack = (packet.seq + 1) & MASK
                self.seq = (self.seq + 1) & MASK
                self.is_open = True
                self._send(ACK, self.seq, self.ack)
                return True
        self.client.world.record.write('opening_given_up', flow=self.key)
        return False

    async def ask(self, request_id, work_ms, deadline_s):
        """Send a request; return 'answered', 'reset ...' or 'deadline'."""
        world = self.client.world
        body = (f'POST / HTTP/1.1\r\nHost: x\r\n'
                f'X-Currantshore-Attempt-Id: {request_id}\r\n'
                f'X-Work-Ms: {work_ms}\r\n\r\n').encode()
        ends_s = world.record.now_s() + deadline_s
        world.record.write('request_sent', id=request_id, flow=self.key)
        pause_s = 0.2
        is_acknowledged = False
        outcome = 'deadline'
        while world.record.now_s() < ends_s and outcome == 'deadline':
            if not is_acknowledged:
                self._send(ACK, self.seq, self.ack, body)
            until_s = min(ends_s, world.record.now_s() + pause_s)
            pause_s = min(pause_s * 2, 1.6)
            while outcome == 'deadline':
                packet = await self._next(until_s)
                if packet is None:
                    break
                if self.reset_by:
                    outcome = f'reset by the {self.reset_by}'
                elif packet.ack == (self.seq + len(body)) & MASK:
                    is_acknowledged = True
                    if packet.body and packet.seq == self.ack:
                        self.ack = (self.ack + len(packet.body)) & MASK
                        outcome = 'answered'
        self.seq = (self.seq + len(body)) & MASK
        if outcome == 'answered':
            self._send(ACK, self.seq, self.ack)
        world.record.write('request_ended', id=request_id, outcome=outcome)
        return outcome

    def close(self):
        if self.is_open and not self.reset_by:
            self._send(ACK | FIN, self.seq, self.ack)

    async def _next(self, until_s):
        left_s = until_s - self.client.world.record.now_s()
        try:
            async with asyncio.timeout(max(left_s, 0)):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def _send(self, flags, seq, ack, body=b''):
        packet = Packet(self.client.host, self.sport, *self.route, flags, seq,
                        ack, self.echo, body)
        return self.client.send(packet)


class Client(asyncio.DatagramProtocol):
    """A client host with many flows; the router picks the entry host."""

    def __init__(self, world, host, zone):
        self.world, self.host, self.zone = world, host, zone
        self.flows = {}
        self._port = 1024

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.world.packet_port)
        )

    def flow(self, route):
        self._port += 1
        flow = Flow(self, self._port, route)
        self.flows[self._port] = flow
        return flow

    def send(self, packet):
        entry = self.world.router.choose(self.zone, packet)
        self.transport.sendto(
            packet.encode(), (entry, self.world.packet_port)
        )
        return entry

    def datagram_received(self, data, addr):
        packet = Packet.decode(data)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.take(packet)


class Router:
    """The platform's routers: probes readiness, hashes flows (steady)."""

    def __init__(self, world):
        self.world = world
        self.misses = {}

    async def run(self):
        while True:
            await asyncio.gather(*(
                self._probe(entry) for entry in self.world.entries
            ))
            await asyncio.sleep(0.5)

    def is_in_rotation(self, entry):
        return self.misses.get(entry, 2) < 2

    def choose(self, zone, packet):
        """The entry host of a packet; of the zone if none is in rotation."""
        of_zone = [e for e in self.world.entries if e.zone == zone]
        ready = [e for e in of_zone if self.is_in_rotation(e)]
        if ready and len(ready) < len(of_zone) / 2:
            ready = of_zone
        if not ready:
            ready = [e for e in self.world.entries if self.is_in_rotation(e)]
        if not ready:
            ready = of_zone
        flow = f'{packet.src}:{packet.sport}>{packet.dst}:{packet.dport}'
        return max(
            ready, key=lambda e: zlib.crc32(f'{flow}{e.host}'.encode())
        ).host

    async def _probe(self, entry):
        is_ready = await entry.is_ready(0.4)
        was = self.is_in_rotation(entry)
        self.misses[entry] = 0 if is_ready else self.misses.get(entry, 2) + 1
        if self.is_in_rotation(entry) != was:
            self.world.record.write('rotation', entry=entry.host,
                                    is_in=not was)


class Entry:
    """An entry host: the program of the deploy file as a process."""

    def __init__(self, world, name, host, zone):
        self.world, self.name, self.host, self.zone = world, name, host, zone
        self.process = None
        # The store's address for this host, so that it can be cut off alone.
        self.store_host = f'{world.block}.200.{len(world.entries) + 10}'
        self.path = world.folder / f'{name}.conf'
        self.log_path = world.folder / f'{name}.log'

    def write_settings(self):
        template = (ROOT / self.world.role['template']).read_text()
        self.path.write_text(render(template, self.fields()))

    def fields(self):
        world = self.world
        return {
            'node-name': self.name, 'zone': self.zone, 'ip': self.host,
            'listen.datagram-addr': f'{self.host}:{world.packet_port}',
            'listen.ready': f'{self.host}:{world.ready_port}',
            'seeds': ','.join(f'{host}:{world.control_port}'
                              for host in world.seeds),
            'internal-ports': f'{world.inner_port},{world.inner_port + 15}',
            'platform.address': f'{self.store_host}:{world.store.port}',
            'limits.link-mbps': '1000.0',
            'bounds.grace-s': '6',
        }

    async def start(self):
        self.write_settings()
        words = [
            str(self.path) if word.endswith('/local.conf') else word
            for word in self.world.role['run'].split(' ')
        ]
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['CURRANTSHORE_NODE_FILE'] = str(self.path)
        with open(self.log_path, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.world.record.write('entry_started', entry=self.host,
                                pid=self.process.pid)

    def send(self, number_of_signal):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number_of_signal)
            name = signal.Signals(number_of_signal).name
            self.world.record.write('signal', entry=self.host, signal=name)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def get(self, port, path, timeout_s):
        """Return status and body of a page; status 0 without an answer."""
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    self.host, port
                )
                writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
                lines = await read_head(reader)
                size = next(int(line.split(':')[1]) for line in lines
                            if line.lower().startswith('content-length'))
                body = await reader.readexactly(size)
                return int(lines[0].split(' ')[1]), body
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b''
        finally:
            if writer is not None:
                writer.transport.abort()

    async def is_ready(self, timeout_s):
        status, _ = await self.get(
            self.world.ready_port, self.world.ready_path, timeout_s
        )
        return status == 200

    async def metrics(self):
        port, _, path = self.world.role['metrics'].partition('/')
        for _ in range(20):
            status, body = await self.get(int(port), f'/{path}', 1.0)
            if status == 200:
                return body.decode()
            await asyncio.sleep(0.1)
        return ''


def render(template, fields):
    """Fill in a settings template as DEPLOY.md says it (plain values)."""
    def section(match):
        return match[2] if fields.get(match[1]) else ''

    text = re.sub(r'{{#([^}]+)}}(.*?){{/\1}}', section, template, flags=re.S)
    return re.sub(r'{{([^}]+)}}', lambda match: fields.get(match[1], ''), text)


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, record_path, seed):
        self.rng = random.Random(seed)
        self.record = Record(record_path)
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.role = tomllib.load(file)['roles']['entry']
        with open(ROOT / 'deploy' / 'wire.toml', 'rb') as file:
            calls = tomllib.load(file).get('calls', {})
        ready = calls.get('GET /v1/readiness', 'GET /v1/readiness')
        self.ready_path = ready.split(' ')[1]
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.block = self._free_block()
        ports = self._free_ports(20)
        self.packet_port, self.ready_port, self.control_port = ports[:3]
        self.inner_port = ports[3]
        self.store = Store(self.record, ports[3])
        self.entries, self.backends, self.clients, self.seeds = [], [], [], []
        self.router = Router(self)
        self.tasks = []

    def _free_block(self):
        """Return two bytes of loopback addresses that no other run uses.

        The run that uses them holds a socket on their first address.
        """
        while True:
            block = f'127.{random.SystemRandom().randrange(20, 250)}'
            self._block_lock = socket.socket()
            try:
                self._block_lock.bind((f'{block}.0.1', 9464))
            except OSError:
                self._block_lock.close()
            else:
                return block

    def _free_ports(self, count):
        """Return ports in a row that are free on all loopback addresses."""
        while True:
            first = random.SystemRandom().randrange(20_000, 32_000 - count)
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return list(range(first, first + count))

    async def build(self, zones, servers, clients_per_zone=1):
        """Start the store and all machines.

        ``zones`` has the number of entry hosts by zone, ``servers`` has
        (service, zone, slots) for each backend server.
        """
        for index, (zone, count) in enumerate(zones.items()):
            for item in range(count):
                host = f'{self.block}.{10 + index}.{10 + item}'
                name = f'front-{zone}-{item + 1}'
                self.entries.append(Entry(self, name, host, zone))
        for entry in self.entries:
            await self.store.start(entry.store_host)
        self.seeds = [entry.host for entry in self.entries[:3]]
        for item, (service, zone, slots) in enumerate(servers):
            name = f'i-{self.rng.getrandbits(40):010x}'
            host = f'{self.block}.128.{10 + item}'
            self.backends.append(Backend(self, name, service, host,
                                         self.inner_port + 9, zone, slots))
        for index, zone in enumerate(zones):
            for item in range(clients_per_zone):
                host = f'{self.block}.{64 + index}.{4 + item}'
                self.clients.append(Client(self, host, zone))
        for backend in self.backends:
            await backend.start()
        for client in self.clients:
            await client.start()
        await asyncio.gather(*(entry.start() for entry in self.entries))
        self.tasks.append(asyncio.ensure_future(self.router.run()))

    def route(self, name, number_of_route, service, kind='unsafe'):
        """Return the address of a route and its part of a configuration."""
        address = (f'{self.block}.250.1', 8000 + number_of_route)
        return address, {
            'name': name, 'host': address[0],
            'path-prefix': f'/{address[1]}/', 'route-type': kind,
            'timeout-ms': 1500, 'target-latency-ms': 300, 'priority': 1,
            'service': service, 'max-attempts': 2,
        }

    async def configure(self, version, routes, services):
        return await self.store.write('config', 'main', {
            'version': version, 'routes': routes,
            'services': [{
                'name': name, 'health-check-path': '/health',
                'max-connections': 2000, 'protocol': 'h1', 'tls': False,
            } for name in services],
            'limits': {
                'max-header-bytes': 16384, 'max-body-bytes': 262144,
                'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
            },
        })

    async def wait_ready(self, longest_s=20.0):
        """Wait until all entry hosts are in rotation."""
        ends_s = self.record.now_s() + longest_s
        while not all(self.router.is_in_rotation(e) for e in self.entries):
            if self.record.now_s() > ends_s:
                missing = [e for e in self.entries
                           if not self.router.is_in_rotation(e)]
                raise CannotRunError('not ready: ' + '; '.join(
                    f'{e.host} exit={e.process.returncode} '
                    f'{e.log_path.read_text()[-800:]}' for e in missing
                ))
            await asyncio.sleep(0.1)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(entry.end() for entry in self.entries))
        await self.store.close()
        self._temporary.cleanup()


class CannotRunError(Exception):
    """The case could not be played."""


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def play(case, folder, limit_s=115.0):
    """Run ``case(world)``; exit with 1 (broken), 0 (held) or 2."""
    async def bounded():
        world = World(pathlib.Path(folder) / 'record.txt',
                      seed=int(os.environ.get('SEED', '1')))
        running = asyncio.current_task()
        for number_of_signal in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number_of_signal, running.cancel
            )
        try:
            async with asyncio.timeout(limit_s):
                return await case(world)
        finally:
            if os.environ.get('KEEP_LOGS'):
                for entry in world.entries:
                    target = pathlib.Path(os.environ['KEEP_LOGS'])
                    (target / entry.log_path.name).write_bytes(
                        entry.log_path.read_bytes())
            await world.close()

    try:
        is_broken = asyncio.run(bounded())
    except (CannotRunError, OSError, TimeoutError,
            asyncio.CancelledError) as error:
        print(f'could not run: {type(error).__name__}: {error}')
        sys.exit(2)
    print('the rule was BROKEN' if is_broken else 'the rule held')
    sys.exit(1 if is_broken else 0)
