"""Injects the faults of a plan into a deployment."""

import asyncio
import signal

from ryesaddle.daemons.passthrough.http import HttpError, send_request
from soak.invariants import DRAIN_PERIOD_S
from soak.plan import (
    LINK_FAULTS,
    PROCESS_FAULTS,
    STORE_FAULTS,
    STORE_LINK_FAULTS,
    TARGET_FAULTS,
)
from soak.termination import is_clean_exit, terminate
from tests.support.platform_deployment import SERVICE_ADDRESSES, configuration

STOP_TIMEOUT_S = 6.0  # `graceS` in production
DRAIN_ACK_TIMEOUT_S = 5.0  # longer than any other fault
ACK_POLL_S = 0.002
UNANSWERED_WRITES = 3  # writes per fault that the store does not answer
DROPPED_SERVICE = "pack-archive"
# The store loses this many seconds per unit of the amount, which is at most 0.3.
LOST_S_PER_AMOUNT = 10.0


class Injector:
    """Injects faults, and reverts each one at its end.

    Parameters
    ----------
    deployment : SoakDeployment
        The deployment under test.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._network = deployment.network
        self._version = 1
        self._configuration = configuration()
        self._active_store_faults = []
        self._pause_counts = {}
        self._restarting = set()
        self._configuration_lock = asyncio.Lock()
        self.unclean_stops = []

    async def run(self, plan, on_begin):
        """Inject a whole plan; call ``on_begin`` with each item as it begins."""
        loop = asyncio.get_running_loop()
        started_at, tasks = loop.time(), []
        for item in plan:
            await asyncio.sleep(max(0.0, started_at + item.at_s - loop.time()))
            on_begin(item)
            tasks.append(asyncio.ensure_future(self._inject(item)))
        await asyncio.gather(*tasks)

    async def _inject(self, item):
        if item.kind in PROCESS_FAULTS:
            await asyncio.gather(
                *(self._inject_process_fault(item, host) for host in item.hosts)
            )
        elif item.kind in LINK_FAULTS:
            await self._inject_link_fault(item)
        elif item.kind in STORE_FAULTS:
            await self._inject_store_fault(item)
        elif item.kind in STORE_LINK_FAULTS:
            await self._inject_store_link_fault(item)
        elif item.kind in TARGET_FAULTS:
            await self._inject_target_fault(item)
        else:
            await self._change_configuration(item)

    # Processes

    async def _inject_process_fault(self, item, host):
        if host in self._restarting:
            return
        match item.kind:
            case "kill":
                await self._restart_process(item, host, signal.SIGKILL)
            case "stop":
                await self._restart_process(item, host, signal.SIGTERM)
            case "hang-up":
                self._deployment.kill(host, signal.SIGHUP)
            case "pause":
                await self._pause_process(item, host)

    async def _restart_process(self, item, host, signum):
        process = self._deployment.processes[host]
        self._restarting.add(host)
        if signum == signal.SIGTERM:
            await self._stop_process(host, process)
        else:
            process.send_signal(signum)
        process.wait()
        await asyncio.sleep(item.for_s)
        self._deployment.start_process(host)
        self._restarting.discard(host)

    async def _stop_process(self, host, process):
        held_socket = await terminate(process, process.pid in self._pause_counts)
        if not await self._exits_in_time(process):
            self.unclean_stops.append(f"{host} did not exit in time and was killed")
            process.kill()
        elif not is_clean_exit(process.returncode, held_socket):
            self.unclean_stops.append(f"{host} exited with code {process.returncode}")

    async def _exits_in_time(self, process):
        """Whether a process exits within the stop timeout; pauses are not counted."""
        remaining_s = STOP_TIMEOUT_S
        while process.poll() is None and remaining_s > 0:
            await asyncio.sleep(0.05)
            remaining_s -= 0.0 if process.pid in self._pause_counts else 0.05
        return process.poll() is not None

    async def _pause_process(self, item, host):
        process = self._deployment.processes[host]
        count = self._pause_counts.get(process.pid, 0)
        self._pause_counts[process.pid] = count + 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(item.for_s)
        self._pause_counts[process.pid] -= 1
        if not self._pause_counts[process.pid]:
            del self._pause_counts[process.pid]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    # Links

    async def _inject_link_fault(self, item):
        sender, receiver = item.hosts
        directions = [(sender, receiver), (receiver, sender)]
        match item.kind:
            case "cut" | "cut-one-way":
                for link in directions if item.kind == "cut" else directions[:1]:
                    self._network.cut(*link, True)
                await asyncio.sleep(item.for_s)
                for link in directions if item.kind == "cut" else directions[:1]:
                    self._network.cut(*link, False)
            case "delay" | "lose":
                set_fault = getattr(self._network, item.kind)
                for link in directions:
                    set_fault(*link, item.amount)
                await asyncio.sleep(item.for_s)
                for link in directions:
                    set_fault(*link, 0.0)

    async def _inject_store_link_fault(self, item):
        for host in item.hosts:
            for link in ((host, "store"), ("store", host)):
                match item.kind:
                    case "store-cut":
                        self._network.cut(*link, True)
                        self._deployment.store_proxies[host].reset()
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
                # Data was discarded, so the connections cannot be used any more.
                self._deployment.store_proxies[host].reset()

    # The store

    async def _inject_store_fault(self, item):
        if item.kind == "forget-history":
            await self._deployment.store_call("POST", "/forget", {})
            return
        if item.kind == "go-back":
            await self._set_back_store(item)
            return
        self._active_store_faults.append(item.kind)
        await self._send_store_faults()
        await asyncio.sleep(item.for_s)
        self._active_store_faults.remove(item.kind)
        await self._send_store_faults()

    async def _set_back_store(self, item):
        """Make the store unavailable, then let it return from a copy some seconds old.

        The operator writes the configuration again if it was lost.
        """
        self._active_store_faults.append("down")
        await self._send_store_faults()
        await asyncio.sleep(item.for_s)
        async with self._configuration_lock:
            lost_s = LOST_S_PER_AMOUNT * item.amount
            await self._deployment.set_back_store(lost_s)
            self._active_store_faults.remove("down")
            await self._send_store_faults()
            await self._put_configuration()

    async def _put_configuration(self):
        path = "/put/config/main"
        await self._deployment.store_call("PUT", path, self._configuration)

    async def _send_store_faults(self):
        faults = {}
        for kind in self._active_store_faults:
            affects_writes = kind in ("lose-answers", "late")
            faults[kind.replace("-", "_")] = (
                UNANSWERED_WRITES if affects_writes else True
            )
        await self._deployment.store_call("PUT", "/faults", faults)

    async def _change_configuration(self, item):
        """Write a configuration without `DROPPED_SERVICE`, or with all services."""
        async with self._configuration_lock:
            self._version += 3
            services = set(SERVICE_ADDRESSES)
            if item.kind == "drop-route":
                services.discard(DROPPED_SERVICE)
            await self.write_configuration(services)

    async def write_configuration(self, services):
        """Write the next configuration version, with routes for these services."""
        self._version += 1
        self._deployment.checker.configuration_written(self._version, services)
        self._configuration = configuration(self._version, sorted(services))
        await self._put_configuration()

    # Targets

    async def _inject_target_fault(self, item):
        target = self._deployment.target_of(item.hosts[0])
        match item.kind:
            case "target-restarts":
                target.restart()
            case "target-restarts-same-name":
                target.restart(same_name=True)
            case "odd-heartbeats":
                await target.send_invalid_heartbeats()
            case "target-hangs":
                target.is_hung = True
                await asyncio.sleep(item.for_s)
                target.is_hung = False
            case "target-fails":
                target.is_failing = True
                await asyncio.sleep(item.for_s)
                target.is_failing = False
            case "target-drains" if target.state != "draining":
                target.drain()
                # New flows may still arrive during the drain period, but not after it.
                await asyncio.sleep(DRAIN_PERIOD_S + item.for_s)
                await self._deregister(target)
                target.restart()
            case "target-drains-silently" if target.state != "draining":
                await self._drain_silently(item, target)
            case "agent-killed-after-drain" if target.state != "draining":
                await self._drain_silently(item, target, kills_agent=True)

    async def _drain_silently(self, item, target, kills_agent=False):
        """Let a target drain, then be silent until it starts again.

        With ``kills_agent``, its agent is killed as soon as it has acknowledged.
        """
        start_number, host = target.start_number, item.hosts[0]
        target.drain(silently=True)
        waited_s = 0.0
        while not target.drain_acknowledged and waited_s < DRAIN_ACK_TIMEOUT_S:
            await asyncio.sleep(ACK_POLL_S)
            waited_s += ACK_POLL_S
        if kills_agent and host not in self._restarting:
            await self._restart_process(item, host, signal.SIGKILL)
        await asyncio.sleep(DRAIN_PERIOD_S + item.for_s)
        if target.start_number == start_number:
            target.restart()

    async def _deregister(self, target):
        path = f"/ryesaddle/instances/{target.name}/deregister"
        try:
            await send_request(target.admin, "POST", path, b"{}")
        except HttpError:
            return  # the heartbeats of the next start have the same effect
