"""Randomized soak test of node processes under externally injected faults."""
