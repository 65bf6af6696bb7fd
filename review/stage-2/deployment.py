"""Starts the daemons as the deploy file says, and ends them."""
import asyncio
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
from pathlib import Path

from store import Store

ROOT = Path(__file__).resolve().parents[2]
NAMES = ("data", "control", "ready", "seed", "out", "app")


class CannotRun(Exception):
    pass


def render(template, values):
    """Fills in a template of DEPLOY.md; only {{a}} and {{a.b|json}}."""
    def one(match):
        path, _, form = match.group(1).partition("|")
        value = values
        for part in path.split("."):
            value = value[int(part) if isinstance(value, list) else part]
        return json.dumps(value) if form == "json" else str(value)
    return re.sub(r"\{\{([^}]*)\}\}", one, template)


class Deployment:
    """A small deployment on loopback: limits is the limits_table."""

    def __init__(self, folder, limits, heartbeat_ms=1200):
        self.log = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.limits, self.heartbeat_ms = limits, heartbeat_ms
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = random.randrange(32, 224)
        self.processes = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        program = ROOT / self.roles["balancer"]["run"].split()[0]
        if not program.exists():
            raise CannotRun(f"{program.name} is not built")
        self.ports = self._free_ports()
        self.store = Store(self.record)
        self.store_address = (self.ip(0, 1), self.ports["control"])
        self.store_paths = {}  # of daemons that reach the store over a link
        self.bandwidth_mbps = 1000.0

    def record(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        self.log.write(line + "\n")
        self.log.flush()

    def ip(self, group, index):
        return f"127.{self.net}.{group}.{index}"

    def _free_ports(self):
        for _ in range(50):
            first = random.randrange(21000, 60000)
            ports = {name: first + i for i, name in enumerate(NAMES)}
            try:
                for group in range(4):
                    for port in ports.values():
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((self.ip(group, 1), port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def data_address(self, balancer):
        return (self.ip(1, balancer), self.ports["data"])

    def _values(self, name, ip, zone, balancers):
        ports = self.ports
        return {
            "node_name": name, "zone": zone, "ip": ip,
            "bind_addresses": {
                "datagram_address": f"{ip}:{ports['data']}",
                "ready": f"{ip}:{ports['ready']}",
                "outbound": f"{ip}:{ports['out']}",
                "control_plane": f"{ip}:{ports['seed']}"},
            "internal_port_range": [ports["control"], ports["control"]],
            "seed_nodes": [f"{self.ip(1, i)}:{ports['seed']}"
                           for i in balancers][:3],
            "platform": {"address": "%s:%d" % self.store_paths.get(
                name, self.store_address)},
            "limits": {"bandwidth_mbps": self.bandwidth_mbps},
            "heartbeat_interval_ms": self.heartbeat_ms,
            "limits_table": self.limits}

    def start_balancer(self, index, zone, balancers):
        ip = self.ip(1, index)
        self._start(f"balancer-{index}", "balancer",
                    self._values(f"balancer-{index}", ip, zone, balancers))

    def start_agent(self, index, zone, service, balancers):
        ip = self.ip(2, index)
        values = self._values(f"agent-{index}", ip, zone, balancers)
        values["service"] = service
        values["app"] = f"{ip}:{self.ports['app']}"
        self._start(f"agent-{index}", "agent", values)

    def _start(self, name, role, values):
        template = (ROOT / self.roles[role]["template"]).read_text()
        settings = self.work / f"{name}.yaml"
        settings.write_text(render(template, values))
        output = open(self.work / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            self.roles[role]["run"].split(), cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=output, stderr=output,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": os.environ.get("HOME", ""),
                 "LANG": os.environ.get("LANG", "C"),
                 "BURDOCKSTREAM_NODE_FILE": str(settings)})
        self.record(f"{name} is started")

    async def stop(self, name, sig=signal.SIGTERM):
        """Sends the signal and returns when the process has ended."""
        process = self.processes[name]
        self.record(f"{name} gets {sig.name}")
        process.send_signal(sig)
        deadline = time.monotonic() + self.limits["grace_period_s"]
        while process.poll() is None:
            if time.monotonic() > deadline:
                process.kill()
            await asyncio.sleep(0.01)
        self.record(f"{name} has ended with {process.returncode}")

    async def is_ready(self, balancer):
        from ends import http
        return await http("GET", (self.ip(1, balancer), self.ports["ready"]),
                          "/api/readiness", {}, 0.5) == 200

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.work, logs, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)
        self.log.close()


def endpoint_ports(deployment):
    ports = deployment.ports
    return {"app": ports["app"], "out": ports["out"], "control": ports["seed"]}


def main(folder, limits, scenario, time_limit=110):
    """Runs scenario(deployment, trouble), which returns the breaks found."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        deployment = Deployment(folder, limits)
        deployment.record(f"trouble: {trouble}")

        async def run():
            # What the end of a run cancels is of no interest.
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: None)
            return await asyncio.wait_for(scenario(deployment, trouble),
                                          time_limit)
        breaks = asyncio.run(run())
        for text in breaks:
            deployment.record("BROKEN: " + text)
        deployment.record(f"{len(breaks)} breaks of the rule")
        print(f"{len(breaks)} breaks of the rule, trouble {trouble}")
        code = 1 if breaks else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        print(f"the case could not run: {problem!r}", file=sys.stderr)
        if deployment:
            deployment.record(f"the case could not run: {problem!r}")
        code = 2
    except SystemExit:
        code = 2
    finally:
        if deployment:
            deployment.close()
    sys.stdout.flush()
    os._exit(code)
