"""Decides when a balancer fetches the state of another one."""

from enum import Enum

# A peer answers within milliseconds. If it does not, such as when it is stopping, the
# configuration is fetched from the next peer that announces it.
CONFIGURATION_RETRY_S = 0.25
# The second one replaces a transfer that makes no progress; more would share its link.
MAX_CONFIGURATION_TRANSFERS = 2
# Versions that follow each other faster than this are fetched together. Reading the
# store, and another try from the next peer, need most of the time for a change.
FETCHES_PER_BOUND = 10
# Agents report to every balancer, so most differences between two balancers disappear
# within two report intervals.
AGENTS_SETTLE_S = 1.0
AGENTS_FETCH_INTERVAL_S = 1.0


class FetchResult(Enum):
    """How a fetch has ended."""

    ARRIVED = "arrived"
    BUSY = "busy"  # the peer serves others first
    FAILED = "failed"


class FetchSchedule:
    """Decides from which peers a balancer fetches state, and when.

    While many targets are replaced at once, the balancers learn of each new agent at
    slightly different times. Fetching the whole state at every difference would
    transfer all agents many times a second, and delay the fetch of a newer
    configuration.

    While the configuration changes many times a second, fetching each version from
    each peer that announces it would fill the links that callers' packets share.

    Parameters
    ----------
    bound_s : float
        Time within which a change of the configuration must take effect, in seconds.
    """

    def __init__(self, bound_s):
        self._min_interval_s = bound_s / FETCHES_PER_BOUND
        self._configuration_fetched_at = float("-inf")
        self._configuration_got_at = float("-inf")
        self._transfers = 0
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
        if self._transfers >= MAX_CONFIGURATION_TRANSFERS:
            return False
        if now - self._configuration_fetched_at < CONFIGURATION_RETRY_S:
            return False
        if now - self._configuration_got_at < self._min_interval_s:
            return False
        self._configuration_fetched_at = now
        self._transfers += 1
        return True

    def end_configuration_fetch(self, result, now):
        """Record the end of a fetch that `fetches_configuration` has started.

        Parameters
        ----------
        result : FetchResult
            How it has ended.
        now : float
            Seconds on a monotonic clock.
        """
        self._transfers -= 1
        match result:
            case FetchResult.ARRIVED:
                self._configuration_got_at = now
            case FetchResult.BUSY:
                # The next peer that announces the version is asked at once.
                self._configuration_fetched_at = float("-inf")
            case FetchResult.FAILED:
                pass

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
