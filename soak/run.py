"""Runs one seed: start, traffic under faults, recovery and checks."""

import asyncio
import random
from pathlib import Path

import msgspec

from ryesaddle.daemons.passthrough.entry import list_entries
from ryesaddle.daemons.passthrough.peers import BalancerEntry
from ryesaddle.daemons.passthrough.process import BALANCER_KIND, TARGET_KIND
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.platform.objects import PlatformObjects
from soak.deployment import SoakDeployment
from soak.injector import Injector
from soak.invariants import Violation
from soak.plan import Injection, make_plan
from tests.support.platform_deployment import SERVICE_ADDRESSES

CONCURRENT_SESSIONS = 12  # concurrent callers, three flows per target slot
REQUEST_TIMEOUT_S = 5.0  # `timeoutMs` of the routes
STABLE_WINDOW_S = 5.0  # `stableWindowMs` in production
RECOVERY_FLOWS = 20
RECOVERY_TIMEOUT_S = 60.0  # far above every bound, so only a lasting failure exceeds it


class SoakResult(msgspec.Struct, frozen=True):
    """The outcome of one run.

    Attributes
    ----------
    seed : int
        The seed.
    injections : tuple of Injection
        The faults and changes that were injected.
    violations : tuple of Violation
        The invariants that did not hold.
    flows, opened, requests, answered : int
        Flows and requests of the sessions.
    packets_dropped : int
        Packets that the simulated network dropped.
    reused_ports : int
        Flows that were opened from the port of an earlier flow.
    """

    seed: int
    injections: tuple[Injection, ...]
    violations: tuple[Violation, ...]
    flows: int
    opened: int
    requests: int
    answered: int
    packets_dropped: int
    reused_ports: int = 0


