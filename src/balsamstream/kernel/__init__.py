"""A micro-kernel: services with explicit start and close, found by name."""
