"""Tells where a played day of the users' bench has lost requests, and whether it must.

    python -m bench.account SITE REPORT [OUTPUT]

SITE is a site file, REPORT what ``fleetbench run --report`` wrote, and OUTPUT what the
same command printed with ``--log all``. Each request that was late or not served is
counted as one of

- lost whatever is done: no copy of its opening packet was sent while power was on and
  early enough for an answer before its deadline;
- late whatever is done: the first copy that was sent with power on was too late for
  the latency objective;
- start: the same two, but for the time until balancers listened (with OUTPUT);
- avoidable: the rest.

Numbers of the first three are expected values, for requests that begin evenly within
each window of the report and have an even chance of reaching each balancer.
"""

import json
import re
import sys
import tomllib
from bisect import bisect_right
from dataclasses import dataclass

from ryesaddle.internal.target.queue import CALLER_GIVE_UP_S, COPY_DELAYS_S

WINDOW_S = 2.0
STEPS = 400  # moments within a window at which requests begin
STARTED = re.compile(r"^\s*(-?[\d.]+) \S+ .* event=started .*role=balancer")


@dataclass(frozen=True)
class RequestKind:
    """What callers need of one kind of request; times in seconds."""

    name: str
    share: float
    objective_s: float
    deadline_s: float
    work_s: float
    tries: int
    late_worth: float


@dataclass(frozen=True)
class Outage:
    """A time without power; ``listening`` are the times at which balancers listened."""

    begins_at: float
    power_at: float
    listening: tuple[float, ...] = ()


@dataclass
class Losses:
    """Expected numbers of requests that are late or not served."""

    late: float = 0.0
    lost: float = 0.0


def read_kinds(site, report):
    """Return the `RequestKind` items of a site, with their shares of all requests."""
    asked = {item["name"]: item["n"] for item in report["classes"]}
    total = sum(asked.values())
    return [
        RequestKind(
            item["name"],
            asked[item["name"]] / total,
            item["aim_ms"] / 1000,
            item["deadline_ms"] / 1000,
            item["work_ms"]["mean"] / 1000,
            1 + item.get("retries", 0),
            item["late_worth"] / item["worth"],
        )
        for item in site["classes"]
        if item["name"] in asked
    ]


def find_outage(day, report, output_lines):
    """Return the `Outage` at the end of a day, or None."""
    closing = day.get("closing")
    events = [e for e in report["events"] if e["kind"].startswith("closing")]
    if closing is None or not events:
        return None
    begins_at = events[0]["at_s"]
    times = (float(m[1]) for m in map(STARTED.match, output_lines) if m)
    listening = tuple(sorted(at for at in times if at >= begins_at))
    return Outage(begins_at, begins_at + closing["down_s"], listening)


def expected_losses(kind, begins_at, outage, ready_times):
    """Return the chances that a request is late and that it is lost.

    Parameters
    ----------
    kind : RequestKind
        The kind of request.
    begins_at : float
        When its caller sends the first packet, in seconds.
    outage : Outage
        Nothing is served from its beginning.
    ready_times : tuple of float
        When each balancer serves again, sorted; each try reaches one of them.
    """
    if begins_at < outage.begins_at:
        return 0.0, 0.0
    waiting, late = 1.0, 0.0
    for number in range(kind.tries):
        # All copies of one try reach the same balancer, each try may reach another.
        was_ready = 0.0
        for delay_s in COPY_DELAYS_S:
            elapsed_s = number * CALLER_GIVE_UP_S + delay_s
            if elapsed_s + kind.work_s > kind.deadline_s:
                return late, waiting * (1 - was_ready)
            ready = bisect_right(ready_times, begins_at + elapsed_s) / len(ready_times)
            if elapsed_s + kind.work_s > kind.objective_s:
                late += waiting * (ready - was_ready)
            was_ready = ready
        waiting *= 1 - was_ready
    return late, waiting


def account(kinds, windows, outage):
    """Return rows of a window's start, its counts, and the `Losses` of two bounds.

    The first bound holds for any system, the second for the observed starts.
    """
    rows = []
    for window in windows:
        begins_at = float(window["name"])
        bounds = []
        for ready_times in ((outage.power_at,), outage.listening):
            losses = Losses()
            for step in range(STEPS if ready_times else 0):
                at = begins_at + (step + 0.5) * WINDOW_S / STEPS
                for kind in kinds:
                    late, lost = expected_losses(kind, at, outage, ready_times)
                    weight = window["n"] * kind.share / STEPS
                    losses.late += late * weight
                    losses.lost += lost * weight
            bounds.append(losses)
        rows.append((begins_at, window, *bounds))
    return rows


def main(site_path, report_path, output_path=None):
    """Print the account of one day."""
    with open(site_path, "rb") as file:
        site = tomllib.load(file)
    with open(report_path) as file:
        report = json.load(file)
    lines = []
    if output_path is not None:
        with open(output_path, errors="replace") as file:
            lines = file.readlines()
    day = _find_day(site, report)
    outage = find_outage(day, report, lines)
    if outage is None:
        sys.exit("error: the day does not end with an outage")
    print(f"power lost {outage.begins_at} s, back {outage.power_at} s", end="; ")
    if outage.listening:
        first, last = outage.listening[0], outage.listening[-1]
        print(f"balancers listened from {first} to {last} s")
    print("window |  late  failed | bound: late  lost | at these starts: late  lost")
    kinds = read_kinds(site, report)
    totals = [0.0] * 6
    for begins_at, window, bound, started in account(kinds, report["windows"], outage):
        row = (window["late"], window["failed"])
        row += (bound.late, bound.lost, started.late, started.lost)
        totals = [total + value for total, value in zip(totals, row, strict=True)]
        if any(value >= 0.5 for value in row):
            print(_format_row(f"{begins_at:6.0f}", row))
    print(_format_row("   all", totals))


def _find_day(site, report):
    """Return the day of a site whose planned work the report shows."""
    planned = {(e["at_s"], e["kind"].split()[0]) for e in report["events"]}
    return max(
        (day for day in site["day"] if day.get("closing")),
        key=lambda day: len(
            planned
            & {
                (item["at"], item["kind"])
                for item in (*day.get("plan", ()), *day.get("faults", ()))
            }
        ),
        default={},
    )


def _format_row(name, row):
    observed, bound, started = row[:2], row[2:4], row[4:]
    return (
        f"{name} | {observed[0]:5.0f} {observed[1]:7.0f} |"
        f" {bound[0]:11.0f} {bound[1]:5.0f} |"
        f" {started[0]:21.0f} {started[1]:5.0f}"
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
