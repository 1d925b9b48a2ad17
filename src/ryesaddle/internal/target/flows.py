"""Counts the requests in flight at an agent's target, from the packets of its flows."""

import math
from collections import OrderedDict

import msgspec

from ryesaddle.internal.routing.packet import are_of_one_flow
from ryesaddle.internal.target.flow_record import FlowRecord, is_after
from ryesaddle.internal.target.outcomes import RequestOutcomes
from ryesaddle.internal.target.work_estimate import LoadForecast

# Until the first measurement: requests take 5 to 40 ms, callers are 3 ms away.
INITIAL_SERVICE_S = 0.05
INITIAL_OPENING_S = 0.01
SMOOTHING = 0.1  # the last 20 samples make up nine tenths of the moving average
# A flow counts as abandoned if it takes this many times the average to open.
OPENING_TIMEOUT_FACTOR = 4
MIN_OPENING_TIMEOUT_S = 0.03  # allows for a few scheduling delays on a slow host
# Twice the time after which a caller repeats its opening packet.
MAX_OPENING_TIMEOUT_S = 0.4
# A caller sends copies of an opening packet for 0.6 s and gives up after 1.4 s. Less
# than the 3 s within which a draining target may still get opening packets.
COPY_PERIOD_S = 2.0
DEFAULT_MAX_AGE_S = 60.0
# Bounds the time that a flow counts if its opening packet was not seen here.
DEFAULT_TIMEOUT_S = 10.0
MAX_FLOWS = 20_000  # bounds memory; a target holds 2,000 connections


class FlowOpened(msgspec.Struct, frozen=True):
    """The target has answered an opening packet, ``elapsed_s`` seconds after it."""

    elapsed_s: float


class FlowAdopted(msgspec.Struct, frozen=True):
    """The target has sent a packet of a flow that was not known."""


class AnswerStarted(msgspec.Struct, frozen=True):
    """The target has begun to answer a request, ``elapsed_s`` seconds after it."""

    elapsed_s: float


