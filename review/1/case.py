"""An entry of another writer has a deep field, then all processes are killed."""

import asyncio
import json
import pathlib
import signal

import standins

STABLE_WINDOW_S = 4.0
RECOVERY_S = 12.0
DOWN_S = 1.0
ZONES = {'harbor': 2, 'eastside': 2, 'millrace': 2, 'northpark': 1}
SERVICE = 'dockwatch'
DEPTH = 2000


def foreign():
    """An entry whose field ``slots`` is of another type: lists in lists."""
    fields = json.dumps({
        'service': SERVICE, 'address': 'unknown', 'zone': 'northpark',
        'version': 'v1', 'state': 'ready', 'warmup-left-ms': 0, 'sequence': 1,
    })
    return f'{fields[:-1]}, "slots": {"[" * DEPTH}{"]" * DEPTH}}}'


async def checkout(world, client, address, name, served):
    flow = client.flow(address)
    is_open = await flow.open()
    if is_open and await flow.ask(name, 50, 1.5) == 'answered':
        served.append(name)
    flow.close()


async def traffic(world, address, seconds, name):
    """Send 20 checkouts a second; return the share that is served."""
    served, tasks = [], []
    ends_s = world.record.now_s() + seconds
    while world.record.now_s() < ends_s:
        client = world.clients[len(tasks) % len(world.clients)]
        tasks.append(asyncio.ensure_future(checkout(
            world, client, address, f'{name}-{len(tasks)}', served
        )))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    return len(served) / len(tasks)


async def case(world):
    await world.build(ZONES, [(SERVICE, zone, 3) for zone in ZONES])
    address, route = world.route('checkout', 1, SERVICE)
    await world.configure(3, [route], [SERVICE])
    await world.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    if standins.has_trouble():
        await world.store.write('servers', 'i-77aa01', foreign())
    before = await traffic(world, address, 4, 'before')
    # The final fault: all processes are killed right after a change of the
    # configuration was acknowledged, and start again.
    await world.configure(4, [route], [SERVICE])
    for entry in world.entries:
        entry.send(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(entry.start() for entry in world.entries))
    await asyncio.sleep(RECOVERY_S)
    after = await traffic(world, address, 10, 'after')
    ready = [await entry.is_ready(1.0) for entry in world.entries]
    print(f'served before the final fault: {before:.2f}; later than'
          f' {RECOVERY_S} s after the machines were back: {after:.2f};'
          f' {sum(ready)} of {len(ready)} entry hosts are ready')
    world.record.write('verdict', before=before, after=after)
    if before < 0.25:
        raise standins.CannotRunError('less than a quarter served before')
    return after < 0.25


if __name__ == '__main__':
    standins.play(case, pathlib.Path(__file__).parent)
