"""One run: start, traffic under faults, calm, checks."""

import asyncio
import random
from pathlib import Path

import msgspec

from soak.deployment import SoakDeployment
from soak.injector import Injector
from soak.ledger import Violation
from soak.plan import Injection, make_plan
from tests.support.platform_deployment import FRONTS

SESSIONS = 12  # callers at a time, three flows for each target's slot
REQUEST_LIMIT_S = 5.0  # `timeoutMs` of the routes
STABLE_S = 5.0  # `stableWindowMs` of the users' sites
CALM_FLOWS = 20
CALM_LIMIT_S = 60.0  # far beyond any bound: only what never comes back breaks it


class Result(msgspec.Struct, frozen=True):
    """What one run showed.

    Attributes
    ----------
    seed : int
        The seed.
    injections : tuple of Injection
        What was done.
    violations : tuple of Violation
        What broke; empty if nothing did.
    flows, opened, requests, answered : int
        Traffic under faults.
    packets_dropped : int
        Packets that the network kept back.
    """

    seed: int
    injections: tuple[Injection, ...]
    violations: tuple[Violation, ...]
    flows: int
    opened: int
    requests: int
    answered: int
    packets_dropped: int


class SoakRun:
    """Runs one seed.

    Parameters
    ----------
    seed : int
        Decides the faults and the traffic.
    faults_s : float
        Time with faults, in seconds.
    logs : path-like
        Folder for the logs.
    plan : sequence of Injection, optional
        What is done, in place of what the seed would give.
    """

    def __init__(self, seed, faults_s, logs, plan=None):
        self._seed = seed
        self._rng = random.Random(seed + 1)
        self._deployment = world = SoakDeployment(seed, Path(logs) / str(seed))
        self._plan = plan or make_plan(seed, world.edges, world.sides, faults_s)
        self._ledger = self._deployment.ledger
        self._injector = Injector(self._deployment)
        self._begun = 0.0
        self._done = []
        self._counts = dict.fromkeys(("flows", "opened", "requests", "answered"), 0)
        self._kept = []
        self._violations = []

    async def run(self):
        """Return the `Result`."""
        world = self._deployment
        try:
            await world.start()
            self._begun = self._now()
            self._ledger.configured(1, set(FRONTS))
            sessions = [
                asyncio.ensure_future(self._session(random.Random(self._rng.random())))
                for _ in range(SESSIONS)
            ]
            await self._injector.run(self._plan, self._done.append)
            await self._injector.configure(set(FRONTS))
            await asyncio.sleep(STABLE_S)
            await self._check_calm()
            await self._end(sessions)
            self._check_processes()
        finally:
            await world.stop()
        broken = (*self._ledger.violations, *self._violations)
        return Result(
            seed=self._seed,
            injections=tuple(self._done),
            violations=tuple(
                msgspec.structs.replace(v, at_s=round(v.at_s - self._begun, 3))
                for v in broken
            ),
            packets_dropped=world.network.dropped,
            **self._counts,
        )

    async def _session(self, rng):
        """Open flows and ask on them, some for the whole run."""
        caller = self._deployment.caller
        while True:
            service = rng.choice(sorted(FRONTS))
            self._counts["flows"] += 1
            port = await caller.open_flow(service)
            if port is None:
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                continue
            self._counts["opened"] += 1
            if rng.random() < 0.1:
                self._kept.append((port, service))
            for number in range(rng.choice((1, 1, 3, 12))):
                self._counts["requests"] += 1
                body = f"{port}.{number}".encode()
                if not await caller.request(port, service, body, REQUEST_LIMIT_S):
                    break
                self._counts["answered"] += 1
                await asyncio.sleep(rng.uniform(0.0, 0.4))
            if (port, service) not in self._kept:
                caller.end_flow(port, service)

    @staticmethod
    async def _end(sessions):
        for session in sessions:
            session.cancel()
        for outcome in await asyncio.gather(*sessions, return_exceptions=True):
            if isinstance(outcome, Exception):  # which a cancellation is not
                raise outcome

    # After the faults

    async def _check_calm(self):
        checks = [self._serve_new(number) for number in range(CALM_FLOWS)]
        checks += [self._serve_kept(*kept) for kept in self._kept]
        await asyncio.gather(*checks, self._check_entries())

    async def _serve_new(self, number):
        """A new flow must be served in the end."""
        caller, service = self._deployment.caller, sorted(FRONTS)[number % 2]
        end = self._now() + CALM_LIMIT_S
        while self._now() < end:
            port = await caller.open_flow(service)
            if port is not None:
                body = f"calm.{port}".encode()
                if await caller.request(port, service, body, REQUEST_LIMIT_S):
                    return
            await asyncio.sleep(0.1)
        self._broken("recovery", f"no new flow of {service} is served")

    async def _serve_kept(self, port, service):
        """A flow whose target lives must still be served."""
        caller = self._deployment.caller
        address = (caller.address.host, port)
        if self._ledger.lives_at(address) is None or caller.is_reset(port):
            return
        body = f"kept.{port}".encode()
        if not await caller.request(port, service, body, CALM_LIMIT_S):
            target = self._ledger.lives_at(address)
            self._broken("flow", f"{address} at {target} is not served any more")

    async def _check_entries(self):
        """Each target must be taken for what it is by every balancer."""
        world = self._deployment
        try:
            for host in world.edges:
                await world.until(lambda host=host: world.knows_all(host))
        except TimeoutError:
            found = {host: await world.status(host) for host in world.edges}
            self._broken("recovery", f"not all agents are open again: {found}")

    def _check_processes(self):
        for name, process in self._deployment.processes.items():
            if process.poll() is not None:
                self._broken("process", f"{name} ended with {process.returncode}")
        for unclean in self._injector.unclean_stops:
            self._broken("stop", unclean)

    def _broken(self, promise, seen):
        self._violations.append(Violation(self._now(), promise, seen))

    @staticmethod
    def _now():
        return asyncio.get_running_loop().time()
