"""The balancer process: settings, signals and exit codes."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence

from currantshore.errors import SettingsError
from currantshore.internal.process.balancer import Balancer
from currantshore.internal.process.logs import configure_logs, get_logger
from currantshore.internal.process.settings import (
    ExitCode,
    Settings,
    load_settings,
)


async def serve(settings: Settings) -> ExitCode:
    """Run a balancer until it must stop; return the exit code.

    It stops on SIGTERM, on SIGINT and when the configuration marks its host as
    leaving.
    """
    log = get_logger('balancer')
    balancer = Balancer(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, balancer.request_stop)
    try:
        await balancer.start()
    except OSError as error:
        log.error('address_unavailable', error=str(error))
        return ExitCode.ADDRESS_UNAVAILABLE
    await balancer.wait_for_stop()
    await balancer.leave()
    await balancer.close()
    return ExitCode.OK


def run_balancer(argv: Sequence[str]) -> int:
    """Run the balancer process and return its exit code."""
    try:
        settings = load_settings(argv, os.environ)
    except SettingsError as error:
        configure_logs('json', 'info')
        get_logger('settings').error('bad_settings', problems=error.problems)
        return ExitCode.BAD_SETTINGS
    configure_logs(settings.log_format, settings.log_level)
    try:
        return asyncio.run(serve(settings))
    except Exception:
        get_logger('balancer').exception('failed')
        return ExitCode.INTERNAL_ERROR


if __name__ == '__main__':
    sys.exit(run_balancer(sys.argv[1:]))
