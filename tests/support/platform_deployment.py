"""Runs the platform roles as processes on loopback, with fakes around them.

Each host has a loopback address of its own and uses the same ports as all others.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from ryesaddle.daemons.passthrough.http import HttpError, send_request
from ryesaddle.internal.address import Address
from tests.support.deployment import free_port
from tests.support.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    endpoints_of,
    flags_of,
    packet,
    returned,
)

ROOT = Path(__file__).resolve().parents[2]
SOURCES = ROOT / "src"
SCRIPT_PATH = Path("ryesaddle", "platform", "start.py")  # in the folder of sources
START_SCRIPT = SOURCES / SCRIPT_PATH
SERVICE_ADDRESSES = {
    "case-desk": ("198.18.0.1", 443),
    "pack-archive": ("198.18.0.2", 443),
}
WAIT_TIMEOUT_S = 60.0


def configuration(version=1, services=SERVICE_ADDRESSES):
    """Return a configuration object that routes to services."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{name}",
                "host": SERVICE_ADDRESSES[name][0],
                "pathPrefix": f"/{SERVICE_ADDRESSES[name][1]}/",
                "type": "idempotent",
                "timeoutMs": 5000,
                "targetLatencyMs": 500,
                "priority": 1,
                "service": name,
            }
            for name in services
        ],
        "limits": {"idleTimeoutMs": 15000},
    }


