"""All entry hosts but one lose power; then a server drains."""

import asyncio
import pathlib
import signal
import sys

import standins

sys.path.append(str(standins.ROOT / 'target' / 'deps'))

from currantshore.internal.hashing import stable_hash  # noqa: E402

DRAIN_S = 3.0
STABLE_WINDOW_S = 4.0
# The nine machines of tikasrinne-lb, whose lohja is the largest zone of the
# small sites, and the spare one of lohja that was added.
ZONES = {'lohja': 4, 'parainen': 2, 'salo': 2, 'porvoo': 2}
SERVICE = 'dockwatch'


async def checkout(world, client, address, name):
    flow = client.flow(address)
    if await flow.open():
        await flow.ask(name, 20, 2.0)
    flow.close()


async def traffic(world, address, seconds, name):
    tasks = []
    ends_s = world.record.now_s() + seconds
    while world.record.now_s() < ends_s:
        client = world.clients[len(tasks) % len(world.clients)]
        tasks.append(asyncio.ensure_future(
            checkout(world, client, address, f'{name}-{len(tasks)}')
        ))
        await asyncio.sleep(0.025)
    await asyncio.gather(*tasks)


async def case(world):
    await world.build(ZONES, [(SERVICE, zone, 2) for zone in ZONES])
    address, route = world.route('checkout', 1, SERVICE)
    await world.configure(3, [route], [SERVICE])
    await world.wait_ready()
    # All machines are in touch from here on: nothing disturbs them.
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    before = asyncio.ensure_future(traffic(world, address, 2, 'before'))
    await before
    # The survivor is the host of lohja that is the last to read the store
    # when others are gone (mirror/readerrole.py).
    lohja = [entry for entry in world.entries if entry.zone == 'lohja']
    survivor = max(lohja, key=lambda entry: stable_hash(entry.host))
    world.record.write('survivor', entry=survivor.host)
    after = asyncio.ensure_future(traffic(world, address, 9, 'after'))
    if standins.has_trouble():
        for entry in world.entries:
            if entry is not survivor:
                entry.send(signal.SIGKILL)
    await asyncio.sleep(0.02)
    leaving = world.backends[0]
    acknowledged_s = await leaving.drain()
    await after
    opened_s = {key: at_s for at_s, _, key in leaving.openings}
    late = [
        opened_s[key] - acknowledged_s for _, _, entry, key in leaving.runs
        if entry == survivor.host and opened_s[key] - acknowledged_s > DRAIN_S
    ]
    ran = sum(
        1 for server in world.backends for run in server.runs
        if run[0] - acknowledged_s > DRAIN_S
    )
    print(f'{ran} requests ran later than {DRAIN_S} s after the'
          f' acknowledgement; {len(late)} of them on the draining server, of'
          f' new flows through the host that was never disturbed')
    if late:
        print(f'the last of these came {max(late):.2f} s after it')
    world.record.write('verdict', late=len(late))
    return bool(late)


if __name__ == '__main__':
    standins.play(case, pathlib.Path(__file__).parent)
