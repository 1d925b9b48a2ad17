"""The usual times and sizes of answers, by route.

A load balancer at layer 4 cannot read the status of an answer. What it can tell is
whether an answer began much sooner than the route's work takes, and whether it is much
shorter than the route's answers are.
"""

from collections import OrderedDict, deque

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.median import upper_median

SAMPLES = 128  # of each route; bounds memory and follows changes within seconds
MIN_SAMPLES = 10  # of each route
LOW_QUANTILE = 0.05
MAX_ROUTES = 64  # whose samples are kept
# Most services have fewer routes in use. Each takes some 30 bytes of the reports that
# ask for an acknowledgement, and of the acknowledgement.
MAX_REPORTED_ROUTES = 8
# Of fewer agents, the median may be that of a failing one.
MIN_AGENTS = 3


class UsualAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The lower ends of the usual times and sizes of a route's answers.

    Attributes
    ----------
    front : Address
        Service address of the route.
    time_s : float
        A twentieth of the answers begin sooner after their request, in seconds.
    size : int
        A twentieth of the answers are shorter, in bytes.
    """

    front: Address
    time_s: float
    size: int


class _RouteSamples:
    __slots__ = ("count", "sizes", "times_s", "usual", "usual_count")

    def __init__(self):
        self.count = 0
        self.times_s = deque(maxlen=SAMPLES)
        self.sizes = deque(maxlen=SAMPLES)
        self.usual = None
        self.usual_count = 0


class AnswerSamples:
    """The last answers of one target, by route."""

    def __init__(self):
        self._routes = OrderedDict()

    def clear(self):
        """Forget all answers."""
        self._routes.clear()

    def record(self, front, time_s, size):
        """Record an answer.

        Parameters
        ----------
        front : Address
            Service address of its route.
        time_s : float
            Time from the request to the start of the answer, in seconds.
        size : int
            Length of the answer, in bytes.
        """
        samples = self._routes.get(front)
        if samples is None:
            samples = self._routes[front] = _RouteSamples()
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(front)
        samples.count += 1
        samples.times_s.append(time_s)
        samples.sizes.append(size)

    def usual(self, front):
        """Return the `UsualAnswer` of a route, None after too few answers."""
        samples = self._routes.get(front)
        if samples is None or len(samples.sizes) < MIN_SAMPLES:
            return None
        # Sorting the samples for every answer would cost more than handling it.
        if samples.usual is None or samples.count - samples.usual_count >= MIN_SAMPLES:
            samples.usual_count = samples.count
            samples.usual = UsualAnswer(
                front, round(_low(samples.times_s), 5), _low(samples.sizes)
            )
        return samples.usual

    def usual_answers(self):
        """Return the `UsualAnswer` of the routes that were used last."""
        known = (self.usual(front) for front in reversed(self._routes))
        return tuple(usual for usual in known if usual is not None)[
            :MAX_REPORTED_ROUTES
        ]


def combine_usual_answers(reported):
    """Return the usual answers of a service.

    Parameters
    ----------
    reported : iterable of tuple of UsualAnswer
        The usual answers of each of its targets. Medians are taken, so that targets
        that fail do not count while the others are more. Of many routes, those count
        that most targets report.
    """
    by_front = {}
    for answers in reported:
        for usual in answers:
            by_front.setdefault(usual.front, []).append(usual)
    known = [answers for answers in by_front.values() if len(answers) >= MIN_AGENTS]
    known.sort(key=len, reverse=True)
    return tuple(
        UsualAnswer(
            answers[0].front,
            upper_median([usual.time_s for usual in answers]),
            upper_median([usual.size for usual in answers]),
        )
        for answers in known[:MAX_REPORTED_ROUTES]
    )


def _low(values):
    return sorted(values)[int(LOW_QUANTILE * len(values))]
