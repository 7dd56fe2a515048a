"""Memory of what an entry process holds: ``python -m bench.entrystate``.

Prints one JSON line with the bytes of a backend server and of a route, at
several sizes, and the time to take a whole list and a configuration.
"""

import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import msgspec

from bench.entry import build_entry
from currantshore.internal.steering.directory import BackendDirectory
from currantshore.platform.objects import decode_configuration

_SIZES: Final = (480, 4800, 24_000)


def measure(build: Callable[[], object]) -> tuple[float, float]:
    """Return the bytes that ``build`` leaves behind, and its seconds."""
    tracemalloc.start()
    kept = build()
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    begin_s = time.process_time()
    build()
    return grown, time.process_time() - begin_s


def build_directory(count: int) -> BackendDirectory:
    """Return a directory of so many servers, two for each service."""
    directory = BackendDirectory('zone-0')
    entries = [
        build_entry(number, f'service-{number // 2}', 8080)
        for number in range(1, count + 1)
    ]
    directory.replace_all(entries, count, 0)
    return directory


def build_configuration(count: int) -> bytes:
    """Return the body of a configuration of so many routes."""
    routes = [
        {
            'name': f'r-{number:07x}',
            'host': f'198.18.{number // 250 % 250}.{number % 250}',
            'path-prefix': f'/{443 + number // 62_500}/',
            'route-type': 'safe',
            'timeout-ms': 1200,
            'target-latency-ms': 250,
            'priority': 2,
            'service': f'service-{number}',
        }
        for number in range(count)
    ]
    limits = {'idle-timeout-ms': 15000}
    return msgspec.json.encode(
        {'version': 1, 'routes': routes, 'limits': limits}
    )


def measure_size(count: int) -> dict[str, float]:
    """Return the figures of ``count`` servers and routes."""
    servers_bytes, servers_s = measure(lambda: build_directory(count))
    body = build_configuration(count)
    routes_bytes, routes_s = measure(lambda: decode_configuration(body))
    return {
        'count': count,
        'bytes_a_server': round(servers_bytes / count),
        'list_ms': round(servers_s * 1000, 1),
        'bytes_a_route': round(routes_bytes / count),
        'configuration_bytes': len(body),
        'configure_ms': round(routes_s * 1000, 1),
    }


if __name__ == '__main__':
    found = [measure_size(count) for count in _SIZES]
    sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
