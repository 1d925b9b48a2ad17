"""Runs the platform roles as real processes under random faults, and checks them."""
