"""Routing decisions: which agent receives each datagram or packet."""
