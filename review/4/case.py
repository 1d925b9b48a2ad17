"""A balancer that was cut off resets open flows at a server that joined meanwhile."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins import main

CUT_S = 12.0  # of each of two cuts
SECOND_CUT_AFTER_S = 8.0
STABLE_WINDOW_S = 5.0
NEW_HOST = "127.0.11.9"
FLOWS = 6


async def cut_off(deployment, host):
    """Cut a machine off twice; the cuts overlap."""
    deployment.cut(host, True)
    await asyncio.sleep(SECOND_CUT_AFTER_S + CUT_S)
    deployment.cut(host, False)


async def case(deployment, is_troubled):
    """Return 1 if an open flow is reset by the system."""
    client, edge = deployment.client, deployment.edge_hosts[2]
    for _ in range(30):
        await client.request_once()
    started_at = time.monotonic()
    if is_troubled:
        deployment.run(cut_off(deployment, edge))
    await asyncio.sleep(0.5)
    server = await deployment.start_side(NEW_HOST)  # servers are added
    cut_s = SECOND_CUT_AFTER_S + CUT_S
    await asyncio.sleep(started_at + cut_s - 4.0 - time.monotonic())
    # Flows that the router sends to the third balancer while that is in rotation.
    flows = [await deployment.open_at(NEW_HOST, edge) for _ in range(FLOWS)]
    deployment.record(f"{len(flows)} flows are open at {server.name}")
    await asyncio.sleep(started_at + cut_s + STABLE_WINDOW_S + 1.0 - time.monotonic())
    if not deployment.router.is_in_rotation(edge):
        deployment.record(f"{edge} is out of rotation")
    await deployment.record_status()
    return await deployment.request_all(flows, server)


main(Path(__file__).parent, case, edges=3, servers=3)
