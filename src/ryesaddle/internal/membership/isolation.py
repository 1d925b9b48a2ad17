"""Decides whether a balancer is cut off from the agents that others reach."""

MIN_HEARD_SHARE = 0.5


def is_isolated(heard, known, heard_by_others):
    """Whether new flows are better sent to another balancer.

    Parameters
    ----------
    heard : int
        Agents that this balancer hears.
    known : int
        Agents that it knows of.
    heard_by_others : iterable of int
        Agents that each of the balancers hears that this one hears.

    Returns
    -------
    bool
        True if it hears none of the agents it knows, or less than half of those
        that another balancer hears.
    """
    if known and not heard:
        return True
    return heard < MIN_HEARD_SHARE * max(heard_by_others, default=0)
