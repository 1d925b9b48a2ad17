"""Plays the users' deployments on their bench, as ``docs/regression.md`` describes.

Usage: ``python -m tests.regression [score|hunt] [SITE...]``. Where the users' files are
not present, nothing is played, and the exit code is 0.
"""

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

KIT = Path(__file__).resolve().parents[3] / "given" / "kit" / "more" / "system"
BENCH = KIT / "more" / "bench-d17393" / "bin" / "fleetbench"
MODES = ("score", "hunt")


class Site(NamedTuple):
    """One deployment and how it is played.

    Attributes
    ----------
    file : str
        Site file, relative to the folder of the users' files.
    hunt_days : int
        Number of days with other seeds.
    jobs : int
        Number of days that are played at the same time.
    """

    file: str
    hunt_days: int
    jobs: int


SITES = {
    "tender-portal": Site("demands/kspm-tenderline-grown.toml", 8, 4),
    "telemetry": Site("demands/ventimonte-sic-grown.toml", 8, 4),
    "shifted": Site("shifted/fuenfu-ryesaddle-now-grown.toml", 8, 4),
    "further": Site("further/txl-saddle.toml", 40, 4),
    "further-grown": Site("further-grown/txl-saddle-grown.toml", 8, 4),
    "large": Site("large/fuenfu-ryesaddle-large.toml", 8, 2),
    "grown-foundation": Site("grown/fuenfu-ryesaddle-grown.toml", 8, 4),
    "grown-cooperative": Site("grown/hanbit-renew-grown.toml", 8, 4),
}


def command(mode, site):
    """Return the command line that plays one site."""
    args = [str(BENCH), mode, str(KIT / site.file), "--jobs", str(site.jobs)]
    if mode == "hunt":
        args += ["--days", str(site.hunt_days)]
    return [*args, "--why", f"regression run: {mode}"]


def main(args):
    """Play the named sites, or all of them; return the exit code."""
    mode = args[0] if args and args[0] in MODES else "score"
    names = [name for name in args if name not in MODES] or list(SITES)
    unknown = set(names) - SITES.keys()
    if unknown:
        print(f"unknown sites: {sorted(unknown)}; choose from {sorted(SITES)}")
        return 2
    if not BENCH.exists():
        print("the users' files are not present: no deployment was played")
        return 0
    return max(subprocess.run(command(mode, SITES[name])).returncode for name in names)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
