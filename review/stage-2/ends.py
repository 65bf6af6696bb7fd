"""Stand-ins of endpoints and clients, written from PROTOCOL.md."""
import asyncio
import json
import random
import time

from packets import (ACK, BOUNCED, FIN, RST, SYN, Packet, bounced, decode,
                     is_intact)

COPY_TIMES = (0.0, 0.2, 0.6)  # of an opening packet
ATTEMPT = 1.4                 # a client's attempt at opening a flow
FIRST_RETRANSMISSION, LONGEST_RETRANSMISSION = 0.2, 1.6


class Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, address):
        self.receive(data)


async def open_udp(address, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Protocol(receive), local_addr=address)
    return transport


async def http(method, address, path, body, timeout):
    """Returns the status of a call, or None without an answer in time."""
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                          "Content-Type: application/json\r\n"
                          f"Content-Length: {len(text)}\r\n"
                          "Connection: close\r\n\r\n").encode() + text)
            await writer.drain()
            line = await reader.readline()
            return int(line.split()[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Endpoint:
    """One lifetime of an endpoint: it holds flows, and answers each request
    after work_s with the request's bytes and its own id."""

    def __init__(self, name, service, zone, ports, ip, record, work_s=0.01,
                 slots=4, warmup_s=0.0):
        self.name, self.service, self.zone, self.ip = name, service, zone, ip
        self.ports, self.record, self.work_s = ports, record, work_s
        self.slots, self.warmup_s = slots, warmup_s
        self.state, self.sequence, self.alive = "ready", 0, False
        self.half, self.flows = {}, {}  # by (client, service address)
        self.openings, self.requests = [], []  # (time, flow)
        self.foreign = []  # what is no packet that a client wrote
        self.acked = asyncio.Event()  # the state that is announced
        self.free_at = [0.0] * slots

    async def start(self):
        self.udp = await open_udp((self.ip, self.ports["app"]), self._receive)
        self.health = await asyncio.start_server(
            self._health, self.ip, self.ports["app"])
        self.born, self.alive = int(time.time() * 1000), True
        self.started = time.monotonic()
        self.beats = asyncio.ensure_future(self._beat())
        self.record(f"endpoint {self.name} ({self.service}) starts at "
                    f"{self.ip}")

    def end(self):
        """The process ends, and its flows with it."""
        self.alive = False
        self.beats.cancel()
        self.udp.close()
        self.health.close()
        self.flows.clear()
        self.record(f"endpoint {self.name} has ended")

    def holds(self, flow):
        return self.alive and flow in self.flows and \
            not self.flows[flow].get("closing")

    def drain(self):
        self.state = "draining"
        self.acked.clear()

    async def deregister(self):
        status = await http("POST", (self.ip, self.ports["control"]),
                            f"/api/Endpoints.Deregister/{self.name}",
                            {"born": self.born}, 1.0)
        self.record(f"endpoint {self.name} has deregistered -> {status}")

    async def _beat(self):
        while True:
            self.sequence += 1
            said = self.state
            left = self.warmup_s - (time.monotonic() - self.started)
            status = await http(
                "POST", (self.ip, self.ports["control"]),
                f"/api/Endpoints.Heartbeat/{self.name}",
                {"service": self.service,
                 "address": f"{self.ip}:{self.ports['app']}",
                 "zone": self.zone, "version": "v1",
                 "max_concurrency": self.slots, "state": said,
                 "warmup_remaining_ms": max(0, int(left * 1000)),
                 "sequence": self.sequence, "born": self.born}, 1.0)
            if status == 200 and said == self.state:
                self.acked.set()
            await asyncio.sleep(1.2 if said == self.state else 0.0)

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else \
                "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                         "Connection: close\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def _send(self, flow, flags, ack=0, seq=None, data=b""):
        client, service = flow
        seq = self.half.get(flow, 0) if seq is None else seq
        self.udp.sendto(Packet(service, client, flags, seq, ack,
                               data).encode(), (self.ip, self.ports["out"]))

    def _receive(self, raw):
        packet = decode(raw)
        if packet is None or not is_intact(raw) or packet.flags & BOUNCED:
            self.foreign.append((time.monotonic(), raw.hex()))
            return
        flow = (packet.src, packet.dst)
        if packet.flags & SYN:
            self.openings.append((time.monotonic(), flow))
            if flow not in self.half:
                self.half[flow] = random.getrandbits(31)
            return self._send(flow, SYN | ACK, packet.seq + 1)
        state = self.flows.get(flow)
        if state is None and flow in self.half and \
                packet.ack == self.half[flow] + 1:
            state = self.flows[flow] = {"next": packet.seq, "sent": None,
                                        "seq": packet.ack}
        if state is None:
            return self.udp.sendto(bounced(raw), (self.ip, self.ports["out"]))
        if packet.flags & RST:
            self.flows.pop(flow)
            self.half.pop(flow, None)
            return
        if packet.data and packet.seq == state["next"]:
            state["next"] += len(packet.data)
            self.requests.append((time.monotonic(), flow, packet.data))
            asyncio.ensure_future(self._work(flow, state, packet.data))
        elif packet.data and state["sent"] is not None:
            self._send(flow, ACK, state["next"], *state["sent"])
        if packet.flags & FIN:
            state["closing"] = True
            self._send(flow, ACK | FIN, packet.seq + 1, state["seq"])
        elif state.get("closing"):  # the client has the end of both sides
            self.flows.pop(flow)
            self.half.pop(flow, None)

    async def _work(self, flow, state, data):
        slot = min(range(self.slots), key=lambda i: self.free_at[i])
        now = time.monotonic()
        self.free_at[slot] = max(self.free_at[slot], now) + self.work_s
        await asyncio.sleep(self.free_at[slot] - now)
        if not self.alive or self.flows.get(flow) is not state:
            return
        answer = data + b" by " + self.name.encode()
        state["sent"] = (state["seq"], answer)
        self._send(flow, ACK, state["next"], *state["sent"])
        state["seq"] += len(answer)


class Flow:
    """A client's flow. Packets go to the balancer that route() names."""

    def __init__(self, clients, port, service, route):
        self.clients, self.port, self.service = clients, port, service
        self.route = route
        self.key = ((clients.ip, port), service)
        self.seq, self.ack = random.getrandbits(30), 0
        self.answers = asyncio.Queue()
        self.state, self.opened_at, self.sent_at = "opening", None, None
        self.reset = None  # (time, sequence number)

    def _send(self, flags, data=b"", ack=None):
        packet = Packet(self.key[0], self.service, flags, self.seq,
                        self.ack if ack is None else ack, data)
        self.clients.udp.sendto(packet.encode(), self.route(self))

    async def open(self):
        """Returns whether the flow has opened."""
        self.sent_at = start = time.monotonic()
        copies = 0
        while self.state == "opening" and time.monotonic() < start + ATTEMPT:
            if copies < len(COPY_TIMES) and \
                    time.monotonic() >= start + COPY_TIMES[copies]:
                self._send(SYN, ack=copies)
                copies += 1
            await asyncio.sleep(0.005)
        return self.state == "open"

    async def request(self, text, deadline):
        """Returns the answer, or None if the flow was reset or the time is
        over."""
        data, wait = text.encode(), FIRST_RETRANSMISSION
        end = time.monotonic() + deadline
        while self.state == "open" and time.monotonic() < end:
            self._send(ACK, data)
            try:
                packet = await asyncio.wait_for(
                    self.answers.get(), min(wait, end - time.monotonic()))
            except asyncio.TimeoutError:
                wait = min(2 * wait, LONGEST_RETRANSMISSION)
                continue
            if packet is None:
                return None
            if not packet.data.startswith(data):
                continue
            self.seq += len(data)
            self.ack = packet.seq + len(packet.data)
            self._send(ACK)
            return packet.data.decode()
        return None

    def close(self):
        if self.state == "open":
            self._send(ACK | FIN)
        self.state = "closed"

    def receive(self, packet):
        if packet.flags & RST:
            self.reset = (time.monotonic(), packet.seq)
            if self.state in ("opening", "open"):
                self.clients.on_reset(self, packet)
                self.state = "reset"
            self.answers.put_nowait(None)
        elif packet.flags & SYN and self.state == "opening":
            self.state, self.opened_at = "open", time.monotonic()
            self.seq += 1
            self.ack = packet.seq + 1
            self._send(ACK)
        elif packet.flags & FIN and self.state == "closed":
            self.ack = packet.seq + 1
            self.seq += 1
            self._send(ACK)
            self.state = "ended"
        elif packet.data and self.state == "open":
            self.answers.put_nowait(packet)


class Clients:
    def __init__(self, ip, port, record, on_reset=lambda flow, packet: None):
        self.ip, self.port, self.record = ip, port, record
        self.on_reset = on_reset
        self.flows, self.next_port = {}, 20000
        self.foreign = []

    async def start(self):
        self.udp = await open_udp((self.ip, self.port), self._receive)

    def flow(self, service, route, port=None):
        """Returns a new flow to the route's address, from a new port."""
        if port is None:
            self.next_port += 1
            port = self.next_port
        made = Flow(self, port, service, route)
        self.flows[made.key] = made
        return made

    def _receive(self, raw):
        packet = decode(raw)
        flow = packet and self.flows.get((packet.dst, packet.src))
        if flow is None or not (is_intact(raw) or packet.flags == RST):
            self.foreign.append((time.monotonic(), raw.hex()))
            return
        flow.receive(packet)
