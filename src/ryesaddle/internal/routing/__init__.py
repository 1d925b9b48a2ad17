"""Decides which agent a datagram belongs to."""
