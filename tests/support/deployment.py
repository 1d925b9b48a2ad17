"""Starts the real processes and the stand-ins around them on loopback."""

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
from tests.support.caller import call
from tests.support.certificates import write_certificate

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


# The kernel gives clients ports from 32768 on, so none of these is taken by a
# client's socket between its choice and its use.
PORTS = range(10_000, 32_000)
_chosen = set()


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    """Return a port that nothing is bound to and that was not returned before."""
    while True:
        port = random.SystemRandom().choice(PORTS)
        if port in _chosen:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _chosen.add(port)
        return port


class Deployment:
    """Processes of one deployment, each ended by its id.

    Parameters
    ----------
    folder : Path
        Where to keep settings, certificates and logs.
    services : dict of str to int
        Number of targets by service.
    balancers : int
        Number of balancers.
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
        self.entry = {}
        self._settings = {}
        self._desk = None
        self.program = [sys.executable, "-m", "ryesaddle"]

    async def start(self):
        """Start everything and wait until every agent is open."""
        self._prepare()
        self._start_store()
        await self._wait_store()
        self._start_fabric()
        await self.apply()
        for number in range(self.balancers):
            self.start_member("balancer", f"balancer-{number}")
        for service, count in self.services.items():
            for number in range(count):
                self.add_target(service, number)
        await self.wait_until(self._all_open, "every agent open and every port served")

    def _prepare(self):
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
            self.entry[service] = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
        self.cfg_folder = self.folder / "folder"
        self.cfg_folder.mkdir(exist_ok=True)
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
        (self.cfg_folder / name).write_text(json.dumps(content, indent=2) + "\n")

    async def apply(self):
        """Apply the configuration folder."""
        async with OperatorClient(self.operator_settings) as operator:
            return await operator.apply(self.cfg_folder)

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

    async def _wait_store(self):
        async def is_up():
            try:
                await self.store_call("GET", "/calls")
            except aiohttp.ClientError:
                return False
            return True

        await self.wait_until(is_up, "the object API stand-in")

    def _start_fabric(self):
        entries = [
            {
                "listen": self.entry[service],
                "balancers": [(self._host(n), port) for n in range(self.balancers)],
            }
            for service, port in self.ports.items()
        ]
        argument = json.dumps({"seed": 7, "entries": entries})
        self._launch("fabric", [sys.executable, "-m", "tests.support.fabric", argument])

    def _host(self, number):
        return f"127.0.1.{number + 1}"

    def start_member(self, role, name, **extra):
        """Start (or restart) a balancer or agent."""
        if name not in self._settings:
            self._settings[name] = self._member_settings(role, name, extra)
        # A member may be started while the store is away, so it is told of others.
        others = [s["control"] for n, s in self._settings.items() if n != name]
        self._settings[name]["seeds"] = others[-3:]
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(self._settings[name], indent=2))
        self._launch(name, [*self.program, role, str(file)])

    def _member_settings(self, role, name, extra):
        number = len(self._settings)
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
            settings["service_host"] = self._host(number)
        return settings

    def add_target(self, service, number):
        """Start a target and the agent beside it."""
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
        """Send a signal to one process."""
        self.processes[name].send_signal(signum)

    def kill(self, name):
        """End one process at once and reap it."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    async def status(self):
        """Return the status of each announced member."""
        async with OperatorClient(self.operator_settings) as operator:
            return await operator.status()

    async def trace(self, request_id):
        """Return the trace of a request."""
        async with OperatorClient(self.operator_settings) as operator:
            return await operator.trace(request_id)

    async def executed(self):
        """Return all executions that the targets have recorded."""
        records = []
        async with aiohttp.ClientSession() as session:
            for host, port in self.targets.values():
                async with session.get(f"http://{host}:{port}/executed") as reply:
                    records += await reply.json()
        return records

    async def store_call(self, method, path, body=None):
        """Call a fault-injection route of the object API stand-in."""
        async with aiohttp.ClientSession() as session:
            url = self.store_url + path
            async with session.request(method, url, json=body) as reply:
                return await reply.json()

    def call(self, service):
        """Open a caller's flow to a service through the fabric."""
        return call(*self.entry[service])

    async def _all_open(self):
        found = await self.status()
        agents = [s for s in found.values() if s and s["role"] == "agent"]
        entries = [s for s in found.values() if s and s["role"] == "balancer"]
        return (
            len(agents) == sum(self.services.values())
            and all(s["open"] and s["holds_claims"] for s in agents)
            and len(entries) == self.balancers
            and all(len(s["services"]) == len(self.services) for s in entries)
        )

    async def wait_until(self, condition, what):
        """Wait until an async condition holds."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise AssertionError(
            f"not reached in {START_TIMEOUT_S} s: {what}\n{self._describe()}"
        )

    def _describe(self):
        """Return which processes have ended, and the last lines of each log."""
        lines = []
        for name, process in self.processes.items():
            log = (self.folder / f"{name}.log").read_text(errors="replace")
            lines.append(f"{name}: exit code {process.poll()}")
            lines += [f"  {line[:200]}" for line in log.splitlines()[-3:]]
        return "\n".join(lines)

    def stop(self):
        """End everything that was started, members first."""
        order = sorted(self.processes, key=lambda name: name in ("store", "fabric"))
        members = [n for n in order if n.startswith(("agent-", "balancer-"))]
        for name in members:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for name in members:
            self._reap(name, deadline - time.monotonic())
        for name in list(self.processes):
            self.signal(name, signal.SIGTERM)
            self._reap(name, 2.0)

    def _reap(self, name, timeout_s):
        process = self.processes.pop(name)
        try:
            process.wait(max(timeout_s, 0.1))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
