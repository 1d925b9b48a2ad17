"""The median, without the import time of the `statistics` module."""


def upper_median(values):
    """Return the upper median of a list, 0.0 if it is empty."""
    return sorted(values)[len(values) // 2] if values else 0.0
