"""Delays new flows until all balancers know a new agent."""

# Five reports. A balancer that acknowledges none of them has failed.
ACK_TIMEOUT_S = 1.0


class ReadinessGate:
    """Readiness condition of an agent: every balancer knows it.

    A balancer that does not know an agent would conclude that the flows of this
    agent have no holder. A balancer that starts later learns of the agent from the
    store. If the agent was registered in the store before this run, every balancer
    learns of it there, so there is nothing to wait for.

    Parameters
    ----------
    started_at : float
        Start of this run, in seconds on a monotonic clock.
    """

    def __init__(self, started_at):
        self._started_at = started_at
        self._acked_by = set()
        self._registered_before = False
        self._satisfied = False

    def registered_before(self):
        """Record that the store already had this agent's entry before this run."""
        self._registered_before = True

    def confirmed(self, balancer):
        """Record that a balancer knows this agent."""
        self._acked_by.add(balancer)

    def is_satisfied(self, balancers, now):
        """Whether the agent may accept new flows.

        Parameters
        ----------
        balancers : iterable of Address
            The balancers that this agent knows.
        now : float
            Seconds on a monotonic clock.
        """
        if not self._satisfied:
            known = set(balancers)
            self._satisfied = (
                self._registered_before
                or now - self._started_at >= ACK_TIMEOUT_S
                or (bool(known) and known <= self._acked_by)
            )
        return self._satisfied
