"""The configuration has grown to nearly the store's largest value. After the
loss of all processes no balancer on a small machine can read it any more."""
import asyncio
import json
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage-2"))
from deployment import CannotRun, endpoint_ports, main  # noqa: E402
from ends import Clients, Endpoint  # noqa: E402
from link import Link  # noqa: E402

LIMITS = {"grace_period_s": 6, "reuse_delay_s": 2, "recovery_time_s": 15}
LINK_MBPS = 10.0  # of the machines of the balancers
MAX_VALUE_BYTES = 1048576
IDLE_ROUTES, GROWTH, GROWTHS = 240, 1350, 4
DOWN_S, WATCHED_S = 1.0, 25
BOARD = ("198.18.0.1", 443)
BALANCERS = (1, 2)
AGENTS = (1, 2, 3)


def config(version, idle_routes):
    def route(name, host, port):
        return {"name": name, "host": host, "prefix": f"/{port}/",
                "route_type": "non_idempotent", "timeout_ms": 2000,
                "target_latency_ms": 300, "priority": 1, "service": "huvo11a",
                "max_attempts": 2}
    routes = [route("r-a3hwrr6", *BOARD)]
    for i in range(idle_routes):
        routes.append(route(f"r-i{i:06d}", f"198.18.{1 + i // 200}.{i % 200}",
                            8443))
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": "huvo11a", "health_check": "/health",
                      "max_connections": 2000, "protocol": "h1", "tls": False,
                      "warmup_s": 2.0, "warmup_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}},
        separators=(",", ":"))


async def scenario(deployment, trouble):
    record = deployment.record
    await deployment.store.start(deployment.store_address)
    deployment.bandwidth_mbps = LINK_MBPS
    links = []
    for index in BALANCERS:
        address = (deployment.ip(3, 100 + index), deployment.ports["control"])
        links.append(Link(LINK_MBPS))
        await links[-1].start(address, deployment.store_address)
        deployment.store_paths[f"balancer-{index}"] = address

    async def configure(version, idle_routes):
        text = config(version, idle_routes)
        if len(text) > MAX_VALUE_BYTES:
            raise CannotRun(f"the store takes no value of {len(text)} bytes")
        await deployment.store.put("op/config", text)
        record(f"operator: version {version} with {1 + idle_routes} routes, "
               f"{len(text)} bytes, is acknowledged")

    await configure(7, IDLE_ROUTES)

    def start_agents():
        for index in AGENTS:
            deployment.start_agent(index, "zone-a", "huvo11a", BALANCERS)

    def start_balancers():
        for index in BALANCERS:
            deployment.start_balancer(index, "zone-a", BALANCERS)

    start_agents()
    await asyncio.sleep(0.3)
    endpoints = [Endpoint(f"i-{index}", "huvo11a", "zone-a",
                          endpoint_ports(deployment), deployment.ip(2, index),
                          record) for index in AGENTS]
    for each in endpoints:
        await each.start()
    start_balancers()
    await asyncio.sleep(4)

    clients = Clients(deployment.ip(3, 1), deployment.ports["data"], record)
    await clients.start()
    runs = []  # (sent at, served)

    async def use(balancer):
        while time.monotonic() < end:
            sent_at = time.monotonic()
            flow = clients.flow(
                BOARD, lambda flow: deployment.data_address(balancer))
            answer = None
            if await flow.open():
                answer = await flow.request(f"request {flow.port};", 2.0)
            runs.append((sent_at, answer is not None))
            record(f"client: request {flow.port} through balancer-{balancer}: "
                   f"{flow.state}, {answer}")
            flow.close()
            await asyncio.sleep(0.2)
    end = float("inf")
    users = [asyncio.ensure_future(use(index)) for index in BALANCERS]
    await asyncio.sleep(3)
    if trouble:
        for step in range(1, GROWTHS + 1):
            await configure(7 + step, IDLE_ROUTES + step * GROWTH)
            await asyncio.sleep(6)
    fault_at = time.monotonic()
    record("all processes are killed")
    await asyncio.gather(*(deployment.stop(name, signal.SIGKILL)
                           for name in list(deployment.processes)))
    await asyncio.sleep(DOWN_S)
    start_agents()
    start_balancers()
    back_at = time.monotonic()
    end = back_at + LIMITS["recovery_time_s"] + WATCHED_S
    await asyncio.gather(*users)
    for index in BALANCERS:
        record(f"balancer-{index} is ready: {await deployment.is_ready(index)}")
    for each in endpoints:
        each.end()

    def share(first, last):
        served = [done for sent_at, done in runs if first <= sent_at < last]
        return sum(served), len(served)
    before = share(0, fault_at - 1)
    after = share(back_at + LIMITS["recovery_time_s"], end)
    record(f"served before the fault: {before[0]} of {before[1]}; later than "
           f"{LIMITS['recovery_time_s']} s after all are back: {after[0]} of "
           f"{after[1]}")
    if before[0] * 4 < before[1] or not after[1]:
        raise CannotRun("too little was served before the fault")
    return [f"{after[0]} of {after[1]} requests are served"] \
        if after[0] * 4 < after[1] else []


main(HERE, LIMITS, scenario)
