"""Decides when a new agent is known well enough to take flows."""

LIMIT_S = 1.0  # five reports; a balancer that confirms none of them is gone


class Introduction:
    """Waits until every balancer knows this agent.

    A balancer that does not know an agent would take the agent's flows for held
    nowhere. One that starts later learns of the agent from the store. So does
    every balancer if the agent was registered before this run, and then nothing
    needs to be waited for.

    Parameters
    ----------
    started_at : float
        When this run began, in seconds on a monotonic clock.
    """

    def __init__(self, started_at):
        self._started_at = started_at
        self._confirmed = set()
        self._was_registered = False
        self._is_done = False

    def registered_before(self):
        """Note that the store held this agent's entry before this run."""
        self._was_registered = True

    def confirmed(self, balancer):
        """Note that a balancer knows this agent."""
        self._confirmed.add(balancer)

    def is_done(self, balancers, now):
        """Whether new flows may be taken.

        Parameters
        ----------
        balancers : iterable of Address
            The balancers that this agent knows of.
        now : float
            Seconds on a monotonic clock.
        """
        if not self._is_done:
            known = set(balancers)
            self._is_done = (
                self._was_registered
                or now - self._started_at >= LIMIT_S
                or (bool(known) and known <= self._confirmed)
            )
        return self._is_done