class TargetFlows:
    """Counts the requests in flight at a target from the packets seen.

    A flow counts as one request from its opening packet, or from new data of the
    caller, to the first data of the target. Packets may be lost, so a flow also stops
    counting after a timeout; no lost packet makes the count wrong for good.

    The flows that the target accepted before the agent started are not known, until
    the target sends a packet or is sent one.

    Parameters
    ----------
    started_at : float
        Start of the agent, in seconds on a monotonic clock.
    max_age_s : float
        Longest duration of a flow, in seconds.

    Attributes
    ----------
    service_s : float
        Moving average of the time from a request to the start of its answer, in
        seconds.
    outcomes : RequestOutcomes
        How the target has answered its requests.
    """

    def __init__(self, started_at=0.0, max_age_s=DEFAULT_MAX_AGE_S):
        self._max_age_s = max_age_s
        # All flows that the target had before the agent started have ended by then.
        self._outlived_at = started_at + max_age_s
        self._complete_from = self._outlived_at
        self._flows = OrderedDict()
        self._opening = OrderedDict()
        # Flows whose opening packet was given to other agents though the target may
        # still accept it: its sequence number, and when it was sent to the target.
        self._withdrawn = OrderedDict()
        self._in_flight = 0
        self._running = 0  # requests whose data was sent to the target
        self._forecast = LoadForecast()
        self._unanswered_since = None
        self._opening_s = INITIAL_OPENING_S
        self.service_s = INITIAL_SERVICE_S
        self.outcomes = RequestOutcomes()

    def __len__(self):
        return len(self._flows)

    def __contains__(self, flow):
        return flow in self._flows

    def is_complete(self, now):
        """Whether every flow that the target holds is known here."""
        return now >= self._complete_from

    def record_target_start(self, now):
        """Record that the target holds no flow that is not known here.

        It has just started, or its process does not run.
        """
        self._complete_from = min(self._complete_from, now)

    def forget_target_start(self):
        """Forget `record_target_start`, because it was about another target."""
        self._complete_from = self._outlived_at

    def in_flight(self, now):
        """Return the number of requests in flight at the target."""
        opening_timeout_s = self._opening_timeout_s()
        while self._opening:
            flow, opened_at = next(iter(self._opening.items()))
            if now - opened_at < opening_timeout_s:
                break
            del self._opening[flow]
            self._set_in_flight(self._flows[flow], False)
        return self._in_flight

    def work_s(self, now):
        """Return the expected time of a request that finds a free slot, in seconds.

        It is 0 if that is not known. Other than `service_s` it does not grow with the
        requests that queue at the target.
        """
        return self.outcomes.work_s(now)

    def forecast(self, now):
        """Return the expected number of requests in flight from open flows."""
        return self._forecast.advance(now)

    def is_copy(self, packet, now):
        """Whether an opening packet is a copy of the one that opened a known flow.

        Callers reuse ports. An opening packet with another sequence number opens a new
        flow, as does one that arrives after the flow has ended or later than any copy.

        Parameters
        ----------
        packet : Packet
            The opening packet.
        now : float
            Seconds on a monotonic clock.
        """
        return self._is_copy(packet.flow, packet.sequence_number, now)

    def has_ended(self, packet, now):
        """Whether an opening packet is a late copy of one whose flow has ended.

        The target has closed its side of the flow; its caller may have yet to.
        """
        record = self._flows.get(packet.flow)
        if record is None or not record.ended:
            return False
        return self._was_opened_by(record, packet.sequence_number, now)

    def remove_superseded(self, packet):
        """Forget the flow whose port the caller reuses for a new opening packet.

        A packet with the number of the recorded one may be a copy that was delayed, so
        that the flow stays known until the target gets the packet.

        Returns whether a flow was known.
        """
        record = self._flows.get(packet.flow)
        if record is None or record.opening_sequence_number == packet.sequence_number:
            return False
        self._drop(packet.flow)
        return True

    def record_opening(
        self, flow, now, opening=None, timeout_s=DEFAULT_TIMEOUT_S, sequence_number=0
    ):
        """Record that an opening packet was sent to the target.

        Parameters
        ----------
        flow : Flow
            The flow.
        now : float
            Seconds on a monotonic clock.
        opening : ForwardedPacket, optional
            The packet, to be sent elsewhere if the target does not answer.
        timeout_s : float
            Time after which a request counts as lost, in seconds.
        sequence_number : int
            Sequence number of the packet, which its copies share.
        """
        if self._unanswered_since is None:
            self._unanswered_since = now
        if self._is_copy(flow, sequence_number, now):
            return
        self._drop(flow)
        self._withdrawn.pop(flow, None)
        self._flows[flow] = FlowRecord(now, opening, timeout_s, sequence_number)
        self._opening[flow] = now
        self._in_flight += 1
        self._bound_flows(now)

    def record_adopted(self, flow, now):
        """Record that the target holds a flow whose opening packet was not seen."""
        if flow not in self._flows:
            record = self._flows[flow] = FlowRecord(now, None, DEFAULT_TIMEOUT_S)
            record.in_flight, record.accepted, record.confirmed = False, True, True
            self._bound_flows(now)

    def record_caller_packet(self, packet, forwarded, now, slots=1):
        """Record a packet of an open flow that was sent to the target.

        Parameters
        ----------
        packet : Packet
            The packet.
        forwarded : ForwardedPacket
            Its envelope, to be sent again if the target has started anew.
        now : float
            Seconds on a monotonic clock.
        slots : int
            Number of requests that the target runs concurrently.
        """
        record = self._flows.get(packet.flow)
        if record is None:
            return
        self._touch(packet.flow, record, now)
        opened_at = self._opening.pop(packet.flow, None)
        if opened_at is not None:
            self._opening_s += SMOOTHING * (now - opened_at - self._opening_s)
        record.confirmed = True
        record.established = record.target_number is not None and are_of_one_flow(
            packet.ack_number, record.target_number
        )
        if packet.has_data and self._has_new_data(record, packet):
            record.last_position = packet.sequence_number
            if not record.in_flight and not record.ended:
                self._set_in_flight(record, True)
                record.in_flight_since = now
            if record.in_flight and record.requested_at is None:
                self._start_request(packet, record, slots, now)
        if record.in_flight:
            record.last_packet = forwarded
        if packet.resets:
            self._drop(packet.flow)

    def record_target_packet(self, packet, now):
        """Record a packet that the target sent.

        Returns
        -------
        FlowAdopted, FlowOpened, AnswerStarted or None
            Whether the flow was not known, whether it is the first answer to an
            opening packet, or the first data of an answer to a request.
        """
        self._unanswered_since = None
        record = self._flows.get(packet.flow)
        if record is None:
            if packet.resets:
                return None
            self._adopt_flow_of(packet, now)
            return FlowAdopted()
        self._touch(packet.flow, record, now)
        is_first = record.opening_packet is not None
        record.opening_packet, record.accepted = None, True
        record.target_number = packet.sequence_number
        record.extend_answer(packet)
        record.ended = record.ended or packet.ends
        elapsed_s = now - record.in_flight_since
        is_served = (packet.has_data or packet.ends) and record.in_flight
        if is_served:
            record.answers_begun += 1
            self.service_s += SMOOTHING * (elapsed_s - self.service_s)
            self._forecast.advance(now)
            self._begin_answer(packet, record, now)
            self._opening.pop(packet.flow, None)
            self._set_in_flight(record, False)
        if record.answer is not None:
            record.answer.size = record.answer_size()
            if packet.ends:
                self._end_answer(record, now)
        if packet.resets:
            self._record_failure(packet.flow, record, "reset", now)
            self._drop(packet.flow)
        if is_served:
            return AnswerStarted(elapsed_s)
        return FlowOpened(elapsed_s) if is_first else None

    def record_return(self, flow, opens):
        """Forget a flow because the target has returned a packet of it.

        Parameters
        ----------
        flow : Flow
            The flow.
        opens : bool
            Whether the packet opens a flow. A target that has accepted an earlier copy
            of it, but cannot accept another flow, still holds the flow.
        """
        self._unanswered_since = None
        record = self._flows.get(flow)
        if opens and record is not None:
            if record.accepted:
                return
            self._withdraw(flow, record)
        self._drop(flow)

    def unanswered_s(self, now):
        """Return the time since the first unanswered opening packet, in seconds.

        It is 0 if the target has sent anything since.
        """
        return 0.0 if self._unanswered_since is None else now - self._unanswered_since

    def record_sign_of_life(self):
        """Record a sign of life other than a packet, such as a heartbeat."""
        self._unanswered_since = None

    def pop_unanswered(self):
        """Remove the flows that the target has not answered; return their packets."""
        flows = [f for f, r in self._flows.items() if r.opening_packet is not None]
        openings = [self._flows[flow].opening_packet for flow in flows]
        for flow in flows:
            self._withdraw(flow, self._flows[flow])
            self._drop(flow)
        return openings

    def expire(self, now, idle_s):
        """Forget flows that were idle for ``idle_s``; stop counting lost requests.

        Returns
        -------
        list of Flow
            Open flows whose request the target has not answered within its timeout.
        """
        while self._flows:
            flow, record = next(iter(self._flows.items()))
            if now - record.active_at < idle_s:
                break
            self._drop(flow)
        while self._withdrawn:
            flow, (_, sent_at) = next(iter(self._withdrawn.items()))
            if now - sent_at < COPY_PERIOD_S:
                break
            del self._withdrawn[flow]
        timed_out = []
        for flow, record in self._flows.items():
            if record.in_flight and now - record.in_flight_since > record.timeout_s:
                self._record_unanswered(flow, record, now)
                self._set_in_flight(record, False)
                if record.confirmed:
                    timed_out.append(flow)
        return timed_out

    def is_established(self, flow):
        """Whether the caller is known to have opened the flow at this target."""
        record = self._flows.get(flow)
        return record is not None and record.established

    def packets_awaiting_answer(self):
        """Return the envelope of the last packet of each flow that awaits an answer."""
        return [
            r.last_packet for r in self._flows.values() if r.in_flight and r.last_packet
        ]

    def describe(self, caller, now):
        """Return one dict for each flow of a caller, for the operator."""
        return [
            {
                "flow": str(flow),
                "opened": record.confirmed,
                "waits_for_answer": record.in_flight,
                "answers_begun": record.answers_begun,
                "ended_by_target": record.ended,
                "last_packet_s_ago": round(now - record.active_at, 3),
            }
            for flow, record in self._flows.items()
            if str(flow.caller) == caller
        ]

    def idle_time_s(self, now):
        """Return the time since the last packet of any flow, in seconds."""
        if not self._flows:
            return math.inf
        return now - self._flows[next(reversed(self._flows))].active_at

    def _is_copy(self, flow, sequence_number, now):
        record = self._flows.get(flow)
        if record is None or record.ended:
            return False
        return self._was_opened_by(record, sequence_number, now)

    @staticmethod
    def _was_opened_by(record, sequence_number, now):
        return (
            record.opening_sequence_number == sequence_number
            and now - record.opened_at < COPY_PERIOD_S
        )

    def _opening_timeout_s(self):
        return min(
            MAX_OPENING_TIMEOUT_S,
            max(MIN_OPENING_TIMEOUT_S, OPENING_TIMEOUT_FACTOR * self._opening_s),
        )

    @staticmethod
    def _has_new_data(record, packet):
        last = record.last_position
        return last is None or is_after(packet.sequence_number, last)

    def _touch(self, flow, record, now):
        record.active_at = now
        self._flows.move_to_end(flow)

    def _start_request(self, packet, record, slots, now):
        self._end_answer(record, now)
        record.expect_answer(packet)
        self._forecast.advance(now)
        record.requested_at = now
        record.found_free_slot = self._running < slots
        record.is_forecast = record.answers_begun > 0
        self._running += 1
        self._forecast.in_flight += record.is_forecast

    def _begin_answer(self, packet, record, now):
        if record.requested_at is None:
            return
        if not packet.has_data and record.answer_size() == 0:
            self._record_failure(packet.flow, record, "no-answer", now)
            return
        record.answer = self.outcomes.begin_answer(
            packet.flow, now - record.requested_at, record.found_free_slot, now
        )

    def _end_answer(self, record, now):
        if record.answer is not None:
            self.outcomes.end_answer(record.answer, now)
            record.answer = None

    def _record_unanswered(self, flow, record, now):
        """Record that a request, if there is one, has no answer within its time.

        The timeout of the route is not known if the opening packet was not seen. A
        flow that is not established may be open at another target, which answers.
        """
        is_timeout_known = record.opening_sequence_number is not None
        is_running = record.requested_at is not None
        if is_running and is_timeout_known and record.established:
            elapsed_s = now - record.requested_at
            self.outcomes.record_failure(flow, "unanswered", elapsed_s, now)

    def _record_failure(self, flow, record, reason, now):
        """Record that the target ends a request, if there is one, without an answer.

        A target that is full may do so.
        """
        if record.requested_at is not None and record.found_free_slot:
            elapsed_s = now - record.requested_at
            self.outcomes.record_failure(flow, reason, elapsed_s, now)

    def _set_in_flight(self, record, in_flight):
        if not in_flight:
            record.last_packet = None
            if record.requested_at is not None:
                record.requested_at = None
                self._running -= 1
                self._forecast.in_flight -= record.is_forecast
        if record.in_flight != in_flight:
            record.in_flight = in_flight
            self._in_flight += 1 if in_flight else -1

    def _bound_flows(self, now):
        if len(self._flows) > MAX_FLOWS:
            self._drop(next(iter(self._flows)))
            self._complete_from = now + self._max_age_s

    def _withdraw(self, flow, record):
        self._withdrawn[flow] = (record.opening_sequence_number, record.opened_at)
        self._withdrawn.move_to_end(flow)
        if len(self._withdrawn) > MAX_FLOWS:
            self._withdrawn.popitem(last=False)

    def _adopt_flow_of(self, packet, now):
        """Record a flow from a packet of the target, and which packet opened it."""
        self.record_adopted(packet.flow, now)
        record = self._flows[packet.flow]
        record.target_number = packet.sequence_number
        if packet.flow in self._withdrawn:
            number, sent_at = self._withdrawn.pop(packet.flow)
            record.opening_sequence_number, record.opened_at = number, sent_at

    def _drop(self, flow):
        self._opening.pop(flow, None)
        record = self._flows.pop(flow, None)
        if record is not None:
            self._set_in_flight(record, False)
