"""Drive the core with another packet source and codec, by public names only."""

import json

import testtools

from currantshore import events, snapshot, wire
from currantshore.core import BalancerCore, CoreConfig

_SERVICE = 'dockwatch'


def make_pool():
    backends = tuple(
        snapshot.BackendServer(
            f'b{number}', 'z', wire.Endpoint('10.1.0.1', number), 3
        )
        for number in range(1, 4)
    )
    service = snapshot.ServiceSnapshot(
        _SERVICE,
        'lakeshore',
        wire.Endpoint('10.9.0.1', 1),
        2048,
        backends,
        (snapshot.PriorityClass('urgent', 0, 0.5),),
        version=1,
    )
    host = snapshot.PoolHost(
        'h', 'z', wire.Endpoint('10.2.0.1', 1), wire.Endpoint('10.2.0.1', 2)
    )
    members = snapshot.PoolMembers('p', 'lakeshore', ('z',), (host,), 1)
    return snapshot.PoolSnapshot(members, (service,))


class JsonAdapter:
    """A complete adapter that uses JSON lines instead of datagrams."""

    def __init__(self):
        config = CoreConfig('h', 'z', 1, b'key')
        self.core = BalancerCore.from_config(config)
        self.core.handle(events.ConfigurationChanged(make_pool()), 0)
        self.core.tick(10)

    def feed(self, line, now_s):
        message = json.loads(line)
        source = wire.Endpoint(message['host'], message['port'])
        payload = message['text'].encode()
        match message['from']:
            case 'caller':
                event = events.CallerDatagram(_SERVICE, source, payload)
            case 'backend':
                down = wire.Downstream(
                    _SERVICE, wire.Endpoint(*message['caller']), payload
                )
                event = events.BackendDatagram(source, wire.encode(down))
        return [
            self.as_line(action) for action in self.core.handle(event, now_s)
        ]

    def as_line(self, action):
        match action:
            case events.SendToBackend():
                order = wire.decode_order(action.payload)
                target = action.target
                text = order.payload.decode()
            case events.SendToCaller():
                target = action.caller
                text = action.payload.decode()
        return {'host': target.host, 'port': target.port, 'text': text}


class AdapterTests(testtools.TestCase):
    """Guards against a core that works only in its own daemon."""

    def test_a_flow_goes_up_and_down_through_another_codec(self):
        adapter = JsonAdapter()
        up = {'from': 'caller', 'host': '10.0.0.1', 'port': 9, 'text': 'hello'}
        (order,) = adapter.feed(json.dumps(up), 10)
        self.assertEqual('hello', order['text'])
        down = {
            'from': 'backend',
            'host': order['host'],
            'port': order['port'],
            'caller': ['10.0.0.1', 9],
            'text': 'world',
        }
        (answer,) = adapter.feed(json.dumps(down), 11)
        expected = {'host': '10.0.0.1', 'port': 9, 'text': 'world'}
        self.assertEqual(expected, answer)
