"""Long-running processes, with their entry points and background tasks.

In ``quic``, the agent terminates the callers' flows. In ``passthrough``, packets are
forwarded unchanged to targets that terminate the flows themselves. Each package has
a balancer and an agent.
"""
