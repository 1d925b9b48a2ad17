"""Runs the Foundation's two services on loopback and shows what became of requests."""

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
    wrong = []
    with tempfile.TemporaryDirectory(prefix="ryesaddle-demo-") as folder:
        deployment = Deployment(Path(folder), SERVICES)
        try:
            await deployment.start()
            print(f"all processes are ready after {time.monotonic() - started:.1f} s")
            await show_requests(deployment, wrong)
            await show_lost_balancer(deployment, wrong)
        except BaseException:
            print_logs(Path(folder))
            raise
        finally:
            deployment.stop()
    print(f"demo took {time.monotonic() - started:.1f} s, {len(wrong)} answers wrong")
    return 1 if wrong else 0


async def show_requests(deployment, wrong):
    """Do a status check and a hardship reply, and trace them."""
    async with deployment.open_flow("case-desk") as caller:
        reply = await caller.request(
            "GET", "/status/A-17", [("x-request-id", "demo-status")]
        )
        expect(wrong, "status check", reply.status == 200, reply.body[:80])
        body = b"we cannot pay this month"
        reply = await caller.request(
            "POST",
            "/reply",
            [("x-request-id", "demo-reply"), ("idempotency-key", '"reply-17"')],
            body,
        )
        digest = hashlib.sha256(body).hexdigest().encode()
        expect(wrong, "hardship reply", digest in reply.body, reply.body[:80])
    show_trace(deployment, "demo-status", wrong)
    show_trace(deployment, "demo-reply", wrong)


async def show_lost_balancer(deployment, wrong):
    """Download a letter pack and kill a balancer half-way."""
    async with deployment.open_flow("pack-archive") as caller:
        began = time.monotonic()
        download = asyncio.ensure_future(
            caller.request(
                "GET", "/pack", [("x-request-id", "demo-pack")], timeout_s=120
            )
        )
        await asyncio.sleep(0.2)
        print(f"balancer-1 is killed, download in progress: {not download.done()}")
        deployment.kill("balancer-1")
        reply = await download
        took = time.monotonic() - began
        whole = (
            hashlib.sha256(reply.body).digest()
            == hashlib.sha256(pack(PACK_BYTES)).digest()
        )
        size = len(reply.body)
        expect(wrong, "letter pack", whole, f"{size} bytes in {took:.1f} s")
    show_trace(deployment, "demo-pack", wrong)


def expect(wrong, what, good, shown):
    """Print one result and remember it if it is wrong."""
    print(f"{what}: {'right' if good else 'WRONG'} ({shown})")
    if not good:
        wrong.append(what)


def show_trace(deployment, request_id, wrong):
    """Run ``ryesaddle trace`` as an engineer would."""
    command = ["trace", request_id, "--operator", str(deployment.operator_file)]
    print(f"$ ryesaddle {' '.join(command[:2])}")
    done = subprocess.run(
        [*deployment.program, *command], capture_output=True, text=True, check=False
    )
    print(done.stdout + done.stderr, end="")
    if done.returncode or ": ran" not in done.stdout:
        wrong.append(f"trace of {request_id}")


def print_logs(folder):
    """Print the end of each log, for a demo that failed."""
    for file in sorted(folder.glob("*.log")):
        lines = file.read_text(errors="replace").splitlines()[-8:]
        print(f"--- {file.name}", *lines, sep="\n")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
