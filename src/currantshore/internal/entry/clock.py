"""Provide the clock of an entry process."""

import asyncio
import time


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock includes time while the machine is suspended.

    The default clock of asyncio stops during a suspension, so that a host that
    resumes after seconds would treat outdated messages as new. All ages,
    timeouts and leases of the process use this clock.
    """

    def time(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
