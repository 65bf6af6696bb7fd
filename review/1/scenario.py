"""Planned restart of the only balancer of a zone, after endpoints came up some seconds after their daemons."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stage"))
from deployment import *  # noqa: E402,F403

# Zone: numbers of its balancers and of its endpoints' machines.
ZONES = {"zone-a": ((10, 11), range(41, 45)), "zone-b": ((12, 13), range(51, 55)),
         "zone-c": ((14,), range(61, 65))}
FLOWS_PER_ZONE = 30
ENDPOINTS_UP_AT_S = 7
TRAFFIC_AT_S = 10
RESTART_AT_S = 16
END_AT_S = 26


async def use(site, flow):
    """A client that keeps its flow open and sends a request each second."""
    if not await flow.connect():
        return
    number = 0
    while site.now() < END_AT_S and not flow.is_reset:
        number += 1
        await flow.request(number)
        await asyncio.sleep(1)


async def scenario(site):
    await site.start_store(config(3, [("board", "127.200.0.1", 8443, "idempotent", "shop")], [("shop", {})]))
    seeds = [f"{site.ip(numbers[0])}:{site.port('control_plane')}" for numbers, _ in ZONES.values()]
    for zone, (balancers, endpoints) in ZONES.items():
        for number in balancers:
            Daemon(site, "balancer", number, f"balancer-{number}", zone, seeds)
        for each in endpoints:
            Daemon(site, "agent", each, f"agent-{each}", zone, seeds,
                   {"service": "shop", "app": f"{site.ip(each)}:{site.port('app')}"})
            Endpoint(site, each, f"agent-{each}", zone, "shop")
    site.zero = time.monotonic()
    for daemon in site.daemons:
        daemon.start()
    await asyncio.sleep(ENDPOINTS_UP_AT_S - site.now())
    for endpoint in site.endpoints:
        await endpoint.start()
    await asyncio.sleep(TRAFFIC_AT_S - site.now())
    balancers = {each.name: each for each in site.daemons if each.role == "balancer"}
    await until(site, "all balancers in rotation", lambda: all(b.in_rotation for b in balancers.values()), 5)
    clients, flows = [], []
    for index, zone in enumerate(ZONES):
        await add_client(site, 101 + index)
        for _ in range(FLOWS_PER_ZONE):
            flow = Flow(site, 101 + index, zone, "127.200.0.1", 8443)
            flows.append(flow)
            clients.append(asyncio.ensure_future(use(site, flow)))
            await asyncio.sleep(0.05)
    await asyncio.sleep(RESTART_AT_S - site.now())
    if sum(flow.is_open for flow in flows) < len(flows):
        raise CannotRun("not all flows opened")
    if TROUBLE:
        await balancers["balancer-14"].restart()
    await asyncio.gather(*clients)
    served = sum(flow.answered > 0 for flow in flows)
    site.record(f"{len(flows)} flows, {served} served, {sum(f.is_reset for f in flows)} reset")
    return [f"FLOW: open flow {name_of(f.key)} was reset at {f.reset_at:.3f} s by the system while its endpoint "
            "held it" for f in flows if f.was_reset_open]


main(scenario)
