"""The clock of an entry process."""

import asyncio
import time


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock goes on while the machine is suspended.

    Asyncio's own clock stops then, so that a host that wakes after seconds
    would take what it was told before for new. Every age, timeout and lease of
    the process is judged by this clock.
    """

    def time(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
