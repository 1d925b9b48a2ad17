"""Runs balancers and agents as processes on loopback, with fakes around them."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
import msgspec

from ryesaddle.cli.operator import OperatorClient
from ryesaddle.settings import OperatorSettings
from tests.support.caller import open_flow
from tests.support.certificates import write_certificate

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


# Below the ephemeral ports, which Linux assigns from 32768 on by default: an outgoing
# connection cannot take a port between its choice and its use.
PORT_RANGE = range(10_000, 32_000)
PORT_BLOCK = 200
_block_locks = []
_block_ports = []


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    """Return an unbound port that no other test process has been given.

    Ports are taken from blocks that belong to this process, so that two test runs on
    the same machine cannot choose the same port before either has bound it.
    """
    while True:
        if not _block_ports:
            _block_ports.extend(_claim_block())
        port = _block_ports.pop()
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return port


def _claim_block():
    """Return the ports of a block, whose first port stays bound as a lock."""
    starts = list(PORT_RANGE[::PORT_BLOCK])
    random.SystemRandom().shuffle(starts)
    for start in starts:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind(("127.0.0.1", start))
        except OSError:
            lock.close()
            continue
        _block_locks.append(lock)
        return range(start + 1, start + PORT_BLOCK)
    raise AssertionError("every block of ports is in use; end other test runs")


class Deployment:
    """The processes of a deployment, each signalled by its own process ID.

    Parameters
    ----------
    folder : Path
        Folder for settings, certificates and logs.
    services : dict of str to int
        Number of targets by service.
    balancers : int
        Number of balancers.
    cells : int
        Number of cells, and of data centres, that the members are spread over.
    work_s : float
        Time that a target takes to execute a request.
    """

    def __init__(self, folder, services, balancers=3, cells=2, work_s=0.01):
        self.folder = Path(folder)
        self.services = services
        self.balancers = balancers
        self.cells = cells
        self.work_s = work_s
        self.limits = {"ramp_s": 0.5, "stop_limit_s": 15}
        self.processes = {}
        self.targets = {}
        self.ports = {}
        self.service_addresses = {}
        self.settings_by_member = {}
        self.program = [sys.executable, "-m", "ryesaddle"]

    async def start(self):
        """Start all processes and wait until every service can be used."""
        self._write_files()
        self._start_store()
        await self._wait_for_store()
        self._start_fabric()
        await self.apply()
        for number in range(self.balancers):
            self.start_member("balancer", f"balancer-{number}")
        for service, count in self.services.items():
            for number in range(count):
                self.start_target(service, number)
        await self.wait_until(self.all_ready, "every agent open and every port served")

    def _write_files(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        self.cert, self.key = write_certificate(self.folder)
        peer_key = self.folder / "peer.key"
        peer_key.write_text(random.SystemRandom().randbytes(16).hex())
        peer_key.chmod(0o600)
        self.store_port = free_port()
        self.store_url = f"http://127.0.0.1:{self.store_port}"
        self.operator_settings = OperatorSettings(
            store_url=self.store_url, peer_key_file=str(peer_key)
        )
        self.operator_file = self.folder / "operator.json"
        self.operator_file.write_bytes(msgspec.json.encode(self.operator_settings))
        for service in self.services:
            self.ports[service] = free_port(socket.SOCK_DGRAM)
            self.service_addresses[service] = (
                "127.0.0.1",
                free_port(socket.SOCK_DGRAM),
            )
        self.config_folder = self.folder / "folder"
        self.config_folder.mkdir(exist_ok=True)
        for service, port in self.ports.items():
            self.write_file(
                f"10-{service}.json",
                {
                    "kind": "service",
                    "name": service,
                    "port": port,
                    "limits": self.limits,
                },
            )
            self.write_file(
                f"20-{service}-targets.json", {"kind": "rule", "service": service}
            )

    def write_file(self, name, content):
        """Write one file of the configuration folder."""
        (self.config_folder / name).write_text(json.dumps(content, indent=2) + "\n")

    async def apply(self):
        """Apply the configuration folder."""
        async with OperatorClient(self.operator_settings) as operator:
            return await operator.apply(self.config_folder)

    def _start_store(self):
        self._launch(
            "store",
            [
                sys.executable,
                "-m",
                "tests.support.object_api",
                "127.0.0.1",
                str(self.store_port),
            ],
        )

    async def _wait_for_store(self):
        async def is_up():
            try:
                await self.store_call("GET", "/calls")
            except aiohttp.ClientError:
                return False
            return True

        await self.wait_until(is_up, "the fake object API accepts calls")

    def _start_fabric(self):
        entries = [
            {
                "listen": self.service_addresses[service],
                "balancers": [
                    (self._balancer_host(n), port) for n in range(self.balancers)
                ],
            }
            for service, port in self.ports.items()
        ]
        argument = json.dumps({"seed": 7, "entries": entries})
        self._launch("fabric", [sys.executable, "-m", "tests.support.fabric", argument])

    def _balancer_host(self, number):
        return f"127.0.1.{number + 1}"

    def start_member(self, role, name, **extra):
        """Start (or restart) a balancer or agent."""
        if name not in self.settings_by_member:
            self.settings_by_member[name] = self._member_settings(role, name, extra)
        # Seeds let a member find others if it is started during a store outage.
        others = [s["control"] for n, s in self.settings_by_member.items() if n != name]
        self.settings_by_member[name]["seeds"] = others[-3:]
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(self.settings_by_member[name], indent=2))
        self._launch(name, [*self.program, role, str(file)])

    def _member_settings(self, role, name, extra):
        number = len(self.settings_by_member)
        cell = f"cell-{number % self.cells}"
        settings = {
            "node": name,
            "data_centre": f"dc-{number % self.cells}",
            "cell": cell,
            "peer": ["127.0.0.1", free_port(socket.SOCK_DGRAM)],
            "control": ["127.0.0.1", free_port()],
            "store_url": self.store_url,
            "peer_key_file": self.operator_settings.peer_key_file,
            **extra,
        }
        if role == "balancer":
            settings["service_host"] = self._balancer_host(number)
        return settings

    def start_target(self, service, number):
        """Start a target and its agent."""
        target = f"{service}-{number}"
        port = free_port()
        self.targets[target] = ("127.0.0.1", port)
        argument = json.dumps(
            {"name": target, "listen": ["127.0.0.1", port], "work_s": self.work_s}
        )
        self._launch(target, [sys.executable, "-m", "tests.support.target", argument])
        self.start_member(
            "agent",
            f"agent-{target}",
            service=service,
            target=target,
            target_address=["127.0.0.1", port],
            certificate_file=str(self.cert),
            private_key_file=str(self.key),
        )

    def _launch(self, name, command):
        log = (self.folder / f"{name}.log").open("ab")
        env = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )

    def signal(self, name, signum):
        """Send a signal to a process."""
        self.processes[name].send_signal(signum)

    def kill(self, name):
        """Kill a process and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    async def status(self):
        """Return the status of each announced member by name."""
        async with OperatorClient(self.operator_settings) as operator:
            return await operator.status()

    async def trace(self, request_id):
        """Return the trace of a request."""
        async with OperatorClient(self.operator_settings) as operator:
            return await operator.trace(request_id)

    async def executed(self):
        """Return the requests that the targets have recorded as executed."""
        records = []
        async with aiohttp.ClientSession() as session:
            for host, port in self.targets.values():
                async with session.get(f"http://{host}:{port}/executed") as reply:
                    records += await reply.json()
        return records

    async def store_call(self, method, path, body=None):
        """Call a control route of the fake object API, such as ``/faults``."""
        async with aiohttp.ClientSession() as session:
            url = self.store_url + path
            async with session.request(method, url, json=body) as reply:
                return await reply.json()

    def open_flow(self, service):
        """Open a flow to a service through the fabric; see `caller.open_flow`."""
        return open_flow(*self.service_addresses[service])

    async def all_ready(self):
        """Return whether all agents are open and all balancers serve every service."""
        found = await self.status()
        agents = [s for s in found.values() if s and s["role"] == "agent"]
        balancers = [s for s in found.values() if s and s["role"] == "balancer"]
        return (
            len(agents) == sum(self.services.values())
            and all(s["open"] and s["holds_claims"] for s in agents)
            and len(balancers) == self.balancers
            and all(len(s["services"]) == len(self.services) for s in balancers)
        )

    async def wait_until(self, condition, description):
        """Wait until an async function returns a true value."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise AssertionError(
            f"not reached within {START_TIMEOUT_S} s: {description}\n{self._describe()}"
        )

    def _describe(self):
        """Return the exit code and the last three log lines of each process."""
        lines = []
        for name, process in self.processes.items():
            log = (self.folder / f"{name}.log").read_text(errors="replace")
            lines.append(f"{name}: exit code {process.poll()}")
            lines += [f"  {line[:200]}" for line in log.splitlines()[-3:]]
        return "\n".join(lines)

    def stop(self):
        """Stop all processes: balancers and agents first, then what they depend on."""
        order = sorted(self.processes, key=lambda name: name in ("store", "fabric"))
        members = [n for n in order if n.startswith(("agent-", "balancer-"))]
        for name in members:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for name in members:
            self._wait_or_kill(name, deadline - time.monotonic())
        for name in list(self.processes):
            self.signal(name, signal.SIGTERM)
            self._wait_or_kill(name, 2.0)

    def _wait_or_kill(self, name, timeout_s):
        process = self.processes.pop(name)
        try:
            process.wait(max(timeout_s, 0.1))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
