"""Lets requests wait for their turn at the target."""

import asyncio

from ryesaddle.internal.admission.admission import Wait

TICK_S = 0.02


class AdmissionQueue:
    """Owns the `Admission` of a target and the futures of waiting requests.

    Parameters
    ----------
    admission : Admission
        Decides.
    """

    def __init__(self, admission):
        self.admission = admission
        self._waiters = {}

    async def acquire(self, attempt, deadline):
        """Return `Start` or `Decline` for an attempt, waiting if need be.

        Parameters
        ----------
        attempt : int
            Names the attempt; pass it to `release` after a `Start`.
        deadline : float
            Time of the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        decision = self.admission.arrive(attempt, deadline, loop.time())
        if not isinstance(decision, Wait):
            return decision
        fut = self._waiters[attempt] = loop.create_future()
        try:
            return await fut
        except asyncio.CancelledError:
            self.admission.abandon(attempt)
            if fut.done() and not fut.cancelled():
                self.release(attempt, measured=False)
            raise
        finally:
            self._waiters.pop(attempt, None)

    def release(self, attempt, measured=True):
        """Free the slot of an attempt and wake those whose turn it is."""
        self.admission.finish(attempt, asyncio.get_running_loop().time(), measured)
        self._wake()

    def retry_after(self):
        """Return whole seconds after which a caller may come back."""
        return self.admission.retry_after(asyncio.get_running_loop().time())

    async def run(self):
        """Decline waiting attempts as soon as they cannot finish in time."""
        while True:
            await asyncio.sleep(TICK_S)
            self._wake()

    def _wake(self):
        now = asyncio.get_running_loop().time()
        for attempt, decision in self.admission.due(now):
            fut = self._waiters.get(attempt)
            if fut is not None and not fut.done():
                fut.set_result(decision)
            else:
                self.admission.finish(attempt, now, measured=False)
