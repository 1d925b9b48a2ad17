"""Adapter to the users' platform; translates its messages and makes no decisions."""
