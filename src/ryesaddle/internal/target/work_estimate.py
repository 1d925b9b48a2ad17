"""Estimates of a target's speed, and of the load that its open flows bring."""

import math

# The last 60 samples make up 95 % of the moving average. Durations of requests vary by
# half of their mean, which leaves a deviation of 8 %.
SMOOTHING = 0.05
# The average of so many deviates by 17 %: enough to tell targets of half the speed
# while many flows are opened at once, as after a power loss.
MIN_SAMPLES = 10
# A longer sample counts as this many times the average, so that a single pause of the
# target's process does not make it look slow.
MAX_SAMPLE_FACTOR = 4.0
# A target that has answered nothing for this long may have changed. It counts as
# unknown then, so that new flows measure it again.
MAX_AGE_S = 10.0
# Long enough to average over some 80 requests of a target that is half busy, short
# enough to follow load that changes within 15 s.
FORECAST_S = 4.0


class WorkEstimate:
    """Moving average of the time of a request that finds a free slot.

    Load pattern: targets of one service that differ in speed. Requests that have to
    queue at the target do not measure it. Until the weight of a new sample has fallen
    to `SMOOTHING`, all samples count alike.
    """

    def __init__(self):
        self._work_s = 0.0
        self._samples = 0
        self._answered_at = -math.inf

    def record_answer(self, elapsed_s, found_free_slot, now):
        """Record an answer that began ``elapsed_s`` seconds after its request."""
        if now - self._answered_at > MAX_AGE_S:
            self._samples = 0
        # A target whose requests all queue is known to be as busy as before.
        self._answered_at = now
        if not found_free_slot:
            return
        self._samples += 1
        if self._samples > MIN_SAMPLES:
            elapsed_s = min(elapsed_s, MAX_SAMPLE_FACTOR * self._work_s)
        weight = max(SMOOTHING, 1 / self._samples)
        self._work_s += weight * (elapsed_s - self._work_s)

    def work_s(self, now):
        """Return the expected time of a request in seconds, 0 if it is not known."""
        is_known = self._samples >= MIN_SAMPLES
        return (
            self._work_s if is_known and now - self._answered_at <= MAX_AGE_S else 0.0
        )


class LoadForecast:
    """Time-weighted average of the requests in flight on flows with several requests.

    Load pattern: flows that are opened once and bring requests for many seconds, so
    that the requests in flight at their opening say little about the load to come.
    Flows with one request each do not count.

    Attributes
    ----------
    in_flight : int
        Requests in flight on such flows; to be changed after `advance`.
    """

    def __init__(self):
        self.in_flight = 0
        self._average = 0.0
        self._advanced_at = None

    def advance(self, now):
        """Count the requests in flight up to ``now``; return the average."""
        if self._advanced_at is not None and now > self._advanced_at:
            weight = -math.expm1((self._advanced_at - now) / FORECAST_S)
            self._average += weight * (self.in_flight - self._average)
        self._advanced_at = now
        return self._average
