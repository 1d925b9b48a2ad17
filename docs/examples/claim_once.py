"""Three embedded agents agree which of them runs a job."""

import random

from ryesaddle import Acceptor, Claimant, ClaimMember, ClaimView, Granted, Handover

KEY_TTL_S = 3_600.0


def main():
    """Let all three agents claim the same key and print who may run it."""
    members = tuple(ClaimMember(name, incarnation=1) for name in ("a", "b", "c"))
    view = ClaimView(1, members)
    acceptors = {member: Acceptor(member, KEY_TTL_S) for member in members}
    claimants = {member: Claimant(member, random.Random(7)) for member in members}
    for member in members:
        acceptors[member].install(view, Handover(), now=0.0)
        claimants[member].change_view(view, now=0.0)

    claims, mailbox = {}, []
    for member in members:
        claims[member], sends = claimants[member].propose("job-17", now=0.0)
        mailbox += [(member, send) for send in sends]

    # An embedding program would carry these messages over its own sockets, and
    # tick with its own clock; here everything arrives in order.
    now = 0.0
    while not any(isinstance(claimants[m].result(claims[m]), Granted) for m in members):
        now += 0.1
        while mailbox:
            sender, send = mailbox.pop(0)
            answer = acceptors[send.to].handle(send.msg, now)
            if answer is not None:
                sends = claimants[sender].handle(send.to, answer, now)
                mailbox += [(sender, send) for send in sends]
        for member in members:
            mailbox += [(member, send) for send in claimants[member].tick(now)]

    runners = [m.node for m in members if claimants[m].take(claims[m])]
    print(f"job-17 is run by {runners}")
    return runners


if __name__ == "__main__":
    main()
