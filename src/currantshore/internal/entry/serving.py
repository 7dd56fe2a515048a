"""Run the entry process until it is stopped.

This module imports only what the process needs to become ready;
docs/design/platform.md gives the figures.
"""

import asyncio
import os
import signal
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

# The settings file may change without a signal, and the platform does not
# provide inotify, so the file is polled.
_FILE_CHECK_S: Final = 1.0


class _SettingsWatch:
    """Reads the settings again after SIGHUP or a change of the file."""

    __slots__ = (
        '_argv',
        '_host',
        '_is_read_requested',
        '_last_stamp',
        '_log',
        '_path',
    )

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
        self._is_read_requested = False
        self._last_stamp = self._file_stamp()

    def request_read(self) -> None:
        """Request that the settings are read at the next check."""
        self._is_read_requested = True

    async def run(self) -> None:
        """Check the file until cancelled."""
        while True:
            await asyncio.sleep(_FILE_CHECK_S)
            stamp = self._file_stamp()
            if self._is_read_requested or stamp != self._last_stamp:
                self._is_read_requested = False
                self._last_stamp = stamp
                self._read()

    def _read(self) -> None:
        try:
            settings = load_entry_settings(self._argv)
        except SettingsError as error:
            # The current settings stay in force.
            self._log.write('bad_settings', problems=error.problems)
            return
        self._log.write('settings_read')
        self._host.change_settings(settings)

    def _file_stamp(self) -> tuple[int, int]:
        if not self._path:
            return 0, 0
        try:
            file_status = os.stat(self._path)
        except OSError:
            # The file is probably being replaced, and exists at the next check.
            return 0, 0
        return file_status.st_mtime_ns, file_status.st_size


async def _serve(
    argv: Sequence[str],
    settings: EntrySettings,
    log: DecisionLog,
) -> int:
    """Run the process until SIGTERM or SIGINT; return its exit code."""
    host = EntryHost(settings, log)
    watch = _SettingsWatch(argv, host, log)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.request_stop)
    loop.add_signal_handler(signal.SIGHUP, watch.request_read)
    try:
        await host.start()
    except OSError as error:
        log.load_now()
        log.write('address_unavailable', error=str(error))
        return _ADDRESS_UNAVAILABLE
    watch_task = loop.create_task(watch.run())
    await host.run()
    watch_task.cancel()
    return _OK


def run(argv: Sequence[str]) -> int:
    """Run the entry process with flags ``argv``; return its exit code."""
    log = DecisionLog()
    try:
        settings = load_entry_settings(argv)
    except SettingsError as error:
        log.load_now()
        log.write('bad_settings', problems=error.problems)
        return _BAD_SETTINGS
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(_serve(argv, settings, log))
