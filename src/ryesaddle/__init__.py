"""A layer-4 load balancer that can report the outcome of each request.

The command line (``ryesaddle --help``) runs the daemons and the operator's
commands. The names exported here are the coordination logic, which other programs
may embed. None of it performs I/O, and the present time is passed as an argument.
See ``docs/embedding.md``.
"""

from importlib import import_module

__version__ = "0.1.0"

# Modules are imported on first use, so that a starting process does not wait for
# modules that it never uses.
_MODULES = {
    "Accept": "internal.routing.owner",
    "Acceptor": "internal.claims.acceptor",
    "Admission": "internal.admission.admission",
    "Arrival": "internal.routing.owner",
    "CellMember": "internal.membership.cell",
    "CellRecord": "internal.membership.snapshot",
    "ClaimId": "internal.claims.identity",
    "ClaimMember": "internal.claims.identity",
    "ClaimStatus": "internal.claims.claimant",
    "ClaimView": "internal.claims.view",
    "Claimant": "internal.claims.claimant",
    "Decline": "internal.admission.admission",
    "Discard": "internal.routing.dispatcher",
    "Dispatch": "internal.routing.dispatcher",
    "Dispatcher": "internal.routing.dispatcher",
    "Granted": "internal.claims.proposal",
    "Handover": "internal.claims.handover",
    "Health": "internal.admission.health",
    "HeldBy": "internal.claims.proposal",
    "Limits": "internal.config.model",
    "Member": "internal.routing.member",
    "Owner": "internal.routing.owner",
    "PassOn": "internal.routing.owner",
    "Refuse": "internal.routing.owner",
    "Replica": "internal.membership.snapshot",
    "RyesaddleError": "errors",
    "Send": "internal.claims.proposal",
    "ServiceView": "internal.routing.view",
    "Silence": "internal.routing.owner",
    "Snapshot": "internal.membership.snapshot",
    "Start": "internal.admission.admission",
    "Wait": "internal.admission.admission",
    "combine": "internal.claims.handover",
    "rank": "internal.routing.rendezvous",
}

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


def __getattr__(name):
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
