"""Runs two services on loopback and traces some requests to them.

Kills a balancer during a download to show that the download completes.
"""

import asyncio
import hashlib
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tests.support.deployment import Deployment
from tests.support.target import PACK_BYTES, pack

SERVICES = {"case-desk": 3, "pack-archive": 2}


async def main():
    """Run the demo and return its exit code."""
    started = time.monotonic()
    failures = []
    with tempfile.TemporaryDirectory(prefix="ryesaddle-demo-") as folder:
        deployment = Deployment(Path(folder), SERVICES)
        try:
            await deployment.start()
            print(f"all processes are ready after {time.monotonic() - started:.1f} s")
            await show_requests(deployment, failures)
            await show_balancer_failure(deployment, failures)
        except BaseException:
            print_logs(Path(folder))
            raise
        finally:
            deployment.stop()
    print(
        f"demo took {time.monotonic() - started:.1f} s, {len(failures)} answers wrong"
    )
    return 1 if failures else 0


async def show_requests(deployment, failures):
    """Send a status check and a hardship reply, and trace both."""
    async with deployment.open_flow("case-desk") as caller:
        reply = await caller.request(
            "GET", "/status/A-17", [("x-request-id", "demo-status")]
        )
        report_check(failures, "status check", reply.status == 200, reply.body[:80])
        body = b"we cannot pay this month"
        reply = await caller.request(
            "POST",
            "/reply",
            [("x-request-id", "demo-reply"), ("idempotency-key", '"reply-17"')],
            body,
        )
        digest = hashlib.sha256(body).hexdigest().encode()
        report_check(failures, "hardship reply", digest in reply.body, reply.body[:80])
    show_trace(deployment, "demo-status", failures)
    show_trace(deployment, "demo-reply", failures)


async def show_balancer_failure(deployment, failures):
    """Kill a balancer during the download of a letter pack, and trace the download."""
    async with deployment.open_flow("pack-archive") as caller:
        download_started = time.monotonic()
        download = asyncio.ensure_future(
            caller.request(
                "GET", "/pack", [("x-request-id", "demo-pack")], timeout_s=120
            )
        )
        await asyncio.sleep(0.2)
        print(f"balancer-1 is killed, download in progress: {not download.done()}")
        deployment.kill("balancer-1")
        reply = await download
        elapsed_s = time.monotonic() - download_started
        is_complete = (
            hashlib.sha256(reply.body).digest()
            == hashlib.sha256(pack(PACK_BYTES)).digest()
        )
        size = len(reply.body)
        report_check(
            failures, "letter pack", is_complete, f"{size} bytes in {elapsed_s:.1f} s"
        )
    show_trace(deployment, "demo-pack", failures)


def report_check(failures, name, passed, detail):
    """Print one result and add it to ``failures`` if the check did not pass."""
    print(f"{name}: {'right' if passed else 'WRONG'} ({detail})")
    if not passed:
        failures.append(name)


def show_trace(deployment, request_id, failures):
    """Print the output of ``ryesaddle trace``, and check that the request ran."""
    command = ["trace", request_id, "--operator", str(deployment.operator_file)]
    print(f"$ ryesaddle {' '.join(command[:2])}")
    completed = subprocess.run(
        [*deployment.program, *command], capture_output=True, text=True, check=False
    )
    print(completed.stdout + completed.stderr, end="")
    if completed.returncode or ": ran" not in completed.stdout:
        failures.append(f"trace of {request_id}")


def print_logs(folder):
    """Print the last lines of each log after a failure."""
    for file in sorted(folder.glob("*.log")):
        lines = file.read_text(errors="replace").splitlines()[-8:]
        print(f"--- {file.name}", *lines, sep="\n")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
