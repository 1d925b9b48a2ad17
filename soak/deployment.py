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
STORE_NAME = "store"  # in the links of the network
TARGET_SERVICES = (
    "case-desk",
    "case-desk",
    "case-desk",
    "pack-archive",
    "pack-archive",
)


class ProxiedDeployment(PlatformDeployment):
    """A deployment in which every link between hosts passes through a proxy.

    Parameters
    ----------
    balancers : int
        Number of balancers.
    services : sequence of str
        The service of each target.
    seed : int
        Seed of the random packet loss.
    late_hosts : sequence of str
        Hosts that are not started with the others.
    """

    def __init__(self, balancers, services, seed=0, late_hosts=()):
        super().__init__(balancers, services)
        self._late_hosts = frozenset(late_hosts)
        self.network = Network(random.Random(seed))
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
        """Start everything but the late hosts, and wait until flows can be served."""
        for proxy in (*self.message_proxies.values(), *self.store_proxies.values()):
            await proxy.open()
        all_hosts = self.balancer_hosts, self.agent_hosts
        self.balancer_hosts, self.agent_hosts = (
            [host for host in hosts if host not in self._late_hosts]
            for hosts in all_hosts
        )
        targets = self.targets
        self.targets = [
            target for target in targets if target.app.host not in self._late_hosts
        ]
        try:
            await super().start()
        finally:
            self.balancer_hosts, self.agent_hosts = all_hosts
            self.targets = targets

    async def start_late(self, host):
        """Start a late host, with its target if it has one."""
        if host in self.agent_hosts:
            target = self.target_of(host)
            await target.open()
            self.run_in_background(target.send_heartbeats())
        self.start_process(host)

    def isolate(self, host, is_cut):
        """Cut a host off from all other hosts and from the store, or end this."""
        for other in {*self.balancer_hosts, *self.agent_hosts, STORE_NAME} - {host}:
            self.cut_link(host, other, is_cut)
        if is_cut:
            self.store_proxies[host].reset()

    def cut_link(self, host, other, is_cut):
        """Cut the link between two hosts in both directions, or end this."""
        self.network.cut(host, other, is_cut)
        self.network.cut(other, host, is_cut)

    def settings_of(self, host):
        """Return the settings of a process, and the addresses it binds first."""
        fields, *first_bound = super().settings_of(host)
        fields["peer"] = str(self.at(proxy_host(host), "peer"))
        fields["store"] = str(Address(proxy_host(host), self.store.port))
        if host in self.balancer_hosts:
            fields["peer_listen"] = str(self.at(host, "peer"))
        return fields, *first_bound

    def target_of(self, host):
        """Return the target beside an agent."""
        return self.targets[self.agent_hosts.index(host)]

    async def stop(self):
        """Stop the proxies and everything that was started."""
        for proxy in (*self.message_proxies.values(), *self.store_proxies.values()):
            proxy.close()
        await super().stop()


class SoakDeployment(ProxiedDeployment):
    """The deployment of a soak, whose callers and targets check what they see.

    Parameters
    ----------
    seed : int
        Seed of the random packet loss.
    logs : path-like
        Folder that the logs of the processes are copied to.
    """

    def __init__(self, seed, logs):
        super().__init__(BALANCER_COUNT, TARGET_SERVICES, seed)
        self.logs = Path(logs)
        self.checker = InvariantChecker(SERVICE_ADDRESSES)
        self.targets = [
            SoakTarget(
                target.name,
                target.service,
                *target.addresses,
                self.checker,
            )
            for target in self.targets
        ]
        callers = [self.at(edge, "callers") for edge in self.balancer_hosts]
        self.router = Router(callers, self.ports["ready"])
        self.caller = SoakCaller(
            self.caller.address, self.network, self.router, self.checker
        )

    async def start(self):
        """Start everything and wait until new flows can be served."""
        await super().start()
        self.run_in_background(self.router.run())

    def start_process(self, host):
        """Start the balancer or the agent of a host."""
        if host in self.balancer_hosts:
            self.checker.balancer_started(host)
        super().start_process(host)

    async def stop(self):
        """Copy the logs, then stop everything that was started."""
        self.logs.mkdir(parents=True, exist_ok=True)
        for file in self.folder.glob("*.log"):
            (self.logs / file.name).write_bytes(file.read_bytes())
        await super().stop()
