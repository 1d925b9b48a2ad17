"""A status report of another writer reopens a server that drains."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins import FRONT, SERVICE, call, main

DRAIN_S = 5.0  # drainMs
FOREIGN_AFTER_S = 1.0
SERVES_ON_S = 12.0  # after the acknowledgement: drainMs and some seconds
REQUEST_INTERVAL_S = 0.05


async def send_requests(deployment, flows):
    """Open a flow for each request, until cancelled."""

    async def one():
        flow = deployment.client.new_flow()
        flows.append(flow)
        if await deployment.client.open(flow):
            await deployment.client.request(flow, b"submit")

    while True:
        deployment.run(one())
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def case(deployment, is_troubled):
    """Drain a server; return 1 if it gets a new flow later than `DRAIN_S`."""
    flows = []
    deployment.run(send_requests(deployment, flows))
    await asyncio.sleep(6.0)  # all machines are in touch
    server = deployment.servers[deployment.side_hosts[0]]
    before = len(server.executed)
    server.state = "draining"
    await deployment.wait_for(lambda: server.drain_acknowledged_at, 5)
    await asyncio.sleep(FOREIGN_AFTER_S)
    if is_troubled:
        # Fields are missing: address, zone, version, slots, warmupLeftMs and born.
        body = json.dumps({"service": SERVICE, "state": "ready", "seq": 3}).encode()
        path = "/ryesaddle/instances/i-other/heartbeat"
        status = await call(deployment.at(server.host, "admin"), "POST", path, body)
        deployment.record(f"report of another writer to {server.host}: {status}")
    acknowledged_at = server.drain_acknowledged_at
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
    late = []
    for flow in flows:
        key = flow.src, FRONT
        if key not in server.opened or flow.sent_at < acknowledged_at + DRAIN_S:
            continue
        late.append(flow)
        sent_s = flow.sent_at - acknowledged_at
        deployment.record(
            f"broken: port {flow.port} was sent {sent_s:.2f} s after the"
            f" acknowledgement and opened at {server.name}"
        )
    deployment.record(
        f"requests sent {len(flows)}, run at {server.name} before it drained {before},"
        f" new flows there later than {DRAIN_S} s: {len(late)}"
    )
    if not before:
        return 2
    return 1 if late else 0


main(Path(__file__).parent, case, edges=2, servers=3)
