"""``python -m soak``: play seeds and report what broke."""

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

FRESH_SEEDS = 10**9

app = cyclopts.App(help="Run the platform roles under random faults.")


@app.default
def play(
    first: int | None = None,
    last: int | None = None,
    *,
    fresh: int = 1,
    plan: Path | None = None,
    faults_s: float = 10.0,
    jobs: int = 1,
    folder: Path = Path("build/soak"),
):
    """Play the seeds from FIRST to LAST.

    Parameters
    ----------
    first, last
        Seeds; one if LAST is left out.
    fresh
        How many seeds that nobody has chosen, if FIRST is left out.
    plan
        File with the faults to inject, in place of those of the seeds.
    faults_s
        Time with faults in each run, in seconds.
    jobs
        Runs at a time; each has nine processes.
    folder
        Where the report, the results and the logs of the processes go.
    """
    logging.basicConfig(level=logging.CRITICAL)
    if first is None:
        first = secrets.randbelow(FRESH_SEEDS)
        last = first + fresh - 1
    seeds = range(first, (first if last is None else last) + 1)
    results = asyncio.run(_play_all(seeds, faults_s, jobs, folder, plan))
    folder.mkdir(parents=True, exist_ok=True)
    lines = [line for result in results for line in report_lines(result)]
    (folder / "report.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    (folder / "results.json").write_bytes(msgspec.json.encode(results))
    broken = [result.seed for result in results if result.violations]
    print(f"{len(results)} seeds, broken: {broken or 'none'}; {folder}/report.txt")
    return 1 if broken else 0


async def _play_all(seeds, faults_s, jobs, folder, plan):
    gate = asyncio.Semaphore(jobs)

    async def play_one(seed):
        async with gate:
            faults = None if plan is None else load_plan(plan)
            result = await SoakRun(seed, faults_s, folder / "logs", faults).run()
            print("\n".join(report_lines(result)), flush=True)
            return result

    return await asyncio.gather(*map(play_one, seeds))


if __name__ == "__main__":
    sys.exit(app())
