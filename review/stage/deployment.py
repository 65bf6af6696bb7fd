"""A small deployment on loopback: the daemons as deploy/system.toml starts them, and stand-ins of the
store, the routers, the endpoints and the clients, which do what PROTOCOL.md says."""
import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http11
from store import Store
from wire import ACK, BOUNCED, FIN, RST, SYN, Packet, parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CASE = os.path.dirname(os.path.abspath(sys.argv[0]))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

LONGEST_S = float(os.environ.get("LONGEST_S", "115"))  # of a scenario
HEARTBEAT_S = 1.2
PROBE_S = 0.5
RESTART_DELAY_S = 0.2  # of a process that has ended
GRACE_S = 6
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
# The bounds of the sheet of shifted/cbs-hq-now-grown.
LIMITS = {"seed_staleness_s": 3, "reuse_delay_s": 2, "connectivity_threshold_ms": 5000, "ack_timeout_ms": 8000,
          "sync_timeout_s": 6, "drain_timeout_ms": 5000, "grace_period_s": GRACE_S, "loss_tolerance_ms": 200,
          "config_propagation_ms": 5000, "rollback_tolerance_ms": 250, "max_skew_ms": 15000, "warmup_overage": 1.5,
          "warmup_tolerance": 5, "evacuation_timeout_ms": 5000, "recovery_time_s": 15, "flow_reorder_ms": 2000,
          "flow_lifetime_s": 60}


class CannotRun(Exception):
    pass


class Site:
    def __init__(self):
        self.base = self.free_block()
        self.zero = time.monotonic()
        self.lines = open(os.path.join(CASE, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.daemons, self.endpoints, self.sockets = [], [], {}
        self.flows = {}  # (client ip, port, service ip, port) -> Flow
        self.next_port = random.randrange(20000, 30000)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    @staticmethod
    def free_block():
        """A part of 127.0.0.0/8 and a base port that nothing uses."""
        for _ in range(50):
            a, b, port = random.randrange(30, 250), random.randrange(1, 250), random.randrange(12000, 28000)
            try:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    for offset in range(16):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"127.{a}.{b}.1", port + offset))
                return f"127.{a}.{b}.", port
            except OSError:
                pass
        raise CannotRun("no free ports")

    def ip(self, number):
        return self.base[0] + str(number)

    def port(self, name):
        names = ("datagram", "ready", "control_plane", "app", "outbound", "store", "internal")
        return self.base[1] + names.index(name)

    def now(self):
        return time.monotonic() - self.zero

    def record(self, text):
        print(f"{self.now():9.3f} {text}", file=self.lines, flush=True)

    async def start_store(self, config):
        await self.store.start(self.ip(1), self.port("store"))
        self.configure(config)

    def configure(self, config):
        revision = self.store.put("op/config", json.dumps(config))
        self.record(f"operator: configuration version {config['version']} acknowledged at revision {revision}")

    def settings(self, ip, name, machine_class, zone, seeds):
        address = lambda port: f"{ip}:{self.port(port)}"
        side = machine_class == "side"
        return {"node_name": name, "role": "", "machine_class": machine_class, "ip": ip, "zone": zone,
                "bind_addresses": {"datagram_address": address("datagram"), "ready": address("ready"),
                                   "control_plane": address("control_plane"),
                                   **({"outbound": address("outbound")} if side else {})},
                "internal_port_range": [self.port("internal"), self.port("internal") + 9],
                "seed_nodes": seeds, "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
                "limits": {"bandwidth_mbps": 1000.0}, "limits_table": LIMITS, "hash_algorithm": "steady",
                "forwarding_mode": "agent",
                "platform": {"address": f"{self.ip(1)}:{self.port('store')}"}}

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        for endpoint in self.endpoints:
            endpoint.crash()
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def render(template, values):
    """The part of the platform's templates that deploy/*.tmpl uses."""

    def field(match):
        path, _, form = match.group(1).partition("|")
        value = values
        for step in path.split("."):
            value = value[int(step)] if isinstance(value, list) else value.get(step)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", field, template)


