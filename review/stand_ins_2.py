"""Stand-ins of the platform, servers and clients for the cases 6 to 10.

They follow the users' pages: PROTOCOL (packets, flows, servers, service discovery, the
metadata store) and DEPLOY (settings, restarts). Only Python's standard library and
``target/deps`` are used. Each machine has a loopback address of its own; all machines
use the same ports.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit
from zlib import crc32

ROOT = Path(__file__).resolve().parents[1]
HEAD = struct.Struct("!IIIHI4s4sHHB5s")
SYN, ACK, FIN, RST, BOUNCED = 8, 16, 32, 2, 1
COPY_DELAYS_S = (0.0, 0.2, 0.6)
GIVE_UP_S = 1.4
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
MAX_ACK_DISTANCE = 76_800
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
STORE_DELAY_S = 0.004
RESTART_DELAY_S = 0.5
TRAFFIC_AFTER_S = 16  # the start of the machines


def make_packet(src, dst, flags, seq=0, ack=0, data=b""):
    """Return a packet from ``src`` to ``dst``, each a (host, port) pair."""
    head = HEAD.pack(
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
        0,
        len(data),
        0xA1B2C3D5,
        socket.inet_aton(src[0]),
        socket.inet_aton(dst[0]),
        dst[1],
        src[1],
        flags,
        b"\0" * 5,
    )
    return head + data


def read_packet(packet):
    """Return (src, dst, flags, seq, ack, data) of a packet."""
    seq, ack, _, _, _, src, dst, dport, sport, flags, _ = HEAD.unpack_from(packet)
    src = (socket.inet_ntoa(src), sport)
    dst = (socket.inet_ntoa(dst), dport)
    return src, dst, flags, seq, ack, packet[HEAD.size :]


def bounce(packet):
    """Return a packet as a server returns it."""
    fields = list(HEAD.unpack_from(packet))
    fields[9] |= BOUNCED
    fields[10] = b"\0" * 5
    return HEAD.pack(*fields) + packet[HEAD.size :]


def free_port():
    """Return a port that is free for TCP and UDP on all loopback addresses."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("0.0.0.0", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("0.0.0.0", port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run into ``record.txt`` of a case."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()

    def add(self, text):
        """Write a line with the time since the start."""
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:9.3f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


class Store:
    """The platform's metadata store over HTTP/1.1."""

    def __init__(self, address, record):
        self.address = address
        self._record = record
        self._kinds = {}
        self._revision = 100
        self._server = None
        self.silent = False  # whether the store is down and answers nothing

    async def open(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self):
        """Stop listening."""
        self._server.close()

    def put(self, kind, name, spec):
        """Write an object as the operator or another writer does.

        Parameters
        ----------
        spec : object or bytes
            The specification; bytes are kept as they were sent.
        """
        self._revision += 1
        meta = {"name": name, "revision": self._revision}
        self._kinds.setdefault(kind, {})[name] = (meta, spec)
        size = len(spec) if isinstance(spec, bytes) else len(json.dumps(spec))
        self._record.add(f"store: {kind}/{name} written, {size} bytes")

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(self._kinds.get(kind, {}))

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = dict(
                    line.lower().split(": ", 1) for line in lines[1:] if ": " in line
                )
                size = int(fields.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                await asyncio.sleep(STORE_DELAY_S)
                while self.silent:
                    await asyncio.sleep(0.05)
                status, answer = self._answer(method, target, body)
                reply = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n"
                )
                writer.write(reply.encode() + answer)
                await writer.drain()
                if fields.get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # at the end of the case
        finally:
            writer.close()

    def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(p) for p in parts.path.split("/") if p]
        if path[:2] != ["ryesaddle", "objects"] or len(path) not in (3, 4):
            return 404, b"{}"
        objects = self._kinds.setdefault(path[2], {})
        name = path[3] if len(path) == 4 else None
        if method == "GET":
            if name is None:
                return 200, self._page(objects, query.get("after", ""))
            if name not in objects:
                return 404, b"{}"
            return 200, _encode(objects[name])
        given = json.loads(body) if body else {}
        meta = given.get("meta", {})
        if method == "POST":
            name = meta["name"]
            if name in objects:
                return 409, _encode(objects[name])
            return 200, self._write(objects, name, given.get("spec"))
        if name not in objects:
            return 404, b"{}"
        wanted = meta.get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != objects[name][0]["revision"]:
            return 409, _encode(objects[name])
        if method == "DELETE":
            self._revision += 1
            return 200, _encode(objects.pop(name))
        if given.get("spec") == objects[name][1]:
            return 200, _encode(objects[name])
        return 200, self._write(objects, name, given.get("spec"))

    def _write(self, objects, name, spec):
        self._revision += 1
        objects[name] = ({"name": name, "revision": self._revision}, spec)
        return _encode(objects[name])

    def _page(self, objects, after):
        items, size, more = [], 0, False
        for name in sorted(n for n in objects if n > after):
            item = _encode(objects[name])
            if items and (len(items) >= PAGE_ITEMS or size + len(item) > PAGE_BYTES):
                more = True
                break
            items.append(item)
            size += len(item)
        tail = f'],"more":{json.dumps(more)},"currentRev":{self._revision}}}'
        return b'{"items":[' + b",".join(items) + tail.encode()


