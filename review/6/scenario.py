"""A flow that has been idle for less than idle_timeout_ms is reset after a
planned restart of a balancer."""
import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage-2"))
from deployment import CannotRun, endpoint_ports, main  # noqa: E402
from ends import Clients, Endpoint  # noqa: E402

LIMITS = {"grace_period_s": 6, "reuse_delay_s": 2,
          "connectivity_threshold_ms": 4000, "flow_lifetime_s": 60}
IDLE_TIMEOUT_S = 60
IDLE_S = 35            # below the idle time-out
OPENED_AT_S = 26       # after the start of the agents
ROUTE = ("198.18.0.1", 443)
BALANCERS = (1, 2)
CONFIG = {
    "version": 7,
    "routes": [{"name": "board", "host": ROUTE[0], "prefix": f"/{ROUTE[1]}/",
                "route_type": "idempotent", "timeout_ms": 1200,
                "target_latency_ms": 150, "priority": 2, "service": "shop",
                "max_attempts": 2}],
    "services": [{"name": "shop", "health_check": "/health",
                  "max_connections": 2000, "protocol": "h1", "tls": False,
                  "warmup_s": 2.0, "warmup_per_s": 0.0}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
               "header_timeout_ms": 3000,
               "idle_timeout_ms": IDLE_TIMEOUT_S * 1000}}


async def scenario(deployment, trouble):
    record = deployment.record
    await deployment.store.start(deployment.store_address)
    await deployment.store.put("op/config", json.dumps(CONFIG))
    for index in (1, 2, 3):
        deployment.start_agent(index, "zone-a", "shop", BALANCERS)
    agents_at = time.monotonic()
    await asyncio.sleep(0.3)
    endpoints = [Endpoint(f"i-{i}", "shop", "zone-a",
                          endpoint_ports(deployment), deployment.ip(2, i),
                          record) for i in (1, 2, 3)]
    for each in endpoints:
        await each.start()
    for index in BALANCERS:
        deployment.start_balancer(index, "zone-a", BALANCERS)

    in_rotation = list(BALANCERS)
    breaks = []

    def route(_flow):
        return deployment.data_address(in_rotation[0])

    def on_reset(flow, packet):
        held = [e.name for e in endpoints if e.holds(flow.key)]
        record(f"client: reset of flow {flow.key} in state {flow.state}, "
               f"sequence number {packet.seq}; held by {held}")
        if flow.state == "open" and held:
            breaks.append(f"flow {flow.key} is open at {held[0]}, which lives, "
                          "and the system has reset it")

    clients = Clients(deployment.ip(3, 1), deployment.ports["data"], record,
                      on_reset)
    await clients.start()
    await asyncio.sleep(agents_at + OPENED_AT_S - time.monotonic())
    if not await deployment.is_ready(1) or not await deployment.is_ready(2):
        raise CannotRun("a balancer is not ready")

    flows = [clients.flow(ROUTE, route) for _ in range(6)]
    for number, flow in enumerate(flows):
        if not await flow.open():
            raise CannotRun("a flow does not open")
        answer = await flow.request(f"request {number} a;", 1.2)
        record(f"client: flow {flow.key} is open, first answer: {answer}")
        if answer is None:
            raise CannotRun("the first request has no answer")
    idle_from = time.monotonic()

    await asyncio.sleep(idle_from + IDLE_S - 6 - time.monotonic())
    if trouble:  # the routers send nothing to a balancer that is not ready
        in_rotation.reverse()
        await deployment.stop("balancer-1")
        await asyncio.sleep(0.5)
        deployment.start_balancer(1, "zone-a", BALANCERS)
    await asyncio.sleep(idle_from + IDLE_S - time.monotonic())
    for number, flow in enumerate(flows):
        idle = time.monotonic() - idle_from
        answer = await flow.request(f"request {number} b;", 2.4)
        record(f"client: flow {flow.key}, idle for {idle:.1f} s of "
               f"{IDLE_TIMEOUT_S} s, {time.monotonic() - flow.opened_at:.1f} s "
               f"old, second answer: {answer}")
    for each in endpoints:
        for _, flow, data in each.requests:
            record(f"endpoint {each.name} ran {data.decode()} of {flow}")
        each.end()
    return breaks


main(HERE, LIMITS, scenario)
