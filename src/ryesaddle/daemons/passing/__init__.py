"""Processes that pass packets through to targets that hold their flows."""
