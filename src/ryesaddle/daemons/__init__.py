"""The long-running processes: composition roots and tasks.

``quic`` ends callers' flows at the agent, ``passing`` hands packets through to
targets that hold their flows themselves. Each has a balancer and an agent.
"""
