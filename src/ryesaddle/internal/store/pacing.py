"""Rate limiting and exponential back-off for calls to other processes."""

import msgspec


class TokenBucket:
    """Token bucket rate limiter.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Capacity of the bucket.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = None

    def reserve(self, now):
        """Reserve one token; return the seconds to wait until it is available."""
        self._refill(now)
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate)

    def try_take(self, now, count=1):
        """Take ``count`` tokens if they are available; return whether they were."""
        self._refill(now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def try_overdraw(self, now, count):
        """Take ``count`` tokens if any is left; return whether they were taken.

        The bucket may then owe tokens. A count above the capacity can thus be taken,
        and the mean rate still holds.
        """
        self._refill(now)
        if self._tokens <= 0:
            return False
        self._tokens -= count
        return True

    def charge(self, now, count):
        """Take ``count`` tokens, even if the bucket then owes some."""
        self._refill(now)
        self._tokens -= count

    def _refill(self, now):
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now


class Backoff(msgspec.Struct, frozen=True):
    """Exponential back-off with full jitter.

    Reference: Brooker, "Exponential Backoff and Jitter", 2015.

    Attributes
    ----------
    base_s : float
        Maximum delay of the first retry, in seconds.
    limit_s : float
        Maximum delay of any retry, in seconds.
    """

    base_s: float = 0.1
    limit_s: float = 5.0

    def delay(self, attempt, rng, retry_after=0.0):
        """Return the delay before a retry, in seconds.

        Parameters
        ----------
        attempt : int
            Number of the retry, from 0.
        rng : random.Random
            Source of jitter.
        retry_after : float
            Delay that the server asked for, in seconds; added to the back-off.
        """
        ceiling = min(self.limit_s, self.base_s * 2 ** min(attempt, 16))
        return retry_after + rng.uniform(0, ceiling)
