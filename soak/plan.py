"""What is done to a deployment during one run; a function of the seed alone."""

import random
from pathlib import Path

import msgspec

FAULTS_FROM_S = 2.0  # the traffic is under way
MIN_GAP_S, MAX_GAP_S = 0.2, 1.6  # so that faults come in series and overlap
MIN_FOR_S, MAX_FOR_S = 0.3, 3.0

CALLERS = "callers"  # their end of a link, as if they were one host

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
)
STORE_LINK_FAULTS = ("store-cut", "store-silent", "store-delay")
TARGET_FAULTS = (
    "target-restarts",
    "target-restarts-same-name",
    "target-drains",
    "target-hangs",
    "odd-heartbeats",
)
CHANGES = ("drop-route", "add-route")
GROUPS = (
    PROCESS_FAULTS,
    LINK_FAULTS,
    STORE_FAULTS,
    STORE_LINK_FAULTS,
    TARGET_FAULTS,
    CHANGES,
)


class Injection(msgspec.Struct, frozen=True):
    """One fault or change.

    Attributes
    ----------
    at_s, for_s : float
        When it begins, and how long it holds, in seconds.
    kind : str
        A member of one of `GROUPS`.
    hosts : tuple of str
        The hosts that it strikes; for a link its sender and its receiver.
    amount : float
        A delay in seconds, or the share of packets that are lost.
    """

    at_s: float
    for_s: float
    kind: str
    hosts: tuple[str, ...] = ()
    amount: float = 0.0


def make_plan(seed, edges, sides, faults_s):
    """Return the `Injection` items of a run, in order.

    Parameters
    ----------
    seed : int
        Decides everything.
    edges, sides : sequence of str
        Hosts of balancers, and of agents with their targets.
    faults_s : float
        Time within which all faults begin and end, in seconds.
    """
    rng = random.Random(seed)
    # One kind of each group: a few that come often show more of how they meet.
    kinds = [rng.choice(group) for group in GROUPS]
    kinds.append(rng.choice(PROCESS_FAULTS))
    plan, at = [], FAULTS_FROM_S
    end = FAULTS_FROM_S + faults_s
    while at < end:
        kind = rng.choice(kinds)
        for_s = min(rng.uniform(MIN_FOR_S, MAX_FOR_S), end - at)
        hosts = _victims(rng, kind, edges, sides)
        amount = rng.uniform(0.02, 0.3)
        plan.append(Injection(round(at, 3), round(for_s, 3), kind, hosts, amount))
        if rng.random() < 0.3:  # the same again at once, on others
            hosts = _victims(rng, kind, edges, sides)
            plan.append(Injection(round(at, 3), round(for_s, 3), kind, hosts, amount))
        at += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return plan


def load_plan(path):
    """Return the `Injection` items in a JSON file, such as those of a result."""
    return msgspec.json.decode(Path(path).read_bytes(), type=list[Injection])


def _victims(rng, kind, edges, sides):
    if kind in TARGET_FAULTS:
        return (rng.choice(sides),)
    if kind in LINK_FAULTS:
        return tuple(rng.sample((*edges, *sides, CALLERS), 2))
    if kind in PROCESS_FAULTS:
        # Now and then all of a role at once.
        group = rng.choice((edges, sides))
        count = len(group) if rng.random() < 0.1 else rng.choice((1, 1, 2))
        return tuple(rng.sample(group, count))
    if kind in STORE_LINK_FAULTS:
        return tuple(rng.sample((*edges, *sides), rng.choice((1, 2, 3))))
    return ()
