"""Check IP addresses of version 4 that other programs state."""

import socket
from typing import Final

# Addresses from here on are for groups of hosts, or reserved.
_FIRST_GROUP: Final = 224


def pack_ipv4(host: str) -> bytes:
    """Return the four bytes of an address in the form ``10.1.0.9``.

    Raises ``OSError`` for any other text; ``inet_aton`` and the resolver also
    take an address with a remark behind it.
    """
    return socket.inet_pton(socket.AF_INET, host)


def is_host_address(host: str) -> bool:
    """Return whether ``host`` is the IPv4 address of a single host."""
    try:
        first_byte = pack_ipv4(host)[0]
    except (OSError, ValueError):
        return False
    return 0 < first_byte < _FIRST_GROUP
