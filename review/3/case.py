"""A report of another writer makes a restarted agent disown its server's flows."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins import SERVICE, call, main

STABLE_WINDOW_S = 5.0
FLOWS = 6


async def case(deployment, is_troubled):
    """Return 1 if an open flow is reset by the system."""
    host = deployment.side_hosts[0]
    server = deployment.servers[host]
    flows = [await deployment.open_at(host) for _ in range(FLOWS)]
    deployment.record(f"{len(flows)} flows are open at {server.name}")
    # Nodes beside servers are stopped and started in turn.
    await deployment.stop_process(host, signal.SIGTERM)
    await asyncio.sleep(0.3)
    deployment.start_agent(host)
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    if is_troubled:
        # Fields are missing: address, zone, version, slots, warmupLeftMs and born.
        body = json.dumps({"service": SERVICE, "state": "ready", "seq": 1}).encode()
        path = "/ryesaddle/instances/i-other/heartbeat"
        status = await call(deployment.at(host, "admin"), "POST", path, body)
        deployment.record(f"report of another writer to {host}: {status}")
    await asyncio.sleep(0.5)
    return await deployment.request_all(flows, server)


main(Path(__file__).parent, case, edges=2, servers=3)
