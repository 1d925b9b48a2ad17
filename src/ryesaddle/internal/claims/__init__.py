"""Paxos-based claims: a request with an idempotency key is executed at most once."""
