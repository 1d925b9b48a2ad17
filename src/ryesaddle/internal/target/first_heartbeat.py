"""Whether the first heartbeat that an agent hears shows that no flow came before it."""

from ryesaddle.internal.target.report import FIRST_SEQUENCE

# A target sends its second heartbeat one interval after an acknowledged first one, and
# much sooner otherwise. A heartbeat within three quarters of an interval of its start
# thus shows that none has been acknowledged.
MAX_AGE_INTERVALS = 0.75
MIN_AGE_S = -0.05  # the clocks of one host agree, but their readings are rounded
# A first heartbeat waits in the accept queue while its agent starts.
MAX_FIRST_AGE_S = 5.0


def shows_no_earlier_flow(report, age_s, heartbeat_s, stored_target):
    """Whether an agent that hears its first target knows all flows of that.

    Load pattern: a power loss of all hosts, after which agents start later than their
    targets. Each flow that an agent may not know costs a packet to its target.

    It does if no earlier run of the agent has served this run of the target: the
    heartbeat is the target's first one, or none was acknowledged before and the entry
    in the store, which an agent writes when it hears a target, names another target.

    Parameters
    ----------
    report : TargetReport
        The heartbeat.
    age_s : float or None
        Time since the start of the target by the clock of the host, in seconds; None if
        the target does not tell its start.
    heartbeat_s : float
        Usual time between two heartbeats, in seconds.
    stored_target : str or None
        Target that the entry named when this agent started, empty if there was no
        entry; None if the store could not be read.
    """
    if report.sequence == FIRST_SEQUENCE:
        return age_s is None or age_s <= MAX_FIRST_AGE_S
    if age_s is None or stored_target is None or stored_target == report.target:
        return False
    return MIN_AGE_S <= age_s <= MAX_AGE_INTERVALS * heartbeat_s
