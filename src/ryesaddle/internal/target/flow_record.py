"""What an agent has seen of one flow at its target."""

HALF_POSITION_RANGE = 1 << 31  # serial number arithmetic, RFC 1982


class FlowRecord:
    """What was seen of one flow.

    ``accepted`` means that the target has answered the opening packet, ``confirmed``
    that the caller has sent a further packet. ``target_number`` is the last sequence
    number of the target, None until it has sent a packet. ``established`` means that
    the caller's last packet acknowledges what this target has sent. Callers also send
    packets to targets that accepted a copy of their opening packet, but not the one
    whose acceptance they acknowledge.

    ``requested_at`` is the time of a request that the target is working on, None
    without one; ``found_free_slot`` tells whether the target had a free slot then,
    ``is_forecast`` whether the request counts for the forecast.

    ``answer_start`` is the sequence number at which the answer to the last request
    starts, ``answer_end`` the one after the last data of it; None before a request.
    ``answer`` is the `Answer` that the target has begun, None without one.
    """

    __slots__ = (
        "accepted",
        "active_at",
        "answer",
        "answer_end",
        "answer_start",
        "answers_begun",
        "confirmed",
        "ended",
        "established",
        "found_free_slot",
        "in_flight",
        "in_flight_since",
        "is_forecast",
        "last_packet",
        "last_position",
        "opened_at",
        "opening_packet",
        "opening_sequence_number",
        "requested_at",
        "target_number",
        "timeout_s",
    )

    def __init__(self, now, opening_packet, timeout_s, opening_sequence_number=None):
        self.accepted = False
        self.active_at = now
        self.answer = None
        self.answer_end = None
        self.answer_start = None
        self.answers_begun = 0
        self.in_flight = True
        self.confirmed = False
        self.ended = False
        self.established = False
        self.opened_at = now
        self.found_free_slot = False
        self.is_forecast = False
        self.requested_at = None
        self.target_number = None
        self.opening_packet = opening_packet
        self.opening_sequence_number = opening_sequence_number
        self.last_packet = None
        self.last_position = None
        self.timeout_s = timeout_s
        self.in_flight_since = now

    def expect_answer(self, packet):
        """Record where the answer to a request of the caller will start."""
        self.answer_start = self.answer_end = packet.ack_number

    def extend_answer(self, packet):
        """Record how far a packet of the target takes the present answer."""
        if self.answer_end is None or packet.resets:
            return
        end = (packet.sequence_number + packet.data_size) & 0xFFFFFFFF
        if is_after(end, self.answer_end):
            self.answer_end = end

    def answer_size(self):
        """Return the length of the present answer so far, in bytes."""
        return (self.answer_end - self.answer_start) & 0xFFFFFFFF


def is_after(number, other):
    """Whether a sequence number comes after another one (RFC 1982)."""
    return 0 < (number - other) & 0xFFFFFFFF < HALF_POSITION_RANGE
