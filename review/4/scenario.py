"""An answer to a balancer's watch is lost; it resets flows of an endpoint that the answer was about."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../stage"))
from deployment import *  # noqa: E402,F403

SHOP = range(31, 73)  # machines
NEW = 80  # the machine that is added, with the only endpoint of vault
FLOWS = 80
PAUSE_S = 0.3  # of the clients between two requests of a flow
LOSSES_FROM_S = 12
LATEST_LOSS_S = 85
SHORTEST_WAIT_MS = 5300  # of the watch call whose answer is lost; a balancer asks for 3.2 to 6.5 s in a fleet of this size
CALM_S = LIMITS["connectivity_threshold_ms"] / 1000
RESTART_AFTER_S = 4.6  # the lost answer
END_AFTER_S = 9


async def use(site, flow, stop):
    if not await flow.connect():
        return
    number = 0
    while not stop.is_set() and not flow.is_reset:
        number += 1
        await flow.request(number)
        await asyncio.sleep(PAUSE_S)


class LossyPath:
    """The store as balancer-11 reaches it. It can lose one answer to a watch of the agents' entries."""

    def __init__(self, site):
        self.site, self.chosen, self.lost_at = site, asyncio.Event(), None

    async def handle(self, request):
        wait_ms = int(request.query.get("wait_timeout_ms", 0))
        lose = (request.path == "/api/kv-watch" and request.query["prefix"].startswith("burdockstream/agents")
                and not self.chosen.is_set() and self.site.now() > LOSSES_FROM_S and wait_ms >= SHORTEST_WAIT_MS)
        if lose:
            self.site.record(f"store: balancer-11 watches the agents' entries for {wait_ms} ms")
            self.chosen.set()
        answer = await self.site.store.handle(request)
        if lose and TROUBLE:
            self.lost_at = self.site.now()
            self.site.record(f"store: the answer to that watch is lost: {answer[1].decode()[:200]}")
            return None  # and the connection returns nothing further
        return answer


async def scenario(site):
    await site.start_store(config(3, [("board", "127.200.0.1", 8443, "idempotent", "shop"),
                                      ("sheet", "127.200.0.2", 8443, "idempotent", "vault")],
                                  [("shop", {}), ("vault", {})]))
    path = LossyPath(site)
    await http11.serve(site.ip(2), site.port("store"), path.handle)
    seeds = [f"{site.ip(number)}:{site.port('control_plane')}" for number in (10, 11)]
    leaving = Daemon(site, "balancer", 10, "balancer-10", "zone-a", seeds)
    staying = Daemon(site, "balancer", 11, "balancer-11", "zone-a", seeds,
                     {"platform": {"address": f"{site.ip(2)}:{site.port('store')}"}})

    def add_machine(number, service):
        agent = Daemon(site, "agent", number, f"agent-{number}", "zone-a", seeds,
                       {"service": service, "app": f"{site.ip(number)}:{site.port('app')}"})
        return agent, Endpoint(site, number, f"agent-{number}", "zone-a", service)

    for each in SHOP:
        add_machine(each, "shop")
    site.zero = time.monotonic()
    for daemon in site.daemons:
        daemon.start()
    await asyncio.sleep(1)
    for endpoint in site.endpoints:
        await endpoint.start()
    await until(site, "all balancers in rotation", lambda: leaving.in_rotation and staying.in_rotation, 8)
    await add_client(site, 101)
    try:
        await asyncio.wait_for(path.chosen.wait(), LATEST_LOSS_S)
    except asyncio.TimeoutError:
        raise CannotRun("no watch call was long enough")

    # Planned work: a machine is added.
    agent, endpoint = add_machine(NEW, "vault")
    agent.start()
    await asyncio.sleep(0.3)
    await endpoint.start()
    await asyncio.sleep(0.7)
    lost_at = path.lost_at if TROUBLE else site.now() - 0.9
    if TROUBLE and lost_at is None:
        raise CannotRun("no answer was lost")
    stop, clients, flows = asyncio.Event(), [], []
    for _ in range(FLOWS):
        flows.append(Flow(site, 101, "zone-a", "127.200.0.2", 8443))
        clients.append(asyncio.ensure_future(use(site, flows[-1], stop)))
        await asyncio.sleep(0.01)
    await asyncio.sleep(lost_at + RESTART_AFTER_S - site.now())
    site.record(f"{sum(endpoint.holds(flow.key) for flow in flows)} flows are open")
    if not any(endpoint.holds(flow.key) for flow in flows):
        raise CannotRun("no flow opened")
    asyncio.ensure_future(leaving.restart())
    await asyncio.sleep(lost_at + END_AFTER_S - site.now())
    stop.set()
    await asyncio.gather(*clients)
    late = [f for f in flows if f.was_reset_open and f.reset_at > lost_at + CALM_S]
    site.record(f"{sum(f.was_reset_open for f in flows)} open flows reset, {len(late)} of them more than {CALM_S:g} s "
                "after the lost answer")
    return [f"FLOW: open flow {name_of(f.key)} was reset at {f.reset_at:.3f} s, {f.reset_at - lost_at:.2f} s after the "
            "lost answer, by the system while its endpoint held it" for f in late]


main(scenario)
