"""Failure detection for agents."""

PROBE_AFTER_S = 0.2
SUSPECT_AFTER_S = 0.6


class Liveness:
    """Suspects agents that have not answered what was sent to them."""

    def __init__(self):
        self._unanswered_since = {}

    def expect_answer(self, node, now):
        """Record that an answer from an agent is expected."""
        self._unanswered_since.setdefault(node, now)

    def heard(self, node):
        """Record a sign of life from an agent, which clears any suspicion."""
        self._unanswered_since.pop(node, None)

    def to_probe(self, now):
        """Return the agents whose answer is late enough for a probe."""
        return [
            node
            for node, since in self._unanswered_since.items()
            if now - since >= PROBE_AFTER_S
        ]

    def is_suspect(self, node, now):
        """Return whether an agent has left datagrams and probes unanswered."""
        since = self._unanswered_since.get(node)
        return since is not None and now - since >= SUSPECT_AFTER_S

    def retain(self, nodes):
        """Drop the state of all agents except ``nodes``."""
        self._unanswered_since = {
            node: since
            for node, since in self._unanswered_since.items()
            if node in nodes
        }
