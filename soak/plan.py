"""Generates the faults and changes of one run from its seed alone."""

import random
from pathlib import Path

import msgspec

FIRST_FAULT_S = 2.0  # time for the traffic to start
MIN_GAP_S, MAX_GAP_S = 0.2, 1.6  # short, so that faults follow closely and overlap
MIN_DURATION_S, MAX_DURATION_S = 0.3, 3.0

CALLERS = "callers"  # one end of a link: all callers count as one host

PROCESS_FAULTS = ("kill", "pause", "stop", "hang-up")
LINK_FAULTS = ("cut", "cut-one-way", "delay", "lose")
STORE_FAULTS = (
    "down",
    "throttle",
    "reset",
    "silent",
    "lose-answers",
    "late",
    "forget-history",
    "go-back",
)
STORE_LINK_FAULTS = ("store-cut", "store-silent", "store-delay")
DRAIN_FAULTS = (
    "target-drains",
    "target-drains-silently",
    "agent-killed-after-drain",
)
TARGET_FAULTS = (
    "target-restarts",
    "target-restarts-same-name",
    *DRAIN_FAULTS,
    "target-hangs",
    "target-fails",
    "odd-heartbeats",
)
CONFIGURATION_CHANGES = ("drop-route", "add-route")
KIND_GROUPS = (
    PROCESS_FAULTS,
    LINK_FAULTS,
    STORE_FAULTS,
    STORE_LINK_FAULTS,
    TARGET_FAULTS,
    CONFIGURATION_CHANGES,
)


class Injection(msgspec.Struct, frozen=True):
    """One fault or configuration change.

    Attributes
    ----------
    at_s, for_s : float
        When it begins, and how long it lasts, in seconds.
    kind : str
        A member of one of `KIND_GROUPS`.
    hosts : tuple of str
        The affected hosts; for a link its sender and its receiver.
    amount : float
        For ``delay`` kinds the delay in seconds, for ``lose`` the share of packets,
        for ``go-back`` a tenth of the time that the store loses, in seconds.
    """

    at_s: float
    for_s: float
    kind: str
    hosts: tuple[str, ...] = ()
    amount: float = 0.0


def make_plan(seed, balancer_hosts, agent_hosts, faults_s):
    """Return the `Injection` items of a run, ordered by time.

    Parameters
    ----------
    seed : int
        Determines the whole plan.
    balancer_hosts, agent_hosts : sequence of str
        Hosts of the balancers, and of the agents with their targets.
    faults_s : float
        Time within which all faults begin and end, in seconds.
    """
    rng = random.Random(seed)
    # One kind per group: a few frequent kinds show better how faults interact.
    kinds = [rng.choice(group) for group in KIND_GROUPS]
    kinds += [rng.choice(PROCESS_FAULTS), rng.choice(DRAIN_FAULTS)]
    plan, at = [], FIRST_FAULT_S
    end = FIRST_FAULT_S + faults_s
    while at < end:
        kind = rng.choice(kinds)
        for_s = min(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), end - at)
        hosts = _choose_hosts(rng, kind, balancer_hosts, agent_hosts)
        amount = rng.uniform(0.02, 0.3)
        plan.append(Injection(round(at, 3), round(for_s, 3), kind, hosts, amount))
        if rng.random() < 0.3:  # the same kind at the same time, hosts chosen anew
            hosts = _choose_hosts(rng, kind, balancer_hosts, agent_hosts)
            plan.append(Injection(round(at, 3), round(for_s, 3), kind, hosts, amount))
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return plan


def load_plan(path):
    """Return the `Injection` items in a JSON file that holds a list of them."""
    return msgspec.json.decode(Path(path).read_bytes(), type=list[Injection])


def _choose_hosts(rng, kind, balancer_hosts, agent_hosts):
    if kind in TARGET_FAULTS:
        return (rng.choice(agent_hosts),)
    if kind in LINK_FAULTS:
        return tuple(rng.sample((*balancer_hosts, *agent_hosts, CALLERS), 2))
    if kind in PROCESS_FAULTS:
        # Occasionally all hosts of a role at once.
        group = rng.choice((balancer_hosts, agent_hosts))
        count = len(group) if rng.random() < 0.1 else rng.choice((1, 1, 2))
        return tuple(rng.sample(group, count))
    if kind in STORE_LINK_FAULTS:
        return tuple(rng.sample((*balancer_hosts, *agent_hosts), rng.choice((1, 2, 3))))
    return ()
