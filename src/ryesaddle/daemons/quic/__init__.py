"""Processes of the product's own interface: QUIC ends at the agent."""
