"""A report of soak runs that a person can read."""


def report_lines(result):
    """Yield the lines of the report of one `Result`."""
    verdict = "BROKEN" if result.violations else "kept"
    yield f"seed {result.seed}: {verdict}"
    yield (
        f"  traffic: {result.flows} flows tried, {result.opened} opened, "
        f"{result.requests} requests, {result.answered} answered; "
        f"{result.packets_dropped} packets kept back"
    )
    for item in result.injections:
        hosts = " ".join(item.hosts) or "store"
        yield f"  {item.at_s:6.2f} s  {item.kind} for {item.for_s:.2f} s: {hosts}"
    for violation in result.violations:
        yield f"  {violation.at_s:6.2f} s  BROKEN {violation.promise}: {violation.seen}"
