"""Delays new flows until an agent is known and knows its target's state."""

# Five reports. A balancer that acknowledges none of them has failed.
ACK_TIMEOUT_S = 1.0


class ReadinessGate:
    """Readiness conditions of an agent: every balancer knows it, and it knows enough.

    A balancer that does not know an agent would conclude that the flows of this
    agent have no holder. A balancer that starts later learns of the agent from the
    store. If the agent was registered in the store before this run, every balancer
    learns of it there, so there is nothing to wait for.

    A restarted agent that has not heard its target takes its state from the store and
    from the balancers. An earlier run may have acknowledged that the target drains, and
    only some of them may know it. Such an agent therefore asks all of them.

    Parameters
    ----------
    started_at : float
        Start of this run, in seconds on a monotonic clock.
    """

    def __init__(self, started_at):
        self._started_at = started_at
        self._acked_by = set()
        self._registered_before = False
        self._entry_read = False
        self._satisfied = False

    def registered_before(self):
        """Record that the store already had this agent's entry before this run."""
        self._registered_before = True

    def entry_read(self):
        """Record that the agent has read its entry, or that the store has none."""
        self._entry_read = True

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
            self._satisfied = self._registered_before or self._all_have_answered(
                balancers, now
            )
        return self._satisfied

    def confirms_restored_state(self, balancers, now):
        """Whether all that may know the target's last state have been asked.

        Parameters
        ----------
        balancers : iterable of Address
            The balancers that this agent knows.
        now : float
            Seconds on a monotonic clock.
        """
        return self._entry_read and self._all_have_answered(balancers, now)

    def _all_have_answered(self, balancers, now):
        if now - self._started_at >= ACK_TIMEOUT_S:
            return True
        known = set(balancers)
        return bool(known) and known <= self._acked_by
