"""The store leaves the readers of all zones without answers; a route is dropped."""

import asyncio
import pathlib

import standins

CONFIG_S = 3.0
STABLE_WINDOW_S = 4.0
CUT_S = 5.5
ZONES = {'harbor': 2, 'eastside': 2, 'millrace': 2, 'northpark': 1}
SERVICE = 'dockwatch'


async def checkout(world, client, address, name, sent_s):
    sent_s[name] = world.record.now_s()
    flow = client.flow(address)
    if await flow.open():
        await flow.ask(name, 20, 1.5)
    flow.close()


async def traffic(world, addresses, seconds, name):
    """Send requests to both routes; return when each was sent."""
    sent_s, tasks = {}, []
    ends_s = world.record.now_s() + seconds
    while world.record.now_s() < ends_s:
        count = len(tasks)
        client = world.clients[count // 2 % len(world.clients)]
        tasks.append(asyncio.ensure_future(checkout(
            world, client, addresses[count % 2], f'{name}-{count}', sent_s
        )))
        await asyncio.sleep(0.0125)
    await asyncio.gather(*tasks)
    return sent_s


async def case(world):
    await world.build(ZONES, [(SERVICE, zone, 3) for zone in ZONES])
    kept, kept_route = world.route('checkout', 1, SERVICE)
    dropped, dropped_route = world.route('old-checkout', 2, SERVICE)
    await world.configure(3, [kept_route, dropped_route], [SERVICE])
    await world.wait_ready()
    # All machines are in touch from here on: nothing disturbs them.
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    await traffic(world, (kept, dropped), 2, 'before')
    # The machines that watch the store now, one in each zone.
    now_s = world.record.now_s()
    readers = [
        entry for entry in world.entries
        if now_s - world.store.watched_s.get(entry.store_host, -9) < 3
    ]
    calm = {entry.host for entry in world.entries if entry not in readers}
    world.record.write('readers', hosts=[entry.host for entry in readers])
    after = asyncio.ensure_future(traffic(world, (kept, dropped), 9, 'after'))
    if standins.has_trouble():
        world.store.silent.update(entry.store_host for entry in readers)
        world.record.write('cut', hosts=[entry.host for entry in readers])
    await asyncio.sleep(0.02)
    acknowledged_s = await world.configure(4, [kept_route], [SERVICE])
    await asyncio.sleep(CUT_S)
    world.store.silent.clear()
    world.record.write('cut_ends')
    sent_s = await after
    late = [
        sent_s[name] - acknowledged_s
        for server in world.backends for _, name, entry, key in server.runs
        if key[2:] == dropped and entry in calm
        and sent_s.get(name, 0) - acknowledged_s > CONFIG_S
    ]
    print(f'{len(late)} requests of the dropped route, sent later than'
          f' {CONFIG_S} s after the acknowledgement, were run through hosts'
          f' that kept their path to the store')
    print(f'{len(readers)} of {len(world.entries)} hosts were cut off')
    if late:
        print(f'the last of these was sent {max(late):.2f} s after it')
    world.record.write('verdict', late=len(late))
    return bool(late)


if __name__ == '__main__':
    standins.play(case, pathlib.Path(__file__).parent)
