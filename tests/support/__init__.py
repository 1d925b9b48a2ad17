"""Test doubles and helpers for the tests, benchmarks, soak and demo."""
