"""Runs the platform roles as processes, connected through fault-injecting proxies."""

import random
from pathlib import Path

from ryesaddle.internal.address import Address
from soak.invariants import InvariantChecker
from soak.links import MessageProxy, Network, StoreProxy, proxy_host
from soak.router import Router
from soak.stand_ins import SoakCaller, SoakTarget
from tests.support.platform_deployment import SERVICE_ADDRESSES, PlatformDeployment

BALANCER_COUNT = 3
TARGET_SERVICES = (
    "case-desk",
    "case-desk",
    "case-desk",
    "pack-archive",
    "pack-archive",
)


class SoakDeployment(PlatformDeployment):
    """A deployment in which every link passes through a proxy or a simulated network.

    Parameters
    ----------
    seed : int
        Seed of the random packet loss.
    logs : path-like
        Folder that the logs of the processes are copied to.
    """

    def __init__(self, seed, logs):
        super().__init__(BALANCER_COUNT, TARGET_SERVICES)
        self.logs = Path(logs)
        self.network = Network(random.Random(seed))
        self.checker = InvariantChecker(SERVICE_ADDRESSES)
        self.targets = [
            SoakTarget(
                target.name,
                target.service,
                target.app,
                target.outbound,
                target.admin,
                self.checker,
            )
            for target in self.targets
        ]
        callers = [self.at(edge, "callers") for edge in self.balancer_hosts]
        self.router = Router(callers, self.ports["ready"])
        self.caller = SoakCaller(
            self.caller.address, self.network, self.router, self.checker
        )
        self.message_proxies, self.store_proxies = {}, {}
        for host in (*self.balancer_hosts, *self.agent_hosts):
            public = self.at(proxy_host(host), "peer")
            self.message_proxies[host] = MessageProxy(
                self.network, host, public, self.at(host, "peer"), self.message_proxies
            )
            public = Address(proxy_host(host), self.store.port)
            self.store_proxies[host] = StoreProxy(
                self.network, host, public, self.store
            )

    async def start(self):
        """Start everything and wait until new flows can be served."""
        for proxy in (*self.message_proxies.values(), *self.store_proxies.values()):
            await proxy.open()
        await super().start()
        self.run_in_background(self.router.run())

    def settings_of(self, host):
        """Return the settings of a process, and the addresses it binds first."""
        fields, *first_bound = super().settings_of(host)
        fields["peer"] = str(self.at(proxy_host(host), "peer"))
        fields["store"] = str(Address(proxy_host(host), self.store.port))
        if host in self.balancer_hosts:
            fields["peer_listen"] = str(self.at(host, "peer"))
        return fields, *first_bound

    def start_process(self, host):
        """Start the balancer or the agent of a host."""
        if host in self.balancer_hosts:
            self.checker.balancer_started(host)
        super().start_process(host)

    def target_of(self, host):
        """Return the target beside an agent."""
        return self.targets[self.agent_hosts.index(host)]

    async def stop(self):
        """Copy the logs, then stop the proxies and everything that was started."""
        self.logs.mkdir(parents=True, exist_ok=True)
        for file in self.folder.glob("*.log"):
            (self.logs / file.name).write_bytes(file.read_bytes())
        for proxy in (*self.message_proxies.values(), *self.store_proxies.values()):
            proxy.close()
        await super().stop()
