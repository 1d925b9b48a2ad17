"""Whether it is recorded outside an agent that its target drains."""

# A record outlives the failure of one host.
REQUIRED_BALANCERS = 2


class DrainRecord:
    """The balancers that are known to know that a target drains.

    An agent may be killed right after it has acknowledged a heartbeat that says
    draining, and the target may then stay silent. The agent that starts next learns of
    the draining only from the store or from balancers.
    """

    def __init__(self):
        self._target = ""
        self._balancers = set()

    def clear(self):
        """Forget all balancers, because the target does not drain."""
        self._balancers.clear()

    def record(self, target, balancer):
        """Record that a balancer knows that a target drains."""
        if target != self._target:
            self._target = target
            self._balancers.clear()
        self._balancers.add(balancer)

    def is_complete(self, target, balancers):
        """Whether enough balancers know that a target drains.

        Parameters
        ----------
        target : str
            Identifier of the target.
        balancers : iterable of Address
            The balancers that the agent knows.
        """
        known = set(balancers)
        if target != self._target or not known:
            return False
        return len(known & self._balancers) >= min(REQUIRED_BALANCERS, len(known))
