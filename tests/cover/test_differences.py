"""Tests of the differences that a plan shows to operators."""

import testtools

from currantshore.internal.operators.differences import service_lines
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    ServiceSnapshot,
)
from currantshore.wire import Endpoint

_ADDRESS = Endpoint('127.0.0.1', 7001)


class BackendStateTests(testtools.TestCase):
    """Guards against a plan that explains a change wrongly.

    The states of hosts and of backend servers share names, but a backend
    server that joins gets flows, and a host that joins gets packets.
    """

    def test_the_effect_on_a_backend_server_is_not_that_on_a_host(self):
        before, after = (
            ServiceSnapshot(
                'dockwatch',
                'lakeshore',
                _ADDRESS,
                1024,
                (
                    BackendServer(
                        'dockwatch-1', 'harbor', _ADDRESS, 3, 9, state
                    ),
                ),
                (),
            )
            for state in (BackendState.JOINING, BackendState.ACTIVE)
        )
        line = next(service_lines(before, after))
        self.assertIn('joining -> active', line)
        self.assertNotIn('packets', line)
        self.assertIn('new flows', line)
