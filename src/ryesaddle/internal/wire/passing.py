"""Datagrams between processes that pass packets through to targets.

MessagePack by ``msgspec``: a tenth of the time of the Cap'n Proto codec, and no
import of its own, which counts where a process must start quickly.
"""

import msgspec

from ryesaddle.errors import WireError
from ryesaddle.internal.address import Address


class Candidate(msgspec.Struct, frozen=True, array_like=True):
    """An agent that a new flow may be offered to."""

    node: str
    address: Address


class Carry(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A caller's packet on its way to an agent.

    Attributes
    ----------
    service : str
        Service that the packet is for.
    balancer : Address
        Where the balancer that took the packet receives messages.
    payload : bytes
        The packet, unchanged.
    asked : tuple of str
        Agents that the flow is not held by.
    candidates : tuple of Candidate
        Further agents that a new flow may be offered to.
    best : Candidate or None
        The least loaded of the agents that have passed on a new flow.
    best_load : float
        Load of ``best``.
    settled : bool
        Whether the flow has been offered round and belongs here.
    asks : bool
        Whether the balancer wants to know if the agent holds the flow.
    priority : int
        Urgency; 0 is the highest.
    objective_ms, timeout_ms : int
        Latency objective, and the longest useful duration of a request.
    """

    service: str
    balancer: Address
    payload: bytes
    asked: tuple[str, ...] = ()
    candidates: tuple[Candidate, ...] = ()
    best: Candidate | None = None
    best_load: float = 0.0
    settled: bool = False
    asks: bool = False
    priority: int = 9
    objective_ms: int = 0
    timeout_ms: int = 0


class Return(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A packet whose flow the agent does not hold, on its way back.

    Attributes
    ----------
    node : str
        The agent.
    reason : str
        Why, for logs.
    carry : Carry
        What was carried, with the agent among the asked.
    """

    node: str
    reason: str
    carry: Carry


class Held(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Tells a balancer which agent holds a flow that it sent elsewhere.

    Attributes
    ----------
    node : str
        The agent.
    service : str
        Its service.
    caller, front : Address
        The flow.
    """

    node: str
    service: str
    caller: Address
    front: Address


class Report(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What an agent says of itself and its target.

    Attributes
    ----------
    node : str
        Name of the agent.
    incarnation : int
        Distinguishes successive runs of the agent.
    service, data_centre : str
        The service it serves, and where it runs.
    address : Address
        Where it receives datagrams.
    open : bool
        Whether it takes new flows.
    load : float
        Requests at the target for each of its slots.
    slots : int
        Requests that the target runs at a time.
    target : str
        Identifier of the target, empty while unknown.
    draining : bool
        Whether the target is about to stop.
    sequence : int
        Grows with each report of one run.
    interval_s : float
        Time until the next report, in seconds.
    wants_ack : bool
        Whether the balancer is to confirm that it knows the agent.
    gone : bool
        Whether the agent ends for good, since its target has ended.
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


class ReportAck(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Confirms that a balancer knows an agent.

    Attributes
    ----------
    node : str
        The balancer.
    incarnation : int
        Run of the agent that is confirmed.
    target : str
        The agent's target as the balancer knew it before, empty if it did not.
    draining : bool
        Whether that target was about to stop.
    interval_s : float
        How often the balancer wants reports, in seconds.
    """

    node: str
    incarnation: int
    target: str = ""
    draining: bool = False
    interval_s: float = 0.2


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """What balancers tell each other.

    Attributes
    ----------
    node, data_centre : str
        The balancer and where it runs.
    incarnation : int
        Distinguishes its runs.
    address, control : Address
        Where it receives datagrams, and HTTP calls.
    version : int
        Its configuration; 0 if it has none.
    read_age_ms : int
        Time since it last read the configuration from the store, in milliseconds.
    agents : int
        Digest of the agents it knows.
    heard : int
        How many agents it hears.
    leaving : bool
        Whether it is about to stop.
    """

    node: str
    data_centre: str
    incarnation: int
    address: Address
    control: Address
    version: int
    read_age_ms: int
    agents: int = 0
    heard: int = 0
    leaving: bool = False


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks an agent for a `Report`, now and from now on.

    Attributes
    ----------
    node : str
        The balancer.
    address : Address
        Where it receives messages.
    register : bool
        Whether the store lacks the agent's entry.
    """

    node: str
    address: Address
    register: bool = False


PassingMessage = Carry | Return | Held | Report | ReportAck | Gossip | Hello

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PassingMessage)


def encode_message(msg):
    """Return the bytes of one message."""
    return _encoder.encode(msg)


def decode_message(data):
    """Return the message in a datagram.

    Raises
    ------
    WireError
        If it is malformed.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise WireError(
            "Datagram is not a message of this version; upgrade the older process."
        ) from exc
