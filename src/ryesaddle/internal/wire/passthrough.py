"""Messages between balancers and agents that pass packets through to targets.

They are encoded as MessagePack by ``msgspec``, which takes a tenth of the time of
the Cap'n Proto codec. It also needs no further import, which matters because these
processes must start quickly.
"""

import msgspec

from ryesaddle.errors import WireError
from ryesaddle.internal.address import Address
from ryesaddle.internal.config.evacuation import EvacuationState
from ryesaddle.internal.target.usual_answers import UsualAnswer


class Candidate(msgspec.Struct, frozen=True, array_like=True):
    """An agent that a new flow may be offered to."""

    node: str
    address: Address


class ForwardedPacket(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A caller's packet on its way to an agent.

    Attributes
    ----------
    service : str
        Name of the service that the packet is for.
    balancer : Address
        Where the balancer that received the packet receives messages.
    payload : bytes
        The packet, unchanged.
    asked : tuple of str
        Names of agents that do not hold the flow.
    candidates : tuple of Candidate
        Further agents that a new flow may be offered to.
    best : Candidate or None
        The least loaded agent among those that have passed on a new flow.
    best_load : float
        Load of ``best``.
    assigned : bool
        Whether the candidates have been compared and the receiver was selected.
    wants_location : bool
        Whether the balancer asks for a `FlowLocation` if the agent holds the flow.
    priority : int
        Urgency; 0 is the highest.
    objective_ms, timeout_ms : int
        Latency objective, and the longest useful duration of a request.
    received_at : float
        When the balancer received the packet, in seconds on its monotonic clock; 0 if
        that is not known, or if a target that was sent the packet may still accept it.
    repeatable : bool
        Whether the caller may repeat the requests of the flow.
    """

    service: str
    balancer: Address
    payload: bytes
    asked: tuple[str, ...] = ()
    candidates: tuple[Candidate, ...] = ()
    best: Candidate | None = None
    best_load: float = 0.0
    assigned: bool = False
    wants_location: bool = False
    priority: int = 9
    objective_ms: int = 0
    timeout_ms: int = 0
    received_at: float = 0.0
    repeatable: bool = False


class ReturnedPacket(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A packet that an agent returns to the balancer, as it does not take the flow.

    Attributes
    ----------
    node : str
        Name of the agent.
    reason : str
        Why the packet is returned, for the log.
    forwarded : ForwardedPacket
        The message that held the packet, with the agent added to ``asked``.
    """

    node: str
    reason: str
    forwarded: ForwardedPacket


class FlowLocation(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Tells a balancer which agent holds a flow.

    Attributes
    ----------
    node : str
        Name of the agent.
    service : str
        Service of the agent.
    caller, front : Address
        The flow: the caller's address and the address of the service.
    """

    node: str
    service: str
    caller: Address
    front: Address


class AgentReport(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """State of an agent and its target, sent to balancers at regular intervals.

    Attributes
    ----------
    node : str
        Name of the agent.
    incarnation : int
        Distinguishes successive runs of the agent.
    service, data_centre : str
        Service of the target, and data centre of the agent.
    address : Address
        Where the agent receives datagrams.
    open : bool
        Whether the agent accepts new flows.
    load : float
        Number of requests at the target divided by its slots.
    slots : int
        Number of requests that the target runs concurrently.
    target : str
        Identifier of the target, empty while unknown.
    draining : bool
        Whether the target is about to stop.
    sequence : int
        Increases with each report of one run.
    interval_s : float
        Time until the next report, in seconds.
    wants_ack : bool
        Whether the balancer is asked for an `AgentReportAck`.
    gone : bool
        Whether the agent exits permanently because its target has ended.
    work_s : float
        Expected time of a request that finds a free slot, in seconds; 0 if unknown.
    forecast : float
        Expected number of further requests in flight from open flows, per slot.
    answers_lookups : bool
        Whether the agent understands `FlowLookup`; older versions ignore it.
    failing : bool
        Whether the target fails its requests, and gets none or only probes.
    on_probation : bool
        Whether it gets probes: single requests that may be repeated.
    usual_answers : tuple of UsualAnswer
        Usual answers of the target, in reports that want an acknowledgement.
    """

    node: str
    incarnation: int
    service: str
    data_centre: str
    address: Address
    open: bool
    load: float
    slots: int
    target: str
    draining: bool
    sequence: int
    interval_s: float = 0.2
    wants_ack: bool = False
    gone: bool = False
    work_s: float = 0.0
    forecast: float = 0.0
    answers_lookups: bool = False
    failing: bool = False
    on_probation: bool = False
    usual_answers: tuple[UsualAnswer, ...] = ()


class AgentReportAck(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Confirms that a balancer knows an agent.

    Attributes
    ----------
    node : str
        Name of the balancer.
    incarnation : int
        Incarnation of the agent that is confirmed.
    target : str
        Identifier of the agent's target in the report before, empty if the
        balancer had none.
    draining : bool
        Whether that target was about to stop.
    interval_s : float
        Interval at which the balancer wants reports, in seconds.
    store_era : int
        Latest era of the store that the balancer has seen.
    evacuation : EvacuationState or None
        The evacuated data centres, if the balancer knows them.
    warm_up_per_s : float
        Requests per second that the target bears while it warms up; 0 if unlimited,
        negative if the balancer has no configuration yet.
    usual_answers : tuple of UsualAnswer
        Usual answers of the service, from the reports of its agents.
    """

    node: str
    incarnation: int
    target: str = ""
    draining: bool = False
    interval_s: float = 0.2
    store_era: int = 0
    evacuation: EvacuationState | None = None
    warm_up_per_s: float = 0.0
    usual_answers: tuple[UsualAnswer, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """State of a balancer, sent to the other balancers.

    Attributes
    ----------
    node, data_centre : str
        Name and data centre of the balancer.
    incarnation : int
        Distinguishes successive runs of the balancer.
    address, control : Address
        Where it receives datagrams, and HTTP calls.
    version : int
        Version of its configuration; 0 if it has none.
    read_age_ms : int
        Time since it last read the configuration from the store, in milliseconds.
    agents_digest : int
        Digest of the set of agents that it knows.
    live_agent_count : int
        Number of agents that have reported to it lately.
    leaving : bool
        Whether it is about to stop.
    store_era : int
        Latest era of the store that it has seen.
    evacuation : EvacuationState or None
        The evacuated data centres, if it knows them.
    """

    node: str
    data_centre: str
    incarnation: int
    address: Address
    control: Address
    version: int
    read_age_ms: int
    agents_digest: int = 0
    live_agent_count: int = 0
    leaving: bool = False
    store_era: int = 0
    evacuation: EvacuationState | None = None


class ReportRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks an agent for an `AgentReport` now, and then at regular intervals.

    Attributes
    ----------
    node : str
        Name of the balancer.
    address : Address
        Where the balancer receives messages.
    register : bool
        Whether the agent is asked to write its entry, which the store lacks.
    """

    node: str
    address: Address
    register: bool = False


class FlowQuery(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks an agent whether it knows that its target holds a flow.

    The answer is a `FlowLocation` or a `FlowUnknown`, without asking the target.

    Attributes
    ----------
    service : str
        Service of the flow.
    balancer : Address
        Where the balancer receives messages.
    caller, front : Address
        The flow: the caller's address and the address of the service.
    """

    service: str
    balancer: Address
    caller: Address
    front: Address


class FlowUnknown(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Tells a balancer that an agent has no record of a flow.

    Attributes
    ----------
    node : str
        Name of the agent.
    caller, front : Address
        The flow: the caller's address and the address of the service.
    certain : bool
        Whether the agent knows all flows of its target, so that the target does not
        hold this one.
    """

    node: str
    caller: Address
    front: Address
    certain: bool


class FlowId(msgspec.Struct, frozen=True, array_like=True):
    """A flow: the caller's address and the address of the service."""

    caller: Address
    front: Address


class LookupItem(msgspec.Struct, frozen=True, array_like=True):
    """One flow of a `FlowLookup`.

    Attributes
    ----------
    caller, front : Address
        The flow.
    payload : bytes
        A packet of the flow, for the target if the agent has no record of the flow.
        If it is empty, the agent answers from its records only.
    """

    caller: Address
    front: Address
    payload: bytes


class FlowLookup(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks an agent which of several flows its target holds.

    Other than with a `FlowQuery`, the agent sends its target the packets of flows that
    it has a record of. It also asks the target about flows of which it has no record,
    by sending it their packets, unless it knows all flows of the target.

    Attributes
    ----------
    balancer : Address
        Where the balancer receives messages.
    items : tuple of LookupItem
        The flows.
    """

    balancer: Address
    items: tuple[LookupItem, ...]


class FlowLookupResult(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Answers a `FlowLookup`, for some of its flows or for all.

    Attributes
    ----------
    node : str
        Name of the agent.
    held, absent, unsure : tuple of FlowId
        Flows that the target holds and whose packet it has been sent, flows that it
        does not hold, and those of which the agent cannot tell.
    presumed : tuple of FlowId
        Flows of which the agent has no record, but whose packet the target has not
        returned.
    """

    node: str
    held: tuple[FlowId, ...] = ()
    absent: tuple[FlowId, ...] = ()
    unsure: tuple[FlowId, ...] = ()
    presumed: tuple[FlowId, ...] = ()


class EvacuationUpdate(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Tells an agent which data centres are evacuated.

    Attributes
    ----------
    evacuation : EvacuationState
        The state that the sending balancer knows.
    """

    evacuation: EvacuationState


PassthroughMessage = (
    ForwardedPacket
    | ReturnedPacket
    | FlowLocation
    | AgentReport
    | AgentReportAck
    | Gossip
    | ReportRequest
    | FlowQuery
    | FlowUnknown
    | FlowLookup
    | FlowLookupResult
    | EvacuationUpdate
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PassthroughMessage)


def encode_message(msg):
    """Return the MessagePack encoding of a message."""
    return _encoder.encode(msg)


def decode_message(data):
    """Return the message in a datagram.

    Raises
    ------
    WireError
        If it is malformed or of a message type unknown to this version.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise WireError(
            "Datagram cannot be decoded as a message; upgrade the older process."
        ) from exc
