"""Starts and stops local processes, for the demo and tests only."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys
import tempfile
from typing import IO, Any, Final, TypeAlias

import msgspec

from currantshore.wire import Endpoint

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
_START_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 15.0
_SHOWN_LOG_LINES: Final = 15


class ChildProcess:
    """A child process that is ended by its own process id."""

    __slots__ = ('_log', '_process', 'name', 'ready')

    def __init__(
        self,
        name: str,
        process: asyncio.subprocess.Process,
        log: IO[bytes],
    ) -> None:
        """Wrap a running process; use ``start`` instead."""
        self.name = name
        self._process = process
        self._log = log
        self.ready: Any = None

    @classmethod
    async def start(cls, name: str, *arguments: str) -> 'ChildProcess':
        """Run ``python ARGUMENTS``; its standard error goes to a file."""
        # Shielded, so that a cancelled start still records the process that it
        # may have created; ``stop_all`` then ends it.
        starting = asyncio.ensure_future(_spawn(name, arguments))
        _starting.add(starting)
        starting.add_done_callback(_starting.discard)
        return await asyncio.shield(starting)

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.returncode is None

    async def read_line(self) -> Any:
        """Read one JSON line of its standard output."""
        stdout = self._process.stdout
        if stdout is None:
            raise RuntimeError(f'{self.name} has no standard output')
        line = await asyncio.wait_for(stdout.readline(), _START_TIMEOUT_S)
        if not line:
            raise RuntimeError(f'{self.name} ended early:\n{self.log_tail()}')
        return msgspec.json.decode(line)

    async def read_bytes(self) -> bytes:
        """Read the rest of its standard output."""
        stdout = self._process.stdout
        return b'' if stdout is None else await stdout.read()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it still runs."""
        # asyncio's own method polls and may thereby reap the child; asyncio
        # would then report the exit code 255.
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code."""
        return await asyncio.wait_for(self._process.wait(), timeout_s)

    async def stop(self) -> int:
        """Send SIGTERM; kill the process if it does not end in time."""
        self.send_signal(signal.SIGTERM)
        self.send_signal(signal.SIGCONT)
        try:
            return await self.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Kill the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        return await self._process.wait()

    def log_text(self) -> str:
        """Return its standard error output."""
        size = os.fstat(self._log.fileno()).st_size
        return os.pread(self._log.fileno(), size, 0).decode(errors='replace')

    def log_tail(self) -> str:
        """Return the last lines of its standard error."""
        return '\n'.join(self.log_text().splitlines()[-_SHOWN_LOG_LINES:])


async def stop_all() -> None:
    """End every process that was started and still runs."""
    await asyncio.gather(*_starting, return_exceptions=True)
    running = [child for child in _started if child.is_running]
    _started.clear()
    await asyncio.gather(*(child.stop() for child in running))


async def _spawn(name: str, arguments: tuple[str, ...]) -> ChildProcess:
    log = tempfile.TemporaryFile()
    paths = f'{_ROOT / "src"}{os.pathsep}{_ROOT}'
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=log,
        env=os.environ | {'PYTHONPATH': paths},
        # A Ctrl-C reaches only the parent, which then stops its children.
        start_new_session=True,
    )
    child = ChildProcess(name, process, log)
    _started.append(child)
    return child


_Starting: TypeAlias = asyncio.Future[ChildProcess]
_started: Final[list[ChildProcess]] = []
_starting: Final[set[_Starting]] = set()


class Reservation:
    """Reserves free ports of one loopback address until they are needed.

    Each balancer has its own loopback address, so that its ports cannot collide
    with ports that the kernel assigns to callers on 127.0.0.1.
    """

    __slots__ = ('_sockets', 'host')

    def __init__(self, host: str) -> None:
        """Reserve ports of ``host``."""
        self.host = host
        self._sockets: list[socket.socket] = []

    def take(self, kind: socket.SocketKind) -> Endpoint:
        """Reserve a free port for a stream or datagram socket."""
        reserved = socket.socket(socket.AF_INET, kind)
        reserved.bind((self.host, 0))
        self._sockets.append(reserved)
        return Endpoint(self.host, reserved.getsockname()[1])

    def release(self) -> None:
        """Release all ports; call it just before they are bound."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()


def loopback_host(number: int) -> str:
    """Return a loopback address for host ``number`` of this process."""
    block = 1 + os.getpid() % 200
    return f'127.{block}.{os.getpid() // 200 % 256}.{number}'
