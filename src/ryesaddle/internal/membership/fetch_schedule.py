"""Decides when a balancer fetches the state of another one."""

# A peer answers within milliseconds. If it does not, such as when it is stopping, the
# configuration is fetched from the next peer that announces it.
CONFIGURATION_RETRY_S = 0.25
# Agents report to every balancer, so most differences between two balancers disappear
# within two report intervals.
AGENTS_SETTLE_S = 1.0
AGENTS_FETCH_INTERVAL_S = 1.0


class FetchSchedule:
    """Decides from which peers a balancer fetches state, and when.

    While many targets are replaced at once, the balancers learn of each new agent at
    slightly different times. Fetching the whole state at every difference would
    transfer all agents many times a second, and delay the fetch of a newer
    configuration.
    """

    def __init__(self):
        self._configuration_fetched_at = float("-inf")
        self._agents_fetched_at = float("-inf")
        self._differs_since = {}
        self._fetched_digests = {}

    def fetches_configuration(self, peer_version, version, now):
        """Whether to fetch a peer's newer configuration now.

        Parameters
        ----------
        peer_version, version : int
            Version that the peer announces, and that of this balancer.
        now : float
            Seconds on a monotonic clock.
        """
        if peer_version <= version:
            return False
        if now - self._configuration_fetched_at < CONFIGURATION_RETRY_S:
            return False
        self._configuration_fetched_at = now
        return True

    def fetches_agents(self, peer, peer_digest, digest, is_complete, now):
        """Whether to fetch the agents that a peer knows now.

        Parameters
        ----------
        peer : str
            Name of the peer.
        peer_digest, digest : int
            Digests of the agents that the peer and this balancer know.
        is_complete : bool
            Whether this balancer knows all registered agents. If it does not, it does
            not wait until the difference has lasted.
        now : float
            Seconds on a monotonic clock.
        """
        if peer_digest == digest:
            self._differs_since.pop(peer, None)
            return False
        differs_since = self._differs_since.setdefault(peer, now)
        if is_complete and now - differs_since < AGENTS_SETTLE_S:
            return False
        # A difference that remains after a fetch, such as an agent that has already
        # been removed here, does not cause another one.
        if self._fetched_digests.get(peer) == peer_digest:
            return False
        if now - self._agents_fetched_at < AGENTS_FETCH_INTERVAL_S:
            return False
        self._agents_fetched_at = now
        self._fetched_digests[peer] = peer_digest
        return True

    def forget(self, peer):
        """Remove what is known of a peer."""
        self._differs_since.pop(peer, None)
        self._fetched_digests.pop(peer, None)
