"""Entries of a service that isn't named here list the same servers."""

import asyncio
import pathlib

import standins

STABLE_WINDOW_S = 4.0
# The machines of lmmu-bikes.
ZONES = {'harbor': 2, 'eastside': 2, 'millrace': 2, 'northpark': 1}
SERVICE = 'dockwatch'

# Work of a checkout in ms; the sheet of lmmu-bikes has 52 on average, 310 at
# most.
USUAL_MS = 40
LONGEST_MS = 310
DEADLINE_S = 1.5


async def checkout(world, client, address, name, work_ms, lost):
    flow = client.flow(address)
    if await flow.open():
        await flow.ask(name, work_ms, DEADLINE_S)
        if flow.reset_by == 'system':
            lost.append((name, flow.key))
    flow.close()


async def traffic(world, address, seconds, name):
    """Send 20 checkouts a second, one in twenty with the longest work."""
    lost, tasks = [], []
    ends_s = world.record.now_s() + seconds
    while world.record.now_s() < ends_s:
        count = len(tasks)
        work_ms = LONGEST_MS if count % 20 == 19 else USUAL_MS
        tasks.append(asyncio.ensure_future(checkout(
            world, world.clients[count % len(world.clients)], address,
            f'{name}-{count}', work_ms, lost,
        )))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    return len(tasks), lost


async def case(world):
    await world.build(ZONES, [(SERVICE, zone, 3) for zone in ZONES])
    address, route = world.route('checkout', 1, SERVICE)
    await world.configure(3, [route], [SERVICE])
    await world.wait_ready()
    # All machines are in touch from here on: nothing disturbs them.
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    await traffic(world, address, 5, 'before')
    if standins.has_trouble():
        for index, server in enumerate(world.backends):
            await world.store.write('servers', f'i-77aa0{index}', {
                'service': 'dockwatch-staging',
                'address': f'{server.host}:{server.port}',
                'zone': server.zone, 'version': 'v1', 'slots': 3,
                'state': 'ready', 'warmup-left-ms': 0, 'sequence': 1,
                'born': server.born,
            })
    await asyncio.sleep(2)
    sent, lost = await traffic(world, address, 30, 'after')
    open_at = {
        key for server in world.backends for key, held in server.flows.items()
        if held.is_open
    }
    broken = [name for name, key in lost if key in open_at]
    ran = {run[1] for server in world.backends for run in server.runs}
    print(f'{sent} checkouts sent; {len(broken)} open flows were reset by the'
          f' system while their servers lived; {len(ran & set(broken))} of'
          f' their checkouts ran all the same')
    world.record.write('verdict', reset=len(broken))
    return bool(broken)


if __name__ == '__main__':
    standins.play(case, pathlib.Path(__file__).parent)
