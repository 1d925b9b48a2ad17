"""Queues requests until the target has a free slot."""

import asyncio

from ryesaddle.internal.admission.admission import Wait

TICK_INTERVAL_S = 0.02


class AdmissionQueue:
    """Suspends requests until `Admission` starts or declines them.

    Parameters
    ----------
    admission : Admission
        Makes the decisions; performs no I/O itself.
    """

    def __init__(self, admission):
        self.admission = admission
        self._waiters = {}

    async def acquire(self, attempt, deadline):
        """Return `Start` or `Decline` for an attempt, waiting if necessary.

        Parameters
        ----------
        attempt : int
            Number of the attempt; pass it to `release` after a `Start`.
        deadline : float
            Deadline of the request, in the event loop's time.
        """
        loop = asyncio.get_running_loop()
        decision = self.admission.arrive(attempt, deadline, loop.time())
        if not isinstance(decision, Wait):
            return decision
        future = self._waiters[attempt] = loop.create_future()
        try:
            return await future
        except asyncio.CancelledError:
            self.admission.abandon(attempt)
            if future.done() and not future.cancelled():
                self.release(attempt, measured=False)
            raise
        finally:
            self._waiters.pop(attempt, None)

    def release(self, attempt, measured=True):
        """Release the slot of an attempt and resume the next waiting attempts."""
        self.admission.finish(attempt, asyncio.get_running_loop().time(), measured)
        self._resume_waiters()

    def retry_after(self):
        """Return the number of whole seconds after which a caller may retry."""
        return self.admission.retry_after(asyncio.get_running_loop().time())

    async def run(self):
        """Decline waiting attempts that can no longer meet their deadline."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._resume_waiters()

    def _resume_waiters(self):
        now = asyncio.get_running_loop().time()
        for attempt, decision in self.admission.due(now):
            future = self._waiters.get(attempt)
            if future is not None and not future.done():
                future.set_result(decision)
            else:
                self.admission.finish(attempt, now, measured=False)
