"""The entry process: ``python -m currantshore.entry``.

It forwards the packets of flows that carry a compact token, on a host of the
users' platform. Nothing is imported here that is not needed before the
process is ready; docs/design/platform.md gives the figures.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from typing import Final

from currantshore.errors import SettingsError
from currantshore.internal.entry.clock import SuspendAwareLoop
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.host import EntryHost
from currantshore.internal.entry.settings import (
    EntrySettings,
    load_entry_settings,
    settings_file,
)

_OK: Final = 0
_BAD_SETTINGS: Final = 2
_ADDRESS_UNAVAILABLE: Final = 3

# The settings file may change without a signal; hosts have no way to be told
# (inotify is not to be had on the platform).
_FILE_CHECK_S: Final = 1.0


class _SettingsWatch:
    """Reads the settings again when the file changes or on SIGHUP."""

    __slots__ = ('_argv', '_host', '_is_asked', '_log', '_path', '_seen')

    def __init__(
        self,
        argv: Sequence[str],
        host: EntryHost,
        log: DecisionLog,
    ) -> None:
        self._argv = argv
        self._host = host
        self._log = log
        self._path = settings_file(argv)
        self._is_asked = False
        self._seen = self._stamp()

    def ask(self) -> None:
        """Read the settings at the next look."""
        self._is_asked = True

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await asyncio.sleep(_FILE_CHECK_S)
            stamp = self._stamp()
            if self._is_asked or stamp != self._seen:
                self._is_asked = False
                self._seen = stamp
                self._read()

    def _read(self) -> None:
        try:
            settings = load_entry_settings(self._argv)
        except SettingsError as error:
            # The settings that the process runs with stay in force.
            self._log.write('bad_settings', problems=error.problems)
            return
        self._log.write('settings_read')
        self._host.change_settings(settings)

    def _stamp(self) -> tuple[int, int]:
        if not self._path:
            return 0, 0
        try:
            found = os.stat(self._path)
        except OSError:
            # A file that is being replaced is there at the next look.
            return 0, 0
        return found.st_mtime_ns, found.st_size


async def serve(
    argv: Sequence[str],
    settings: EntrySettings,
    log: DecisionLog,
) -> int:
    """Run until SIGTERM or SIGINT; return the exit code."""
    host = EntryHost(settings, log)
    watch = _SettingsWatch(argv, host, log)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.request_stop)
    loop.add_signal_handler(signal.SIGHUP, watch.ask)
    try:
        await host.start()
    except OSError as error:
        log.load_now()
        log.write('address_unavailable', error=str(error))
        return _ADDRESS_UNAVAILABLE
    watching = loop.create_task(watch.run())
    await host.run()
    watching.cancel()
    return _OK


def main(argv: Sequence[str] | None = None) -> int:
    """Run the entry process with flags ``argv``; return its exit code."""
    # A host may be sent SIGHUP before its loop runs, which would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log = DecisionLog()
    given = sys.argv[1:] if argv is None else argv
    try:
        settings = load_entry_settings(given)
    except SettingsError as error:
        log.load_now()
        log.write('bad_settings', problems=error.problems)
        return _BAD_SETTINGS
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(serve(given, settings, log))


if __name__ == '__main__':
    sys.exit(main())