class Daemon:
    """A process of the system, which the platform starts again when it ends."""

    def __init__(self, site, role, number, name, zone, seeds, extra=None):
        self.site, self.role, self.name, self.zone, self.ip = site, role, name, zone, site.ip(number)
        spec = site.roles[role]
        values = site.settings(self.ip, name, spec["on"], zone, seeds)
        values.update(extra or {})
        self.path = os.path.join(site.folder, name + ".json")
        with open(os.path.join(ROOT, spec["template"])) as file:
            text = render(file.read(), values)
        with open(self.path, "w") as file:
            file.write(text)
        self.command = spec["run"].split()
        self.process, self.wanted, self.in_rotation, self.misses = None, False, False, 0
        site.daemons.append(self)

    def start(self):
        self.wanted = True
        self.spawn()
        self.tasks = [asyncio.ensure_future(self.keep())]
        if self.role == "balancer":
            self.tasks.append(asyncio.ensure_future(self.probe()))

    def spawn(self):
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(os.path.join(self.site.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env={**variables, "BURDOCKSTREAM_NODE_FILE": self.path})
        log.close()
        self.site.record(f"{self.name}: started as process {self.process.pid}")

    async def keep(self):
        while self.wanted:
            if self.process.poll() is not None:
                self.site.record(f"{self.name}: ended with {self.process.returncode}")
                await asyncio.sleep(RESTART_DELAY_S)
                if self.wanted:
                    self.spawn()
            await asyncio.sleep(0.02)

    async def probe(self):
        """The router's readiness checks: out after two misses, in again after one good answer."""
        while self.wanted:
            answer = await http11.call(self.ip, self.site.port("ready"), "GET", "/api/readiness", timeout=PROBE_S)
            good = answer is not None and answer[0] == 200
            self.misses = 0 if good else self.misses + 1
            before = self.in_rotation
            self.in_rotation = good or (self.in_rotation and self.misses < 2)
            if before != self.in_rotation:
                self.site.record(f"router: {self.name} is {'in' if self.in_rotation else 'out of'} rotation")
            await asyncio.sleep(PROBE_S)

    def signal(self, number):
        self.site.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def restart(self):
        """Planned restart: SIGTERM, SIGKILL after the grace period; the platform starts it again."""
        old = self.process
        self.signal(signal.SIGTERM)
        end = self.site.now() + GRACE_S
        while old.poll() is None and self.site.now() < end:
            await asyncio.sleep(0.02)
        if old.poll() is None:
            old.kill()

    def end(self):
        self.wanted = False
        for task in getattr(self, "tasks", []):
            task.cancel()
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Udp(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.on_datagram = on_datagram

    def datagram_received(self, raw, address):
        self.on_datagram(raw)

    def error_received(self, error):
        pass


async def open_udp(ip, port, on_datagram):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Udp(on_datagram), local_addr=(ip, port))
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    return transport


class Endpoint:
    """An endpoint beside an agent. It answers each request of a flow with its own bytes."""

    def __init__(self, site, number, name, zone, service, slots=4, work_s=0.01, warmup_s=0.0):
        self.site, self.name, self.zone, self.service, self.ip = site, name, zone, service, site.ip(number)
        self.slots, self.work_s, self.warmup_s = slots, work_s, warmup_s
        self.alive = self.draining = False
        self.opened = []  # (arrival, key) of each first opening packet
        site.endpoints.append(self)

    async def start(self):
        self.born = int(time.time() * 1000)
        self.started_at = self.site.now()
        self.id = "i-%08x" % random.getrandbits(32)
        self.sequence = 0
        self.half, self.open = {}, {}  # key -> own sequence number; key -> next sequence number
        self.ran = {}  # key -> number of its last request
        self.udp = await open_udp(self.ip, self.site.port("app"), self.on_packet)
        self.health = await http11.serve(self.ip, self.site.port("app"), self.on_health)
        self.alive = True
        self.site.record(f"{self.name}: endpoint {self.id} of {self.service} starts")
        self.beats = asyncio.ensure_future(self.beat())

    def crash(self):
        if not self.alive:
            return
        self.alive = False
        self.beats.cancel()
        self.udp.close()
        self.health.close()
        self.half, self.open = {}, {}
        self.site.record(f"{self.name}: endpoint {self.id} has ended")

    async def on_health(self, request):
        return (503, b"{}") if self.draining else (200, b"{}")

    def warmup_left(self):
        return max(self.started_at + self.warmup_s - self.site.now(), 0)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{self.site.port('app')}", "zone": self.zone,
                    "version": "v1", "max_concurrency": self.slots,
                    "state": "draining" if self.draining else "ready",
                    "warmup_remaining_ms": int(self.warmup_left() * 1000), "sequence": self.sequence,
                    "born": self.born}
            answer = await http11.call(self.ip, self.site.port("control_plane"), "POST",
                                       "/api/Endpoints.Heartbeat/" + self.id, json.dumps(body).encode())
            self.on_acknowledged(answer is not None and 200 <= answer[0] < 300)
            await asyncio.sleep(HEARTBEAT_S)

    def on_acknowledged(self, good):
        if not good:
            self.site.record(f"{self.name}: ping {self.sequence} was not acknowledged")

    def holds(self, key):
        return self.alive and key in self.open

    def on_packet(self, raw):
        packet = parse(raw)
        if not self.alive or packet is None:
            return
        if not packet.intact() or packet.has(BOUNCED):
            self.site.record(f"{self.name}: BROKEN a packet that its sender did not write so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.has(SYN):
            if key not in self.half and key not in self.open:
                self.half[key] = random.getrandbits(32)
                self.opened.append((self.site.now(), key))
            if key in self.half:
                self.reply(packet, SYN | ACK, self.half[key], packet.seq + 1)
            return
        if key in self.half and packet.ack == (self.half[key] + 1) & 0xFFFFFFFF:
            self.open[key] = self.half.pop(key) + 1
            self.site.record(f"{self.name}: flow {name_of(key)} is open")
        if key not in self.open:
            packet.flags |= BOUNCED
            packet.pad = 0
            self.udp.sendto(packet.bytes(), (self.ip, self.site.port("outbound")))
        elif packet.has(RST):
            del self.open[key]
        elif packet.data:
            asyncio.get_running_loop().call_later(self.work_s, self.answer, key, packet)

    def answer(self, key, packet):
        if self.holds(key):
            number = packet.data.split(b" ")[1]
            if int(number) > self.ran.get(key, 0):  # otherwise it is a retransmission, which is answered again
                self.ran[key] = int(number)
                self.site.record(f"{self.name}: ran request {number.decode()} of flow {name_of(key)}")
            self.reply(packet, ACK, self.open[key], packet.seq + len(packet.data),
                       b"answer " + number + b" of " + self.id.encode())

    def reply(self, packet, flags, seq, ack, data=b""):
        self.udp.sendto(Packet(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data)
                        .signed().bytes(), (self.ip, self.site.port("outbound")))


def name_of(key):
    return f"{key[0].rsplit('.', 1)[1]}:{key[1]}>{key[2]}:{key[3]}"


class Flow:
    """One flow of a client. request() sends one request and waits for its answer."""

    def __init__(self, site, client_number, zone, service_ip, service_port):
        self.site, self.zone, self.client = site, zone, site.ip(client_number)
        site.next_port += 1
        self.key = (self.client, site.next_port, service_ip, service_port)
        self.seq, self.ack = random.getrandbits(32), 0
        self.is_open = self.is_reset = self.was_reset_open = False
        self.event = asyncio.Event()
        self.answered = 0
        self.reset_at = self.opened_at = self.first_sent_at = self.last_used = None
        site.flows[self.key] = self

    def send(self, flags, ack, data=b""):
        packet = Packet(*self.key, flags, self.seq, ack, data).signed()
        self.last_used = self.site.now()
        to = route(self.site, self.zone, self.key)
        if to:
            self.site.sockets[self.client].sendto(packet.bytes(), (to.ip, self.site.port("datagram")))

    async def wait(self, seconds, done):
        end = self.site.now() + seconds
        while not done() and not self.is_reset and self.site.now() < end:
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), max(end - self.site.now(), 0.001))
            except asyncio.TimeoutError:
                break
        return done()

    async def connect(self):
        self.first_sent_at = self.site.now()
        self.site.record(f"client: opens flow {name_of(self.key)}")
        for copy, until in enumerate((*SYN_COPIES_S, SYN_TIMEOUT_S)):
            self.send(SYN, copy)
            if await self.wait(self.first_sent_at + until - self.site.now(), lambda: self.is_open):
                return True
            if self.is_reset:
                return False
        return False

    async def request(self, number):
        data = b"request %d " % number
        self.site.record(f"client: sends request {number} on flow {name_of(self.key)}")
        for pause in RETRANSMISSIONS_S:
            self.send(ACK, self.ack, data)
            if await self.wait(pause, lambda: self.answered >= number):
                self.seq += len(data)
                self.last_used = self.site.now()
                return True
            if self.is_reset:
                return False
        return False

    def on_packet(self, packet):
        if packet.has(RST):
            # A reset of an open flow counts at the client if its sequence number is near the last ack.
            near = (packet.seq - self.ack + 76800) & 0xFFFFFFFF <= 2 * 76800
            own = packet.sum == 0
            holder = [each.name for each in self.site.endpoints if each.holds(self.key)]
            if self.is_open and not near:
                return
            self.is_reset, self.reset_at = True, self.site.now()
            self.was_reset_open = self.is_open and own and bool(holder)
            self.site.record(f"client: flow {name_of(self.key)} is reset by "
                             f"{'the system' if own else 'its endpoint'}"
                             + (f", while {holder[0]} holds it" if holder else ""))
        elif not packet.intact():
            self.site.record(f"client: BROKEN flow {name_of(self.key)} got a packet that nobody wrote so")
        elif packet.has(SYN):
            if not self.is_open:
                self.is_open, self.opened_at = True, self.site.now()
                self.seq, self.ack = self.seq + 1, packet.seq + 1
        elif packet.data and packet.data.startswith(b"answer "):
            number = int(packet.data.split(b" ")[1])
            if number > self.answered:
                self.site.record(f"client: flow {name_of(self.key)} has the answer to request {number}")
            self.answered = max(self.answered, number)
            self.ack = max(self.ack, packet.seq)
        self.event.set()


