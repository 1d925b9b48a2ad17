"""New flows a second, throughput and memory of the real processes."""

import asyncio
import contextlib
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import psutil

from tests.support.caller import open_flow
from tests.support.deployment import Deployment

CALLERS = 3
SECONDS = 5.0
OPEN_FLOWS = (25, 50, 100, 200, 400)
CHANGES = 8
DOWNLOADS = 9
DOWNLOAD_BYTES = 8 * 1_048_576
PACK_BYTES = 16 * 1_048_576
CONCURRENT = 4


def run_processes():
    """Return one row of figures of one balancer and one agent on loopback."""
    return asyncio.run(_run())


async def _run():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 1}, 1, 1, work_s=0.0)
        deployment.limits = {"slots": 64, "queue": 512, "ramp_s": 0.1}
        try:
            await deployment.start()
            return await _measure(deployment)
        finally:
            deployment.stop()


async def _measure(deployment):
    loop = asyncio.get_running_loop()
    names = ("balancer-0", "agent-case-desk-0")
    watched = {name: psutil.Process(deployment.processes[name].pid) for name in names}
    entry = deployment.service_addresses["case-desk"]
    idle = {name: process.memory_info().rss for name, process in watched.items()}
    before = _cpu(watched)
    with ProcessPoolExecutor(CALLERS) as pool:
        jobs = [loop.run_in_executor(pool, open_flows, entry) for _ in range(CALLERS)]
        flows = sum(await asyncio.gather(*jobs))
    after = _cpu(watched)
    status = (await deployment.status())["balancer-0"]["counts"]
    datagrams = status["balancer.forwarded"] + status["balancer.answered"]
    began = time.monotonic()
    cpu = _cpu(watched)
    async with open_flow(*entry) as caller:
        reply = await caller.request("GET", f"/pack?bytes={PACK_BYTES}", timeout_s=120)
    took = time.monotonic() - began
    assert len(reply.body) == PACK_BYTES
    spent = _cpu(watched)
    row = {
        "new_flows_per_s": round(flows / SECONDS, 1),
        "download_mb_per_s": round(PACK_BYTES / took / 1e6, 2),
        "balancer_us_per_datagram": round(
            (after[names[0]] - before[names[0]]) / datagrams * 1e6, 1
        ),
        "agent_ms_per_flow": round(
            (after[names[1]] - before[names[1]]) / flows * 1e3, 2
        ),
    }
    for name, process in watched.items():
        role = name.partition("-")[0]
        row[f"{role}_idle_mb"] = round(idle[name] / 1e6, 1)
        row[f"{role}_mb"] = round(process.memory_info().rss / 1e6, 1)
        row[f"{role}_cpu_s_per_download"] = round(spent[name] - cpu[name], 2)
    return row


def run_downloads():
    """Return rows of download times through three balancers, then with one dead."""
    return asyncio.run(_run_downloads())


async def _run_downloads():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 1}, 3, 1, work_s=0.0)
        try:
            await deployment.start()
            rows = [{"balancers": "3 alive", **await _downloads(deployment)}]
            deployment.kill("balancer-1")
            rows.append({"balancers": "1 of 3 dead", **await _downloads(deployment)})
            return rows
        finally:
            deployment.stop()


async def _downloads(deployment):
    took = []
    for _ in range(DOWNLOADS):
        async with deployment.open_flow("case-desk") as caller:
            began = time.monotonic()
            path = f"/pack?bytes={DOWNLOAD_BYTES}"
            await caller.request("GET", path, timeout_s=120)
            took.append(time.monotonic() - began)
    took.sort()
    return {
        "median_s": round(took[len(took) // 2], 2),
        "longest_s": round(took[-1], 2),
    }


def run_open_flows():
    """Return rows of the memory of one agent by the number of open flows."""
    return asyncio.run(_run_open_flows())


async def _run_open_flows():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 1}, 1, 1, work_s=0.0)
        try:
            await deployment.start()
            agent = psutil.Process(deployment.processes["agent-case-desk-0"].pid)
            idle, rows = agent.memory_info().rss, []
            async with contextlib.AsyncExitStack() as stack:
                for size in OPEN_FLOWS:
                    count = size - (rows[-1]["flows"] if rows else 0)
                    for _ in range(count):
                        caller = await stack.enter_async_context(
                            deployment.open_flow("case-desk")
                        )
                        await caller.request("GET", "/status/1")
                    grown = agent.memory_info().rss - idle
                    rows.append(
                        {"flows": size, "bytes": grown, "per_flow": grown // size}
                    )
            return rows
        finally:
            deployment.stop()


def run_changes():
    """Return rows of the time from acceptance of a change until all members have it."""
    return asyncio.run(_run_changes())


async def _run_changes():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 7, "pack-archive": 4}, 3, 4)
        try:
            await deployment.start()
            rows = []
            for number in range(CHANGES):
                drain = {"kind": "drain", "target": f"nobody-{number}"}
                deployment.write_file("90.json", drain)
                applied = await deployment.apply()
                began = time.monotonic()
                while not await _in_force(deployment, applied.generation):
                    await asyncio.sleep(0.005)
                rows.append({"seconds": round(time.monotonic() - began, 3)})
            return rows
        finally:
            deployment.stop()


async def _in_force(deployment, generation):
    found = await deployment.status()
    return all(s and s["config"] == generation for s in found.values())


def open_flows(entry):
    """Open flows with one request each for a while; return how many were served."""
    return asyncio.run(_open_flows(entry))


async def _open_flows(entry):
    end = time.monotonic() + SECONDS
    counts = await asyncio.gather(*(_one_caller(entry, end) for _ in range(CONCURRENT)))
    return sum(counts)


async def _one_caller(entry, end):
    count = 0
    while time.monotonic() < end:
        async with open_flow(*entry) as caller:
            reply = await caller.request("GET", "/status/1")
            count += reply.status == 200
    return count


def _cpu(watched):
    return {name: sum(p.cpu_times()[:2]) for name, p in watched.items()}
