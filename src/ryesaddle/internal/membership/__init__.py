"""Membership: announcements, leader leases and replicated member lists."""
