"""Runs benchmarks; writes the results as JSON and some of them as charts."""

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from bench.broken import run_broken
from bench.configuration import run_configuration
from bench.datapath import run_datapath, run_flow_memory
from bench.failing_targets import run_failing_targets
from bench.long_flows import run_long_flows
from bench.passthrough import run_passthrough
from bench.placement import LOADS, POLICIES, run_overload, run_placement
from bench.processes import (
    run_changes,
    run_downloads,
    run_open_flows,
    run_processes,
)
from bench.slopes import run_slopes
from bench.surge import run_surge

RESULTS = Path(__file__).parent / "results"
BENCHMARKS = {
    "broken": run_broken,
    "overload": run_overload,
    "placement": run_placement,
    "datapath": run_datapath,
    "flow_memory": run_flow_memory,
    "slopes": run_slopes,
    "processes": run_processes,
    "downloads": run_downloads,
    "open_flows": run_open_flows,
    "changes": run_changes,
    "surge": run_surge,
    "long_flows": run_long_flows,
    "failing_targets": run_failing_targets,
    "configuration": run_configuration,
    "passing": run_passthrough,
}


def main(names):
    """Run the named benchmarks, or all of them."""
    RESULTS.mkdir(exist_ok=True)
    for name in names or BENCHMARKS:
        rows = BENCHMARKS[name]()
        text = json.dumps(rows, indent=1)
        (RESULTS / f"{name}.json").write_text(text + "\n")
        print(f"{name}:")
        for row in rows if isinstance(rows, list) else [rows]:
            print(f"  {row}")
        if name == "placement":
            _plot_placement(rows)
        elif name == "broken":
            _plot_broken(rows)
        elif name == "surge":
            _plot_surge(rows)


def _plot_placement(rows):
    figure, axes = plt.subplots(1, 3, figsize=(15, 4.5))
    for axis, kind in zip(axes, ("equal", "mixed", "one slow")):
        for policy_index, policy in enumerate(POLICIES):
            selected_rows = [
                row
                for row in rows
                if (row["workload"], row["policy"], row["service"])
                == (kind, policy, "case-desk")
            ]
            points = sorted((row["load"], row["p99_wait"]) for row in selected_rows)
            if points:
                axis.plot(
                    *zip(*points), marker="o", label=policy, color=f"C{policy_index}"
                )
        axis.set_yscale("log")
        axis.set_xticks(LOADS)
        axis.set_xlabel("load")
        axis.set_title(f"{kind}: 99th percentile of waiting, in service times")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(RESULTS / "placement.png", dpi=80)


def _plot_broken(rows):
    figure, axis = plt.subplots(figsize=(7, 4))
    axis.bar([row["design"] for row in rows], [row["planned"] for row in rows])
    axis.set_title("flows broken by planned change, same seeded schedule")
    figure.tight_layout()
    figure.savefig(RESULTS / "broken.png", dpi=80)


def _plot_surge(rows):
    patterns = list(dict.fromkeys(row["pattern"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axis = plt.subplots(figsize=(11, 4.5))
    width = 0.8 / len(policies)
    for policy_index, policy in enumerate(policies):
        payoffs = [row["payoff"] for row in rows if row["policy"] == policy]
        bar_positions = [
            pattern_index + policy_index * width
            for pattern_index in range(len(patterns))
        ]
        axis.bar(bar_positions, payoffs, width, label=policy)
    axis.set_xticks(
        [pattern_index + 0.4 - width / 2 for pattern_index in range(len(patterns))]
    )
    axis.set_xticklabels(patterns)
    axis.set_ylim(0.5, 1.0)
    axis.set_title("payoff by load pattern, with mechanisms disabled")
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(RESULTS / "surge.png", dpi=80)


if __name__ == "__main__":
    main(sys.argv[1:])
