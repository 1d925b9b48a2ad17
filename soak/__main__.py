"""``python -m soak``: runs seeds and reports violated invariants."""

import asyncio
import logging
import secrets
import sys
from pathlib import Path

import cyclopts
import msgspec

from soak.plan import load_plan
from soak.report import report_lines
from soak.run import SoakRun

RANDOM_SEED_LIMIT = 10**9

app = cyclopts.App(help="Run the platform roles under random faults.")


@app.default
def run_seeds(
    first: int | None = None,
    last: int | None = None,
    *,
    fresh: int = 1,
    plan: Path | None = None,
    faults_s: float = 10.0,
    jobs: int = 1,
    folder: Path = Path("build/soak"),
):
    """Run the seeds from FIRST to LAST.

    Parameters
    ----------
    first, last
        Seeds; only FIRST if LAST is omitted.
    fresh
        Number of seeds, starting at a random one, if FIRST is omitted.
    plan
        JSON file with the faults to inject, in place of those of the seeds.
    faults_s
        Time with faults in each run, in seconds.
    jobs
        Concurrent runs; each has nine processes.
    folder
        Folder for the report, the results and the logs of the processes.
    """
    logging.basicConfig(level=logging.CRITICAL)
    if first is None:
        first = secrets.randbelow(RANDOM_SEED_LIMIT)
        last = first + fresh - 1
    seeds = range(first, (first if last is None else last) + 1)
    results = asyncio.run(_run_all(seeds, faults_s, jobs, folder, plan))
    folder.mkdir(parents=True, exist_ok=True)
    lines = [line for result in results for line in report_lines(result)]
    (folder / "report.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    (folder / "results.json").write_bytes(msgspec.json.encode(results))
    failed = [result.seed for result in results if result.violations]
    print(f"{len(results)} seeds, failed: {failed or 'none'}; {folder}/report.txt")
    return 1 if failed else 0


async def _run_all(seeds, faults_s, jobs, folder, plan):
    semaphore = asyncio.Semaphore(jobs)

    async def run_one(seed):
        async with semaphore:
            faults = None if plan is None else load_plan(plan)
            result = await SoakRun(seed, faults_s, folder / "logs", faults).run()
            print("\n".join(report_lines(result)), flush=True)
            return result

    return await asyncio.gather(*map(run_one, seeds))


if __name__ == "__main__":
    sys.exit(app())
