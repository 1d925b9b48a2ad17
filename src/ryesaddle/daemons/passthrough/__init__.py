"""Balancer and agent that forward packets to targets that terminate the flows."""
