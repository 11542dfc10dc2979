"""Stateful search for faults in the decisions."""
