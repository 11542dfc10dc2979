"""Protocols spoken towards callers and backend servers."""
