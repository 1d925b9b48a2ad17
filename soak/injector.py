"""Does to a deployment what a plan says."""

import asyncio
import signal

from ryesaddle.daemons.passing.http import HttpError, call
from soak.ledger import DRAIN_S
from soak.plan import (
    LINK_FAULTS,
    PROCESS_FAULTS,
    STORE_FAULTS,
    STORE_LINK_FAULTS,
    TARGET_FAULTS,
)
from tests.support.platform_deployment import FRONTS, configuration

STOP_LIMIT_S = 6.0  # `graceS` of the users' sites
LATE_WRITES = 3  # writes whose answers are lost during one fault
DROPPED_SERVICE = "pack-archive"


class Injector:
    """Carries out injections; each undoes itself at its end.

    Parameters
    ----------
    deployment : SoakDeployment
        What is struck.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._network = deployment.network
        self._version = 1
        self._store_faults = []
        self._paused = {}
        self._down = set()
        self._changing = asyncio.Lock()
        self.unclean_stops = []

    async def run(self, plan, note):
        """Carry out a whole plan, and call ``note`` with each item as it begins."""
        loop = asyncio.get_running_loop()
        begun, under_way = loop.time(), []
        for item in plan:
            await asyncio.sleep(max(0.0, begun + item.at_s - loop.time()))
            note(item)
            under_way.append(asyncio.ensure_future(self._carry_out(item)))
        await asyncio.gather(*under_way)

    async def _carry_out(self, item):
        if item.kind in PROCESS_FAULTS:
            await asyncio.gather(*(self._strike(item, host) for host in item.hosts))
        elif item.kind in LINK_FAULTS:
            await self._harm_link(item)
        elif item.kind in STORE_FAULTS:
            await self._harm_store(item)
        elif item.kind in STORE_LINK_FAULTS:
            await self._harm_store_links(item)
        elif item.kind in TARGET_FAULTS:
            await self._strike_target(item)
        else:
            await self._change(item)

    # Processes

    async def _strike(self, item, host):
        if host in self._down:
            return
        match item.kind:
            case "kill":
                await self._replace(item, host, signal.SIGKILL)
            case "stop":
                await self._replace(item, host, signal.SIGTERM)
            case "hang-up":
                self._deployment.kill(host, signal.SIGHUP)
            case "pause":
                await self._pause(item, host)

    async def _replace(self, item, host, signum):
        process = self._deployment.processes[host]
        self._down.add(host)
        process.send_signal(signum)
        if signum == signal.SIGTERM and not await self._ends(process):
            self.unclean_stops.append(f"{host} had to be killed")
            process.kill()
        elif signum == signal.SIGTERM and process.returncode != 0:
            self.unclean_stops.append(f"{host} ended with {process.returncode}")
        process.wait()
        await asyncio.sleep(item.for_s)
        self._deployment.start_process(host)
        self._down.discard(host)

    async def _ends(self, process):
        """Whether a process ends in the time that it has; pauses don't count."""
        left_s = STOP_LIMIT_S
        while process.poll() is None and left_s > 0:
            await asyncio.sleep(0.05)
            left_s -= 0.0 if process.pid in self._paused else 0.05
        return process.poll() is not None

    async def _pause(self, item, host):
        process = self._deployment.processes[host]
        count = self._paused.get(process.pid, 0)
        self._paused[process.pid] = count + 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(item.for_s)
        self._paused[process.pid] -= 1
        if not self._paused[process.pid]:
            del self._paused[process.pid]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    # Links

    async def _harm_link(self, item):
        one, other = item.hosts
        both = [(one, other), (other, one)]
        match item.kind:
            case "cut" | "cut-one-way":
                for link in both if item.kind == "cut" else both[:1]:
                    self._network.cut(*link, True)
                await asyncio.sleep(item.for_s)
                for link in both if item.kind == "cut" else both[:1]:
                    self._network.cut(*link, False)
            case "delay" | "lose":
                harm = getattr(self._network, item.kind)
                for link in both:
                    harm(*link, item.amount)
                await asyncio.sleep(item.for_s)
                for link in both:
                    harm(*link, 0.0)

    async def _harm_store_links(self, item):
        for host in item.hosts:
            for link in ((host, "store"), ("store", host)):
                match item.kind:
                    case "store-cut":
                        self._network.cut(*link, True)
                        self._deployment.stores[host].reset()
                    case "store-silent":
                        self._network.silence(*link, True)
                    case "store-delay":
                        self._network.delay(*link, item.amount)
        await asyncio.sleep(item.for_s)
        for host in item.hosts:
            for link in ((host, "store"), ("store", host)):
                match item.kind:
                    case "store-cut":
                        self._network.cut(*link, False)
                    case "store-silent":
                        self._network.silence(*link, False)
                    case "store-delay":
                        self._network.delay(*link, 0.0)
            if item.kind == "store-silent":
                # What was silent once says nothing more.
                self._deployment.stores[host].reset()

    # The store

    async def _harm_store(self, item):
        if item.kind == "forget-history":
            await self._deployment.store_call("POST", "/forget", {})
            return
        self._store_faults.append(item.kind)
        await self._set_store_faults()
        await asyncio.sleep(item.for_s)
        self._store_faults.remove(item.kind)
        await self._set_store_faults()

    async def _set_store_faults(self):
        faults = {}
        for kind in self._store_faults:
            lost = kind in ("lose-answers", "late")
            faults[kind.replace("-", "_")] = LATE_WRITES if lost else True
        await self._deployment.store_call("PUT", "/faults", faults)

    async def _change(self, item):
        """Drop a route, or bring it back."""
        async with self._changing:
            self._version += 3
            services = set(FRONTS)
            if item.kind == "drop-route":
                services.discard(DROPPED_SERVICE)
            await self.configure(services)

    async def configure(self, services):
        """Write a configuration with routes of these services."""
        self._version += 1
        self._deployment.ledger.configured(self._version, services)
        body = configuration(self._version, sorted(services))
        await self._deployment.store_call("PUT", "/put/config/main", body)

    # Targets

    async def _strike_target(self, item):
        target = self._deployment.target_of(item.hosts[0])
        match item.kind:
            case "target-restarts":
                target.started()
            case "target-restarts-same-name":
                target.started(same_name=True)
            case "odd-heartbeats":
                await target.send_odd_heartbeats()
            case "target-hangs":
                target.hangs = True
                await asyncio.sleep(item.for_s)
                target.hangs = False
            case "target-drains":
                if target.state == "draining":
                    return
                target.drain()
                # Only what arrives after this time breaks the promise.
                await asyncio.sleep(DRAIN_S + item.for_s)
                await self._say_goodbye(target)
                target.started()

    async def _say_goodbye(self, target):
        path = f"/ryesaddle/instances/{target.name}/deregister"
        try:
            await call(target.admin, "POST", path, b"{}")
        except HttpError:
            return  # the next start's heartbeats tell the same
