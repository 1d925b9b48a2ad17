"""Decides whether a request may run now, wait, or must be refused."""
