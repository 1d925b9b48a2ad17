"""The record of what became of each request."""
