"""Text that the operator's commands print."""

from datetime import UTC, datetime

from ryesaddle.internal.journal.outcome import Outcome

EXPLANATIONS = {
    Outcome.RAN: "it ran, and the whole answer was passed on",
    Outcome.NOT_RUN: "it was never handed to a target; it did not run",
    Outcome.UNKNOWN: "it was handed to the target and no whole answer came back",
    Outcome.PENDING: "it is still in progress",
}


def trace_lines(request_id, trace):
    """Yield the lines that tell what became of a request."""
    if not trace.entries:
        yield f"request {request_id}: no agent has a record of it"
    for number, entry in enumerate(trace.entries, 1):
        yield f"request {request_id}, attempt {number}: {entry.outcome}"
        yield f"  {_explain(entry)}"
        yield f"  {entry.method} {entry.path} key={entry.key or '-'}"
        yield f"  caller {entry.caller} service {entry.service} target {entry.target}"
        yield (
            f"  received {_time(entry.received_at)} "
            f"dispatched {_time(entry.dispatched_at)} "
            f"finished {_time(entry.finished_at)}"
        )
        confirmed = "yes" if entry.delivered else "no"
        yield (
            f"  status {entry.status} reason {entry.reason or '-'} "
            f"acknowledged by the caller: {confirmed}"
        )
    for node in trace.silent:
        yield f"  agent {node} did not answer; its records are missing here"


def flow_lines(caller, found):
    """Yield the lines that tell where a caller's flows were passed."""
    known = {node: flows for node, flows in sorted(found.items()) if flows}
    if not known:
        yield f"caller {caller}: no process remembers a flow of it"
    for node, flows in known.items():
        for flow in flows:
            pairs = (f"{key}={value}" for key, value in flow.items())
            yield f"{node}: " + " ".join(pairs)
    for node, flows in sorted(found.items()):
        if flows is None:
            yield f"{node} did not answer; what it knows is missing here"


def status_lines(found):
    """Yield one line for each member."""
    for node, status in sorted(found.items()):
        if status is None:
            yield f"{node}: no answer"
            continue
        if "leads" not in status:
            shown = {k: v for k, v in status.items() if k not in ("node", "counts")}
            yield f"{node}: " + " ".join(f"{k}={v}" for k, v in shown.items())
            continue
        line = f"{node}: {status['role']} config={status['config']}"
        line += f" flows={status['flows']} leads={'yes' if status['leads'] else 'no'}"
        if status["role"] == "agent":
            state = "draining" if status["draining"] else "open"
            line += f" target={status['target']} {state} load={status['load']}"
        yield line


def _explain(entry):
    if entry.outcome is Outcome.UNKNOWN and entry.dispatched_at is None:
        return (
            "this attempt was never handed to a target, but an earlier one with the "
            "same key may have been"
        )
    return EXPLANATIONS[entry.outcome]


def _time(seconds):
    if seconds is None:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")
