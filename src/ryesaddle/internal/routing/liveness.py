"""Which agents owe a sign of life."""

PROBE_AFTER_S = 0.2
SUSPECT_AFTER_S = 0.6


class Liveness:
    """Suspects agents that were sent something and have been silent since."""

    def __init__(self):
        self._silent_since = {}

    def expect(self, node, now):
        """Note that something was sent to an agent."""
        self._silent_since.setdefault(node, now)

    def heard(self, node):
        """Note that an agent is alive."""
        self._silent_since.pop(node, None)

    def to_probe(self, now):
        """Return the agents that owe an answer for long enough to be probed."""
        return [
            node
            for node, since in self._silent_since.items()
            if now - since >= PROBE_AFTER_S
        ]

    def is_suspect(self, node, now):
        """Whether an agent has left datagrams and probes unanswered."""
        since = self._silent_since.get(node)
        return since is not None and now - since >= SUSPECT_AFTER_S

    def forget(self, nodes):
        """Drop what is known of all agents but ``nodes``."""
        self._silent_since = {
            node: since for node, since in self._silent_since.items() if node in nodes
        }
