"""Datagrams between processes as frozen data classes."""

from dataclasses import dataclass

from ryesaddle.internal.address import Address

NO_OFFER = -1


@dataclass(frozen=True, slots=True)
class Forward:
    """A caller's datagram on its way to the agent that owns its flow.

    Attributes
    ----------
    service : str
        Name of the service whose address the datagram arrived at.
    caller, balancer : Address
        Source of the datagram, and the balancer that answers are sent through.
    agent : str
        Name of the addressed agent.
    incarnation : int
        Incarnation of the addressed agent.
    payload : bytes
        The caller's datagram, unchanged.
    visited, pending : tuple of str
        Names of agents that do not own the flow, and of known agents that have
        not been asked yet.
    offer_load : int
        Load of the agent that offers a new flow, or ``NO_OFFER``.
    returned : bool
        Whether the offer was declined and the datagram is returned.
    """

    service: str
    caller: Address
    balancer: Address
    agent: str
    incarnation: int
    payload: bytes
    visited: tuple = ()
    pending: tuple = ()
    offer_load: int = NO_OFFER
    returned: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """A datagram from an agent on its way back to a caller."""

    service: str
    caller: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class Control:
    """An encoded control message, see :mod:`ryesaddle.internal.wire.control`."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Datagram:
    """What one process sends to another in one UDP datagram."""

    sender: str
    incarnation: int
    body: Forward | Answer | Control
