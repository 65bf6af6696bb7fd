"""The address of an endpoint that crashed goes to another service; later its agent and a balancer restart in turn."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stage"))
from deployment import *  # noqa: E402,F403

# Zone: numbers of its balancers, of its machines with shop and of those with vault.
ZONES = {"zone-a": ((10, 11), range(41, 47), (47,)), "zone-b": ((12, 13), range(51, 57), (57,)),
         "zone-c": ((14,), range(61, 67), ())}
REUSED = 61  # the machine in zone-c whose address goes from shop to vault
FLOWS = 100
PAUSE_S = 8  # of the clients between two requests of a flow
CRASH_AT_S = 10
REUSE_AT_S = 12.5  # reuse_delay_s is 2
FLOWS_AT_S = 18
RESTARTS_AT_S, RESTARTS_GAP_S = 23, 1.3
END_AT_S = 34


async def use(site, flow):
    if not await flow.connect():
        return
    number = 0
    while site.now() < END_AT_S and not flow.is_reset:
        number += 1
        await flow.request(number)
        await asyncio.sleep(PAUSE_S)


async def scenario(site):
    await site.start_store(config(3, [("board", "127.200.0.1", 8443, "idempotent", "shop"),
                                      ("sheet", "127.200.0.2", 8443, "idempotent", "vault")],
                                  [("shop", {}), ("vault", {})]))
    seeds = [f"{site.ip(balancers[0])}:{site.port('control_plane')}" for balancers, _, _ in ZONES.values()]
    agents, endpoints = {}, {}

    def add_machine(number, name, zone, service):
        agents[number] = Daemon(site, "agent", number, name, zone, seeds,
                                {"service": service, "app": f"{site.ip(number)}:{site.port('app')}"})
        endpoints[number] = Endpoint(site, number, name, zone, service)

    balancers = {}
    for zone, (numbers, shop, vault) in ZONES.items():
        for each in numbers:
            balancers[each] = Daemon(site, "balancer", each, f"balancer-{each}", zone, seeds)
        for each in shop:
            add_machine(each, f"agent-{each}", zone, "shop")
        for each in vault:
            add_machine(each, f"agent-{each}", zone, "vault")
    site.zero = time.monotonic()
    for daemon in site.daemons:
        daemon.start()
    await asyncio.sleep(1)
    for endpoint in site.endpoints:
        await endpoint.start()
    await until(site, "all balancers in rotation", lambda: all(b.in_rotation for b in balancers.values()), 8)
    await add_client(site, 101)

    # The endpoint crashes for good, and its machine goes too. In the run without the disruption the same machine
    # serves vault from the start of the flows on, at an address that no other service has had.
    if TROUBLE:
        await asyncio.sleep(CRASH_AT_S - site.now())
        endpoints[REUSED].crash()
        agents[REUSED].end()
        site.record(f"agent-{REUSED}: the machine is gone")
        number = REUSED
    else:
        number = REUSED + 9
    await asyncio.sleep(REUSE_AT_S - site.now())
    add_machine(number, f"agent-{number}-vault", "zone-c", "vault")
    agents[number].start()
    await asyncio.sleep(1)
    await endpoints[number].start()

    await asyncio.sleep(FLOWS_AT_S - site.now())
    clients, flows = [], []
    for _ in range(FLOWS):
        flows.append(Flow(site, 101, "zone-c", "127.200.0.2", 8443))
        clients.append(asyncio.ensure_future(use(site, flows[-1])))
        await asyncio.sleep(0.03)
    await asyncio.sleep(RESTARTS_AT_S - site.now())
    if sum(flow.answered == 1 for flow in flows) < len(flows):
        raise CannotRun("not all first requests were answered")
    site.record(f"{sum(endpoints[number].holds(flow.key) for flow in flows)} of {len(flows)} flows are open at the "
                "endpoint in question")
    # Planned work, with and without the disruption.
    await agents[number].restart()
    await asyncio.sleep(RESTARTS_AT_S + RESTARTS_GAP_S - site.now())
    await balancers[14].restart()
    await asyncio.gather(*clients)
    site.record(f"{len(flows)} flows, {sum(f.is_reset for f in flows)} reset")
    return [f"FLOW: open flow {name_of(f.key)} was reset at {f.reset_at:.3f} s by the system while its endpoint "
            "held it" for f in flows if f.was_reset_open]


main(scenario)
