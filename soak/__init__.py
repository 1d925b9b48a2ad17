"""Runs the platform roles as processes under random faults and checks invariants."""
