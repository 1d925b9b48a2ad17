"""Rendezvous (highest random weight) hashing of flows to agents."""

from functools import lru_cache

import xxhash


def flow_key(service, caller):
    """Return the key by which agents are ranked for a flow.

    Parameters
    ----------
    service : str
        Name of the service.
    caller : Address or Flow
        Source address of the caller, or a flow, which has the same attributes.
    """
    return f"{service}|{caller.host}|{caller.port}".encode()


def rank(key, members):
    """Return ``members`` ordered by their score for ``key``, highest first.

    Two processes with different views agree on the relative order of the members
    that both know. Views that differ by one member rank few flows differently.
    Reference: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking, 1998.

    Parameters
    ----------
    key : bytes
        Usually from `flow_key`.
    members : iterable of Member
        The members to order.
    """
    return sorted(members, key=lambda member: -_score(key, member.node))


def rank_names(key, names):
    """Return process names in the order in which `rank` puts their members."""
    return sorted(names, key=lambda name: -_score(key, name))


def _score(key, node):
    return xxhash.xxh3_64_intdigest(key, seed=_seed(node))


@lru_cache(maxsize=65_536)
def _seed(node):
    return xxhash.xxh3_64_intdigest(node.encode())
