"""Explicit-state search over the decision code of the core protocol."""
