"""Formats the results of soak runs as text."""


def report_lines(result):
    """Yield the lines of the report of one `SoakResult`."""
    verdict = "FAILED" if result.violations else "passed"
    yield f"seed {result.seed}: {verdict}"
    yield (
        f"  traffic: {result.flows} flows attempted, {result.opened} opened, "
        f"{result.reused_ports} from reused ports, "
        f"{result.requests} requests, {result.answered} answered; "
        f"{result.packets_dropped} packets dropped"
    )
    for item in result.injections:
        hosts = " ".join(item.hosts) or "store"
        yield f"  {item.at_s:6.2f} s  {item.kind} for {item.for_s:.2f} s: {hosts}"
    for violation in result.violations:
        yield (
            f"  {violation.at_s:6.2f} s  FAILED {violation.invariant}: "
            f"{violation.details}"
        )
