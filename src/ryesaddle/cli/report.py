"""Formats the output of the operator's commands."""

from datetime import UTC, datetime

from ryesaddle.internal.journal.outcome import Outcome

OUTCOME_EXPLANATIONS = {
    Outcome.RAN: "it ran, and the whole answer was passed on",
    Outcome.NOT_RUN: "it was never handed to a target; it did not run",
    Outcome.UNKNOWN: "it was handed to the target and no whole answer came back",
    Outcome.PENDING: "it is still in progress",
}


def trace_lines(request_id, trace):
    """Yield the lines that describe each attempt of a request."""
    if not trace.entries:
        yield f"request {request_id}: no agent has a record of it"
    for number, entry in enumerate(trace.entries, 1):
        yield f"request {request_id}, attempt {number}: {entry.outcome}"
        yield f"  {_explain_outcome(entry)}"
        yield f"  {entry.method} {entry.path} key={entry.key or '-'}"
        yield f"  caller {entry.caller} service {entry.service} target {entry.target}"
        yield (
            f"  received {_format_time(entry.received_at)} "
            f"dispatched {_format_time(entry.dispatched_at)} "
            f"finished {_format_time(entry.finished_at)}"
        )
        acknowledged = "yes" if entry.delivered else "no"
        yield (
            f"  status {entry.status} reason {entry.reason or '-'} "
            f"acknowledged by the caller: {acknowledged}"
        )
    for node in trace.silent:
        yield f"  agent {node} did not answer; its records are missing here"


def flow_lines(caller, flows_by_node):
    """Yield one line for each flow of a caller that a node knows.

    Parameters
    ----------
    caller : str
        Address and port of the caller, ``HOST:PORT``.
    flows_by_node : dict of str to list of dict
        The flows that each node knows, None if it did not answer.
    """
    known = {node: flows for node, flows in sorted(flows_by_node.items()) if flows}
    if not known:
        yield f"caller {caller}: no process remembers a flow of it"
    for node, flows in known.items():
        for flow in flows:
            pairs = (f"{key}={value}" for key, value in flow.items())
            yield f"{node}: " + " ".join(pairs)
    for node, flows in sorted(flows_by_node.items()):
        if flows is None:
            yield f"{node} did not answer; what it knows is missing here"


def status_lines(statuses):
    """Yield one line for each node."""
    for node, status in sorted(statuses.items()):
        if status is None:
            yield f"{node}: no answer"
            continue
        if "leads" not in status:
            fields = {k: v for k, v in status.items() if k not in ("node", "counts")}
            yield f"{node}: " + " ".join(f"{k}={v}" for k, v in fields.items())
            continue
        line = f"{node}: {status['role']} config={status['config']}"
        line += f" flows={status['flows']} leads={'yes' if status['leads'] else 'no'}"
        if status["role"] == "agent":
            state = "draining" if status["draining"] else "open"
            line += f" target={status['target']} {state} load={status['load']}"
        yield line


def _explain_outcome(entry):
    if entry.outcome is Outcome.UNKNOWN and entry.dispatched_at is None:
        return (
            "this attempt was never handed to a target, but an earlier one with the "
            "same key may have been"
        )
    return OUTCOME_EXPLANATIONS[entry.outcome]


def _format_time(seconds):
    if seconds is None:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")
