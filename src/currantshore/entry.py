"""Run the entry process: ``python -m currantshore.entry``.

It forwards the packets of flows, which carry a token of four bytes, on a host
of the users' platform.
"""

import importlib
import signal
import sys
from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run the entry process with flags ``argv``; return its exit code."""
    # SIGHUP ends a process that has no handler for it, and the event loop has
    # one only after imports of some tenths of a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    serving = importlib.import_module('currantshore.internal.entry.serving')
    arguments = sys.argv[1:] if argv is None else argv
    status: int = serving.run(arguments)
    return status


if __name__ == '__main__':
    sys.exit(main())
