"""The platform roles as processes, with the network of the soak between them."""

import random
from pathlib import Path

from ryesaddle.internal.address import Address
from soak.ledger import Ledger
from soak.links import MessageProxy, Network, StoreProxy, proxied
from soak.router import Router
from soak.stand_ins import SoakCaller, SoakTarget
from tests.support.platform_deployment import FRONTS, PlatformDeployment

EDGES = 3
SERVICES = ("case-desk", "case-desk", "case-desk", "pack-archive", "pack-archive")
STORE_HOST = "127.0.9.1"


class SoakDeployment(PlatformDeployment):
    """A deployment whose every link passes through proxies.

    Parameters
    ----------
    seed : int
        Decides which packets a lossy link loses.
    logs : path-like
        Folder for the logs of the processes.
    """

    def __init__(self, seed, logs):
        super().__init__(EDGES, SERVICES)
        self.logs = Path(logs)
        self.network = Network(random.Random(seed))
        self.ledger = Ledger(FRONTS)
        self.targets = [
            SoakTarget(t.name, t.service, t.app, t.outbound, t.admin, self.ledger)
            for t in self.targets
        ]
        callers = [self.at(edge, "callers") for edge in self.edges]
        self.router = Router(callers, self.ports["ready"])
        self.caller = SoakCaller(
            self.caller.address, self.network, self.router, self.ledger
        )
        self.messages, self.stores = {}, {}
        for host in (*self.edges, *self.sides):
            public = self.at(proxied(host), "peer")
            self.messages[host] = MessageProxy(
                self.network, host, public, self.at(host, "peer"), self.messages
            )
            public = Address(proxied(host), self.store.port)
            self.stores[host] = StoreProxy(self.network, host, public, self.store)

    async def start(self):
        """Start everything and wait until new flows can be served."""
        for proxy in (*self.messages.values(), *self.stores.values()):
            await proxy.open()
        await super().start()
        self.keep(self.router.run())

    def settings_of(self, host):
        """Return the settings of a process, and where it is bound early."""
        fields, early = super().settings_of(host)
        fields["peer"] = str(self.at(proxied(host), "peer"))
        fields["store"] = str(Address(proxied(host), self.store.port))
        if host in self.edges:
            fields["peer_listen"] = str(self.at(host, "peer"))
        return fields, early

    def start_process(self, host):
        """Start the balancer or the agent of a host."""
        if host in self.edges:
            self.ledger.balancer_started(host)
        super().start_process(host)

    def target_of(self, host):
        """Return the target beside an agent."""
        return self.targets[self.sides.index(host)]

    async def stop(self):
        """End all processes that were started here, and keep their logs."""
        self.logs.mkdir(parents=True, exist_ok=True)
        for file in self.folder.glob("*.log"):
            (self.logs / file.name).write_bytes(file.read_bytes())
        for proxy in (*self.messages.values(), *self.stores.values()):
            proxy.close()
        await super().stop()
