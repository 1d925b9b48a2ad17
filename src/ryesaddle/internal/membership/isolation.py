"""Detects a balancer that cannot reach the agents that other balancers reach."""

MIN_HEARD_FRACTION = 0.5


def is_isolated(heard, known, heard_by_others):
    """Whether a balancer is isolated, so that new flows should go to another one.

    Parameters
    ----------
    heard : int
        Number of agents that this balancer receives reports from.
    known : int
        Number of agents that it knows.
    heard_by_others : iterable of int
        Number of agents that each other live balancer receives reports from.

    Returns
    -------
    bool
        True if it receives reports from none of the agents it knows, or from less
        than half as many as another balancer does.
    """
    if known and not heard:
        return True
    return heard < MIN_HEARD_FRACTION * max(heard_by_others, default=0)
