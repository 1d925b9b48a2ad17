"""Balancers that are added reset flows at a server whose entry another one deleted."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins import main

CUT_S = 12.0
JOIN_AFTER_S = 3.0
DELETED_WITHIN_S = 45.0
STABLE_WINDOW_S = 5.0
# Among the names of the balancers this one is responsible for deleting entries.
FIRST_NEW_EDGE = "127.0.10.10"
LATER_NEW_EDGES = ("127.0.10.7", "127.0.10.8", "127.0.10.9")
FLOWS = 3  # of each of these
GAP_S = 0.1  # between their starts
KIND = "ryesaddle-targets"


async def case(deployment, is_troubled):
    """Return 1 if an open flow is reset by the system."""
    host = deployment.side_hosts[0]
    server, entry = deployment.servers[host], f"node-{host}"
    await asyncio.sleep(3.0)
    started_at = time.monotonic()
    if is_troubled:
        deployment.cut(host, True)
    await asyncio.sleep(JOIN_AFTER_S)
    await deployment.start_edge(FIRST_NEW_EDGE, prepare=True)  # machines are added
    await asyncio.sleep(started_at + CUT_S - time.monotonic())
    if is_troubled:
        deployment.cut(host, False)
    await asyncio.sleep(STABLE_WINDOW_S)
    while time.monotonic() < started_at + DELETED_WITHIN_S:
        if entry not in deployment.store.names(KIND):
            break
        await asyncio.sleep(0.05)
    age_s = time.monotonic() - started_at - CUT_S
    names = ", ".join(deployment.store.names(KIND))
    deployment.record(f"{age_s:.1f} s after the end of the cut the store lists {names}")
    flows = {edge: [] for edge in LATER_NEW_EDGES}
    for edge in LATER_NEW_EDGES * FLOWS:
        flow = await deployment.open_at(host, edge, LATER_NEW_EDGES)
        flows[edge].append(flow)
    deployment.record(f"{FLOWS} flows for each new balancer are open at {server.name}")
    results = await asyncio.gather(
        *(
            add_edge(deployment, number * GAP_S, edge, flows[edge], server)
            for number, edge in enumerate(LATER_NEW_EDGES)
        )
    )
    return max(results)


async def add_edge(deployment, delay_s, edge, flows, server):
    """Add a balancer; when it is in rotation, send a request on each of its flows."""
    await asyncio.sleep(delay_s)
    await deployment.start_edge(edge, prepare=True)  # machines are added
    await deployment.wait_for(lambda: deployment.router.is_in_rotation(edge), 10)
    return await deployment.request_all(flows, server)


main(Path(__file__).parent, case, edges=1, servers=3)