class SoakRun:
    """Runs one seed.

    Parameters
    ----------
    seed : int
        Determines the faults and the traffic.
    faults_s : float
        Time with faults, in seconds.
    logs : path-like
        Folder for the logs of the processes.
    plan : sequence of Injection, optional
        Injections to use in place of those that the seed gives.
    """

    def __init__(self, seed, faults_s, logs, plan=None):
        self._seed = seed
        self._rng = random.Random(seed + 1)
        self._deployment = deployment = SoakDeployment(seed, Path(logs) / str(seed))
        self._plan = plan or make_plan(
            seed, deployment.balancer_hosts, deployment.agent_hosts, faults_s
        )
        self._checker = self._deployment.checker
        self._injector = Injector(self._deployment)
        self._started_at = 0.0
        self._injected = []
        self._traffic_counts = dict.fromkeys(
            ("flows", "opened", "requests", "answered"), 0
        )
        self._long_lived_flows = []
        self._violations = []

    async def run(self):
        """Run the seed and return its `SoakResult`."""
        deployment = self._deployment
        try:
            await deployment.start()
            self._started_at = self._now()
            self._checker.configuration_written(1, set(SERVICE_ADDRESSES))
            sessions = [
                asyncio.ensure_future(
                    self._run_session(random.Random(self._rng.random()))
                )
                for _ in range(CONCURRENT_SESSIONS)
            ]
            await self._injector.run(self._plan, self._injected.append)
            await self._injector.write_configuration(set(SERVICE_ADDRESSES))
            await asyncio.sleep(STABLE_WINDOW_S)
            await self._check_recovery()
            await self._stop_sessions(sessions)
            self._check_processes()
        finally:
            await deployment.stop()
        violations_found = (*self._checker.violations, *self._violations)
        return SoakResult(
            seed=self._seed,
            injections=tuple(self._injected),
            violations=tuple(
                msgspec.structs.replace(
                    violation, at_s=round(violation.at_s - self._started_at, 3)
                )
                for violation in violations_found
            ),
            packets_dropped=deployment.network.dropped,
            reused_ports=deployment.caller.reused_ports,
            **self._traffic_counts,
        )

    async def _run_session(self, rng):
        """Open flows and send requests; keep some flows open for the whole run."""
        caller = self._deployment.caller
        while True:
            service = rng.choice(sorted(SERVICE_ADDRESSES))
            self._traffic_counts["flows"] += 1
            port = await caller.open_flow(service)
            if port is None:
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                continue
            self._traffic_counts["opened"] += 1
            if rng.random() < 0.1:
                self._long_lived_flows.append((port, service))
            for number in range(rng.choice((1, 1, 3, 12))):
                self._traffic_counts["requests"] += 1
                body = f"{port}.{number}".encode()
                if not await caller.request(port, service, body, REQUEST_TIMEOUT_S):
                    break
                self._traffic_counts["answered"] += 1
                await asyncio.sleep(rng.uniform(0.0, 0.4))
            if (port, service) not in self._long_lived_flows:
                await caller.end_flow(port, service)

    @staticmethod
    async def _stop_sessions(sessions):
        for session in sessions:
            session.cancel()
        for outcome in await asyncio.gather(*sessions, return_exceptions=True):
            if isinstance(outcome, Exception):  # CancelledError is a BaseException
                raise outcome

    # Checks after the faults

    async def _check_recovery(self):
        checks = [self._check_new_flow(number) for number in range(RECOVERY_FLOWS)]
        checks += [
            self._check_long_lived_flow(*flow) for flow in self._long_lived_flows
        ]
        await asyncio.gather(*checks, self._check_agents_open(), self._check_entries())

    async def _check_new_flow(self, number):
        """Check that a new flow is eventually served."""
        caller, service = self._deployment.caller, sorted(SERVICE_ADDRESSES)[number % 2]
        deadline = self._now() + RECOVERY_TIMEOUT_S
        while self._now() < deadline:
            port = await caller.open_flow(service)
            if port is not None:
                body = f"calm.{port}".encode()
                if await caller.request(port, service, body, REQUEST_TIMEOUT_S):
                    return
            await asyncio.sleep(0.1)
        self._record_violation("recovery", f"no new flow of {service} was served")

    async def _check_long_lived_flow(self, port, service):
        """Check that a flow is still served, unless reset or lost by a restart."""
        caller = self._deployment.caller
        address = (caller.address.host, port)
        if self._checker.live_target(address) is None or caller.is_reset(port):
            return
        body = f"kept.{port}".encode()
        if not await caller.request(port, service, body, RECOVERY_TIMEOUT_S):
            target = self._checker.live_target(address)
            self._record_violation("flow", f"{address} at {target} is no longer served")

    async def _check_agents_open(self):
        """Check that every balancer becomes ready and sees every agent as open."""
        deployment = self._deployment
        try:
            for host in deployment.balancer_hosts:
                await deployment.wait_until(lambda host=host: deployment.is_ready(host))
        except TimeoutError:
            statuses = {
                host: await deployment.status(host)
                for host in deployment.balancer_hosts
            }
            self._record_violation(
                "recovery", f"not all balancers see all agents as open: {statuses}"
            )

    async def _check_entries(self):
        """Check that the store holds the entry of every process."""
        deployment = self._deployment
        client = StoreClient(PlatformObjects(lambda: deployment.store), self._rng)
        expected = {*deployment.balancer_hosts, *deployment.agent_hosts}

        async def are_stored():
            balancers = await list_entries(client, BALANCER_KIND, BalancerEntry)
            targets = await list_entries(client, TARGET_KIND, TargetEntry)
            return expected <= {*balancers, *targets}

        try:
            await deployment.wait_until(are_stored)
        except TimeoutError:
            self._record_violation("recovery", "the store lacks entries of processes")

    def _check_processes(self):
        for name, process in self._deployment.processes.items():
            if process.poll() is not None:
                self._record_violation(
                    "process", f"{name} exited with code {process.returncode}"
                )
        for unclean in self._injector.unclean_stops:
            self._record_violation("stop", unclean)

    def _record_violation(self, invariant, details):
        self._violations.append(Violation(self._now(), invariant, details))

    @staticmethod
    def _now():
        return asyncio.get_running_loop().time()
