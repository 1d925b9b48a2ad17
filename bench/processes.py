"""Flow rate, throughput, memory and processor time of real processes on loopback."""

import asyncio
import contextlib
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import psutil

from tests.support.caller import open_flow
from tests.support.deployment import Deployment

CALLER_PROCESSES = 3
CALL_DURATION_S = 5.0
OPEN_FLOW_COUNTS = (25, 50, 100, 200, 400)
CHANGE_COUNT = 8
DOWNLOAD_COUNT = 9
DOWNLOAD_BYTES = 8 * 1_048_576
THROUGHPUT_DOWNLOAD_BYTES = 16 * 1_048_576
CONCURRENT_FLOWS = 4


def run_processes():
    """Return one row of measurements of one balancer and one agent."""
    return asyncio.run(_run_one_balancer())


async def _run_one_balancer():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 1}, 1, 1, work_s=0.0)
        deployment.limits = {"slots": 64, "queue": 512, "ramp_s": 0.1}
        try:
            await deployment.start()
            return await _measure_processes(deployment)
        finally:
            deployment.stop()


async def _measure_processes(deployment):
    loop = asyncio.get_running_loop()
    names = ("balancer-0", "agent-case-desk-0")
    measured_processes = {
        name: psutil.Process(deployment.processes[name].pid) for name in names
    }
    entry = deployment.service_addresses["case-desk"]
    idle_bytes = {
        name: process.memory_info().rss for name, process in measured_processes.items()
    }
    cpu_before_flows = _cpu_s(measured_processes)
    with ProcessPoolExecutor(CALLER_PROCESSES) as pool:
        jobs = [
            loop.run_in_executor(pool, count_served_flows, entry)
            for _ in range(CALLER_PROCESSES)
        ]
        flows = sum(await asyncio.gather(*jobs))
    cpu_after_flows = _cpu_s(measured_processes)
    status = (await deployment.status())["balancer-0"]["counts"]
    datagrams = status["balancer.forwarded"] + status["balancer.answered"]
    started_at = time.monotonic()
    cpu_before_download = _cpu_s(measured_processes)
    async with open_flow(*entry) as caller:
        reply = await caller.request(
            "GET", f"/pack?bytes={THROUGHPUT_DOWNLOAD_BYTES}", timeout_s=120
        )
    download_s = time.monotonic() - started_at
    assert len(reply.body) == THROUGHPUT_DOWNLOAD_BYTES
    cpu_after_download = _cpu_s(measured_processes)
    row = {
        "new_flows_per_s": round(flows / CALL_DURATION_S, 1),
        "download_mb_per_s": round(THROUGHPUT_DOWNLOAD_BYTES / download_s / 1e6, 2),
        "balancer_us_per_datagram": round(
            (cpu_after_flows[names[0]] - cpu_before_flows[names[0]]) / datagrams * 1e6,
            1,
        ),
        "agent_ms_per_flow": round(
            (cpu_after_flows[names[1]] - cpu_before_flows[names[1]]) / flows * 1e3, 2
        ),
    }
    for name, process in measured_processes.items():
        role = name.partition("-")[0]
        row[f"{role}_idle_mb"] = round(idle_bytes[name] / 1e6, 1)
        row[f"{role}_mb"] = round(process.memory_info().rss / 1e6, 1)
        row[f"{role}_cpu_s_per_download"] = round(
            cpu_after_download[name] - cpu_before_download[name], 2
        )
    return row


def run_downloads():
    """Return rows of download times, with three balancers and with one of them dead."""
    return asyncio.run(_run_downloads())


async def _run_downloads():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 1}, 3, 1, work_s=0.0)
        try:
            await deployment.start()
            rows = [{"balancers": "3 alive", **await _measure_downloads(deployment)}]
            deployment.kill("balancer-1")
            rows.append(
                {"balancers": "1 of 3 dead", **await _measure_downloads(deployment)}
            )
            return rows
        finally:
            deployment.stop()


async def _measure_downloads(deployment):
    durations_s = []
    for _ in range(DOWNLOAD_COUNT):
        async with deployment.open_flow("case-desk") as caller:
            started_at = time.monotonic()
            path = f"/pack?bytes={DOWNLOAD_BYTES}"
            await caller.request("GET", path, timeout_s=120)
            durations_s.append(time.monotonic() - started_at)
    durations_s.sort()
    return {
        "median_s": round(durations_s[len(durations_s) // 2], 2),
        "longest_s": round(durations_s[-1], 2),
    }


def run_open_flows():
    """Return rows of the memory growth of one agent by its number of open flows."""
    return asyncio.run(_run_open_flows())


async def _run_open_flows():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 1}, 1, 1, work_s=0.0)
        try:
            await deployment.start()
            agent = psutil.Process(deployment.processes["agent-case-desk-0"].pid)
            idle_bytes, rows = agent.memory_info().rss, []
            async with contextlib.AsyncExitStack() as stack:
                for flow_count in OPEN_FLOW_COUNTS:
                    count = flow_count - (rows[-1]["flows"] if rows else 0)
                    for _ in range(count):
                        caller = await stack.enter_async_context(
                            deployment.open_flow("case-desk")
                        )
                        await caller.request("GET", "/status/1")
                    growth_bytes = agent.memory_info().rss - idle_bytes
                    rows.append(
                        {
                            "flows": flow_count,
                            "bytes": growth_bytes,
                            "per_flow": growth_bytes // flow_count,
                        }
                    )
            return rows
        finally:
            deployment.stop()


def run_changes():
    """Return rows of seconds until all members have applied an accepted change."""
    return asyncio.run(_run_changes())


async def _run_changes():
    with tempfile.TemporaryDirectory(prefix="ryesaddle-bench-") as folder:
        deployment = Deployment(Path(folder), {"case-desk": 7, "pack-archive": 4}, 3, 4)
        try:
            await deployment.start()
            rows = []
            for number in range(CHANGE_COUNT):
                drain = {"kind": "drain", "target": f"nobody-{number}"}
                deployment.write_file("90.json", drain)
                applied = await deployment.apply()
                started_at = time.monotonic()
                while not await _is_applied_everywhere(deployment, applied.generation):
                    await asyncio.sleep(0.005)
                rows.append({"seconds": round(time.monotonic() - started_at, 3)})
            return rows
        finally:
            deployment.stop()


async def _is_applied_everywhere(deployment, generation):
    statuses = await deployment.status()
    return all(
        status and status["config"] == generation for status in statuses.values()
    )


def count_served_flows(entry):
    """Open flows with one request each; return how many requests succeeded."""
    return asyncio.run(_count_served_flows(entry))


async def _count_served_flows(entry):
    end = time.monotonic() + CALL_DURATION_S
    counts = await asyncio.gather(
        *(_call_until(entry, end) for _ in range(CONCURRENT_FLOWS))
    )
    return sum(counts)


async def _call_until(entry, end):
    count = 0
    while time.monotonic() < end:
        async with open_flow(*entry) as caller:
            reply = await caller.request("GET", "/status/1")
            count += reply.status == 200
    return count


def _cpu_s(measured_processes):
    return {name: sum(p.cpu_times()[:2]) for name, p in measured_processes.items()}