class Target(asyncio.DatagramProtocol):
    """A target that accepts flows and answers data with its name and the data.

    It returns the packets of flows that it does not hold.
    """

    def __init__(self, name, service, app, outbound, admin):
        self.name, self.service = name, service
        self.app, self.outbound, self.admin = app, outbound, admin
        self.state, self.sequence = "ready", 0
        self.flows, self.opened, self.answered = set(), [], []
        self.opened_at, self.warm_up_left_ms = [], 0
        self.answer_delay_s = 0.0
        self.acknowledged = 0
        self.drain_acknowledged = False
        self._transport = None

    @property
    def addresses(self):
        """Where it receives packets, and where it sends packets and heartbeats."""
        return self.app, self.outbound, self.admin

    async def open(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.app)

    def close(self):
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        caller, service_address = endpoints_of(data)
        flow, flags = (caller, service_address), flags_of(data)
        if flags & SYN:
            self.flows.add(flow)
            self.opened.append(flow)
            self.opened_at.append(asyncio.get_running_loop().time())
            self.send(packet(service_address, caller, SYN | ACK, 900))
        elif flow not in self.flows:
            self.send(returned(data))
        elif len(data) > 36:
            self.answered.append(flow)
            body = f"{self.name}:".encode() + data[36:]
            answer = packet(service_address, caller, ACK, 901, 1, body)
            loop = asyncio.get_running_loop()
            loop.call_later(self.answer_delay_s, self.send, answer)
        elif flags & FIN:
            self.flows.discard(flow)
            self.send(packet(service_address, caller, ACK | FIN, 902, 1))

    def send(self, data):
        self._transport.sendto(data, self.outbound)

    async def send_heartbeats(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.heartbeat()
            await asyncio.sleep(0.1)

    async def heartbeat(self):
        self.sequence += 1
        is_draining = self.state == "draining"
        body = json.dumps(self.report()).encode()
        is_acknowledged = await self.post_heartbeat(body)
        self.acknowledged += is_acknowledged
        if is_draining and is_acknowledged:
            self.drain_acknowledged = True

    def report(self):
        """Return the fields of a heartbeat."""
        return {
            "service": self.service,
            "address": f"{self.app.host}:{self.app.port}",
            "zone": "dc",
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmupLeftMs": self.warm_up_left_ms,
            "seq": self.sequence,
        }

    async def post_heartbeat(self, body):
        """Send a heartbeat; return whether it was acknowledged."""
        path = f"/ryesaddle/instances/{self.name}/heartbeat"
        try:
            reply = await send_request(self.admin, "POST", path, body)
        except HttpError:
            return False
        return reply.status == 200


class Caller(asyncio.DatagramProtocol):
    """A host of callers with one socket; packets tell its flows apart by port."""

    def __init__(self, address):
        self.address = address
        self.received = {}
        self._ports = 10_000
        self._transport = None

    async def open(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        _, caller = endpoints_of(data)
        self.received.setdefault(caller[1], []).append(data)

    def close(self):
        self._transport.close()

    def new_port(self):
        self._ports += 1
        return self._ports

    def send(self, balancer, port, flags, service_address, data=b"", seq=1, ack=0):
        source = (self.address.host, port)
        self._transport.sendto(
            packet(source, service_address, flags, seq, ack, data), balancer
        )

    def is_open(self, port):
        return any(flags_of(d) == SYN | ACK for d in self.received.get(port, ()))

    def is_reset(self, port):
        return any(flags_of(d) & RST for d in self.received.get(port, ()))

    def answers(self, port):
        return [d[36:] for d in self.received.get(port, ()) if len(d) > 36]


class PlatformDeployment:
    """A fake store and caller, balancers, and agents with a fake target each.

    Parameters
    ----------
    balancers : int
        Number of balancers.
    services : sequence of str
        The service of each target.
    data_centres : dict of str to str
        Data centres of hosts by address; the others are in ``dc``.
    """

    def __init__(
        self, balancers=2, services=("case-desk", "case-desk"), data_centres=()
    ):
        self._data_centres = dict(data_centres)
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = Address("127.0.0.1", free_port())
        self.ports = {name: free_port() for name in ("callers", "admin", "ready")}
        self.ports.update({n: free_port() for n in ("peer", "metrics", "app", "out")})
        self.balancer_hosts = [f"127.0.10.{number + 1}" for number in range(balancers)]
        self.agent_hosts = [f"127.0.11.{number + 1}" for number in range(len(services))]
        self.targets = [
            Target(
                f"i-{number}",
                service,
                self.at(host, "app"),
                self.at(host, "out"),
                self.at(host, "admin"),
            )
            for number, (host, service) in enumerate(zip(self.agent_hosts, services))
        ]
        self.caller = Caller(self.at("127.0.12.1", "callers"))
        self.processes = {}
        # Source folders of hosts that run another version.
        self.sources = {}
        self._tasks = []

    def at(self, host, port):
        """Return the address of a host with a named port."""
        return Address(host, self.ports[port])

    async def start(self):
        """Start everything and wait until new flows can be served."""
        self.start_store()
        await self.wait_until(self._store_is_up)
        for target in self.targets:
            await target.open()
            self.run_in_background(target.send_heartbeats())
        await self.caller.open()
        for host in self.balancer_hosts:
            self.start_process(host)
        for host in self.agent_hosts:
            self.start_process(host)
        for host in self.balancer_hosts:
            await self.wait_until(lambda host=host: self.is_ready(host))

    def run_in_background(self, coro):
        """Run a coroutine as a task that is cancelled when the deployment stops."""
        self._tasks.append(asyncio.ensure_future(coro))

    def start_store(self):
        self._spawn(
            "store",
            "-m",
            "tests.support.platform_store",
            *map(str, self.store),
            json.dumps(configuration()),
        )

    def start_process(self, host):
        """Start the balancer or the agent of a host."""
        fields, *first_bound = self.settings_of(host)
        file = self.folder / f"{host}.json"
        file.write_text(json.dumps(fields))
        role = "balancer" if host in self.balancer_hosts else "agent"
        sources = self.sources.get(host, SOURCES)
        self._spawn(
            host,
            str(sources / SCRIPT_PATH),
            role,
            *first_bound,
            RYESADDLE_SETTINGS=str(file),
            PYTHONPATH=str(sources),
        )

    def settings_of(self, host):
        """Return the settings of a process, and the addresses it binds first."""
        fields = {
            "node": host,
            "data_centre": self._data_centres.get(host, "dc"),
            "store": str(self.store),
            "seeds": [
                str(self.at(balancer_host, "admin"))
                for balancer_host in self.balancer_hosts
            ],
            "callers": str(self.at(host, "callers")),
            "control": str(self.at(host, "admin")),
            "stop_limit_s": 6,
        }
        for name in ("peer", "ready", "metrics"):
            fields[name] = str(self.at(host, name))
        if host in self.balancer_hosts:
            fields["evacuation_ms"] = 5_000
            return fields, fields["callers"]
        target = self.targets[self.agent_hosts.index(host)]
        fields.update(
            service=target.service,
            target_address=str(target.app),
            outbound=str(target.outbound),
            heartbeat_ms=100,
        )
        return fields, fields["peer"], fields["control"]

    def _spawn(self, name, *args, **env):
        log = (self.folder / f"{name}.log").open("ab")
        env = {**os.environ, "PYTHONPATH": str(SOURCES), **env}
        self.processes[name] = subprocess.Popen(
            [sys.executable, *args], cwd=ROOT, env=env, stdout=log, stderr=log
        )

    def kill(self, name, signum=signal.SIGKILL):
        """Send a signal to a process; after ``SIGKILL``, wait for its exit."""
        process = self.processes[name]
        process.send_signal(signum)
        if signum == signal.SIGKILL:
            process.wait()

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for target in self.targets:
            target.close()
        self.caller.close()
        self._folder.cleanup()

    def log(self, name):
        """Return the log of a process as text."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def wait_until(self, condition):
        """Wait until a function or coroutine function returns a true value."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                found = condition()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return
                await asyncio.sleep(0.02)

    async def get(self, host, path, port="admin"):
        """Return the response of a process, or None if the call fails."""
        try:
            return await send_request(self.at(host, port), "GET", path)
        except HttpError:
            return None

    async def status(self, host):
        reply = await self.get(host, "/status")
        return None if reply is None else json.loads(reply.body)

    async def is_ready(self, host):
        """Return whether a balancer has a configuration and all agents are open."""
        found = await self.status(host)
        return (
            found is not None
            and found["configuration"] > 0
            and found["open_agents"] == len(self.agent_hosts)
        )

    async def _store_is_up(self):
        try:
            reply = await send_request(
                self.store, "GET", "/ryesaddle/objects/config/main"
            )
        except HttpError:
            return False
        return reply.status == 200

    async def store_call(self, method, path, value):
        """Call a control route of the fake store; faults do not affect these."""
        await send_request(self.store, method, path, json.dumps(value).encode())

    async def set_back_store(self, seconds):
        """Return the store to its state some seconds ago, in a new era."""
        await self.store_call("POST", "/back", seconds)

    async def open_flow(self, host, service="case-desk"):
        """Open a flow through a balancer and return the caller's port."""
        port = self.caller.new_port()
        service_address, attempt = SERVICE_ADDRESSES[service], 0
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not self.caller.is_open(port):
                self.caller.send(
                    self.at(host, "callers"), port, SYN, service_address, ack=attempt
                )
                attempt = min(attempt + 1, 2)
                await asyncio.sleep(0.2)
        return port

    async def request(self, host, port, data, service="case-desk"):
        """Send data on a flow repeatedly until it is answered; return the answer."""
        seq = 1 + len(self.caller.answers(port))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                for answer in self.caller.answers(port):
                    if answer.endswith(b":" + data):
                        return answer
                service_address = SERVICE_ADDRESSES[service]
                to = self.at(host, "callers")
                self.caller.send(to, port, ACK, service_address, data, seq, 900)
                await asyncio.sleep(0.1)