def _encode(held):
    meta, spec = held
    raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
    return b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + raw + b"}"


class Server(asyncio.DatagramProtocol):
    """A server beside an agent, as PROTOCOL describes it."""

    def __init__(self, ident, service, machine, record, work_s=0.01, born=True):
        self.ident, self.service, self.machine = ident, service, machine
        self._record, self._work_s = record, work_s
        self.app, self.outbound = machine.at("app"), machine.at("out")
        self.admin = machine.at("admin")
        self.born = int(time.time() * 1000) if born else None
        self.state, self.seq = "ready", 0
        self.opened = []  # (time, flow) of each opening packet that was taken
        self.ran = Counter()
        self.drain_acknowledged_at = None
        self.closes_flows = True  # after each answer
        self._flows = {}  # number of the next byte to send
        self._next_number = 1_000_000 * (1 + sum(ident.encode()))
        self._transport = self._listener = None

    async def open(self):
        """Receive packets, and answer health checks."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.app)
        self._listener = await asyncio.start_server(self._health, *self.app)

    def close(self):
        """End."""
        self._transport.close()
        self._listener.close()

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    async def _health(self, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    def datagram_received(self, packet, addr):
        """Handle a packet of a client."""
        src, dst, flags, seq, ack, data = read_packet(packet)
        flow = (src, dst)
        if flags & SYN:
            self._take_opening(flow, seq)
            return
        number = self._flows.get(flow)
        if number is None or abs(ack - number) > MAX_ACK_DISTANCE:
            self._transport.sendto(bounce(packet), self.outbound)
            return
        if data and data not in self.ran:
            self.ran[data] += 1
            self._record.add(f"{self.ident} runs {data.decode()} of {src[1]}")
            loop = asyncio.get_running_loop()
            loop.call_later(self._work_s, self._reply, flow, seq, data)
        elif data:
            self._reply(flow, seq, data)

    def _take_opening(self, flow, seq):
        if flow not in self._flows:
            self._next_number += 1_000_000
            self._flows[flow] = self._next_number & 0x7FFFFFFF
            self.opened.append((time.monotonic(), flow))
            self._record.add(f"{self.ident} takes the opening packet of {flow[0][1]}")
        self._send(flow, SYN | ACK, self._flows[flow], seq + 1)

    def _reply(self, flow, seq, data):
        if self._transport.is_closing() or flow not in self._flows:
            return
        body = self.ident.encode() + b":" + data
        flags = ACK | FIN if self.closes_flows else ACK
        self._send(flow, flags, self._flows[flow] + 1, seq + len(data), body)
        if not self.closes_flows:
            self._flows[flow] += len(body)

    def _send(self, flow, flags, seq, ack, data=b""):
        packet = make_packet(flow[1], flow[0], flags, seq, ack, data)
        self._transport.sendto(packet, self.outbound)

    def report(self):
        """Return the body of the next status report."""
        self.seq += 1
        host, port = self.app
        body = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self.seq,
        }
        return body if self.born is None else {**body, "born": self.born}

    async def send_heartbeats(self, interval_s):
        """Send status reports until cancelled."""
        while True:
            body = self.report()
            status = await post(self.admin, self.ident, "heartbeat", body)
            is_first = self.drain_acknowledged_at is None
            if status == 200 and body["state"] == "draining" and is_first:
                self.drain_acknowledged_at = time.monotonic()
                self._record.add(f"{self.ident}: draining was acknowledged")
            await asyncio.sleep(interval_s * random.uniform(0.95, 1.05))


async def post(address, ident, action, body):
    """Send a call of a server; return the status, None without an answer in 1 s."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    head = (
        f"POST /ryesaddle/instances/{ident}/{action} HTTP/1.1\r\nHost: x\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + data)
            line = await reader.readline()
            return int(line.split()[1]) if line else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Client(asyncio.DatagramProtocol):
    """A host of clients. Each attempt opens a flow and sends one request on it."""

    def __init__(self, address, router, record):
        self.address, self._router, self._record = address, router, record
        self._waiting = {}
        self._port = 20_000
        self._transport = None

    async def open(self):
        """Receive packets."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def close(self):
        """End."""
        self._transport.close()

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, packet, addr):
        """Pass a packet to the attempt that it belongs to."""
        src, dst, flags, seq, ack, data = read_packet(packet)
        queue = self._waiting.get(dst[1])
        if queue is not None:
            queue.put_nowait((src, flags, seq, ack, data))

    async def attempt(self, front, ident, limit_s=1.2):
        """Make one attempt; return (outcome, answer)."""
        self._port += 1
        port = self._port
        self._waiting[port] = queue = asyncio.Queue()
        self._record.add(f"client sends {ident} from {port} to {front[0]}")
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._exchange(front, port, ident.encode(), queue)
        except TimeoutError:
            outcome = ("deadline", b"")
        finally:
            del self._waiting[port]
        self._record.add(f"client: {ident} ends with {outcome[0]}")
        return outcome

    async def _exchange(self, front, port, data, queue):
        outcome, number = await self._open(front, port, queue)
        if outcome != "open":
            return outcome, b""
        outcome, answer = await self._request(front, port, data, queue, 2, number)
        if outcome == "served":
            self._send(front, port, ACK | FIN, 2 + len(data), number + len(answer))
        return outcome, answer

    async def keep_open(self, front, label, pause_s):
        """Send one request after the other on one flow until it ends.

        Returns what has ended it; runs until cancelled if nothing does.
        """
        self._port += 1
        port, seq = self._port, 2
        self._waiting[port] = queue = asyncio.Queue()
        outcome, number = await self._open(front, port, queue)
        self._record.add(f"client: flow {port} to {front[0]}: {outcome}")
        count = 0
        while outcome in ("open", "served"):
            data = f"{label}-{count}".encode()
            count += 1
            outcome, answer = await self._request(front, port, data, queue, seq, number)
            self._record.add(f"client: {data.decode()} on {port}: {outcome}")
            seq, number = seq + len(data), number + len(answer)
            await asyncio.sleep(pause_s)
        return outcome

    async def _open(self, front, port, queue):
        """Return ("open", number of the next byte from the server), or a failure."""
        for copy, delay_s in enumerate(COPY_DELAYS_S):
            self._send(front, port, SYN, 1, copy)
            following = (*COPY_DELAYS_S, GIVE_UP_S)[copy + 1]
            found = await self._next(queue, following - delay_s)
            if found is None:
                continue
            if found[1] & RST:
                return "reset", 0
            return "open", found[2] + 1
        return "not opened", 0

    async def _request(self, front, port, data, queue, seq, number):
        """Send data until it is answered; return (outcome, answer)."""
        for pause_s in RETRANSMIT_S:
            self._send(front, port, ACK, seq, number, data)
            end = time.monotonic() + pause_s
            while (left_s := end - time.monotonic()) > 0:
                found = await self._next(queue, left_s)
                if found is None:
                    break
                if found[1] & RST:
                    return "reset", b""
                if found[4].endswith(b":" + data):
                    return "served", found[4]
        return "unanswered", b""

    @staticmethod
    async def _next(queue, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await queue.get()
        except TimeoutError:
            return None

    def _send(self, front, port, flags, seq, ack, data=b""):
        balancer = self._router.choose(port)
        if balancer is not None:
            packet = make_packet((self.address[0], port), front, flags, seq, ack, data)
            self._transport.sendto(packet, balancer)


class Router:
    """The platform's routers: probe the balancers, and choose one for each flow."""

    def __init__(self, machines):
        self._misses = dict.fromkeys(machines, 2)

    async def run(self):
        """Probe twice a second until cancelled."""
        while True:
            found = await asyncio.gather(*map(self._probe, self._misses))
            for machine, ready in zip(list(self._misses), found, strict=True):
                self._misses[machine] = 0 if ready else self._misses[machine] + 1
            await asyncio.sleep(0.5)

    async def _probe(self, machine):
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(*machine.at("ready"))
                writer.write(b"GET /ryesaddle/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def choose(self, port):
        """Return where the packets of a client's port go; all if none is ready."""
        ready = [m for m, misses in self._misses.items() if misses < 2]
        machines = ready or list(self._misses)
        return max(machines, key=lambda m: crc32(f"{m.ip} {port}".encode())).at(
            "callers"
        )


class Machine:
    """A machine with one process of the system, started as the deploy file says."""

    def __init__(self, deployment, role, name, ip, service=""):
        self.deployment, self.role, self.name = deployment, role, name
        self.ip, self.service = ip, service
        number = int(ip.rpartition(".")[2]) - 1
        self.zone = deployment.zones[number % len(deployment.zones)]
        self.process = None

    def at(self, port):
        """Return the address of a named port."""
        return self.ip, self.deployment.ports[port]

    def start(self):
        """Start the process."""
        folder = self.deployment.folder
        file = folder / f"{self.name}.json"
        file.write_text(json.dumps(self._settings()))
        words = [sys.executable, "-S", "-P", "target/start.py", self.role]
        bound = ["callers"] if self.role == "balancer" else ["peer", "admin"]
        words += [_text(self.at(port)) for port in bound]
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": "target/deps"}
        env["RYESADDLE_SETTINGS"] = str(file)
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.deployment.record.add(f"{self.name}: process started")

    def signal(self, number):
        """Send a signal to the process."""
        self.deployment.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log(self):
        """Return the log of the process."""
        return (self.deployment.folder / f"{self.name}.log").read_text()

    def _settings(self):
        deployment = self.deployment
        fields = {
            "node": self.name,
            "data_centre": self.zone,
            "store": _text(deployment.store.address),
            "seeds": [_text(m.at("admin")) for m in deployment.balancers[:3]],
            "flow_max_s": 60,
            "stop_limit_s": 6,
        }
        ports = {"control": "admin"}
        for name in ("peer", "control", "ready", "callers", "metrics"):
            fields[name] = _text(self.at(ports.get(name, name)))
        if self.role == "balancer":
            fields["configuration_ms"] = 5000
            if deployment.evacuation_ms is not None:
                fields["evacuation_ms"] = deployment.evacuation_ms
            return fields
        return {
            **fields,
            "service": self.service,
            "target_address": _text(self.at("app")),
            "outbound": _text(self.at("out")),
            "heartbeat_ms": deployment.heartbeat_ms,
            "target_listens": True,
        }


def _text(address):
    return f"{address[0]}:{address[1]}"


class Deployment:
    """A small deployment on loopback addresses.

    Parameters
    ----------
    folder : path-like
        Folder of the case, for its record.
    balancers : int
        Number of balancers.
    services : sequence of str
        The service of each server.
    work_s : float
        How long a server works on a request.
    zones : sequence of str
        The zones, which the machines take in turn.
    evacuation_ms : int, optional
        The bound of evacuations, if the site has one.
    """

    fronts = {"case-desk": ("198.18.0.1", 443), "pack-archive": ("198.18.0.2", 443)}
    heartbeat_ms = 770

    def __init__(
        self,
        folder,
        balancers,
        services,
        work_s=0.01,
        zones=("dc",),
        evacuation_ms=None,
    ):
        self.zones, self.evacuation_ms = zones, evacuation_ms
        names = ("store", "callers", "admin", "ready", "peer", "metrics", "app", "out")
        self.ports = {name: free_port() for name in names}
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.record = Record(folder)
        self.store = Store(("127.0.20.1", self.ports["store"]), self.record)
        self.balancers = [
            Machine(self, "balancer", f"edge-{n}", f"127.0.21.{n}")
            for n in range(1, balancers + 1)
        ]
        self.agents = [
            Machine(self, "agent", f"side-{n}", f"127.0.22.{n}", service)
            for n, service in enumerate(services, 1)
        ]
        self.servers = [
            Server(f"i-{n}", machine.service, machine, self.record, work_s)
            for n, machine in enumerate(self.agents, 1)
        ]
        self.router = Router(self.balancers)
        self.client = Client(
            ("127.0.23.1", self.ports["callers"]), self.router, self.record
        )
        self._tasks = []

    @property
    def machines(self):
        """All machines."""
        return [*self.balancers, *self.agents]

    def run(self, coro):
        """Run a coroutine in the background until the deployment stops."""
        task = asyncio.ensure_future(coro)
        self._tasks.append(task)
        return task

    async def start(self):
        """Start the stand-ins and all processes."""
        routes = [
            {
                "name": f"r-{name}",
                "host": host,
                "pathPrefix": f"/{port}/",
                "service": name,
                "type": "non_idempotent",
                "timeoutMs": 1500,
                "targetLatencyMs": 150,
                "priority": 1,
            }
            for name, (host, port) in self.fronts.items()
        ]
        limits = {"idleTimeoutMs": 15000}
        spec = {"version": 7, "routes": routes, "services": [], "limits": limits}
        self.store.put("config", "main", spec)
        await self.store.open()
        await self.client.open()
        for server in self.servers:
            await server.open()
            self.run(server.send_heartbeats(self.heartbeat_ms / 1000))
        for machine in self.machines:
            machine.start()
        self.run(self.router.run())

    async def stop(self):
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        for stand_in in (*self.servers, self.client, self.store):
            stand_in.close()
        self.record.close()
        self._folder.cleanup()

    async def send_requests(self, per_s, length_s, label, service="case-desk"):
        """Send requests for a time; return a `Counter` of the outcomes."""
        tasks = []
        for number in range(int(per_s * length_s)):
            front = self.fronts[service]
            attempt = self.client.attempt(front, f"{label}-{number}")
            tasks.append(asyncio.ensure_future(attempt))
            await asyncio.sleep(1 / per_s)
        found = await asyncio.gather(*tasks)
        return Counter(outcome for outcome, _ in found)


def main(case, folder, balancers, services, **options):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    Parameters
    ----------
    case : callable
        Coroutine function that takes a `Deployment` and whether to make trouble, and
        returns whether the rule was broken, or None if the case could not run.
    """

    async def run():
        deployment = Deployment(folder, balancers, services, **options)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(115):
                await deployment.start()
                return await case(deployment, os.environ.get("TROUBLE", "1") != "0")
        finally:
            if os.environ.get("KEEP_LOGS"):
                for machine in deployment.machines:
                    Path(os.environ["KEEP_LOGS"], machine.name).write_text(
                        machine.log()
                    )
            await deployment.stop()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
    if broken is None:
        print("could not run")
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
