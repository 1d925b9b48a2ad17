"""A layer-4 load balancer that can say what became of each request.

The command line (``ryesaddle --help``) runs the daemons and the operator's
commands. The names exported here are the coordination parts, which other
programs may embed; none of them performs I/O, and each takes the present time
as an argument. See ``docs/embedding.md``.
"""

from ryesaddle.errors import RyesaddleError
from ryesaddle.internal.admission.admission import Admission, Decline, Start, Wait
from ryesaddle.internal.admission.health import Health
from ryesaddle.internal.claims.acceptor import Acceptor
from ryesaddle.internal.claims.claimant import Claimant, ClaimStatus
from ryesaddle.internal.claims.handover import Handover, combine
from ryesaddle.internal.claims.identity import ClaimId, ClaimMember
from ryesaddle.internal.claims.proposal import Granted, HeldBy, Send
from ryesaddle.internal.claims.view import ClaimView
from ryesaddle.internal.config.model import Limits
from ryesaddle.internal.membership.cell import CellMember
from ryesaddle.internal.membership.snapshot import CellRecord, Replica, Snapshot
from ryesaddle.internal.routing.dispatcher import Discard, Dispatch, Dispatcher
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.owner import (
    Accept,
    Arrival,
    Owner,
    PassOn,
    Refuse,
    Silence,
)
from ryesaddle.internal.routing.rendezvous import rank
from ryesaddle.internal.routing.view import ServiceView

__version__ = "0.1.0"

__all__ = [
    "Accept",
    "Acceptor",
    "Admission",
    "Arrival",
    "CellMember",
    "CellRecord",
    "ClaimId",
    "ClaimMember",
    "ClaimStatus",
    "ClaimView",
    "Claimant",
    "Decline",
    "Discard",
    "Dispatch",
    "Dispatcher",
    "Granted",
    "Handover",
    "Health",
    "HeldBy",
    "Limits",
    "Member",
    "Owner",
    "PassOn",
    "Refuse",
    "Replica",
    "RyesaddleError",
    "Send",
    "ServiceView",
    "Silence",
    "Snapshot",
    "Start",
    "Wait",
    "combine",
    "rank",
]
