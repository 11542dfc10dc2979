"""Measurements, most of them beside a simpler way of balancing in the same run."""
