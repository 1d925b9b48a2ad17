"""Limits and spaces the calls that one process makes to the object API."""

import msgspec


class TokenBucket:
    """Allows a steady rate with bounded bursts.

    Parameters
    ----------
    rate : float
        Tokens gained per second.
    burst : float
        Most tokens held at a time.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = None

    def delay(self, now):
        """Take one token and return the seconds to wait before using it."""
        self._gain(now)
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate)

    def try_take(self, now):
        """Take one token if there is one; return whether there was."""
        self._gain(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def put(self, amount):
        """Add ``amount`` tokens, up to the burst."""
        self._tokens = min(self._burst, self._tokens + amount)

    def _gain(self, now):
        if self._at is not None:
            gained = (now - self._at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._at = now


class Backoff(msgspec.Struct, frozen=True):
    """Exponential back-off with full jitter.

    Reference: Brooker, "Exponential Backoff and Jitter", 2015.
    """

    base_s: float = 0.1
    limit_s: float = 5.0

    def delay(self, attempt, rng, retry_after=0.0):
        """Return the seconds to wait before the retry numbered ``attempt``."""
        ceiling = min(self.limit_s, self.base_s * 2 ** min(attempt, 16))
        return retry_after + rng.uniform(0, ceiling)