def route(site, zone, key):
    """The routers of a zone: a hash over its daemons in rotation that changes little with them."""
    balancers = [each for each in site.daemons if each.role == "balancer" and each.wanted]
    own = [each for each in balancers if each.zone == zone]
    ready = [each for each in own if each.in_rotation]
    choices = ready if 2 * len(ready) >= len(own) else own
    if not ready:
        choices = [each for each in balancers if each.in_rotation] or own
    weight = lambda each: hashlib.md5(f"{key}{each.name}".encode()).digest()
    return max(choices, key=weight, default=None)


async def add_client(site, number):
    def on_datagram(raw):
        packet = parse(raw)
        if packet is None:
            site.record("client: BROKEN bytes that are no packet")
            return
        flow = site.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
        if flow:
            flow.on_packet(packet)

    site.sockets[site.ip(number)] = await open_udp(site.ip(number), site.port("datagram"), on_datagram)


async def until(site, what, condition, seconds):
    end = site.now() + seconds
    while not condition():
        if site.now() > end:
            raise CannotRun(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.05)


def config(version, routes, services, idle_timeout_ms=15000):
    """routes: (name, host, port, type, service); services: (name, further fields)."""
    return {"version": version,
            "routes": [{"name": name, "host": host, "prefix": f"/{port}/", "route_type": kind, "timeout_ms": 3000,
                        "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2}
                       for name, host, port, kind, service in routes],
            "services": [{"name": name, "health_check": "/health", "max_connections": 2000, "protocol": "h1",
                          "tls": False, **more} for name, more in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": idle_timeout_ms}}


async def run(site, scenario):
    main_task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):  # so that no process is left behind
        asyncio.get_running_loop().add_signal_handler(number, main_task.cancel)
    try:
        return await asyncio.wait_for(scenario(site), LONGEST_S)
    finally:
        site.close()


def main(scenario):
    """Runs scenario(site), which returns the broken promises, and exits with 1, 0 or 2."""
    status = 2
    site = None
    try:
        site = Site()
        site.record(f"TROUBLE={int(TROUBLE)}")
        broken = asyncio.run(run(site, scenario))
        for line in broken:
            site.record("BROKEN " + line)
        site.record(f"result: {len(broken)} broken")
        print(f"broken: {broken[0]} ({len(broken)} in all)" if broken else "held")
        status = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as problem:
        print(f"could not run: {problem!r}")
        if site:
            site.record(f"could not run: {problem!r}")
    sys.stdout.flush()
    os._exit(status)  # connections may be half open; nothing else is left to do
