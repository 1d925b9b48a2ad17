"""Judges from the packets of a target whether it serves its requests."""

from collections import deque

import msgspec

from ryesaddle.internal.admission.health import Health
from ryesaddle.internal.routing.packet import MAX_BYTES_IN_FLIGHT, Flow
from ryesaddle.internal.target.usual_answers import AnswerSamples, UsualAnswer
from ryesaddle.internal.target.work_estimate import WorkEstimate

# An answer that begins in less than this share of the low end of the usual time, and
# is shorter than this share of the low end of the usual size, is no usual answer. Of
# independent log-normal times and sizes that deviate by half of their mean, one in
# 90,000 is as quick and short by chance.
QUICK_SHARE = 0.5
SHORT_SHARE = 0.75
# A short answer takes a few packets, which a target beside its agent sends at once.
ANSWER_SETTLE_S = 0.02
MAX_FAILURES_KEPT = 100  # until they are logged; bounds memory


class RequestFailed(msgspec.Struct, frozen=True):
    """A request that the target has failed, and what shows it.

    Attributes
    ----------
    flow : Flow
        The flow of the request.
    reason : str
        ``reset``, ``no-answer`` (the target has closed the flow without an answer),
        ``unanswered`` (it has sent none within the route's time) or
        ``quick-and-short``.
    elapsed_s : float
        Time from the request to the answer or the end of the flow, in seconds.
    size : int
        Length of the answer, in bytes.
    usual : UsualAnswer or None
        What the answer was compared with, if it was.
    """

    flow: Flow
    reason: str
    elapsed_s: float
    size: int = 0
    usual: UsualAnswer | None = None


class Answer(msgspec.Struct):
    """An answer that a target has begun.

    ``begun_at`` is the time when it began, ``size`` its length so far, in bytes.
    ``judged`` tells whether the request has been judged, ``failed`` whether it counts
    as failed.
    """

    flow: Flow
    elapsed_s: float
    begun_at: float
    size: int = 0
    judged: bool = False
    failed: bool = False


class RequestOutcomes:
    """Judges each request of a target by the packets that answer it.

    Load pattern: targets that fail requests at once while they say that they are well.
    An agent cannot read an answer. A request counts as failed if the target resets or
    closes its flow without an answer, or leaves it without one for longer than the
    route allows, or if the answer is both far quicker and far shorter than the usual
    answers of the same route. Either of these two alone is not enough: some targets
    are faster than others, and some answers are short.

    The usual answers are those of the service, as balancers have told them, otherwise
    those that this target has given before. Requests that had to queue at the target
    are only judged by whether they are answered in time: a target that is full may
    turn requests away.

    Attributes
    ----------
    health : Health
        Whether the target fails its requests.
    """

    def __init__(self):
        self.health = Health()
        self._work = WorkEstimate()
        self._samples = AnswerSamples()
        self._service_usual = {}
        self._unsettled = deque()
        self._failures = deque(maxlen=MAX_FAILURES_KEPT)

    def record_target_start(self):
        """Record that another target has started, or the same one anew."""
        self.health.forget()
        self._samples.clear()

    def set_service_usual(self, usual_answers):
        """Set the usual answers of the service; an empty tuple changes nothing."""
        if usual_answers:
            self._service_usual = {usual.front: usual for usual in usual_answers}

    def usual_answers(self):
        """Return the `UsualAnswer` of the target's routes, to be combined by others."""
        return self._samples.usual_answers()

    def work_s(self, now):
        """Return the expected time of a request that finds a free slot, in seconds."""
        return self._work.work_s(now)

    def begin_answer(self, flow, elapsed_s, found_free_slot, now):
        """Record the first packet of an answer.

        Returns
        -------
        Answer or None
            Its ``size`` is to be kept up to date, and `end_answer` to be called when
            it is complete. None if the request is not judged.
        """
        if not found_free_slot:
            self._work.record_answer(elapsed_s, False, now)
            return None
        answer = Answer(flow, elapsed_s, now)
        usual = self._usual(flow.front)
        if usual is not None and elapsed_s < QUICK_SHARE * usual.time_s:
            self._unsettled.append(answer)
        else:
            self._record_success(answer, now)
        return answer

    def end_answer(self, answer, now):
        """Record that the size of an answer is final."""
        if not answer.judged:
            self._judge(answer, now)
        is_compared_with_itself = answer.flow.front not in self._service_usual
        if answer.size and not (answer.failed and is_compared_with_itself):
            self._samples.record(answer.flow.front, answer.elapsed_s, answer.size)

    def record_failure(self, flow, reason, elapsed_s, now):
        """Record that a request has got no answer."""
        self._fail(RequestFailed(flow, reason, elapsed_s), now)

    def settle(self, now):
        """Judge the answers that were not complete at once; return new failures."""
        while self._unsettled and now - self._unsettled[0].begun_at >= ANSWER_SETTLE_S:
            answer = self._unsettled.popleft()
            if not answer.judged:
                self._judge(answer, now)
        failures = tuple(self._failures)
        self._failures.clear()
        return failures

    def _usual(self, front):
        return self._service_usual.get(front) or self._samples.usual(front)

    def _judge(self, answer, now):
        usual = self._usual(answer.flow.front)
        # More than that may be to come if the flow stays open.
        expected_size = min(usual.size, MAX_BYTES_IN_FLIGHT) if usual else 0
        if answer.size < SHORT_SHARE * expected_size:
            answer.judged = answer.failed = True
            failure = RequestFailed(
                answer.flow, "quick-and-short", answer.elapsed_s, answer.size, usual
            )
            self._fail(failure, now)
        else:
            self._record_success(answer, now)

    def _record_success(self, answer, now):
        answer.judged = True
        self._work.record_answer(answer.elapsed_s, True, now)
        self.health.succeeded(now)

    def _fail(self, failure, now):
        self._failures.append(failure)
        self.health.failed(now)
