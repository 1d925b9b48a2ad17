"""Benchmarks: a queueing model of one service, data path costs, and slopes."""
