"""The entry process: ``python -m currantshore.entry``.

It forwards the packets of flows that carry a compact token, on a host of the
users' platform. Nothing is imported here that is not needed before the
process is ready; docs/design/platform.md gives the figures.
"""

import asyncio
import signal
import sys
from collections.abc import Sequence

from currantshore.errors import SettingsError
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.host import EntryHost
from currantshore.internal.entry.settings import (
    EntrySettings,
    load_entry_settings,
)

_OK = 0
_BAD_SETTINGS = 2
_ADDRESS_UNAVAILABLE = 3


async def serve(settings: EntrySettings, log: DecisionLog) -> int:
    """Run until SIGTERM or SIGINT; return the exit code."""
    host = EntryHost(settings, log.write)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.request_stop)
    try:
        await host.start()
    except OSError as error:
        log.write('address_unavailable', error=str(error))
        return _ADDRESS_UNAVAILABLE
    await host.run()
    return _OK


def main(argv: Sequence[str] | None = None) -> int:
    """Run the entry process with flags ``argv``; return its exit code."""
    log = DecisionLog()
    given = sys.argv[1:] if argv is None else argv
    try:
        settings = load_entry_settings(given)
    except SettingsError as error:
        log.write('bad_settings', problems=error.problems)
        return _BAD_SETTINGS
    return asyncio.run(serve(settings, log))


if __name__ == '__main__':
    sys.exit(main())
