"""The configuration has grown to nearly the store's largest value. When the
store forgets its history, no balancer on a small machine can read it any more,
and all place flows by the older one for good."""
import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage-2"))
from deployment import CannotRun, endpoint_ports, main  # noqa: E402
from ends import Clients, Endpoint  # noqa: E402
from link import Link  # noqa: E402

LIMITS = {"grace_period_s": 6, "reuse_delay_s": 2,
          "connectivity_threshold_ms": 5000, "config_propagation_ms": 5000}
LINK_MBPS = 10.0  # of the machines of the balancers
MAX_VALUE_BYTES = 1048576
IDLE_ROUTES, GROWTH, GROWTHS = 240, 1350, 4
CHANGE_S, WATCHED_S = 2, 20  # after the loss of the history, the change
BOARD = ("198.18.0.1", 443)
BALANCERS = (1, 2)
OLD, NEW = "huvo11a", "xano55b"
AGENTS = {1: OLD, 2: OLD, 3: NEW}


def config(version, idle_routes, service):
    def route(name, host, port, to=OLD):
        return {"name": name, "host": host, "prefix": f"/{port}/",
                "route_type": "non_idempotent", "timeout_ms": 2000,
                "target_latency_ms": 300, "priority": 1, "service": to,
                "max_attempts": 2}
    routes = [route("r-a3hwrr6", *BOARD, service)]
    for i in range(idle_routes):
        routes.append(route(f"r-i{i:06d}", f"198.18.{1 + i // 200}.{i % 200}",
                            8443))
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "health_check": "/health",
                      "max_connections": 2000, "protocol": "h1", "tls": False,
                      "warmup_s": 2.0, "warmup_per_s": 0.0}
                     for name in (OLD, NEW)],
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

    async def configure(version, idle_routes, service=OLD):
        text = config(version, idle_routes, service)
        if len(text) > MAX_VALUE_BYTES:
            raise CannotRun(f"the store takes no value of {len(text)} bytes")
        await deployment.store.put("op/config", text)
        record(f"operator: version {version} with {1 + idle_routes} routes, "
               f"{len(text)} bytes, is acknowledged; clients go to {service}")

    await configure(7, IDLE_ROUTES)

    for index, service in AGENTS.items():
        deployment.start_agent(index, "zone-a", service, BALANCERS)
    await asyncio.sleep(0.3)
    endpoints = [Endpoint(f"i-{index}", service, "zone-a",
                          endpoint_ports(deployment), deployment.ip(2, index),
                          record) for index, service in AGENTS.items()]
    for each in endpoints:
        await each.start()
    for index in BALANCERS:
        deployment.start_balancer(index, "zone-a", BALANCERS)
    await asyncio.sleep(4)

    clients = Clients(deployment.ip(3, 1), deployment.ports["data"], record)
    await clients.start()
    service_of = {each.name: each.service for each in endpoints}
    runs = []  # (sent at, service that ran it)

    async def use(balancer):
        while time.monotonic() < end:
            sent_at = time.monotonic()
            flow = clients.flow(
                BOARD, lambda flow: deployment.data_address(balancer))
            answer = None
            if await flow.open():
                answer = await flow.request(f"request {flow.port};", 2.0)
            if answer:
                runs.append((sent_at, service_of[answer.split(" by ")[1]]))
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
        await deployment.store.forget_history()
        record("the store forgets its history")
    disturbed_at = time.monotonic()
    await asyncio.sleep(CHANGE_S)
    await configure(20, IDLE_ROUTES + (GROWTHS * GROWTH if trouble else 0), NEW)
    acked_at = time.monotonic()
    end = acked_at + WATCHED_S
    await asyncio.gather(*users)
    for each in endpoints:
        each.end()
    judged_from = 0.05 + max(
        disturbed_at + LIMITS["connectivity_threshold_ms"] / 1000,
        acked_at + LIMITS["config_propagation_ms"] / 1000)
    late = [sent_at for sent_at, service in runs
            if service == OLD and sent_at >= judged_from]
    record(f"{len(late)} of {sum(at >= judged_from for at, _ in runs)} requests "
           f"sent later than {judged_from - acked_at:.2f} s after the "
           "acknowledgement were run by the old service")
    if not runs:
        raise CannotRun("nothing is served")
    return [f"{len(late)} requests were run by the old service, the last one "
            f"sent {max(late) - acked_at:.1f} s after the acknowledgement"] \
        if late else []


main(HERE, LIMITS, scenario)
