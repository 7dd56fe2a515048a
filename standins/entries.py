"""Starts entry processes on loopback addresses, for tests and the soak."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import Sequence

from currantshore.errors import CallFailedError
from currantshore.internal.httpconnection import HttpConnection
from currantshore.wire import Endpoint

_OK = 200
_PAGE_TIMEOUT_S = 5.0
_POLL_S = 0.05


def free_port(host: str) -> int:
    """Return a port that is currently free for both TCP and UDP."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream_socket,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram_socket,
        ):
            stream_socket.bind((host, 0))
            port: int = stream_socket.getsockname()[1]
            try:
                datagram_socket.bind((host, port))
            except OSError:
                # A datagram socket has this port: try another.
                continue
        return port


class EntryProcess:
    """One ``currantshore.entry`` process on the loopback address 127.0.0.N.

    ``ports`` are the ports for packets, readiness and other hosts, in this
    order; they are the same on every host.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        ports: Sequence[int],
        store_port: int,
    ) -> None:
        """Prepare the settings; ``start`` runs the process."""
        self.host = f'127.0.0.{number}'
        self.zone = zone
        self.packet_address = (self.host, ports[0])
        self._ready = Endpoint(self.host, ports[1])
        self._internal = Endpoint(self.host, ports[2])
        self.settings = {
            'host-id': f'entry-{number}',
            'zone': zone,
            'packet-address': f'{self.host}:{ports[0]}',
            'ready-address': f'{self.host}:{ports[1]}',
            'internal-ports': f'{ports[2]},{ports[2]}',
            'seed-addresses': f'127.0.0.11:{ports[0]},127.0.0.12:{ports[0]}',
            'store-address': f'127.0.0.1:{store_port}',
            'grace-s': '4',
            'has-evacuations': 'true',
            'warmup-slack-openings': '2',
        }
        self.child: asyncio.subprocess.Process | None = None
        self.output = b''

    async def start(self) -> None:
        """Start the process; its output is read when it ends."""
        flags = [
            word
            for name, text in self.settings.items()
            for word in (f'--{name}', text)
        ]
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'currantshore.entry',
            *flags,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, 'PYTHONPATH': 'src'},
            limit=2**22,
        )

    async def is_ready(self) -> bool:
        """Request the readiness page, as the platform's routers do."""
        connection = HttpConnection.from_endpoint(self._ready)
        with contextlib.closing(connection):
            answer = await connection.get('/readyz', _PAGE_TIMEOUT_S)
        return answer.status == _OK

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        while True:
            with contextlib.suppress(CallFailedError):
                if await self.is_ready():
                    return
            await asyncio.sleep(_POLL_S)

    async def fetch_metrics(self) -> bytes:
        """Return the metrics page, retrying while it is still being loaded."""
        connection = HttpConnection.from_endpoint(self._internal)
        with contextlib.closing(connection):
            while True:
                answer = await connection.get('/metrics', _PAGE_TIMEOUT_S)
                if answer.status == _OK:
                    return answer.body
                await asyncio.sleep(_POLL_S)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, by its id."""
        assert self.child is not None
        self.child.send_signal(number)

    async def stop(self, number: int = signal.SIGTERM) -> int | None:
        """Send a signal that ends the process; return its exit status."""
        assert self.child is not None
        self.child.send_signal(number)
        return await self.wait()

    async def wait(self) -> int | None:
        """Return the exit status when the process has ended."""
        assert self.child is not None
        outputs = await self.child.communicate()
        self.output += outputs[0]
        return self.child.returncode

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.child is not None and self.child.returncode is None:
            await self.stop(signal.SIGKILL)
