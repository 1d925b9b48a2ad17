"""Announcements, leases and the replicated view of members."""
